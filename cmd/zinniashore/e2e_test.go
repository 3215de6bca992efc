package main_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"zinniashore.example/keeper"
	"zinniashore.example/publisher"
	"zinniashore.example/standin"
)

const (
	token     = "operator-token-of-the-test"
	stepLimit = 60 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	logx.Disable()
	folder, err := os.MkdirTemp("", "zinniashore")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "zinniashore")
	build := exec.Command("go", "build", "-o", binary, ".")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", output)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one process of the system or of its stand-ins.
type process struct {
	command *exec.Cmd
	line    string
	log     string
}

// launch starts the command and waits for the line that lists its addresses.
func launch(t testing.TB, arguments ...string) *process {
	t.Helper()
	log, err := os.CreateTemp(t.TempDir(), "log")
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(binary, arguments...)
	command.Stderr = log
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{command: command, log: log.Name()}
	t.Cleanup(p.kill)
	p.line, err = bufio.NewReader(out).ReadString('\n')
	if err != nil {
		content, _ := os.ReadFile(log.Name())
		t.Fatalf("%v: %v\n%s", arguments, err, content)
	}
	return p
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// address returns the field after name in the line of addresses of the process.
func (p *process) address(name string) string {
	words := strings.Fields(p.line)
	for i := range words[:len(words)-1] {
		if words[i] == name {
			return words[i+1]
		}
	}
	return ""
}

// system is a set of platform stand-ins and entry VMs, each in its own process.
type system struct {
	platform *process
	workers  []*process
	entries  []*process
	// stores are the store addresses of the failure domains that don't use the address
	// of the platform.
	stores map[string]string
}

// newPlatform starts the stand-ins of the store and of the list of VMs.
func newPlatform(t testing.TB) *system {
	t.Helper()
	return &system{
		platform: launch(t, "standin", "platform", "--store", "127.0.0.1:0", "--list", "127.0.0.1:0", "--lag", "100ms"),
		stores:   map[string]string{},
	}
}

// newSystem starts entry VMs in the given failure domains, with two workers in
// each.
func newSystem(t testing.TB, entries ...string) *system {
	t.Helper()
	s := newPlatform(t)
	s.start(t, entries...)
	return s
}

func (s *system) start(t testing.TB, entries ...string) {
	t.Helper()
	seats := map[string]int{}
	for _, failureDomain := range entries {
		seats[failureDomain]++
	}
	for failureDomain := range seats {
		for i := range 2 {
			s.workers = append(s.workers, launch(t, "standin", "worker", "--id", fmt.Sprintf("%s-w%d", failureDomain, i),
				"--failure-domain", failureDomain, "--rack", fmt.Sprint("r", i), "--list", s.platform.address("list")))
		}
	}
	for i, failureDomain := range entries {
		settings := s.settings(t, fmt.Sprintf("%s-%d", failureDomain, i), failureDomain, seats)
		s.entries = append(s.entries, launch(t, "serve", "--settings", settings))
	}
	s.awaitReady(t)
}

// store returns the store address that a failure domain uses.
func (s *system) store(failureDomain string) string {
	if address, found := s.stores[failureDomain]; found {
		return address
	}
	return s.platform.address("store")
}

func (s *system) settings(t testing.TB, name, failureDomain string, seats map[string]int) string {
	t.Helper()
	var failureDomains []string
	for _, known := range []string{"graz-a", "graz-b", "leoben-c"} {
		if seats[known] > 0 {
			failureDomains = append(failureDomains, known)
		}
	}
	list, err := json.Marshal(failureDomains)
	if err != nil {
		t.Fatal(err)
	}
	content := fmt.Sprintf(`{
	"process": %q,
	"failure_domain": %q,
	"failure_domains": %s,
	"addresses": {"callers": "127.0.0.1:0", "administration": "127.0.0.1:0", "peers": "127.0.0.1:0"},
	"store": {"address": %q, "lease": "2s", "renewal": "300ms", "drift_margin": "100ms"},
	"platform": {"address": %q, "period": "200ms"},
	"seats": {"count": 2, "promise": "1s", "heartbeat": "100ms"},
	"requests": {"longest": "2s"},
	"tasks": {"lease": "3s", "renewal": "200ms", "period": "250ms", "drain": "1s"},
	"tokens": [{"role": "operator", "secret": %q}],
}`, name, failureDomain, list, s.store(failureDomain), s.platform.address("list"), token)
	path := filepath.Join(t.TempDir(), name+".jsonc")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (s *system) awaitReady(t testing.TB) {
	t.Helper()
	for _, entry := range s.entries {
		eventually(t, "entry VM to be ready", func() bool {
			return exec.Command(binary, "get", "--server", entry.address("administration"), "--token", token).Run() == nil &&
				ready(entry.address("callers"))
		})
	}
}

func ready(address string) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer connection.Close()
	_, _ = fmt.Fprintf(connection, "GET /readyz HTTP/1.0\r\n\r\n")
	line, _ := bufio.NewReader(connection).ReadString('\n')
	return strings.Contains(line, "200")
}

// eventually polls until done returns true. stepLimit only ends a test that hangs.
func eventually(t testing.TB, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(stepLimit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timed out waiting for the %s", what)
}

// operate runs an operator command and returns its output.
func (s *system) operate(t testing.TB, arguments ...string) string {
	t.Helper()
	for _, entry := range s.entries {
		arguments = append(arguments, "--server", entry.address("administration"))
	}
	output, err := exec.Command(binary, append(arguments, "--token", token)...).CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %v\n%s", arguments, err, output)
	}
	return string(output)
}

func (s *system) endpoints(t *testing.T) []publisher.Endpoint {
	t.Helper()
	listing, err := keeper.NewClient(s.platform.address("store")).List(t.Context(), publisher.Prefix)
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []publisher.Endpoint
	for _, entry := range listing.Entries {
		listed, err := publisher.DecodeEntry(entry)
		if err != nil {
			t.Fatal(err)
		}
		endpoints = append(endpoints, listed...)
	}
	return endpoints
}

// runs returns the number of times that the endpoints, including stopped ones, ran each
// key, and the maximum number of requests that one of them had in flight.
func (s *system) runs(t *testing.T) (map[string]int, int) {
	t.Helper()
	runs, maxInFlight := map[string]int{}, 0
	for _, worker := range s.workers {
		var counts standin.EndpointCounts
		fetch(t, "http://"+worker.lastField()+"/control/counts", &counts)
		for key, count := range counts.Runs {
			runs[key] += count
		}
		maxInFlight = max(maxInFlight, counts.MaxInFlight)
	}
	return runs, maxInFlight
}

// lastField returns the last field of the line of addresses of the process.
func (p *process) lastField() string {
	words := strings.Fields(p.line)
	return words[len(words)-1]
}

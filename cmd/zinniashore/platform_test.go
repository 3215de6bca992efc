package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"zinniashore.example/standin"
)

const (
	platformHost   = "shop.example"
	platformPrefix = "/orders/"
	platformWait   = 20 * time.Second
)

// platformConfiguration is the configuration of the operators in the tests.
const platformConfiguration = `{"version":3,"routes":[{"name":"orders","host":"shop.example","prefix":"/orders/",` +
	`"type":"non_idempotent","timeout-ms":3000,"target-duration-ms":500,"priority":0,"service":"shop","max-attempts":3,"stretch":1.5}],` +
	`"services":[{"name":"shop","max-conns":64,"admission-check":true}],"limits":{"max-body-bytes":262144}}`

// platformDeployment is a set of three processes on stand-ins of the users' platform.
type platformDeployment struct {
	t      *testing.T
	binary string
	store  *standin.PlatformStore
	// storeAddress is the address of store.
	storeAddress string
	ledger       *standin.PlatformLedger
	workers      []string // addresses
	processes    map[string]*exec.Cmd
	settings     map[string]string
	callers      map[string]string
}

// isLongRunning reports whether the workers run a task until it is stopped, by the id of its job.
func isLongRunning(task string) bool { return strings.HasPrefix(task, "ff") }

func newPlatformDeployment(t *testing.T, binary string) *platformDeployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := &platformDeployment{
		t: t, binary: binary, store: &standin.PlatformStore{}, ledger: &standin.PlatformLedger{},
		processes: map[string]*exec.Cmd{}, settings: map[string]string{}, callers: map[string]string{},
	}
	address, err := standin.Listen(ctx, "127.0.0.1:0", d.store)
	if err != nil {
		t.Fatal(err)
	}
	d.storeAddress = address
	d.store.Put("op/config", []byte(platformConfiguration))
	for i := range 4 {
		worker := &standin.PlatformWorker{Length: 150 * time.Millisecond, Ledger: d.ledger, LongRunning: isLongRunning}
		bound, err := standin.Listen(ctx, "127.0.0.1:0", worker)
		if err != nil {
			t.Fatal(err)
		}
		d.workers = append(d.workers, bound)
		d.store.Put(fmt.Sprintf("servers/i-%d", i), standin.PlatformRegistration(bound, "graz-a", "shop"))
	}
	for i := range 3 {
		d.start(fmt.Sprintf("edge-%d", i), address)
	}
	t.Cleanup(d.stopAll)
	return d
}

// platformSettings returns the settings of a process with the given first port and
// shutdown grace in seconds.
func platformSettings(name, failureDomain string, ports, grace int, store string) string {
	return fmt.Sprintf(`{"node":%q,"ip":"127.0.0.1","zone":%q,"zones":{"graz-a":"steiermark","graz-b":"steiermark"},`+
		`"listen":{"frontend":"127.0.0.1:%d","readiness":"127.0.0.1:%d"},"port-range":[%d,%d],"heartbeat-ms":1500,`+
		`"bounds":{"max-hold-ms":5000,"stop-timeout-ms":500,"early_ms":250,"status_s":120,"grace-s":%d},`+
		`"platform":{"address":%q,"min-ttl-ms":500}}`, name, failureDomain, ports, ports+1, ports+2, ports+3, grace, store)
}

func (d *platformDeployment) start(name, store string) {
	d.t.Helper()
	if _, known := d.settings[name]; !known {
		ports := freePorts(d.t)
		callers := fmt.Sprintf("127.0.0.1:%d", ports)
		settings := platformSettings(name, "graz-a", ports, 4, store)
		file := filepath.Join(d.t.TempDir(), "settings.json")
		if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
			d.t.Fatal(err)
		}
		d.settings[name], d.callers[name] = file, callers
	}
	process := exec.Command(d.binary, "schedule", "--settings", d.settings[name])
	log := &bytes.Buffer{}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.processes[name] = process
}

// end sends a signal to a process and waits for it to exit.
func (d *platformDeployment) end(name string, signal syscall.Signal) {
	process := d.processes[name]
	if process == nil {
		return
	}
	delete(d.processes, name)
	if err := process.Process.Signal(signal); err != nil {
		d.t.Error(err)
	}
	// Wait returns an error for a killed process; it is called only to wait for the exit.
	_ = process.Wait()
	if d.t.Failed() {
		d.t.Logf("%s:\n%s", name, process.Stdout)
	}
}

func (d *platformDeployment) stopAll() {
	for name := range d.settings {
		d.end(name, syscall.SIGKILL)
	}
}

// call sends a client's call and returns the status and the body.
func (d *platformDeployment) call(method, process, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+d.callers[process]+platformPrefix+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Host = platformHost
	request.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: 4 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(content)
}

// submit sends a job repeatedly until it is accepted.
func (d *platformDeployment) submit(process, id, body string) {
	d.t.Helper()
	d.await("accepting "+id, func() bool {
		status, _ := d.call(http.MethodPost, process, id, body)
		return status == http.StatusOK
	})
}

func (d *platformDeployment) await(what string, reached func() bool) {
	d.t.Helper()
	for end := time.Now().Add(platformWait); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if reached() {
			return
		}
	}
	d.t.Fatalf("%s: not within %s", what, platformWait)
}

func (d *platformDeployment) awaitState(process, id, want string) {
	d.t.Helper()
	d.await(id+" "+want, func() bool {
		status, body := d.call(http.MethodGet, process, id, "")
		var answer struct {
			State string `json:"state"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
			return false
		}
		return answer.State == want
	})
}

const (
	twoSteps    = `{"spec":"cane","phases":[{"count":3,"cpu":500,"mem-mb":100,"estimate-ms":150},{"count":4,"cpu":500,"mem-mb":100,"estimate-ms":150,"after":[0]}]}`
	manyTasks   = `{"spec":"cane","phases":[{"count":24,"cpu":500,"mem-mb":100,"estimate-ms":150}]}`
	longRunning = `{"spec":"watch","phases":[{"count":2,"cpu":1000,"mem-mb":100,"long-running":true}]}`
)

// settleTime is how long a change of a registration may take to arrive: two heartbeats.
const settleTime = 3 * time.Second

// setCapacity changes the processors that all workers register, in thousandths.
func (d *platformDeployment) setCapacity(processors int) {
	for i, address := range d.workers {
		entry := string(standin.PlatformRegistration(address, "graz-a", "shop"))
		d.store.Put(fmt.Sprintf("servers/i-%d", i), []byte(strings.Replace(entry, `"cpu":16000`, fmt.Sprintf(`"cpu":%d`, processors), 1)))
	}
}

// mostRunning returns the greatest number of tasks that ran at the same time on all
// workers.
func (d *platformDeployment) mostRunning() int {
	events := d.ledger.Events()
	slices.SortStableFunc(events, func(a, b standin.PlatformEvent) int { return a.Time.Compare(b.Time) })
	running, most := 0, 0
	for _, e := range events {
		switch e.Kind {
		case "start":
			running++
		case "end":
			running--
		}
		most = max(most, running)
	}
	return most
}

// platformTests are the cases of TestPlatform.
var platformTests = map[string]func(t *testing.T, d *platformDeployment){
	"a job that is submitted to two processes runs once": func(_ *testing.T, d *platformDeployment) {
		d.submit("edge-0", "00000000000000a1", twoSteps)
		d.submit("edge-1", "00000000000000a1", twoSteps)
		d.awaitState("edge-2", "00000000000000a1", "completed")
	},
	"a long-running job runs until it is cancelled": func(t *testing.T, d *platformDeployment) {
		id := "ff000000000000a1"
		d.submit("edge-0", id, longRunning)
		d.await("running", func() bool { return d.ledger.Running(id+".0.0.1") == 1 })
		if status, body := d.call(http.MethodDelete, "edge-1", id, ""); status != http.StatusOK {
			t.Errorf("cancel: %d %s", status, body)
		}
		d.await("stopped", func() bool { return d.ledger.Running(id+".0.0.1") == 0 })
		d.awaitState("edge-2", id, "cancelled")
	},
	"unknown jobs and queues": func(t *testing.T, d *platformDeployment) {
		d.await("configuration", func() bool {
			status, _ := d.call(http.MethodGet, "edge-0", "00000000000000a9", "")
			return status == http.StatusGone
		})
		if status, body := d.call(http.MethodGet, "edge-0", "", ""); status != http.StatusOK || !strings.Contains(body, `"pending":0`) {
			t.Errorf("pending: %d %s", status, body)
		}
		if status, body := d.call(http.MethodPost, "edge-0", "00000000000000a1", `{"phases":[{"count":0}]}`); status != http.StatusBadRequest || !strings.Contains(body, "phases[0].count") {
			t.Errorf("bad job: %d %s", status, body)
		}
	},
	"answers of the store are lost": func(_ *testing.T, d *platformDeployment) {
		d.store.SetFaults(standin.PlatformFaults{LoseEvery: 3})
		for i := range 8 {
			d.submit("edge-"+fmt.Sprint(i%3), fmt.Sprintf("00000000000000b%d", i), twoSteps)
		}
		for i := range 8 {
			d.awaitState("edge-0", fmt.Sprintf("00000000000000b%d", i), "completed")
		}
	},
	"the store is unavailable while jobs run": func(t *testing.T, d *platformDeployment) {
		first := "00000000000000c1.0.0.0"
		d.submit("edge-0", "00000000000000c1", twoSteps)
		d.await("started", func() bool { return d.ledger.Running(first)+d.ledger.Done(first) > 0 })
		d.store.SetFaults(standin.PlatformFaults{Refuse: true})
		d.await("done", func() bool { return d.ledger.Done("00000000000000c1.0.1.3") == 1 })
		if status, _ := d.call(http.MethodPost, "edge-1", "00000000000000c2", twoSteps); status != http.StatusServiceUnavailable {
			t.Errorf("submission without a store: status %d", status)
		}
		d.store.SetFaults(standin.PlatformFaults{})
		d.awaitState("edge-1", "00000000000000c1", "completed")
	},
	"workers get no more than their capacity, which has shrunk": func(t *testing.T, d *platformDeployment) {
		d.submit("edge-0", "00000000000000f1", twoSteps)
		d.awaitState("edge-0", "00000000000000f1", "completed")
		d.setCapacity(1000)
		time.Sleep(settleTime)
		d.submit("edge-0", "00000000000000f2", manyTasks)
		d.awaitState("edge-0", "00000000000000f2", "completed")
		if most, fitting := d.mostRunning(), 2*len(d.workers); most > fitting {
			t.Errorf("%d tasks ran at a time, want at most the %d that fit", most, fitting)
		}
	},
	"every process is killed in turn": func(_ *testing.T, d *platformDeployment) {
		store := ""
		for i := range 3 {
			name := fmt.Sprintf("edge-%d", i)
			id := fmt.Sprintf("00000000000000d%d", i)
			d.submit(name, id, twoSteps)
			d.end(name, syscall.SIGKILL)
			d.start(name, store)
			d.awaitState(fmt.Sprintf("edge-%d", (i+1)%3), id, "completed")
		}
	},
	"every process is stopped gracefully in turn": func(_ *testing.T, d *platformDeployment) {
		for i := range 3 {
			name := fmt.Sprintf("edge-%d", i)
			id := fmt.Sprintf("00000000000000e%d", i)
			d.submit(name, id, twoSteps)
			d.end(name, syscall.SIGTERM)
			d.start(name, "")
			d.awaitState(fmt.Sprintf("edge-%d", (i+1)%3), id, "completed")
		}
	},
}

// TestPlatform runs jobs through three processes over the platform's protocol.
func TestPlatform(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "zinniashore")
	if output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	for name, test := range platformTests {
		t.Run(name, func(t *testing.T) {
			d := newPlatformDeployment(t, binary)
			test(t, d)
			for _, problem := range d.ledger.Problems() {
				t.Error(problem)
			}
		})
	}
}

// TestPlatformSettings checks that invalid settings are rejected with the file and the
// field before anything starts.
func TestPlatformSettings(t *testing.T) {
	tests := map[string]struct{ content, place string }{
		"not JSON":            {content: "{", place: "(whole file)"},
		"no name":             {content: `{}`, place: "node"},
		"unknown domain":      {content: `{"node":"a","zone":"x","zones":{"graz-a":"s"}}`, place: "zone"},
		"domain like a cell":  {content: `{"node":"a","zone":"x#1","zones":{"x#1":"s"}}`, place: "zones"},
		"name for an address": {content: `{"node":"a","zone":"x","zones":{"x":"s"},"listen":{"frontend":"host:1"}}`, place: "listen.frontend"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.json")
			if err := os.WriteFile(file, []byte(test.content), 0o600); err != nil {
				t.Fatal(err)
			}
			command := scheduleCommand{Settings: file}
			_, err := command.Run(t.Context(), io.Discard)
			if err == nil || !strings.Contains(err.Error(), file+": "+test.place) {
				t.Errorf("error %v, want one that names %s and %s", err, file, test.place)
			}
		})
	}
}

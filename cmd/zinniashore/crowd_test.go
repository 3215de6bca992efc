package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"zinniashore.example/standin"
)

const (
	// crowdMemoryMB and crowdDescriptors are limits.memory-mb and limits.max-fds in the settings of
	// TestCrowd.
	crowdMemoryMB    = 96
	crowdDescriptors = 500
	// crowdSize is the number of connections. Their bodies together exceed crowdMemoryMB, and the
	// connections exceed crowdDescriptors.
	crowdSize = 600
	// crowdHold is how long the connections stay open once their requests are sent.
	crowdHold = 4 * time.Second
	// crowdTimeout ends a write to a process that has stopped reading.
	crowdTimeout = 3 * time.Second

	crowdBodyBytes = 262144
	crowdPieces    = 8
)

// crowdClient sends one client's requests on a connection. The path may contain the number
// of the client.
type crowdClient func(connection net.Conn, path string)

func writeHead(w io.Writer, method, path, fields string) {
	_, _ = fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", method, path, platformHost, fields)
}

// sendBody returns a client that sends the first length bytes of a body in pieces.
func sendBody(body string, length, pieces int) crowdClient {
	return func(connection net.Conn, path string) {
		writeHead(connection, http.MethodPost, path, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		for i := range pieces {
			if _, err := io.WriteString(connection, body[length*i/pieces:length*(i+1)/pieces]); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// sendChunks sends a body of legal size in chunks, without the last one.
func sendChunks(connection net.Conn, path string) {
	writeHead(connection, http.MethodPost, path, "Transfer-Encoding: chunked\r\n")
	const chunk = crowdBodyBytes / crowdPieces
	for range crowdPieces {
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk)); err != nil {
			return
		}
	}
}

// sendPipelined sends requests and reads no answer.
func sendPipelined(connection net.Conn, path string) {
	var requests strings.Builder
	for range 2000 {
		writeHead(&requests, http.MethodGet, path, "")
	}
	_, _ = io.WriteString(connection, requests.String())
}

// sendHeader sends a header of many short fields without its end.
func sendHeader(connection net.Conn, path string) {
	var fields strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	_, _ = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: %s\r\n%s", path, platformHost, fields.String())
}

// sendSlowly sends a byte of the body at a time.
func sendSlowly(connection net.Conn, path string) {
	writeHead(connection, http.MethodPost, path, fmt.Sprintf("Content-Length: %d\r\n", crowdBodyBytes))
	for range 20 {
		if _, err := io.WriteString(connection, " "); err != nil {
			return
		}
		time.Sleep(crowdHold / 20)
	}
}

func shortFields(start, field, end string) string {
	return start + strings.Repeat(field+",", (crowdBodyBytes-len(start)-len(field)-len(end))/(len(field)+1)) + field + end
}

// crowdClients are the kinds of clients of TestCrowd.
func crowdClients() map[string]crowdClient {
	blank := strings.Repeat(" ", crowdBodyBytes)
	steps := shortFields(`{"phases":[`, `{}`, `]}`)
	dependencies := shortFields(`{"phases":[{"count":1,"after":[`, `0`, `]}]}`)
	return map[string]crowdClient{
		"bodies without the last byte":             sendBody(blank, crowdBodyBytes-1, 1),
		"bodies in pieces, without the last byte":  sendBody(blank, crowdBodyBytes-1, crowdPieces),
		"chunks without the last one":              sendChunks,
		"bodies far over the limit":                sendBody(strings.Repeat(blank, 16), 16*crowdBodyBytes, crowdPieces),
		"bodies of empty steps":                    sendBody(steps, len(steps), 1),
		"bodies of short dependencies":             sendBody(dependencies, len(dependencies), 1),
		"pipelined requests with answers not read": sendPipelined,
		"header of short fields without its end":   sendHeader,
		"bodies sent slowly":                       sendSlowly,
	}
}

// crowdDeployment is one process with low limits.
type crowdDeployment struct {
	*platformDeployment
	clients, readiness string // addresses
}

const crowdProcess = "edge-0"

func newCrowdDeployment(t *testing.T, binary string, memoryMB, descriptors int) *crowdDeployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := &platformDeployment{
		t: t, binary: binary, store: &standin.PlatformStore{}, ledger: &standin.PlatformLedger{},
		processes: map[string]*exec.Cmd{}, settings: map[string]string{}, callers: map[string]string{},
	}
	store, err := standin.Listen(ctx, "127.0.0.1:0", d.store)
	if err != nil {
		t.Fatal(err)
	}
	d.store.Put("op/config", []byte(platformConfiguration))
	worker, err := standin.Listen(ctx, "127.0.0.1:0", &standin.PlatformWorker{Length: 150 * time.Millisecond, Ledger: d.ledger})
	if err != nil {
		t.Fatal(err)
	}
	d.store.Put("servers/i-0", standin.PlatformRegistration(worker, "graz-a", "shop"))
	ports := freePorts(t)
	settings := platformSettings(crowdProcess, "graz-a", ports, 4, store)
	settings = strings.TrimSuffix(settings, "}") + fmt.Sprintf(`,"limits":{"memory-mb":%d,"max-fds":%d}}`, memoryMB, descriptors)
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	d.settings[crowdProcess], d.callers[crowdProcess] = file, fmt.Sprintf("127.0.0.1:%d", ports)
	d.start(crowdProcess, store)
	t.Cleanup(d.stopAll)
	return &crowdDeployment{platformDeployment: d, clients: d.callers[crowdProcess], readiness: fmt.Sprintf("127.0.0.1:%d", ports+1)}
}

// alive reports whether the process runs.
func (d *crowdDeployment) alive() bool {
	return d.processes[crowdProcess].Process.Signal(syscall.Signal(0)) == nil
}

// peakMemoryMB returns the largest resident memory that the process has had, in megabytes.
func (d *crowdDeployment) peakMemoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.processes[crowdProcess].Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		d.t.Fatal("the process has ended")
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		d.t.Fatal(err)
	}
	return kilobytes / 1024
}

func (d *crowdDeployment) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.processes[crowdProcess].Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	return len(entries)
}

// hold runs a crowd of clients and returns the largest number of descriptors that the process
// had meanwhile.
func (d *crowdDeployment) hold(client crowdClient, address, path string) int {
	var clients sync.WaitGroup
	ctx, end := context.WithCancel(context.Background())
	defer end()
	for i := range crowdSize {
		clients.Go(func() {
			connection, err := net.DialTimeout("tcp", address, crowdTimeout)
			if err != nil {
				return
			}
			defer connection.Close()
			_ = connection.SetDeadline(time.Now().Add(crowdHold + crowdTimeout))
			if strings.Contains(path, "%") {
				client(connection, fmt.Sprintf(path, 100+i))
			} else {
				client(connection, path)
			}
			<-ctx.Done()
		})
	}
	most := 0
	for stop := time.Now().Add(crowdHold); time.Now().Before(stop); time.Sleep(50 * time.Millisecond) {
		most = max(most, d.descriptors())
	}
	end()
	clients.Wait()
	return most
}

// buildCommand builds the command and returns its path.
func buildCommand(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "zinniashore")
	if output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return binary
}

// TestCrowd guards against clients that hold requests open until the process exceeds the memory
// or the descriptors of its VM, and against a process that does not recover from them.
func TestCrowd(t *testing.T) {
	binary := buildCommand(t)
	places := map[string]struct {
		path      string
		readiness bool
	}{
		"route":     {path: platformPrefix + "%016x"},
		"no route":  {path: "/elsewhere"},
		"readiness": {path: "/api/readiness", readiness: true},
	}
	for name, client := range crowdClients() {
		for place, target := range places {
			t.Run(name+" at "+place, func(t *testing.T) {
				d := newCrowdDeployment(t, binary, crowdMemoryMB, crowdDescriptors)
				d.submit(crowdProcess, "00000000000000a1", twoSteps)
				address := d.clients
				if target.readiness {
					address = d.readiness
				}
				descriptors := d.hold(client, address, target.path)
				if !d.alive() {
					t.Fatal("the process has ended")
				}
				memory := d.peakMemoryMB()
				t.Logf("%d MB, %d descriptors", memory, descriptors)
				if memory > crowdMemoryMB {
					t.Errorf("%d MB resident, the settings allow %d", memory, crowdMemoryMB)
				}
				if descriptors > crowdDescriptors {
					t.Errorf("%d descriptors, the settings allow %d", descriptors, crowdDescriptors)
				}
				d.submit(crowdProcess, "00000000000000a2", twoSteps)
			})
		}
	}
}

const (
	// smallVMMemoryMB and smallVMDescriptors are those of the platform's smallest VM.
	smallVMMemoryMB    = 184
	smallVMDescriptors = 4100
	// behavedClients is the number of clients that keep a connection open on it.
	behavedClients = 2500
)

// TestBehavedClients guards against limits that clients meet which keep connections open and
// submit jobs of a few kilobytes at the same time.
func TestBehavedClients(t *testing.T) {
	d := newCrowdDeployment(t, buildCommand(t), smallVMMemoryMB, smallVMDescriptors)
	d.submit(crowdProcess, "00000000000000a1", twoSteps)
	d.awaitState(crowdProcess, "00000000000000a1", "completed")
	connections := make([]*bufio.ReadWriter, behavedClients)
	for i := range connections {
		connection, err := net.Dial("tcp", d.clients)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		_ = connection.SetDeadline(time.Now().Add(platformWait))
		connections[i] = bufio.NewReadWriter(bufio.NewReader(connection), bufio.NewWriter(connection))
	}
	job := strings.Replace(twoSteps, "cane", strings.Repeat("cane", 1024), 1)
	requests := map[string]func(w io.Writer, i int){
		"state": func(w io.Writer, _ int) { writeHead(w, http.MethodGet, platformPrefix+"00000000000000a1", "") },
		"job": func(w io.Writer, i int) {
			writeHead(w, http.MethodPost, fmt.Sprintf(platformPrefix+"%016x", 4096+i), fmt.Sprintf("Content-Length: %d\r\nX-Deadline-Ms: 20000\r\n", len(job)))
			_, _ = io.WriteString(w, job)
		},
	}
	// batch is the number of requests that are sent at the same time.
	steps := []struct {
		request        string
		clients, batch int
	}{{"state", behavedClients, 50}, {"job", 300, 300}, {"state", behavedClients, 50}}
	for _, step := range steps {
		for first := 0; first < step.clients; first += step.batch {
			for i, connection := range connections[first : first+step.batch] {
				requests[step.request](connection, first+i)
				if err := connection.Flush(); err != nil {
					t.Fatal(err)
				}
			}
			for i, connection := range connections[first : first+step.batch] {
				answer, err := http.ReadResponse(connection.Reader, nil)
				if err != nil {
					t.Fatalf("%s of client %d: %v", step.request, first+i, err)
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				if _ = answer.Body.Close(); answer.StatusCode != http.StatusOK {
					t.Fatalf("%s of client %d: status %d", step.request, first+i, answer.StatusCode)
				}
			}
		}
	}
	if memory := d.peakMemoryMB(); memory > smallVMMemoryMB {
		t.Errorf("%d MB resident, the settings allow %d", memory, smallVMMemoryMB)
	} else {
		t.Logf("%d MB", memory)
	}
}

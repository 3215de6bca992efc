package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file in which a script writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(kind, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %-9s %s\n", time.Since(r.began).Seconds(), kind, fmt.Sprintf(format, arguments...))
}

// process is a process of the system.
type process struct {
	name, zone, frontend, readiness string
	settings                        string
	command                         *exec.Cmd
}

// site is a small deployment: the stand-ins and the processes of the system.
type site struct {
	record  *record
	folder  string
	program string
	store   *store
	storeAt string
	zones   []string
	// network is the part that the loopback addresses of the processes have in common.
	network   string
	minions   []*minion
	processes []*process
}

// The figures are those of Moka's site.
const (
	maxHoldMS  = 6000
	beatMS     = 1100
	stopTimeMS = 200
	finishS    = 14
	queueHost  = "rolls.example"
	queuePath  = "/sort/"
	service    = "finishing"
)

// freePorts returns a port of an address such that it and the next one are free.
func freePorts(ip string) int {
	for {
		first, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		port := first.Addr().(*net.TCPAddr).Port
		second, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+1))
		_ = first.Close()
		if err == nil {
			_ = second.Close()
			return port
		}
	}
}

func newSite(r *record, program string, zones []string) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{
		record: r, folder: folder, program: program, store: newStore(), zones: zones,
		network: fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250)),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store) }()
	s.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-sort", "host": queueHost, "prefix": queuePath, "type": "non_idempotent", "timeout-ms": 3000,
			"target-duration-ms": 1000, "priority": 2, "service": service, "max-attempts": 3, "stretch": 2.0,
		}},
		"services": []any{map[string]any{
			"name": service, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false,
			"admission-check": true, "standby": false,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return s, nil
}

// addMinion adds a minion to a zone.
func (s *site) addMinion(zone string, labels ...string) *minion {
	n := len(s.minions)
	m := &minion{
		id: fmt.Sprintf("i-%08x", 0x51a00+n), zone: zone, rack: fmt.Sprintf("r%d", n/8), labels: labels, service: service,
		cpu: 16000, memory: 64000, maxHold: maxHoldMS * time.Millisecond, stopTime: stopTimeMS * time.Millisecond,
		beat: beatMS * time.Millisecond, store: s.store, record: s.record,
	}
	s.minions = append(s.minions, m)
	m.start()
	return m
}

// addProcess starts a process of the system, as the deploy file says: target/zinniashore schedule.
func (s *site) addProcess(zone string) (*process, error) {
	ip := fmt.Sprintf("%s%d", s.network, len(s.processes)+1)
	served, ports := freePorts(ip), freePorts(ip)
	for ports-served <= 1 && served-ports <= 1 {
		ports = freePorts(ip)
	}
	p := &process{
		name: fmt.Sprintf("edge-%s-%d", zone, len(s.processes)+1), zone: zone,
		frontend:  fmt.Sprintf("%s:%d", ip, served),
		readiness: fmt.Sprintf("%s:%d", ip, served+1),
	}
	zones := map[string]string{}
	for _, z := range s.zones {
		zones[z] = "plaines"
	}
	settings := map[string]any{
		"node": p.name, "role": "entry", "machine-class": "edge", "serves": []string{"edge"}, "ip": ip,
		"zone": zone, "region": "plaines", "zones": zones,
		"listen":     map[string]any{"frontend": p.frontend, "readiness": p.readiness},
		"port-range": []int{ports, ports + 1}, "bootstrap": true,
		"limits":       map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"heartbeat-ms": beatMS, "orders": "rpc",
		"fault-tolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"contact-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 6, "max-hold-ms": maxHoldMS,
			"stop-timeout-ms": stopTimeMS, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": finishS, "status_s": 120,
		},
		"platform": map[string]any{"address": s.storeAt, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20},
	}
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	p.settings = filepath.Join(s.folder, p.name+".json")
	if err = os.WriteFile(p.settings, content, 0o600); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	return p, s.run(p)
}

func (s *site) run(p *process) error {
	log, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(s.program, "schedule")
	p.command.Env = []string{"ZINNIASHORE_NODE_FILE=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.record.add("process", "%s starts", p.name)
	return p.command.Start()
}

// signal sends a signal to a process and waits for its end if that is to end it.
func (s *site) signal(p *process, signal syscall.Signal) {
	s.record.add("process", "%s gets %v", p.name, signal)
	_ = p.command.Process.Signal(signal)
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		_ = p.command.Wait()
		s.record.add("process", "%s has ended", p.name)
		p.command = nil
	}
}

// stop ends all processes.
func (s *site) stop() {
	for _, p := range s.processes {
		if p.command != nil {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		}
	}
	_ = os.RemoveAll(s.folder)
}

// awaitReady waits until all processes are ready.
func (s *site) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, p := range s.processes {
		for {
			response, err := http.Get("http://" + p.readiness + "/api/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// request sends a request of a requester and records the answer.
func (s *site) request(p *process, method, path string, body any) (int, map[string]any) {
	return s.requestWithin(p, 3*time.Second, method, path, body)
}

// requestWithin is request by a requester that leaves after a time.
func (s *site) requestWithin(p *process, limit time.Duration, method, path string, body any) (int, map[string]any) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = bytes.NewReader(encoded)
		s.record.add("request", "%s %s to %s: %s", method, path, p.name, encoded)
	}
	request, err := http.NewRequest(method, "http://"+p.frontend+path, content)
	if err != nil {
		panic(err)
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: limit}
	response, err := client.Do(request)
	if err != nil {
		s.record.add("answer", "%s %s to %s: %v", method, path, p.name, err)
		return 0, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	s.record.add("answer", "%s %s to %s: %d %s", method, path, p.name, response.StatusCode, bytes.TrimSpace(text))
	var answered map[string]any
	_ = json.Unmarshal(text, &answered)
	return response.StatusCode, answered
}

// submit hands in a job; it retries, as a requester does, and reports whether it was accepted.
func (s *site) submit(p *process, id string, phases ...map[string]any) bool {
	return s.submitSpec(p, id, "ms=1000", phases...)
}

func (s *site) submitSpec(p *process, id, spec string, phases ...map[string]any) bool {
	for range 5 {
		status, _ := s.request(p, http.MethodPost, queuePath+id, map[string]any{"spec": spec, "phases": phases})
		if status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

func (s *site) state(p *process, id string) string {
	_, body := s.request(p, http.MethodGet, queuePath+id, nil)
	state, _ := body["state"].(string)
	return state
}

func (s *site) allRuns() []run {
	var all []run
	for _, m := range s.minions {
		all = append(all, m.runs()...)
	}
	return all
}

// holder returns the process that is registered as the holder of a zone's cell, or nil.
func (s *site) holder(zone string) *process {
	s.store.mu.Lock()
	value := s.store.items["zinniashore/holders/"+zone].Value
	s.store.mu.Unlock()
	for _, p := range s.processes {
		if bytes.Contains(value, []byte(p.name)) {
			return p
		}
	}
	return nil
}

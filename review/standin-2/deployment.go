package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	host       = "nony24.example"
	quick      = "/lohu930/"
	batch      = "/pufi791/"
	lasting    = "/pule252/"
	clientTime = 3 * time.Second
)

const configuration = `{"version":7,"routes":[` +
	`{"name":"r-3hwrr6x","host":"nony24.example","prefix":"/lohu930/","type":"non_idempotent","timeout-ms":3000,"target-duration-ms":250,"priority":0,"service":"huvo11a","max-attempts":3,"stretch":1.5},` +
	`{"name":"r-73d3zji","host":"nony24.example","prefix":"/pufi791/","type":"non_idempotent","timeout-ms":3000,"target-duration-ms":1000,"priority":2,"service":"huvo11a","max-attempts":3,"stretch":2.0},` +
	`{"name":"r-9n73hh2","host":"nony24.example","prefix":"/pule252/","type":"non_idempotent","timeout-ms":3000,"target-duration-ms":2500,"priority":0,"service":"huvo11a","max-attempts":2,"stretch":2.2}],` +
	`"services":[{"name":"huvo11a","health-path":"/health","max-conns":64,"protocol":"h1","tls":false,"admission-check":true,"standby":false}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// node is a machine of the system: one process of the deploy file's command.
type node struct {
	name, zone, settings, frontend, ready string
	logs                                  string
	process                               *exec.Cmd
	started                               time.Time
}

type deployment struct {
	folder, binary string
	log            *record
	store          *store
	works          *works
	nodes          []*node
	minions        []*minion
	listener       net.Listener
}

var zones = []string{"graz-a", "graz-b", "leoben-c"}

// newDeployment starts a store, the minions of each zone, in racks of eight, and the processes of each zone.
func newDeployment(binary string, log *record, nodes, minions int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, binary: binary, log: log, store: newStore(), works: &works{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.listener = listener
	go func() { _ = http.Serve(listener, d.store) }()
	d.store.put("op/config", []byte(configuration))
	for z, zone := range zones {
		for n := range minions {
			m := &minion{id: fmt.Sprintf("i-%d%03d", z, n), zone: zone, rack: fmt.Sprintf("r%d-%d", z, n/8), store: d.store, works: d.works, log: log}
			if err := m.boot(); err != nil {
				return nil, err
			}
			d.minions = append(d.minions, m)
		}
	}
	for _, zone := range zones {
		for n := range nodes {
			s, err := d.newNode(zone, n, listener.Addr().String())
			if err != nil {
				return nil, err
			}
			d.nodes = append(d.nodes, s)
		}
	}
	for _, n := range d.nodes {
		if err := d.start(n); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// freePorts returns the first of a number of free ports in a row.
func freePorts(count int) (int, error) {
	for range 200 {
		var listeners []net.Listener
		first, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		listeners = append(listeners, first)
		for n := 1; n < count && err == nil; n++ {
			var l net.Listener
			if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+n)); err == nil {
				listeners = append(listeners, l)
			}
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if err == nil {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", count)
}

func (d *deployment) newNode(zone string, number int, storeAddress string) (*node, error) {
	port, err := freePorts(20)
	if err != nil {
		return nil, err
	}
	n := &node{name: fmt.Sprintf("edge-%s-%d", zone, number+1), zone: zone}
	n.frontend, n.ready = fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+1)
	n.settings, n.logs = filepath.Join(d.folder, n.name+".json"), filepath.Join(d.folder, n.name+".log")
	settings := fmt.Sprintf(`{"node":%q,"role":"entry","machine-class":"edge","serves":["edge"],"ip":"127.0.0.1","zone":%q,"region":"steiermark",`+
		`"zones":{"graz-a":"steiermark","graz-b":"steiermark","leoben-c":"steiermark"},"listen":{"frontend":%q,"readiness":%q},`+
		`"port-range":[%d,%d],"seeds":[],"bootstrap":true,"fault-counted":false,`+
		`"limits":{"cpu-share":0.16,"cores":1,"memory-mb":284,"max-fds":4100,"link-mbps":1000.0,"disk-mb":0},"data-dir":null,"discovery":"platform",`+
		`"entry":"vip","heartbeat-ms":1500,"contracts":["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"],`+
		`"fault-tolerance":{"machines":2,"zones":1,"regions":0},"bounds":{"seed-lag-s":3,"addr-reuse-s":2,"contact-ms":3000,"ack-ms":4000,`+
		`"catch-up-s":4,"drain-ms":2000,"grace-s":6,"loss-slack-ms":200,"config-apply-ms":2000,"downgrade-slack-ms":250,"max-stretch-ms":5000,`+
		`"recovery-s":12,"max-hold-ms":10000,"stop-timeout-ms":900,"gang-timeout-ms":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,`+
		`"finish_s":14,"status_s":120,"remote-factor":3,"checkpoint-s":0.5,"restore-ms":100,"notice-ms":4500,"migrate-s":1.5,"maintenance-s":2,`+
		`"require-fencing":false,"lease-ms":3000,"thaw-ms":300,"pace-ms":100,"harm-ms":4000},"orders":"rpc",`+
		`"platform":{"address":%q,"form":"kv","writes-per-s":400,"reads-per-s":2000,"history-s":20,"max-value-bytes":1048576,"min-ttl-ms":1000}}`,
		n.name, zone, n.frontend, n.ready, port+2, port+17, storeAddress)
	return n, os.WriteFile(n.settings, []byte(settings), 0o600)
}

// start starts the process of a machine.
func (d *deployment) start(n *node) error {
	log, err := os.OpenFile(n.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command(d.binary, "schedule")
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "ZINNIASHORE_NODE_FILE=" + n.settings}
	n.process.Stdout, n.process.Stderr = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.started = time.Now()
	d.log.add("process %s starts", n.name)
	return n.process.Start()
}

// end sends a signal to the process of a machine and waits until it has ended.
func (d *deployment) end(n *node, signal syscall.Signal) {
	if n.process == nil {
		return
	}
	d.log.add("process %s gets %s", n.name, signal)
	_ = n.process.Process.Signal(signal)
	_ = n.process.Wait()
	n.process = nil
	d.log.add("process %s has ended", n.name)
}

// close ends all processes. It keeps the folder with the logs if KEEP is set.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.process != nil {
			_ = n.process.Process.Kill()
			_ = n.process.Wait()
			n.process = nil
		}
	}
	for _, m := range d.minions {
		m.crash()
	}
	_ = d.listener.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println(d.folder)
	}
}

// in returns the machines of a zone.
func (d *deployment) in(zone string) []*node {
	var found []*node
	for _, n := range d.nodes {
		if n.zone == zone {
			found = append(found, n)
		}
	}
	return found
}

// request sends a requester's call to a machine; status 0 is no answer.
func (d *deployment) request(n *node, method, path, body string) (int, string) {
	q, err := http.NewRequest(method, "http://"+n.frontend+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTime.Milliseconds()))
	client := http.Client{Timeout: clientTime, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(bytes.TrimSpace(content))
}

// call is request with a line in the record.
func (d *deployment) call(n *node, method, path, body string) (int, string) {
	status, content := d.request(n, method, path, body)
	d.log.add("%s %s %s %s -> %d %s", n.name, method, path, body, status, content)
	return status, content
}

// submit hands a job in, again after no answer, 502, 504, and after a refusal.
func (d *deployment) submit(n *node, prefix, id, body string) bool {
	for range 40 {
		if status, _ := d.call(n, http.MethodPost, prefix+id, body); status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// pending asks a machine for the number of pending jobs of a queue; false if it doesn't tell.
func (d *deployment) pending(n *node, prefix string) (int, bool) {
	status, content := d.call(n, http.MethodGet, prefix, "")
	var answer struct {
		Pending *int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(content), &answer) != nil || answer.Pending == nil {
		return 0, false
	}
	return *answer.Pending, true
}

// state asks a machine for the state of a job; empty if it doesn't tell.
func (d *deployment) state(n *node, path string) (int, string) {
	status, content := d.call(n, http.MethodGet, path, "")
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(content), &answer) != nil {
		return status, ""
	}
	return status, answer.State
}

// awaitReady waits until all machines are ready.
func (d *deployment) awaitReady() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range d.nodes {
			if answer, err := http.Get("http://" + n.ready + "/api/readiness"); err == nil {
				if answer.StatusCode == http.StatusOK {
					ready++
				}
				_ = answer.Body.Close()
			}
		}
		if ready == len(d.nodes) {
			return true
		}
	}
	return false
}

// holder returns the machine that the store names as the holder of a zone's cell, or nil. It is only used to
// choose which process gets a signal.
func (d *deployment) holder(zone string) *node {
	var message struct {
		Process string `json:"process"`
	}
	_ = json.Unmarshal(d.store.value("zinniashore/holders/"+zone), &message)
	for _, n := range d.nodes {
		if n.name == message.Process {
			return n
		}
	}
	return nil
}

// running returns the number of runs of a job on minions that are up.
func (d *deployment) running(job string) int {
	count := 0
	for _, m := range d.minions {
		m.mu.Lock()
		for task := range m.runs {
			if m.up && task[:len(job)] == job {
				count++
			}
		}
		m.mu.Unlock()
	}
	return count
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"zinniashore.example/standin"
)

// zones are the zones of the deployment, and edgesPerZone is how many machines each has: those of the small
// sites.
var zones = []string{"graz-a", "graz-b", "leoben-c"}

const edgesPerZone = 3

// play is a deployment and its stand-ins.
type play struct {
	record  *record
	trouble bool

	cancel  context.CancelFunc
	folder  string
	store   *standin.PlatformStore
	minions []*minion
	edges   []*edge
	ledger  *standin.PlatformLedger
	gangs   *standin.PlatformGangs
	jobs    jobBook
	// logged is how many events of the ledger are in the record.
	logged int
}

// edge is a machine of the system with its process.
type edge struct {
	name, zone, ip string
	ports          edgePorts
	command        *exec.Cmd
}

// edgePorts are the ports of a machine; those of the range follow the first one.
type edgePorts struct{ frontend, readiness, first int }

// start starts the store and the minions, writes the configuration and starts the processes.
func (p *play) start(configuration map[string]any, minions []*minion) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return err
	}
	p.folder = folder
	p.store, p.ledger = &standin.PlatformStore{}, &standin.PlatformLedger{}
	address, err := standin.Listen(ctx, "127.0.0.1:0", p.store)
	if err != nil {
		return err
	}
	p.minions = minions
	for _, m := range minions {
		if err := m.start(ctx, p); err != nil {
			return err
		}
	}
	if err := p.configure(configuration); err != nil {
		return err
	}
	for z, zone := range zones {
		for n := range edgesPerZone {
			e := &edge{name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone, ip: fmt.Sprintf("127.0.%d.%d", 90+z, 10+n)}
			if err := p.startEdge(e, address); err != nil {
				return err
			}
			p.edges = append(p.edges, e)
		}
	}
	return p.awaitReady()
}

// configure writes a configuration, as the operator does.
func (p *play) configure(configuration map[string]any) error {
	content, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	p.store.Put("op/config", content)
	return nil
}

// startEdge starts the process of a machine by the command of the deploy file.
func (p *play) startEdge(e *edge, store string) error {
	var err error
	if e.ports, err = freePorts(e.ip); err != nil {
		return err
	}
	content, err := json.Marshal(e.settings(store))
	if err != nil {
		return err
	}
	file := filepath.Join(p.folder, e.name+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(p.folder, e.name+".log"))
	if err != nil {
		return err
	}
	e.command = exec.Command("target/zinniashore", "schedule")
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "ZINNIASHORE_NODE_FILE=" + file}
	e.command.Stdout, e.command.Stderr = log, log
	return e.command.Start()
}

// freePorts returns ports of an address that are free now.
func freePorts(ip string) (edgePorts, error) {
	for range 1000 {
		first := 20000 + rand.IntN(10000)
		if ports := (edgePorts{frontend: first, readiness: first + 1, first: first + 2}); ports.free(ip) {
			return ports, nil
		}
	}
	return edgePorts{}, errors.New("no free ports at " + ip)
}

func (e edgePorts) free(ip string) bool {
	for port := e.frontend; port < e.first+4; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// settings returns the settings file of the process, with the figures of the small sites.
func (e *edge) settings(store string) map[string]any {
	places := map[string]string{}
	for _, zone := range zones {
		places[zone] = "steiermark"
	}
	return map[string]any{
		"node": e.name, "role": "entry", "machine-class": "edge", "serves": []string{"edge"}, "ip": e.ip, "zone": e.zone,
		"region": "steiermark", "zones": places,
		"listen":     map[string]any{"frontend": e.frontend(), "readiness": fmt.Sprintf("%s:%d", e.ip, e.ports.readiness)},
		"port-range": []int{e.ports.first, e.ports.first + 3}, "bootstrap": true, "heartbeat-ms": 1500, "orders": "rpc",
		"limits":   map[string]any{"cpu-share": 0.16, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000},
		"platform": map[string]any{"address": store, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "max-value-bytes": 1048576, "min-ttl-ms": 1000},
		"bounds": map[string]any{
			"contact-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 6, "config-apply-ms": 2000, "max-hold-ms": 10000,
			"stop-timeout-ms": 900, "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
			"status_s": 120, "remote-factor": 3, "checkpoint-s": 0.5, "restore-ms": 100, "lease-ms": 3000, "require-fencing": false,
		},
	}
}

func (e *edge) frontend() string { return fmt.Sprintf("%s:%d", e.ip, e.ports.frontend) }

// awaitReady waits until all machines are ready.
func (p *play) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range p.edges {
			answer, err := http.Get(fmt.Sprintf("http://%s:%d/api/readiness", e.ip, e.ports.readiness))
			if err != nil {
				continue
			}
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(p.edges) {
			p.record.printf("all %d machines are ready", ready)
			return nil
		}
	}
	return errors.New("the machines don't become ready")
}

// end ends all processes and stand-ins.
func (p *play) end() {
	for _, e := range p.edges {
		_ = e.command.Process.Kill()
		_ = e.command.Wait()
	}
	if p.cancel != nil {
		p.cancel()
	}
	if p.folder != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(p.folder)
	}
}

// logEvents writes the new events of the minions to the record.
func (p *play) logEvents() {
	events := p.ledger.Events()
	for _, e := range events[p.logged:] {
		if e.Kind == "acknowledged" || e.Kind == "lapsed" && e.Time.Before(p.record.began.Add(time.Second)) {
			continue
		}
		p.record.at(e.Time, "minion %s: %s %s run %d %s", e.Worker, e.Kind, e.Task, e.Run, e.Outcome)
	}
	p.logged = len(events)
}

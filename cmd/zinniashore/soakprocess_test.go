package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"zinniashore.example/standin"
)

// soakProcess is a process of the deployment, and its successors.
type soakProcess struct {
	name, domain, settings, clients, log string
	store                                soakLink
	refused                              atomic.Int64
	reads                                soakReads
	// port is the first of the ports of the process.
	port int
	// peers is the proxy at which the others reach the process, nil if they reach it directly.
	peers atomic.Pointer[soakPeers]
	// lost is true once the VM of the process is lost for good.
	lost atomic.Bool

	mu          sync.Mutex
	command     *exec.Cmd
	incarnation int
	exited      chan struct{}
	stopping    time.Time
	// logged is the size of the log when the process was started.
	logged int64
	killed bool
}

func (s *soak) addProcess(name, domain string) {
	p := &soakProcess{name: name, domain: domain, log: filepath.Join(s.logs, name+".log"), settings: filepath.Join(s.logs, name+".json")}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.refused.Load() > 0 {
			http.Error(w, "refused", http.StatusServiceUnavailable)
			return
		}
		p.reads.note(r)
		p.redirectPeers(r)
		s.store.ServeHTTP(w, r)
	})
	address, err := standin.Listen(s.ctx, "127.0.0.1:0", handler)
	if err != nil {
		s.t.Fatal(err)
	}
	proxy := newSoakProxy(s.t, address)
	proxy.link = func(net.Conn) (*soakLink, string) { return &p.store, name }
	go proxy.run(proxy.listener)
	ports := freePorts(s.t)
	p.port = ports
	p.clients = fmt.Sprintf("127.0.0.1:%d", ports)
	if err := os.WriteFile(p.settings, []byte(s.platformSettings(name, domain, ports, proxy.address())), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.processes = append(s.processes, p)
}

// platformSettings returns the settings of a process with the given first port.
func (s *soak) platformSettings(name, domain string, ports int, store string) string {
	settings := platformSettings(name, domain, ports, soakGrace, store)
	if s.planned {
		return plannedSettings(settings)
	}
	if !s.lostHolder && !s.lostDomain {
		return settings
	}
	return strings.Replace(settings, `"max-hold-ms":5000`, fmt.Sprintf(`"max-hold-ms":%d`, soakLostMaxLease.Milliseconds()), 1)
}

// start starts a process if none runs.
func (s *soak) start(p *soakProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil || s.ctx.Err() != nil {
		return
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Error(err)
		return
	}
	p.logged = logSize(p.log)
	command := soakCommand(s.binary, p.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		s.t.Error(err)
		return
	}
	_ = log.Close()
	p.incarnation++
	s.noteStart(fmt.Sprintf("%s/%d", p.name, p.incarnation))
	exited := make(chan struct{})
	p.command, p.exited, p.stopping, p.killed = command, exited, time.Time{}, false
	go func() {
		err := command.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		early := !p.stopping.IsZero() && isTerminated(command.ProcessState) && p.isSilent()
		if !p.killed && !early && (p.stopping.IsZero() || err != nil) {
			s.report(fmt.Sprintf("Fault: %s ended by itself: %v", p.name, err))
		}
		s.noteExit(p.stopping, p.killed)
		p.command = nil
		close(exited)
	}()
}

// isSilent reports whether the process has logged nothing: it neither handles signals nor
// listens yet. The caller holds the mutex.
func (p *soakProcess) isSilent() bool { return logSize(p.log) == p.logged }

// isTerminated reports whether SIGTERM ended a process that didn't handle it.
func isTerminated(state *os.ProcessState) bool {
	status, ok := state.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// logSize returns the size of a log in bytes.
func logSize(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.Size()
}

// signal sends a signal to a process, if it runs, and returns the channel that is closed
// when it ends.
func (s *soak) signal(p *soakProcess, signal syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	switch signal {
	case syscall.SIGHUP:
		if p.isSilent() {
			return p.exited
		}
	case syscall.SIGKILL:
		p.killed = true
	case syscall.SIGTERM:
		if p.stopping.IsZero() {
			p.stopping = time.Now()
			s.noteStop(fmt.Sprintf("%s/%d", p.name, p.incarnation))
		}
	}
	// The process may have ended since; then there is nothing to signal.
	_ = p.command.Process.Signal(signal)
	return p.exited
}

func (s *soak) end() {
	for _, p := range s.processes {
		<-s.signal(p, syscall.SIGKILL)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		w.stop()
	}
}

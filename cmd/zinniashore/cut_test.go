package main_test

import (
	"io"
	"net"
	"os/exec"
	"strings"
	"sync"
	"testing"
)

// relay forwards TCP connections to an address until it is cut.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close(); r.setCut(true) })
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil || !r.track(near, far) {
			_ = near.Close()
			continue
		}
		go func() { _, _ = io.Copy(far, near); _ = far.Close() }()
		go func() { _, _ = io.Copy(near, far); _ = near.Close() }()
	}
}

func (r *relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return false
	}
	r.conns = append(r.conns, conns...)
	return true
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for _, conn := range r.conns {
		_ = conn.Close()
	}
	r.conns = nil
}

// TestFailureDomainCutWithOperatorsRacing disconnects the entry VMs of graz-b from the
// platform's store while two operators change the same parameter. It checks that no
// change is accepted before graz-b runs it, that one of the operators gets a conflict,
// and that graz-b continues to serve.
func TestFailureDomainCutWithOperatorsRacing(t *testing.T) {
	s := newPlatform(t)
	link := newRelay(t, s.platform.address("store"))
	s.stores["graz-b"] = link.listener.Addr().String()
	s.start(t, "graz-a", "graz-b")
	s.startShop(t)
	if status := s.operate(t, "status"); strings.Contains(status, "quota of stockwerk: 0 of") {
		t.Errorf("running instances are not counted against the quota:\n%s", status)
	}
	link.setCut(true)
	var racing sync.WaitGroup
	outputs := make([]string, 2)
	for i, instances := range []string{"2", "6"} {
		racing.Go(func() {
			output, _ := exec.Command(binary, "apply", "--organisation", "stockwerk", "--set", "cane-shop.instances="+instances,
				"--revision", "1", "--server", s.entries[0].address("administration"), "--token", token).CombinedOutput()
			outputs[i] = string(output)
		})
	}
	racing.Wait()
	both := strings.Join(outputs, "")
	if strings.Contains(both, "accepted") || strings.Count(both, "pending") != 1 || strings.Count(both, "conflict") != 1 {
		t.Errorf("operators got these answers, want one pending and one conflict:\n%s", both)
	}
	if !strings.Contains(both, "graz-b") {
		t.Errorf("the answers don't name the failure domain that is cut off:\n%s", both)
	}
	report := s.loadTo(t, s.entries[1:], func() {})
	s.check(t, report)
	link.setCut(false)
	eventually(t, "change to be accepted", func() bool {
		return strings.Contains(s.operate(t, "status"), "failure domain graz-b: revision 2")
	})
}

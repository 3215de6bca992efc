package claimer_test

import (
	"testing"
	"time"
)

// takeoverTests are the cases of TestTakeover: how the only process of the cell's failure domain
// ends, and whether one of another failure domain claims the cell.
var takeoverTests = map[string]struct {
	// released is true if the process releases the cell, alive if it answers that it holds it.
	released, alive bool
	withWorkers     bool
	// unbounded is true if nothing bounds how long the process acts on while it is cut off.
	unbounded bool
	// takenOver is true if the cell is claimed, notBefore a time after its end.
	takenOver bool
	notBefore time.Duration
}{
	"it leaves":                              {released: true, takenOver: true},
	"it is lost":                             {withWorkers: true, takenOver: true},
	"the failure domain is lost, or cut off": {takenOver: true, notBefore: 5500 * time.Millisecond},
	"the failure domain of an earlier build is lost": {unbounded: true},
	"the store refuses it, it answers peers":         {withWorkers: true, alive: true},
	"the failure domain is cut off from the store":   {alive: true},
}

// TestTakeover guards against a cell that nobody holds: only processes of its own failure domain
// claimed it, and they had all left, or were lost with all workers. A cell whose holder may be cut off is left to it
// until its authority is about to end.
func TestTakeover(t *testing.T) {
	for name, test := range takeoverTests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, _, address := newHarness(t)
			h.domains = map[string]string{"edge-9": "graz-b"}
			h.alive = map[string]bool{"edge-1": test.alive}
			h.withWorkers.Store(test.withWorkers)
			silent := make(chan struct{})
			h.silence(address, "edge-1", silent)
			if test.unbounded {
				h.isolation = map[string]time.Duration{"edge-1": 0}
			}
			stop := h.start(t, "edge-1", address)
			receive(t, h.began)
			h.start(t, "edge-9", address)
			h.awaitKnown(t, "edge-9", "edge-1")
			ended := time.Now()
			if test.released {
				stop()
			} else {
				close(silent)
				expireClaim(t, address)
			}
			expectTakeover(t, h, test.takenOver)
			if after := time.Since(ended); after < test.notBefore {
				t.Errorf("the cell is claimed %v after its holder's end, want %v at least", after, test.notBefore)
			}
		})
	}
}

// expectTakeover fails unless edge-9 claims the cell, in time, exactly if it is to.
func expectTakeover(t *testing.T, h *harness, takenOver bool) {
	t.Helper()
	select {
	case next := <-h.began:
		if !takenOver || next.process != "edge-9" {
			t.Errorf("%s claims the cell", next.process)
		}
	case <-time.After(8 * time.Second):
		if takenOver {
			t.Error("no process claims the cell within 8 s")
		}
	}
}

// TestRestartedProcessFirst guards against a process of another failure domain that claims a cell
// while the processes of the cell's own are restarted.
func TestRestartedProcessFirst(t *testing.T) {
	t.Parallel()
	h, _, address := newHarness(t)
	h.domains = map[string]string{"edge-9": "graz-b"}
	h.withWorkers.Store(true)
	stop := h.start(t, "edge-1", address)
	receive(t, h.began)
	h.start(t, "edge-9", address)
	h.awaitKnown(t, "edge-9", "edge-1")
	stop()
	time.Sleep(2 * time.Second)
	h.start(t, "edge-1", address)
	if next := receive(t, h.began); next.process != "edge-1" {
		t.Errorf("%s claims the cell, want the restarted edge-1", next.process)
	}
}

// TestReturnFromOutside guards against a cell that stays with a process of another failure domain
// although one of its own is back.
func TestReturnFromOutside(t *testing.T) {
	t.Parallel()
	h, _, address := newHarness(t)
	h.domains = map[string]string{"edge-9": "graz-b"}
	stop := h.start(t, "edge-1", address)
	receive(t, h.began)
	h.start(t, "edge-9", address)
	h.awaitKnown(t, "edge-9", "edge-1")
	stop()
	outside := receive(t, h.began)
	h.start(t, "edge-2", address)
	if next := receive(t, h.began); next.process != "edge-2" || next.epoch <= outside.epoch {
		t.Errorf("after %+v came %+v, want edge-2 with a higher epoch", outside, next)
	}
	for ended := receive(t, h.ended); ended.process != "edge-9"; ended = receive(t, h.ended) {
	}
}

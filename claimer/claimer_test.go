package claimer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/claimer"
	"zinniashore.example/platform"
	"zinniashore.example/standin"
)

const waitLimit = 15 * time.Second

// harness runs the claimers of several processes and reports the terms that they begin
// and end.
type harness struct {
	began chan term
	ended chan term
	// alive are the processes that answer that they still hold the cell, unanswered the calls that a process
	// hasn't answered.
	alive      map[string]bool
	unanswered map[string]int
	// wrapStore returns the store of a process, if set.
	wrapStore func(process string) claimer.Store
	claimers  map[string]*claimer.Claimer
	// domains are the failure domains of the processes; "graz-a" if not set. withWorkers is true
	// if the registry lists the workers of the cell.
	domains     map[string]string
	withWorkers atomic.Bool
	// processors is how many processors the processes have; 0 is unknown.
	processors map[string]float64
	// isolation is how long processes act while they are cut off, if it isn't testIsolation.
	isolation map[string]time.Duration
}

// awaitKnown waits until a process knows who holds the cell.
func (h *harness) awaitKnown(t *testing.T, process, holder string) {
	t.Helper()
	limit := time.Now().Add(waitLimit)
	for {
		if known, _ := h.claimers[process].Holder("graz-a"); known.Process == holder {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("%s does not know that %s holds the cell", process, holder)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

type term struct {
	process string
	epoch   int64
	// earlier are the earlier holders that may still act.
	earlier []claimer.EarlierHolder
	// leases is what the holder before has told of its workers.
	leases claimer.Leases
}

func (h *harness) start(t *testing.T, process, address string) context.CancelFunc {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var store claimer.Store = platform.NewStore(address)
	if h.wrapStore != nil {
		store = h.wrapStore(process)
	}
	domain, outside := h.domains[process]
	if !outside {
		domain = "graz-a"
	}
	isolation, set := h.isolation[process]
	if !set {
		isolation = testIsolation
	}
	c := &claimer.Claimer{
		Store: store, Clock: clockwork.NewRealClock(),
		Prefix: "holders/", TermPrefix: "terms/", HomeCells: []string{domain},
		Self:       claimer.Holder{Process: process, FailureDomain: domain, Address: "127.0.0.1:1", Incarnation: process + "/" + time.Now().String(), Processors: h.processors[process], FullLeaseAge: testFullLeaseAge, MaxIsolation: isolation},
		HasWorkers: func(context.Context, string) bool { return h.withWorkers.Load() },
		Hold: func(ctx context.Context, cell string, held claimer.Term) error {
			if cell != "graz-a" {
				<-ctx.Done()
				return nil
			}
			h.began <- term{process, held.Epoch, held.Earlier, held.Leases}
			<-ctx.Done()
			h.ended <- term{process, held.Epoch, held.Earlier, held.Leases}
			return nil
		},
		Leases:     func(string) claimer.Leases { return testLeases },
		Eligible:   func() bool { return true },
		Holds:      func(_ context.Context, holder claimer.Holder, _ string) bool { return h.alive[holder.Process] },
		Unanswered: func(holder claimer.Holder) int { return h.unanswered[holder.Process] },
	}
	if outside {
		c.OtherCells = []string{"graz-a"}
	}
	if h.claimers == nil {
		h.claimers = map[string]*claimer.Claimer{}
	}
	h.claimers[process] = c
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := c.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

func receive(t *testing.T, terms chan term) term {
	t.Helper()
	select {
	case h := <-terms:
		return h
	case <-time.After(waitLimit):
		t.Fatal("no term began or ended")
		return term{}
	}
}

func newHarness(t *testing.T) (*harness, *standin.PlatformStore, string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store := &standin.PlatformStore{}
	address, err := standin.Listen(ctx, "127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{began: make(chan term, 10), ended: make(chan term, 10)}, store, address
}

func TestGiveUp(t *testing.T) {
	h, _, address := newHarness(t)
	stops := map[string]context.CancelFunc{
		"edge-1": h.start(t, "edge-1", address),
		"edge-2": h.start(t, "edge-2", address),
	}
	first := receive(t, h.began)
	stops[first.process]()
	second := receive(t, h.began)
	if second.process == first.process || second.epoch <= first.epoch {
		t.Errorf("after %+v came %+v, want another process with a higher epoch", first, second)
	}
}

func TestHolderOutlivesItsLease(t *testing.T) {
	h, store, address := newHarness(t)
	h.alive = map[string]bool{"edge-1": true}
	h.start(t, "edge-1", address)
	first := receive(t, h.began)
	store.SetFaults(standin.PlatformFaults{Refuse: true})
	time.Sleep(3500 * time.Millisecond)
	store.SetFaults(standin.PlatformFaults{})
	h.start(t, "edge-2", address)
	select {
	case ended := <-h.ended:
		t.Errorf("%+v ended although no other process had begun a term", ended)
	case began := <-h.began:
		t.Errorf("%+v began beside %+v", began, first)
	case <-time.After(2 * time.Second):
	}
}

// TestHolderReturns checks that after an outage in which the holder's registration
// expired, the cell stays with a holder that still has its workers, even if that
// holder notices late that the store is back.
func TestHolderReturns(t *testing.T) {
	tests := map[string]struct {
		alive       bool
		late        time.Duration
		wantAnother bool
	}{
		"it has its workers": {alive: true, late: 500 * time.Millisecond},
		"it doesn't answer":  {late: 5 * time.Second, wantAnother: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, store, address := newHarness(t)
			h.alive = map[string]bool{"edge-1": test.alive}
			outageEnded := make(chan struct{})
			h.wrapStore = func(process string) claimer.Store {
				real := platform.NewStore(address)
				if process == "edge-1" {
					return delayedStore{Store: real, delay: test.late, outageEnded: outageEnded}
				}
				return real
			}
			h.start(t, "edge-1", address)
			first := receive(t, h.began)
			h.start(t, "edge-2", address)
			h.awaitKnown(t, "edge-2", first.process)
			store.SetFaults(standin.PlatformFaults{Refuse: true})
			time.Sleep(3500 * time.Millisecond)
			close(outageEnded)
			store.SetFaults(standin.PlatformFaults{})
			select {
			case began := <-h.began:
				if !test.wantAnother {
					t.Errorf("%+v began beside %+v", began, first)
				}
			case <-time.After(2500 * time.Millisecond):
				if test.wantAnother {
					t.Error("no process claimed the cell of a holder that does not return")
				}
			}
		})
	}
}

// delayedStore delays the calls of leases once outageEnded is closed, like a
// connection that has to detect that the store is back.
type delayedStore struct {
	claimer.Store
	delay       time.Duration
	outageEnded chan struct{}
}

func (s delayedStore) Grant(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	s.wait()
	return s.Store.Grant(ctx, ttl)
}

func (s delayedStore) Renew(ctx context.Context, lease int64) error {
	s.wait()
	return s.Store.Renew(ctx, lease)
}

func (s delayedStore) wait() {
	select {
	case <-s.outageEnded:
		time.Sleep(s.delay)
	default:
	}
}

// TestStrongestProcessClaims guards against a cell of many workers that goes to a process with
// a small part of a processor, and whose leases expire as that one is behind, while one that
// is as strong as the last holder could claim it.
func TestStrongestProcessClaims(t *testing.T) {
	for name, strong := range map[string]string{"first": "edge-20", "second": "edge-21", "third": "edge-22", "fourth": "edge-23"} {
		t.Run(name, func(t *testing.T) {
			h, _, address := newHarness(t)
			h.processors = map[string]float64{"edge-1": 0.8, strong: 0.8}
			for _, weak := range []string{"edge-2", "edge-3", "edge-4", "edge-5"} {
				h.processors[weak] = 0.11
			}
			stop := h.start(t, "edge-1", address)
			receive(t, h.began)
			for process := range h.processors {
				if process != "edge-1" {
					h.start(t, process, address)
					h.awaitKnown(t, process, "edge-1")
				}
			}
			stop()
			if next := receive(t, h.began); next.process != strong {
				t.Errorf("%s with %v processors claims the cell, want %s", next.process, h.processors[next.process], strong)
			}
		})
	}
}

// TestWeaknessDelay checks that no process waits for a stronger one that it doesn't know of,
// and that the weakest waits for a bounded time.
func TestWeaknessDelay(t *testing.T) {
	tests := map[string]struct {
		strongest, own float64
		least, most    time.Duration
	}{
		"as strong as the strongest":  {strongest: 0.11, own: 0.11},
		"stronger than any so far":    {strongest: 0.11, own: 0.8},
		"no holder is known":          {own: 0.11},
		"own processors aren't known": {strongest: 0.8},
		"half as strong":              {strongest: 0.8, own: 0.4, least: 40 * time.Millisecond, most: 100 * time.Millisecond},
		"a seventh":                   {strongest: 0.8, own: 0.11, least: 250 * time.Millisecond, most: 400 * time.Millisecond},
		"a hundredth":                 {strongest: 0.8, own: 0.008, least: 250 * time.Millisecond, most: 400 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := claimer.WeaknessDelay(test.own, test.strongest); got < test.least || got > test.most {
				t.Errorf("the claim is delayed by %v, want %v to %v", got, test.least, test.most)
			}
		})
	}
}

// TestWeakProcessClaims checks that a process that is much weaker than the last holder claims
// the cell if it is alone.
func TestWeakProcessClaims(t *testing.T) {
	h, _, address := newHarness(t)
	h.processors = map[string]float64{"edge-1": 0.8, "edge-2": 0.01}
	stop := h.start(t, "edge-1", address)
	receive(t, h.began)
	h.start(t, "edge-2", address)
	h.awaitKnown(t, "edge-2", "edge-1")
	stop()
	if next := receive(t, h.began); next.process != "edge-2" {
		t.Errorf("%s claims the cell, want edge-2", next.process)
	}
}

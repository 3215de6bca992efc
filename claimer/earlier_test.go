package claimer_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"zinniashore.example/claimer"
	"zinniashore.example/platform"
)

// expireClaim removes the holder key as the end of its store lease does.
func expireClaim(t *testing.T, address string) {
	t.Helper()
	if _, err := platform.NewStore(address).Commit(t.Context(), platform.Transaction{Remove: []string{"holders/graz-a"}}); err != nil {
		t.Fatal(err)
	}
}

// silentStore stops serving a process once it is silent.
type silentStore struct {
	claimer.Store
	silent chan struct{}
}

func (s *silentStore) call(ctx context.Context) error {
	select {
	case <-s.silent:
		<-ctx.Done()
		return ctx.Err()
	default:
		return nil
	}
}

// silence makes the store at an address silent to a process once a channel is closed.
func (h *harness) silence(address, silenced string, silent chan struct{}) {
	h.wrapStore = func(process string) claimer.Store {
		store := platform.NewStore(address)
		if process == silenced {
			return &silentStore{Store: store, silent: silent}
		}
		return store
	}
}

// Renew implements claimer.Store.
func (s *silentStore) Renew(ctx context.Context, lease int64) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	return s.Store.Renew(ctx, lease)
}

// Grant implements claimer.Store.
func (s *silentStore) Grant(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	if err := s.call(ctx); err != nil {
		return 0, 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

// earlierTests are the cases of TestEarlierHolders: how the holder edge-1 ends, and whether the term
// of edge-2 names it.
var earlierTests = map[string]struct {
	end   func(t *testing.T, stop context.CancelFunc, silent chan struct{}, address string)
	named []string
	// leases are the leases of that term.
	leases claimer.Leases
}{
	"released": {
		end: func(_ *testing.T, stop context.CancelFunc, _ chan struct{}, _ string) { stop() },
		leases: claimer.Leases{
			Workers:          map[string]time.Duration{"w1": 0, "w2": 1500 * time.Millisecond, "w3": 2 * time.Millisecond},
			EarlierProcesses: []claimer.ProcessLease{{Worker: "w4", Boot: 7, Left: 2 * time.Millisecond}},
			Runs:             testRuns,
		},
	},
	"silent": {
		end: func(t *testing.T, _ context.CancelFunc, silent chan struct{}, address string) {
			close(silent)
			expireClaim(t, address)
		},
		named: []string{"edge-1"},
	},
}

// TestEarlierHolders guards against a new holder that takes an earlier one for ended although it may
// still act, or that can't know that it has ended although it has released the cell.
func TestEarlierHolders(t *testing.T) {
	for name, test := range earlierTests {
		t.Run(name, func(t *testing.T) {
			h, _, address := newHarness(t)
			silent := make(chan struct{})
			h.silence(address, "edge-1", silent)
			stop := h.start(t, "edge-1", address)
			receive(t, h.began)
			h.start(t, "edge-2", address)
			h.awaitKnown(t, "edge-2", "edge-1")
			test.end(t, stop, silent, address)
			second := receive(t, h.began)
			if second.process != "edge-2" {
				t.Fatalf("%s holds the cell, want edge-2", second.process)
			}
			var named []string
			for _, earlier := range second.earlier {
				named = append(named, earlier.Process)
			}
			if !slices.Equal(named, test.named) {
				t.Errorf("the term names the earlier holders %q, want %q", named, test.named)
			}
			if !maps.Equal(second.leases.Workers, test.leases.Workers) || !slices.Equal(second.leases.EarlierProcesses, test.leases.EarlierProcesses) {
				t.Errorf("the term has the leases %v, want %v", second.leases, test.leases)
			}
			if !maps.EqualFunc(second.leases.Runs, test.leases.Runs, slices.Equal) {
				t.Errorf("the term has the runs %v, want %v", second.leases.Runs, test.leases.Runs)
			}
			for _, earlier := range second.earlier {
				if earlier.MaxIsolation != testIsolation {
					t.Errorf("longest isolation of %s = %v, want %v", earlier.Process, earlier.MaxIsolation, testIsolation)
				}
				if earlier.FullLeaseAge != testFullLeaseAge {
					t.Errorf("full lease age of %s = %v, want %v", earlier.Process, earlier.FullLeaseAge, testFullLeaseAge)
				}
			}
		})
	}
}

// testLeases is what the holders of these tests tell of their workers with a release, in which parts of a
// millisecond are rounded up.
var testLeases = claimer.Leases{
	Workers:          map[string]time.Duration{"w1": 0, "w2": 1500 * time.Millisecond, "w3": 1001 * time.Microsecond},
	EarlierProcesses: []claimer.ProcessLease{{Worker: "w4", Boot: 7, Left: 1001 * time.Microsecond}},
	Runs:             testRuns,
}

// testRuns are the runs that these holders tell of: that nothing runs on a worker differs from that nothing is told of it.
var testRuns = map[string][]claimer.Task{"w1": nil, "w2": {{Job: "a1", Index: 3}, {Job: "a1", Occurrence: 1, Step: 2}}}

// testFullLeaseAge is the FullLeaseAge of the processes of these tests.
const testFullLeaseAge = 500 * time.Millisecond

// testIsolation is the MaxIsolation of the processes of these tests.
const testIsolation = 7500 * time.Millisecond

// TestEarlierIsolation guards against a holder that is taken for ended although nothing bounds how long it acts.
func TestEarlierIsolation(t *testing.T) {
	bounded := claimer.EarlierHolder{Holder: claimer.Holder{Process: "edge-1", MaxIsolation: testIsolation}}
	longer := claimer.EarlierHolder{Holder: claimer.Holder{Process: "edge-2", MaxIsolation: 2 * testIsolation}}
	tests := map[string]struct {
		term claimer.Term
		want time.Duration
	}{
		"all are bounded":              {term: claimer.Term{Earlier: []claimer.EarlierHolder{bounded, longer, bounded}}, want: 2 * testIsolation},
		"one is of an earlier build":   {term: claimer.Term{Earlier: []claimer.EarlierHolder{bounded, {}}}},
		"there may be further holders": {term: claimer.Term{Earlier: []claimer.EarlierHolder{bounded}, EarlierUnknown: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.term.EarlierIsolation(); got != test.want {
				t.Errorf("EarlierIsolation() = %v, want %v", got, test.want)
			}
		})
	}
}

// TestEarlierFullLeaseAge guards against two runs of a task: a new holder takes the leases of an earlier
// build, which don't count from its newest confirmation, for expired too early.
func TestEarlierFullLeaseAge(t *testing.T) {
	const unknown = 2500 * time.Millisecond
	told := claimer.EarlierHolder{Holder: claimer.Holder{Process: "edge-1", FullLeaseAge: testFullLeaseAge}}
	silent := claimer.EarlierHolder{Holder: claimer.Holder{Process: "edge-2"}}
	tests := map[string]struct {
		term claimer.Term
		want time.Duration
	}{
		"all have ended":               {},
		"each holder reports its own":  {term: claimer.Term{Earlier: []claimer.EarlierHolder{told}}, want: testFullLeaseAge},
		"one is of an earlier build":   {term: claimer.Term{Earlier: []claimer.EarlierHolder{told, silent}}, want: unknown},
		"there may be further holders": {term: claimer.Term{Earlier: []claimer.EarlierHolder{told}, EarlierUnknown: true}, want: unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.term.EarlierFullLeaseAge(unknown); got != test.want {
				t.Errorf("EarlierFullLeaseAge() = %v, want %v", got, test.want)
			}
		})
	}
}

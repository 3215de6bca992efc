package zinniashore

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/archiver"
	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/partitioner"
	"zinniashore.example/platform"
	"zinniashore.example/relayer"
	"zinniashore.example/standin"
)

// testRunners are the runners of the cells that a process holds.
type testRunners map[string]*dispatcher.Runner

func (r testRunners) Runner(cell string) *dispatcher.Runner { return r[cell] }

// TestPendingOfUnknownCell guards against a count of pending jobs that leaves a cell out without a word: its holder isn't
// known, or this process has just claimed it and hasn't loaded its jobs. A cell without jobs needs no holder.
func TestPendingOfUnknownCell(t *testing.T) {
	unloaded := dispatcher.NewRunner(dispatcher.NewCell("graz-a", 1, dispatcher.Limits{}, nil), clockwork.NewRealClock(), nil, nil)
	tests := map[string]struct {
		runners testRunners
		// jobs is true if the store has a job in the cell, away if it doesn't answer.
		jobs, away bool
		counted    bool
	}{
		"it has jobs, no holder was ever seen": {jobs: true},
		"no holder was ever seen, no store":    {away: true},
		"it has never had a holder or jobs":    {counted: true},
		"its jobs aren't loaded":               {runners: testRunners{"graz-a": unloaded}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			store := &standin.PlatformStore{}
			address, err := standin.Listen(t.Context(), "127.0.0.1:0", store)
			if err != nil {
				t.Fatal(err)
			}
			if test.jobs {
				store.Put(archiver.JobPrefix("graz-a")+"00000000000000a1", []byte("{}"))
			}
			store.SetFaults(standin.PlatformFaults{Refuse: test.away})
			partition := &sharedPartition{}
			partition.set(partitioner.Partition{})
			r := &jobRouter{
				clock: clockwork.NewRealClock(), failureDomain: "graz-a", failureDomains: []string{"graz-a"}, partition: partition, claimer: &claimer.Claimer{},
				heldCells: test.runners, peers: &relayer.Client{},
				archiver: &archiver.Archiver{Store: platform.NewStore(address)},
			}
			if count, err := r.Pending(ctx, "orders"); (err == nil) != test.counted || count != 0 {
				t.Errorf("Pending() = %d, %v, want a count: %v", count, err, test.counted)
			}
		})
	}
}

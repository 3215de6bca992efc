package zinniashore

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/partitioner"
	"zinniashore.example/relayer"
)

// TestPendingOfUnknownCell guards against a count of pending jobs that leaves a cell out without a word: its holder isn't
// known, or this process has just claimed it and hasn't loaded its jobs.
func TestPendingOfUnknownCell(t *testing.T) {
	unloaded := dispatcher.NewRunner(dispatcher.NewCell("graz-a", 1, dispatcher.Limits{}, nil), clockwork.NewRealClock(), nil, unreachableArchive{})
	tests := map[string]map[string]heldCell{
		"no holder was ever registered": nil,
		"its jobs aren't loaded":        {"graz-a": {runner: unloaded, epoch: 1}},
	}
	for name, runners := range tests {
		t.Run(name, func(t *testing.T) {
			partition := &sharedPartition{}
			partition.set(partitioner.Partition{})
			r := &jobRouter{
				failureDomain: "graz-a", failureDomains: []string{"graz-a"}, partition: partition, claimer: &claimer.Claimer{},
				heldCells: &heldCells{clock: clockwork.NewRealClock(), runners: runners}, peers: &relayer.Client{},
			}
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			if count, err := r.Pending(ctx, "orders"); err == nil {
				t.Errorf("Pending() = %d, want an error", count)
			}
		})
	}
}

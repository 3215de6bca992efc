package zinniashore

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/claimer"
)

// TestEndOfSkippedHolders guards against two runs of a task: holders of terms before that of the last active one
// counted as ended before the claim, though they may act for a while after that one has become active.
func TestEndOfSkippedHolders(t *testing.T) {
	clock := clockwork.NewFakeClock()
	const activeEpoch = 7
	tests := map[string]struct {
		earlier []claimer.EarlierHolder
		want    time.Duration
	}{
		"all have released the cell":         {},
		"one of a term before may still act": {earlier: []claimer.EarlierHolder{{Epoch: activeEpoch - 2}}, want: time.Second + maxConfirmationAge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			claimed := clock.Now()
			clock.Advance(time.Second)
			e := &earlierHolders{clock: clock, term: claimer.Term{Epoch: activeEpoch + 1, ClaimedAt: claimed, Earlier: test.earlier}}
			at, ended := e.Ended(t.Context(), activeEpoch)
			if got := at.Sub(claimed); got != test.want || !ended {
				t.Errorf("ended %v after the claim, %v, want %v, true", got, ended, test.want)
			}
		})
	}
}

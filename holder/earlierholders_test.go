package holder

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/historian"
	"zinniashore.example/relayer"
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
			end, ended := e.Ended(t.Context(), dispatcher.EarlierRecords{ActiveEpoch: activeEpoch})
			if got := end.At.Sub(claimed); got != test.want || !ended {
				t.Errorf("ended %v after the claim, %v, want %v, true", got, ended, test.want)
			}
		})
	}
}

// TestEndOfSilentHolders guards against a cell that never acts again as a lost holder never says that it has ended, and
// against a holder that is taken for ended while it may act.
func TestEndOfSilentHolders(t *testing.T) {
	const epoch, written = 5, 7
	silent := claimer.EarlierHolder{Epoch: epoch, Holder: claimer.Holder{Process: "edge-1", Address: "127.0.0.1:1", MaxIsolation: maxIsolation}}
	earlierBuild := silent
	earlierBuild.MaxIsolation = 0
	end := dispatcher.IsolationEnd(time.Time{}, maxIsolation).Sub(time.Time{})
	tests := map[string]struct {
		earlier []claimer.EarlierHolder
		unknown bool
		// passed is how long ago the store was first seen to have reached the revision of the last write.
		passed time.Duration
		// outage is true if the store didn't answer since, until outageEnd ago.
		outage    bool
		outageEnd time.Duration
		// cutOff is true if no other process reaches the store.
		cutOff bool
		want   bool
	}{
		"its authority has ended":             {earlier: []claimer.EarlierHolder{silent}, passed: end, want: true},
		"it may still act":                    {earlier: []claimer.EarlierHolder{silent}, passed: end - time.Second},
		"one of them is of an earlier build":  {earlier: []claimer.EarlierHolder{silent, earlierBuild}, passed: end},
		"there may be further holders":        {earlier: []claimer.EarlierHolder{silent}, unknown: true, passed: end},
		"an outage let it act on":             {earlier: []claimer.EarlierHolder{silent}, passed: end, outage: true, outageEnd: 3 * time.Second},
		"an outage is over for long":          {earlier: []claimer.EarlierHolder{silent}, passed: 2 * end, outage: true, outageEnd: end, want: true},
		"this process is cut off from others": {earlier: []claimer.EarlierHolder{silent}, passed: end, cutOff: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			history := &historian.Historian{Clock: clock}
			// answer lets the store answer for a span, as the watches of a process make it do.
			answer := func(span time.Duration) {
				for ; span > 0; span -= min(span, time.Second) {
					history.Reached(written)
					clock.Advance(min(span, time.Second))
				}
				history.Reached(written)
			}
			if test.outage {
				history.Reached(written)
				clock.Advance(test.passed - test.outageEnd)
				answer(test.outageEnd)
			} else {
				answer(test.passed)
			}
			e := &earlierHolders{
				clock: clock, peers: &relayer.Client{}, history: history,
				term:             claimer.Term{Epoch: written + 1, ClaimedAt: clock.Now(), Earlier: test.earlier, EarlierUnknown: test.unknown},
				othersReachStore: func(context.Context) bool { return !test.cutOff },
			}
			got, ended := e.Ended(t.Context(), dispatcher.EarlierRecords{LastWrite: written})
			if ended != test.want || ended && !got.LeasesExpired {
				t.Errorf("Ended() = %+v, %v, want %v with all leases expired", got, ended, test.want)
			}
		})
	}
}

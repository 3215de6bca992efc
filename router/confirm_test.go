package router_test

import (
	"context"
	"testing"
	"time"

	"zinniashore.example/router"
	"zinniashore.example/standin"
)

// movingKeys lets each attempt run and moves its home before it is sent.
type movingKeys struct {
	*keys

	verdict router.KeyVerdict
}

// Begin implements router.Keys.
func (m movingKeys) Begin(context.Context, string, int) (router.KeyVerdict, error) {
	return m.verdict, nil
}

// TestHomeIsConfirmedBeforeTheSend: an order whose key has moved to another home,
// or whose key is malformed, is not sent and truly called not run.
func TestHomeIsConfirmedBeforeTheSend(t *testing.T) {
	tests := map[string]struct {
		verdict router.KeyVerdict
		want    router.Outcome
		runs    int
	}{
		"home stays":    {verdict: router.KeyVerdict{Verdict: router.VerdictRun, Confirm: func() bool { return true }}, want: router.OutcomeOK, runs: 1},
		"home moved":    {verdict: router.KeyVerdict{Verdict: router.VerdictRun, Confirm: func() bool { return false }}, want: router.OutcomeNotRun},
		"malformed key": {verdict: router.KeyVerdict{Verdict: router.VerdictInvalid}, want: router.OutcomeNotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 8)
			f.serve(&standin.Endpoint{Slots: 8})
			f.vms[0].router.Keys = movingKeys{keys: f.vms[0].router.Keys.(*keys), verdict: test.verdict}
			response := f.vms[0].router.Handle(t.Context(), order("key", 1, 300*time.Millisecond))
			if response.Outcome != test.want || f.ran("key") != test.runs {
				t.Errorf("outcome %q after %d runs, want %q after %d", response.Outcome, f.ran("key"), test.want, test.runs)
			}
		})
	}
}

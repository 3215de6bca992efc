package router_test

import (
	"context"
	"testing"
	"time"

	"zinniashore.example/router"
	"zinniashore.example/standin"
)

// fixedVerdictKeys returns the same verdict for each attempt.
type fixedVerdictKeys struct {
	*keys

	verdict router.KeyVerdict
}

// Begin implements router.Keys.
func (k fixedVerdictKeys) Begin(context.Context, string, int) (router.KeyVerdict, error) {
	return k.verdict, nil
}

// TestHomeIsConfirmedBeforeTheSend guards against a request that is sent by an entry VM
// that is no longer the home of its key. An order whose key has moved to another home
// after the verdict, or whose key is malformed, is not sent, and its outcome is not_run.
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
			f.vms[0].router.Keys = fixedVerdictKeys{keys: f.vms[0].router.Keys.(*keys), verdict: test.verdict}
			response := f.vms[0].router.Handle(t.Context(), order("key", 1, 300*time.Millisecond))
			if response.Outcome != test.want || f.runsOf("key") != test.runs {
				t.Errorf("outcome %q after %d runs, want %q after %d", response.Outcome, f.runsOf("key"), test.want, test.runs)
			}
		})
	}
}

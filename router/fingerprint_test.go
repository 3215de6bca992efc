package router_test

import (
	"testing"
	"time"

	"zinniashore.example/router"
	"zinniashore.example/standin"
)

// TestStoredAnswerIsForItsOwnRequest guards against a stored answer that is returned to
// another request. It reuses a key with another organisation, path or body after the
// answer was stored.
func TestStoredAnswerIsForItsOwnRequest(t *testing.T) {
	f := newFleet(t, 8)
	f.serve(&standin.Endpoint{Slots: 8})
	first := f.vms[0].router.Handle(t.Context(), order("key", 1, time.Second))
	if first.Outcome != router.OutcomeOK {
		t.Fatalf("first attempt: %+v", first)
	}
	tests := map[string]struct {
		change func(*router.Request)
		want   router.Outcome
	}{
		"same request":       {change: func(*router.Request) {}, want: router.OutcomeOK},
		"other organisation": {change: func(q *router.Request) { q.Organisation = "moka" }, want: router.OutcomeNotRun},
		"other path":         {change: func(q *router.Request) { q.Path = "/engrave" }, want: router.OutcomeNotRun},
		"other body":         {change: func(q *router.Request) { q.Body = []byte("another order") }, want: router.OutcomeNotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := order("key", 2, time.Second)
			test.change(&request)
			response := f.vms[0].router.Handle(t.Context(), request)
			if response.Outcome != test.want || f.runsOf("key") != 1 {
				t.Errorf("outcome %q, want %q; the key ran %d times", response.Outcome, test.want, f.runsOf("key"))
			}
		})
	}
}

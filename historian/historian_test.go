package historian_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/historian"
)

// answer is an answer of the store that comes some time after the one before.
type answer struct {
	after    time.Duration
	revision int64
}

// TestSince guards against a holder that is taken for ended too early: a change was taken for older than it is, or the
// time before an outage of the store counted.
func TestSince(t *testing.T) {
	second := time.Second
	tests := map[string]struct {
		answers []answer
		// later is how long after the last answer the question comes.
		later    time.Duration
		revision int64
		// want is how long before the question the time is.
		want  time.Duration
		known bool
	}{
		"no answer yet":                    {revision: 5},
		"the store hasn't reached it":      {answers: []answer{{second, 4}}, revision: 5},
		"the answer shows the revision":    {answers: []answer{{second, 4}, {second, 5}, {second, 6}}, later: second, revision: 5, want: 2 * second, known: true},
		"an answer shows a later revision": {answers: []answer{{second, 4}, {second, 9}, {second, 9}}, later: second, revision: 5, want: 2 * second, known: true},
		"known from the start":             {answers: []answer{{second, 7}, {second, 8}}, revision: 5, want: second, known: true},
		"an outage before the change":      {answers: []answer{{second, 4}, {5 * second, 5}, {second, 6}}, revision: 5, want: second, known: true},
		"an outage after the change":       {answers: []answer{{second, 5}, {5 * second, 5}, {second, 6}}, revision: 5, want: second, known: true},
		"the store is away":                {answers: []answer{{second, 5}, {second, 6}}, later: 5 * second, revision: 5},
		"answers that come at once":        {answers: []answer{{second, 4}, {time.Millisecond, 5}, {second, 6}}, revision: 5, known: true},
		"an answer from before":            {answers: []answer{{second, 5}, {second, 3}, {second, 6}}, revision: 5, want: 2 * second, known: true},
		"a change of long ago":             {answers: []answer{{second, 5}, {second, 6}, {second, 7}}, revision: 1, want: 2 * second, known: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			h := &historian.Historian{Clock: clock}
			for _, a := range test.answers {
				clock.Advance(a.after)
				h.Reached(a.revision)
			}
			clock.Advance(test.later)
			since, known := h.Since(test.revision)
			if known != test.known || known && clock.Now().Sub(since) != test.want {
				t.Errorf("Since(%d) = %v ago, %v, want %v ago, %v", test.revision, clock.Now().Sub(since), known, test.want, test.known)
			}
		})
	}
}

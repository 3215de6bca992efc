package dispatcher_test

import (
	"strings"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
	"zinniashore.example/recorder"
)

// TestFailureNamesItsEvidence guards against a failed job whose log doesn't tell on what that was decided, and
// how old that was.
func TestFailureNamesItsEvidence(t *testing.T) {
	tests := map[string]struct {
		setUp func(s *simulation)
		kind  recorder.Kind
		want  []string
	}{
		"attempts": {
			setUp: func(s *simulation) {
				for _, f := range s.workers {
					f.fails = true
				}
			},
			kind: dispatcher.KindAttemptsSpent,
			want: []string{"failed 3 of 3 attempts", " run ", " on w", "listed 0s ago"},
		},
		"crashes": {
			setUp: func(s *simulation) { s.deadly(dispatcher.TaskID{Job: jobID}, 3*time.Second) },
			kind:  dispatcher.KindGivenUp,
			want:  []string{"crashed 3 workers", "prompt: true", "attributed: true", "recorded ", "boot now", "last answered poll"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(12)
			test.setUp(s)
			s.submit(plainJob(jobID, 1, time.Second, 1))
			s.advance(90 * time.Second)
			requireState(t, s, jobID, dispatcher.StateFailed)
			detail := s.events.detail(test.kind)
			for _, want := range test.want {
				if !strings.Contains(detail, want) {
					t.Errorf("the event %s of the failed job has the detail %q, want %q in it", test.kind, detail, want)
				}
			}
		})
	}
}

// detail returns the detail of the newest event of a kind.
func (e *events) detail(kind recorder.Kind) string {
	detail := ""
	for _, event := range e.recorded {
		if event.Kind == kind {
			detail = event.Detail
		}
	}
	return detail
}

package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestFailedRunsOfGang guards against a gang that fails its job too early because several members failed in one
// run: it has as many attempts as a single task.
func TestFailedRunsOfGang(t *testing.T) {
	tests := map[string]struct {
		// failing is for how long the workers fail whatever they start, restarts is whether the holder
		// changes after the first failures.
		failing  time.Duration
		restarts bool
		want     dispatcher.State
	}{
		"one run fails":                          {failing: 200 * time.Millisecond, want: dispatcher.StateCompleted},
		"one run fails, the holder changes":      {failing: 200 * time.Millisecond, restarts: true, want: dispatcher.StateCompleted},
		"runs fail as often as the queue allows": {failing: 30 * time.Second, want: dispatcher.StateFailed},
		"the same, after a change of the holder": {failing: 30 * time.Second, restarts: true, want: dispatcher.StateFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(4)
			job := plainJob(jobID, 4, time.Second, 1)
			job.Steps[0].Gang = true
			s.setFailsAfter(100 * time.Millisecond)
			s.submit(job)
			s.advance(150 * time.Millisecond)
			if test.restarts {
				s.advance(100 * time.Millisecond)
				s.changeHolder(s.workers...)
			}
			s.advance(test.failing - 150*time.Millisecond)
			s.setFailsAfter(0)
			s.advance(30 * time.Second)
			requireState(t, s, jobID, test.want)
			requireNoViolations(t, s)
		})
	}
}

// setFailsAfter makes each run fail after a time; 0 makes none fail.
func (s *simulation) setFailsAfter(span time.Duration) {
	for _, f := range s.workers {
		f.failsAfter = span
	}
}

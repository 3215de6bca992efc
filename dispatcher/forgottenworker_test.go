package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestCrashesOfForgottenWorkers guards against a job that fails because workers were forgotten under its task which
// ran on: they were cut off from all for longer than a forgotten worker is waited for, and answered later, under the
// boot that they had.
func TestCrashesOfForgottenWorkers(t *testing.T) {
	tests := map[string]struct {
		job  dispatcher.Job
		away time.Duration
		want dispatcher.State
	}{
		"short task, 18 s":        {job: plainJob(jobID, 1, 8*time.Second, 1), away: 18 * time.Second, want: dispatcher.StateCompleted},
		"short task, 40 s":        {job: plainJob(jobID, 1, 8*time.Second, 1), away: 40 * time.Second, want: dispatcher.StateCompleted},
		"long-running task, 18 s": {job: longRunningJob(jobID, 1, 1000), away: 18 * time.Second, want: dispatcher.StateRunning},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(9)
			a := &awayWorkers{
				simulation: s, silent: true, after: 50 * time.Millisecond, away: test.away,
				backAt: map[*fakeWorker]time.Time{}, goesAt: map[*fakeWorker]time.Time{},
			}
			s.submit(test.job)
			a.advance(48*time.Second, true)
			a.advance(60*time.Second, false)
			requireState(t, s, jobID, test.want)
			for _, event := range s.events.recorded {
				if event.Kind == dispatcher.KindGivenUp {
					t.Logf("given up: %s", event.Detail)
				}
			}
			requireNoViolations(t, s)
		})
	}
}

// TestForgottenCrashesOutliveHolders guards against a task that waits without end, since each holder reviews its crashes
// anew: the workers that it has crashed are gone for good, and the holder changes before the review is over.
func TestForgottenCrashesOutliveHolders(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID}
	s := newActiveSimulation(12)
	s.silent = true
	s.deadly(id, time.Hour)
	s.submit(plainJob(jobID, 1, time.Second, 1))
	for range 8 {
		s.advance(20 * time.Second)
		s.changeHolder(s.present()...)
	}
	s.advance(20 * time.Second)
	s.requireGivenUp(t, id)
	requireNoViolations(t, s)
}

// present returns the workers that are registered.
func (s *simulation) present() []*fakeWorker {
	var present []*fakeWorker
	for _, f := range s.workers {
		if s.registered[f] {
			present = append(present, f)
		}
	}
	return present
}

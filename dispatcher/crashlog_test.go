package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestLogTellsHowCrashesEnd guards against a log from which the count of crashes can't be followed: a crash that was
// recorded stopped counting without a line.
func TestLogTellsHowCrashesEnd(t *testing.T) {
	tests := map[string]struct {
		job dispatcher.Job
		// away is for how long the worker refuses connections, from 50 ms after the start on.
		away time.Duration
		// crashes makes it crash instead, so that a later run clears the task.
		crashes bool
	}{
		"the worker lists the run":         {job: plainJob(jobID, 1, 3*time.Second, 1), away: 400 * time.Millisecond},
		"the worker lists the end":         {job: plainJob(jobID, 1, 200*time.Millisecond, 1), away: 400 * time.Millisecond},
		"a later run stands its trial":     {job: plainJob(jobID, 1, 3*time.Second, 1), crashes: true},
		"the worker lists an expired run":  {job: longRunningJob(jobID, 1, 1000), away: 5 * time.Second},
		"a later run, while it stays away": {job: longRunningJob(jobID, 1, 1000), away: 30 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(5)
			s.comesBack = time.Second
			s.submit(test.job)
			f := s.awaitRun(t, dispatcher.TaskID{Job: jobID})
			if test.crashes {
				s.crash(f)
			} else {
				f.closed = true
				s.advance(test.away)
				f.closed = false
			}
			s.advance(20 * time.Second)
			recorded, withdrawn := len(s.events.of("task_crash")), len(s.events.of("task_crash_withdrawn"))
			if recorded != 1 || withdrawn != 1 {
				t.Errorf("%d crashes are recorded and %d withdrawn, want 1 and 1", recorded, withdrawn)
			}
		})
	}
}

package dispatcher_test

import (
	"testing"
	"time"
)

// clockDifferenceTests are the cases of TestAcceptedByOtherClock: how far the time of day of the VM that
// accepted the job is ahead, and whether the earlier holder is known to have ended.
var clockDifferenceTests = map[string]struct {
	ahead time.Duration
	ended bool
}{
	"by 2.9 s":                          {ahead: 2900 * time.Millisecond, ended: true},
	"by 5 s":                            {ahead: 5 * time.Second, ended: true},
	"by 9 s":                            {ahead: 9 * time.Second, ended: true},
	"by 2.9 s, the earlier one may act": {ahead: 2900 * time.Millisecond},
	"by 9 s, the earlier one may act":   {ahead: 9 * time.Second},
}

// TestAcceptedByOtherClock guards against two runs of a task: by the time of day of the VM that accepted the
// job, that was after the earlier holder, which has started the task, had ended.
func TestAcceptedByOtherClock(t *testing.T) {
	for name, test := range clockDifferenceTests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(3)
			s.submit(plainJob(jobID, 6, 12*time.Second, 1))
			s.runFor(300 * time.Millisecond)
			job := s.jobs[jobID]
			job.Accepted = s.now.Add(test.ahead)
			s.archive.jobs[jobID] = job
			s.workers[0].reachable = false
			s.changeHolder(s.workers...)
			if test.ended {
				s.cell.EarlierHoldersEnded(s.now)
			}
			s.runFor(40 * time.Second)
			requireNoViolations(t, s)
		})
	}
}

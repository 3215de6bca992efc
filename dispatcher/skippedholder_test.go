package dispatcher_test

import (
	"testing"
	"time"
)

// TestLeasesOfSkippedHolder guards against two runs of a task: the holder of the term before has only just become
// active when it releases the cell, so that the one before it may act for a while yet.
func TestLeasesOfSkippedHolder(t *testing.T) {
	for name, test := range map[string]earlierLeaseTest{
		"it shortens its leases":    {},
		"the store confirmed it":    {byStore: true},
		"it is of an earlier build": {earlierBuild: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(5)
			s.workers[0].clockRate = 0.98
			s.changeHolder(s.workers...)
			if test.earlierBuild {
				s.cell.Limits.FullLeaseAge = limits.MaxConfirmationAge
			}
			s.runFor(200 * time.Millisecond)
			s.submit(isolatedJob(jobID, 10, true))
			s.runFor(time.Second)
			h := test.isolate(s)
			for range 5 {
				h.step()
				s.step(20 * time.Millisecond)
			}
			told := s.cell.LeasesOfSilentWorkers(s.now)
			s.changeHolder(s.workers[1:]...)
			s.cell.EarlierLeaseEnds = map[string]time.Time{}
			for worker, left := range told {
				s.cell.EarlierLeaseEnds[worker] = s.now.Add(left)
			}
			if test.earlierBuild {
				s.cell.EarlierFullLeaseAge = limits.MaxConfirmationAge
			}
			s.cell.EarlierHoldersEnded(s.now.Add(limits.MaxConfirmationAge))
			test.act(h, true)
			requireNoViolations(t, s)
		})
	}
}

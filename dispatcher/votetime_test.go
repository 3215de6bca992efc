package dispatcher_test

import (
	"testing"
	"time"
)

// TestVotesOfExitedWorkers guards against a cell that stands still, with leases that expire, because
// half of its workers have exited: they kept their votes for two seconds after their leases.
func TestVotesOfExitedWorkers(t *testing.T) {
	s := newActiveSimulation(4)
	s.submit(longRunningJob(jobID, 2, 1500))
	s.runFor(500 * time.Millisecond)
	for _, f := range s.workers[2:] {
		f.reboot()
		f.reachable = false
		s.unregister(f)
	}
	const leaseEnd = 4200 * time.Millisecond // 4 s on a clock that is 2 % slow, and a margin
	s.runFor(leaseEnd)
	if !s.cell.Confirmed(s.now) {
		t.Errorf("the holder doesn't act %v after half of its workers have exited", leaseEnd)
	}
	requireNoViolations(t, s)
}

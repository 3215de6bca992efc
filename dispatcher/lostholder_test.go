package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

const (
	// maxTimeWithoutRun is how long after the end of a disturbance a long-running task may have no run while
	// workers have capacity for it.
	maxTimeWithoutRun = 10 * time.Second
	// maxTakeover is how long after the loss of a holder, or after the return of a silent store, another
	// process has begun a term at the latest: the holder key has expired, and the claim is delayed for as long
	// as it may be.
	maxTakeover = 3900 * time.Millisecond
	// longestLease is the longest lease that holders grant on the users' platform.
	longestLease = 5 * time.Second
)

// TestStartsAfterLostHolder guards against long-running tasks that have no run for longer than the platform
// allows, as the new holder waits for the leases of workers that left or crashed when their holder was lost.
func TestStartsAfterLostHolder(t *testing.T) {
	tests := map[string]struct {
		// lose removes the workers.
		lose func(s *simulation, lost []*fakeWorker)
		// takeover is how long the cell has no holder.
		takeover time.Duration
	}{
		"workers leave at once": {lose: leaveSilently, takeover: maxTakeover},
		"workers crash": {takeover: maxTakeover, lose: func(_ *simulation, lost []*fakeWorker) {
			for _, f := range lost {
				f.reboot()
				f.reachable = false
			}
		}},
		"the store is silent, and all leases expire": {lose: leaveSilently, takeover: 2*longestLease + maxTakeover},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const tasks = 34
			s := newSimulation(17)
			s.changeHolder(s.workers...)
			s.cell.Limits.LeaseDuration = longestLease
			s.submit(longRunningJob(jobID, tasks, 1200))
			s.runFor(time.Second)
			lost, remaining := s.workers[:5], s.workers[5:]
			test.lose(s, lost)
			s.pauseHolder(test.takeover)
			s.changeHolder(remaining...)
			s.cell.Limits.LeaseDuration = longestLease
			s.runFor(maxTimeWithoutRun - maxTakeover)
			for index := range tasks {
				if id := (dispatcher.TaskID{Job: jobID, Index: index}); s.running[id] != 1 {
					t.Errorf("%s has %d runs %v after its holder was lost, want 1", id, s.running[id], maxTimeWithoutRun)
				}
			}
			requireNoViolations(t, s)
		})
	}
}

// leaveSilently makes workers exit and leave the registry; nothing answers at their addresses any more.
func leaveSilently(s *simulation, left []*fakeWorker) {
	for _, f := range left {
		s.unregister(f)
		f.reboot()
		f.reachable = false
	}
}

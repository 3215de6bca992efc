package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestStartsWhileWorkersLeaveBesideReleases guards against long-running tasks that have no run for longer than the platform
// allows: workers leave one after the other, and each holder that takes over gracefully keeps all tasks of the cell from
// starting for the lease of the last one, although the holder before knew what had run there.
func TestStartsWhileWorkersLeaveBesideReleases(t *testing.T) {
	const (
		tasks = 24
		// bound is the longest lease, and a holder and a plan.
		bound = 6500 * time.Millisecond
	)
	tests := map[string]struct {
		// atRelease is true if each worker leaves as the cell is released, not 0.5 s before.
		atRelease bool
		// silent is true if a worker stays registered as ready, and doesn't answer any holder any more.
		silent bool
		// inactive is true if each second holder releases the cell before it is active.
		inactive bool
	}{
		"a worker leaves, then the cell is released": {},
		"a worker leaves as the cell is released":    {atRelease: true},
		"a worker is silent after the release":       {atRelease: true, silent: true},
		"each second holder isn't active":            {inactive: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(17)
			s.cell.Limits.LeaseDuration = longestLease
			s.submit(longRunningJob(jobID, tasks, 1200))
			s.runFor(time.Second)
			left := map[dispatcher.TaskID]time.Time{}
			release := func(remaining []*fakeWorker) {
				s.release(remaining...)
				s.cell.Limits.LeaseDuration = longestLease
			}
			remaining := slices.Clone(s.workers)
			for range 6 {
				i := slices.IndexFunc(remaining, func(f *fakeWorker) bool { return len(f.running) > 0 })
				leaving := remaining[i]
				remaining = slices.Delete(remaining, i, i+1)
				registered := remaining
				if test.silent {
					registered = s.workers
				}
				for _, r := range leaving.running {
					left[r.task] = s.now
				}
				if !test.silent {
					s.drain(leaving)
				}
				if !test.atRelease {
					leaveSilently(s, []*fakeWorker{leaving})
				}
				s.runFor(500 * time.Millisecond)
				if test.inactive {
					release(registered)
				}
				release(registered)
				leaving.reboot()
				leaving.reachable = false
				s.runFor(1500 * time.Millisecond)
				for id, since := range left {
					if waited := s.now.Sub(since); s.running[id] == 0 && waited > bound {
						t.Fatalf("%s has had no run for %v, as other workers leave", id, waited)
					}
				}
			}
			requireNoViolations(t, s)
		})
	}
}

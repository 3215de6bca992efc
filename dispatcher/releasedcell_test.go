package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// release changes the holder as a graceful shutdown does: the holder tells the next one of workers that don't
// answer it, and has ended.
func (s *simulation) release(listed ...*fakeWorker) {
	leases, processes := s.cell.LeasesOfSilentWorkers(s.now), s.cell.LeasesOfEarlierProcesses(s.now)
	runs := s.cell.ReportedRuns(s.now)
	s.changeHolder(listed...)
	s.cell.EarlierRuns = dispatcher.NewReportedRuns(runs)
	s.cell.EarlierProcessLeaseEnds = map[dispatcher.ProcessID]time.Time{}
	for process, left := range processes {
		s.cell.EarlierProcessLeaseEnds[process] = s.now.Add(left)
	}
	s.cell.EarlierLeaseEnds = map[string]time.Time{}
	for worker, left := range leases {
		s.cell.EarlierLeaseEnds[worker] = s.now.Add(left)
	}
	s.cell.EarlierHoldersEnded(s.now)
}

// TestStartsAfterReleases guards against long-running tasks that have no run for longer than the platform
// allows, as each holder that takes over gracefully waits anew for the leases of workers that are gone.
func TestStartsAfterReleases(t *testing.T) {
	tests := map[string]struct {
		// run changes the holder. The workers that are lost are silent.
		run func(s *simulation, remaining []*fakeWorker)
		// bound is how long after the workers were lost all tasks run.
		bound time.Duration
	}{
		"the cell is released twice while the lease lasts": {bound: 6 * time.Second, run: func(s *simulation, remaining []*fakeWorker) {
			s.runFor(2 * time.Second)
			s.release(remaining...)
			s.runFor(2 * time.Second)
			s.release(remaining...)
		}},
		"the holder is lost, and the next one releases the cell": {bound: maxTimeWithoutRun, run: func(s *simulation, remaining []*fakeWorker) {
			s.pauseHolder(maxTakeover)
			s.changeHolder(remaining...)
			s.runFor(4 * time.Second)
			s.release(remaining...)
		}},
		"it is released when the leases have expired": {bound: 7 * time.Second, run: func(s *simulation, remaining []*fakeWorker) {
			s.runFor(6 * time.Second)
			s.release(remaining...)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const tasks = 34
			s := newActiveSimulation(17)
			s.submit(longRunningJob(jobID, tasks, 1200))
			s.runFor(time.Second)
			lost, remaining := s.workers[:5], s.workers[5:]
			began := s.now
			leaveSilently(s, lost)
			test.run(s, remaining)
			s.runFor(began.Add(test.bound).Sub(s.now))
			for index := range tasks {
				if id := (dispatcher.TaskID{Job: jobID, Index: index}); s.running[id] != 1 {
					t.Errorf("%s has %d runs %v after its worker was lost, want 1", id, s.running[id], test.bound)
				}
			}
			requireNoViolations(t, s)
		})
	}
}

// TestStartsAfterReleasesBesideRestart guards against long-running tasks that have no run for longer than the platform
// allows: each holder that takes over gracefully waits anew for the leases of a process of a worker that may still be
// shutting down, as another one has answered, or for all leases if the holder before hadn't become active.
func TestStartsAfterReleasesBesideRestart(t *testing.T) {
	tests := map[string]struct {
		disturb func(s *simulation)
		release func(s *simulation)
	}{
		"a draining worker restarts": {
			disturb: func(s *simulation) {
				f := s.workers[0]
				f.registration.Phase = dispatcher.PhaseDraining
				s.register(f)
				s.runFor(100 * time.Millisecond)
				f.reboot()
			},
			release: func(s *simulation) { s.release(s.workers...) },
		},
		"every other holder isn't active": {
			disturb: func(s *simulation) { leaveSilently(s, s.workers[:2]) },
			release: func(s *simulation) {
				s.release(s.workers[2:]...)
				s.release(s.workers[2:]...)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const tasks = 12
			s := newActiveSimulation(6)
			s.submit(longRunningJob(jobID, tasks, 1200))
			s.runFor(time.Second)
			began := s.now
			test.disturb(s)
			for s.now.Sub(began) < maxTimeWithoutRun {
				s.runFor(1200 * time.Millisecond)
				test.release(s)
			}
			if waiting := s.withoutRun(jobID, tasks); len(waiting) > 0 {
				t.Errorf("without a run %v after the restart: %v", s.now.Sub(began), waiting)
			}
			requireNoViolations(t, s)
		})
	}
}

// TestLeasesOfSilentWorkers guards against two runs of a task: a holder that releases the cell takes a worker for
// free of runs that may have some.
func TestLeasesOfSilentWorkers(t *testing.T) {
	s := newActiveSimulation(3)
	s.submit(longRunningJob(jobID, 3, 3500))
	s.runFor(time.Second)
	silent := s.workers[0]
	silent.reachable = false
	s.runFor(3 * time.Second)
	if left, found := s.cell.LeasesOfSilentWorkers(s.now)[silent.registration.ID]; !found || left == 0 {
		t.Errorf("a worker with a run holds a lease for %v (told %v), want more than 0", left, found)
	}
	s.runFor(3 * time.Second)
	if left, found := s.cell.LeasesOfSilentWorkers(s.now)[silent.registration.ID]; !found || left != 0 {
		t.Errorf("a worker whose lease has expired holds one for %v (told %v), want 0", left, found)
	}
	s.changeHolder(s.workers[1:]...)
	s.runFor(2 * time.Second)
	if left := s.cell.LeasesOfSilentWorkers(s.now)[silent.registration.ID]; left == 0 {
		t.Error("a worker that hasn't answered the new holder counts as free of runs")
	}
	if told := len(s.cell.LeasesOfSilentWorkers(s.now)); told != 1 {
		t.Errorf("%d workers are told of, want the silent one only", told)
	}
}

// TestLeasesOfEarlierProcesses guards against two runs of a task: a holder takes runs for ended of a process that may still
// be shutting down, as the holder before reports its leases as expired, or those of the process before it.
func TestLeasesOfEarlierProcesses(t *testing.T) {
	tests := map[string]struct {
		// after is how long after the second process has answered the cell is released.
		after time.Duration
		// restarts is true if the worker restarts once more after that.
		restarts bool
		// waits is true if tasks without a run have to wait.
		waits bool
	}{
		"the lease lasts":                  {after: 100 * time.Millisecond, waits: true},
		"the lease has expired":            {after: 5 * time.Second},
		"another process since the report": {after: 5 * time.Second, restarts: true, waits: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(4)
			s.submit(longRunningJob(jobID, 4, 1200))
			s.runFor(time.Second)
			f := s.workers[0]
			drainAndRestart(s, f)
			s.runFor(test.after)
			s.release(s.workers...)
			if test.restarts {
				f.reboot()
			}
			s.add(longRunningJob(otherID, 1, 1200), true)
			s.runFor(time.Second)
			if waits := s.running[dispatcher.TaskID{Job: otherID}] == 0; waits != test.waits {
				t.Errorf("a task that the earlier holder may have started waits: %v, want %v", waits, test.waits)
			}
		})
	}
}

// drainAndRestart has a worker register that it drains, and another process of it answer soon after.
func drainAndRestart(s *simulation, f *fakeWorker) {
	f.registration.Phase = dispatcher.PhaseDraining
	s.register(f)
	s.runFor(100 * time.Millisecond)
	f.reboot()
	s.runFor(100 * time.Millisecond)
}

// TestReportedProcessesAreBounded guards against a release that the store refuses for its size: each holder passes on what
// it was told of all processes that workers ever had.
func TestReportedProcessesAreBounded(t *testing.T) {
	const workers = 3
	s := newActiveSimulation(workers)
	s.submit(longRunningJob(jobID, 2, 1200))
	for range 4 {
		s.runFor(2 * time.Second)
		for _, f := range s.workers {
			drainAndRestart(s, f)
			s.register(f)
		}
		s.runFor(2 * time.Second)
		s.release(s.workers...)
	}
	s.runFor(time.Second)
	if told := s.cell.LeasesOfEarlierProcesses(s.now); len(told) > workers {
		t.Errorf("%d processes of %d workers are reported: %v", len(told), workers, told)
	}
}

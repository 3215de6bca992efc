package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// testIsolation is the MaxIsolation of the holders of these tests.
const testIsolation = 7500 * time.Millisecond

// newIsolatedSimulation returns a simulation whose holder stops acting unless its authority is renewed.
func newIsolatedSimulation(workers int) *simulation {
	s := newActiveSimulation(workers)
	s.limitIsolation()
	return s
}

func (s *simulation) limitIsolation() {
	s.cell.Limits.MaxIsolation = testIsolation
	s.cell.Renewed(s.now)
}

// TestIsolatedHolder guards against two runs of a task: a holder that is cut off with its workers acts, or its leases
// last, although another one may act in its place.
func TestIsolatedHolder(t *testing.T) {
	tests := map[string]struct {
		// prepare changes what the holder knows, each second.
		prepare func(s *simulation)
		acts    bool
	}{
		"the store answers":                 {prepare: func(s *simulation) { s.storeDown = false }, acts: true},
		"the store is down for all":         {prepare: func(s *simulation) { s.cell.Renewed(s.now) }, acts: true},
		"the holder is cut off":             {prepare: func(*simulation) {}},
		"the store is down, its VM stopped": {prepare: func(s *simulation) { s.cell.Renewed(s.now); s.cell.Resumed(s.now) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newIsolatedSimulation(4)
			s.submit(longRunningJob(jobID, 4, 1500))
			s.runFor(time.Second)
			s.storeDown = true
			cutAt := s.now
			for range 9 {
				test.prepare(s)
				s.runFor(time.Second)
			}
			s.submit(longRunningJob(otherID, 1, 1500))
			s.runFor(500 * time.Millisecond)
			if got := s.running[dispatcher.TaskID{Job: otherID}] > 0; got != test.acts {
				t.Errorf("a task is started %v after the cut: %v, want %v", s.now.Sub(cutAt), got, test.acts)
			}
			for index := range 4 {
				if got := s.running[dispatcher.TaskID{Job: jobID, Index: index}] > 0; got != test.acts {
					t.Errorf("task %d runs %v after the cut: %v, want %v", index, s.now.Sub(cutAt), got, test.acts)
				}
			}
		})
	}
}

// TestLeasesOfCutOffHolder guards against leases that outlast the time by which the next holder takes the earlier one
// for ended, and against ones that end while the holder may act.
func TestLeasesOfCutOffHolder(t *testing.T) {
	s := newIsolatedSimulation(4)
	s.submit(longRunningJob(jobID, 4, 1500))
	s.runFor(time.Second)
	s.storeDown = true
	s.cell.Renewed(s.now)
	end := dispatcher.IsolationEnd(s.now, testIsolation)
	for cutAt := s.now; s.now.Before(end); s.step(50 * time.Millisecond) {
		for index := range 4 {
			if s.now.Sub(cutAt) < testIsolation && s.running[dispatcher.TaskID{Job: jobID, Index: index}] == 0 {
				t.Fatalf("the lease of task %d has expired %v after the last renewal", index, s.now.Sub(cutAt))
			}
		}
	}
	for index := range 4 {
		if s.running[dispatcher.TaskID{Job: jobID, Index: index}] > 0 {
			t.Errorf("task %d still runs %v after the last renewal", index, dispatcher.IsolationEnd(s.now, testIsolation).Sub(s.now))
		}
	}
}

// actBeside lets another holder act on the workers that only it reaches.
func (s *simulation) actBeside(other *dispatcher.Cell, workers []*fakeWorker) {
	current := s.cell
	s.cell = other
	for _, f := range workers {
		f.reachable = true
		s.pollWith(other, f)
	}
	s.execute(other.Plan(s.now))
	for _, f := range workers {
		f.reachable = false
	}
	s.cell = current
}

// TestMajorityLostWithHolder guards against a cell that never acts again: its holder was lost for good together with half
// of its workers, or more. The next holder must not act before, as the lost one may be cut off with them.
func TestMajorityLostWithHolder(t *testing.T) {
	tests := map[string]struct {
		lost int
		// cutOff is true if the earlier holder and the lost workers are only cut off, and act on.
		cutOff bool
	}{
		"half of the workers are lost":     {lost: 4},
		"most of the workers are lost":     {lost: 5},
		"most of the workers are cut off":  {lost: 5, cutOff: true},
		"half of the workers are cut off":  {lost: 4, cutOff: true},
		"all but one worker are cut off":   {lost: 7, cutOff: true},
		"all workers of the cell are lost": {lost: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newIsolatedSimulation(8)
			s.submit(longRunningJob(jobID, 8, 300))
			s.submit(plainJob(otherID, 8, 6*time.Second, 2))
			s.runFor(time.Second)
			earlier, renewed := s.cell, s.now
			earlier.Renewed(renewed)
			lost, left := s.workers[:test.lost], s.workers[test.lost:]
			for _, f := range lost {
				f.reachable = false
				s.unregister(f)
				if !test.cutOff {
					f.reboot()
				}
			}
			s.pauseHolder(2 * time.Second)
			s.changeHolder(left...)
			s.limitIsolation()
			end := dispatcher.IsolationEnd(renewed, testIsolation)
			for until := s.now.Add(30 * time.Second); s.now.Before(until); s.step(40 * time.Millisecond) {
				if s.now.After(end) {
					s.cell.EarlierHoldersExpired(end)
				}
				if test.cutOff {
					s.actBeside(earlier, lost)
				}
			}
			if test.lost == len(s.workers) {
				requireNoViolations(t, s)
				return
			}
			for index := range 8 {
				if id := (dispatcher.TaskID{Job: jobID, Index: index}); s.running[id] != 1 {
					t.Errorf("%s has %d runs, want 1", id, s.running[id])
				}
			}
			requireNoViolations(t, s)
		})
	}
}

// TestTasksOfLostCell guards against accepted jobs that run nowhere: their failure domain was lost with its processes and
// workers, and the process of another one that holds their cell keeps them.
func TestTasksOfLostCell(t *testing.T) {
	s := newIsolatedSimulation(4)
	s.submit(longRunningJob(jobID, 2, 1500))
	s.submit(plainJob(otherID, 2, 6*time.Second, 1))
	s.runFor(time.Second)
	renewed := s.now
	for _, f := range s.workers {
		s.unregister(f)
		f.reboot()
		f.reachable = false
	}
	s.pauseHolder(8 * time.Second)
	s.changeHolder()
	s.limitIsolation()
	s.cell.EarlierHoldersExpired(dispatcher.IsolationEnd(renewed, testIsolation))
	s.runFor(registrationGrace + time.Second)
	if id, _, found := s.cell.NextToDelegate(s.now); !found || id.Job != jobID {
		t.Errorf("a task of %q is to be delegated (%v), want one of the long-running job", id.Job, found)
	}
	id, _, found := s.cell.NextToRelocate(s.now)
	if !found || id.Job != otherID || !s.cell.Relocate(s.now, id, "graz-b") {
		t.Fatalf("the job %q is to be relocated (%v), want the short one", id.Job, found)
	}
	s.step(50 * time.Millisecond)
	if len(s.archive.relocations) != 1 || s.archive.relocations[0].Job.ID != otherID {
		t.Errorf("relocations = %+v, want that of the short job", s.archive.relocations)
	}
}

// registrationGrace is how long a worker may be missing from the registry before it counts as exited.
const registrationGrace = 3 * time.Second

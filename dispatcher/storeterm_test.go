package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// leave makes a worker drain, exit without a trace and leave the registry.
func (s *simulation) leave(f *fakeWorker) {
	f.registration.Phase = dispatcher.PhaseDraining
	s.register(f)
	s.runFor(200 * time.Millisecond)
	f.reboot()
	f.reachable = false
	s.unregister(f)
}

// requireRunsFor runs the simulation and fails if a task of the first worker ends.
func (s *simulation) requireRunsFor(t *testing.T, span time.Duration) {
	t.Helper()
	stays := s.workers[0]
	before := len(stays.running)
	if before == 0 {
		t.Fatal("nothing runs on the worker that stays")
	}
	for end := s.now.Add(span); s.now.Before(end); s.step(50 * time.Millisecond) {
		if got := len(stays.running); got < before {
			t.Fatalf("%d of %d tasks run on a worker that stays", got, before)
		}
	}
}

// TestLeasesWhileWorkersLeave guards against runs on sound workers whose leases expire, since
// workers that have left still count for a majority.
func TestLeasesWhileWorkersLeave(t *testing.T) {
	tests := map[string]func(s *simulation){
		"the holder stays, most workers leave in steps": func(s *simulation) {
			for _, f := range s.workers[1:] {
				s.leave(f)
			}
		},
		"half of the workers leave, the holder changes": func(s *simulation) {
			for _, f := range s.workers[2:] {
				s.leave(f)
			}
			s.pauseHolder(1500 * time.Millisecond)
			s.changeHolder(s.workers[0], s.workers[1])
			s.cell.EarlierHoldersEnded(s.now)
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(4)
			s.submit(longRunningJob(jobID, 4, 1500))
			s.runFor(time.Second)
			prepare(s)
			s.requireRunsFor(t, 8*time.Second)
			requireNoViolations(t, s)
		})
	}
}

// TestStoreTermBounds guards against a holder that acts although another one may have become
// active: it reaches half of the workers, and its term isn't known to be the newest.
func TestStoreTermBounds(t *testing.T) {
	tests := map[string]struct {
		// prepare changes what the holder knows.
		prepare func(s *simulation)
		want    bool
	}{
		"the store confirms the term": {prepare: func(*simulation) {}, want: true},
		"the store is away":           {prepare: func(s *simulation) { s.storeDown = true }},
		"another term has begun":      {prepare: func(s *simulation) { s.archive.epoch++ }},
		"the holder's VM was suspended while the store is away": {prepare: func(s *simulation) {
			s.storeDown = true
			s.cell.Resumed(s.now)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(4)
			s.runFor(time.Second)
			for _, f := range s.workers[2:] {
				s.leave(f)
			}
			test.prepare(s)
			s.runFor(limits.MaxConfirmationAge)
			s.submit(longRunningJob(jobID, 1, 1500))
			s.runFor(200 * time.Millisecond)
			if got := s.running[dispatcher.TaskID{Job: jobID}] > 0; got != test.want {
				t.Errorf("a task is started: %v, want %v", got, test.want)
			}
			order, _ := s.cell.NextPoll(s.now, s.workers[0].registration.ID)
			if got := order.LeaseEnd > 0; got != test.want {
				t.Errorf("a lease is extended: %v, want %v", got, test.want)
			}
		})
	}
}

// TestStoreTermOfEarlierHolder guards against two runs of a task: the earlier holder extends the
// lease of the only worker that it reaches, since the store has confirmed its term just before a
// later one began.
func TestStoreTermOfEarlierHolder(t *testing.T) {
	s := newActiveSimulation(4)
	s.submit(longRunningJob(jobID, 6, 1500))
	s.runFor(time.Second)
	cut := s.workers[0]
	if len(cut.running) == 0 {
		t.Fatal("nothing runs on the worker that is cut off")
	}
	earlier := s.cell
	earlier.TermChecked(s.now)
	cut.reachable = false
	s.unregister(cut)
	s.changeHolder(s.workers[1:]...)
	extended := 0
	for end := s.now.Add(20 * time.Second); s.now.Before(end); s.step(40 * time.Millisecond) {
		if order, _ := earlier.NextPoll(s.now, cut.registration.ID); order.LeaseEnd > 0 {
			extended++
		}
		s.pollWith(earlier, cut)
	}
	if extended == 0 {
		t.Error("the earlier holder extends no lease")
	}
	for index := range 6 {
		if id := (dispatcher.TaskID{Job: jobID, Index: index}); s.running[id] != 1 {
			t.Errorf("%s has %d runs, want 1", id, s.running[id])
		}
	}
	requireNoViolations(t, s)
}

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

package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// earlierSuffix marks the ids of processes that have a successor; the holder doesn't know them.
const earlierSuffix = " (earlier)"

// succeed puts a new process of a worker, under its id and address, in the place of one that shuts down.
// The runs of the earlier process last, and the holder doesn't reach it any more.
func (s *simulation) succeed(earlier *fakeWorker) *fakeWorker {
	next := *earlier
	next.bootedAt = s.now
	next.epoch, next.leaseEnd, next.endCount, next.ended = 0, 0, 0, nil
	next.running, next.highestRun = map[dispatcher.TaskID]*fakeRun{}, map[dispatcher.TaskID]int64{}
	next.registration.Phase, next.registration.Remaining = dispatcher.PhaseReady, 0
	next.registration.Boot = next.reportedBoot()
	earlier.registration.ID += earlierSuffix
	delete(s.registered, earlier)
	for i, f := range s.workers {
		if f == earlier {
			s.workers[i] = &next
		}
	}
	s.workers = append(s.workers, earlier)
	return &next
}

// successorTests are the cases of TestSuccessorWhileRunsLast: what the holder learns of the exit of the
// earlier process and of the next one.
var successorTests = map[string]func(s *simulation, earlier *fakeWorker){
	"it drained, and the next one registers": func(s *simulation, earlier *fakeWorker) {
		s.drain(earlier)
		s.register(s.succeed(earlier))
	},
	"it drained, and the next one answers before it registers": func(s *simulation, earlier *fakeWorker) {
		s.drain(earlier)
		next := s.succeed(earlier)
		s.runFor(300 * time.Millisecond)
		s.register(next)
	},
	"its registrations don't tell the boot": func(s *simulation, earlier *fakeWorker) {
		earlier.registration.Boot = 0
		s.drain(earlier)
		s.unregister(earlier)
		next := s.succeed(earlier)
		next.registration.Boot = 0
		s.register(next)
	},
	"it took its registration back": func(s *simulation, earlier *fakeWorker) {
		s.unregister(earlier)
		s.runFor(50 * time.Millisecond)
		s.register(s.succeed(earlier))
	},
	"it drained, and its task had just started": func(s *simulation, earlier *fakeWorker) {
		s.submit(plainJob(otherID, 3, 12*time.Second, 1))
		s.execute(s.cell.Plan(s.now))
		s.drain(earlier)
		s.register(s.succeed(earlier))
	},
	"it drained, and the holder changes": func(s *simulation, earlier *fakeWorker) {
		s.drain(earlier)
		s.runFor(200 * time.Millisecond)
		next := s.succeed(earlier)
		s.changeHolder(next, s.workers[1], s.workers[2])
	},
	"it drained, and the holder changes after the earlier one has ended": func(s *simulation, earlier *fakeWorker) {
		s.drain(earlier)
		s.runFor(200 * time.Millisecond)
		next := s.succeed(earlier)
		s.changeHolder(next, s.workers[1], s.workers[2])
		s.cell.EarlierHoldersEnded(s.now)
	},
	"it drained, and the holder changes once the next one is stored": func(s *simulation, earlier *fakeWorker) {
		s.drain(earlier)
		next := s.succeed(earlier)
		s.register(next)
		s.runFor(500 * time.Millisecond)
		s.changeHolder(next, s.workers[1], s.workers[2])
	},
	"it took its registration back, and the holder changes twice": func(s *simulation, earlier *fakeWorker) {
		s.unregister(earlier)
		next := s.succeed(earlier)
		s.register(next)
		for range 2 {
			s.runFor(500 * time.Millisecond)
			s.changeHolder(next, s.workers[1], s.workers[2])
			s.cell.EarlierHoldersEnded(s.now)
		}
	},
	"the next one starts anew as well": func(s *simulation, earlier *fakeWorker) {
		s.drain(earlier)
		next := s.succeed(earlier)
		s.register(next)
		s.runFor(500 * time.Millisecond)
		next.reboot()
		s.register(next)
	},
}

// drain registers a worker as draining.
func (s *simulation) drain(f *fakeWorker) {
	f.registration.Phase, f.registration.Remaining = dispatcher.PhaseDraining, 2*time.Second
	s.register(f)
}

// TestSuccessorWhileRunsLast guards against two runs of a task: a worker shuts down, and its next process
// registers under the same id while the runs of the earlier one last.
func TestSuccessorWhileRunsLast(t *testing.T) {
	for name, exit := range successorTests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(3)
			s.submit(plainJob(jobID, 6, 12*time.Second, 1))
			s.runFor(500 * time.Millisecond)
			earlier := s.workers[0]
			if len(earlier.running) == 0 {
				t.Fatal("nothing runs on the worker")
			}
			exit(s, earlier)
			s.runFor(40 * time.Second)
			requireState(t, s, jobID, dispatcher.StateCompleted)
			requireNoViolations(t, s)
		})
	}
}

// TestSuccessorOfUnheardProcess guards against two runs of a task: a worker that a new holder doesn't reach drains and shuts
// down, and its next process answers while the runs of the earlier one last, which an earlier holder has started.
func TestSuccessorOfUnheardProcess(t *testing.T) {
	tests := map[string]func(s *simulation, next *fakeWorker){
		"it answers before it registers": func(s *simulation, next *fakeWorker) {
			s.runFor(300 * time.Millisecond)
			s.register(next)
		},
		"it registers before it answers": func(s *simulation, next *fakeWorker) {
			next.reachable = false
			s.register(next)
			s.runFor(300 * time.Millisecond)
			next.reachable = true
		},
		"it drains in turn before it answers": func(s *simulation, next *fakeWorker) {
			next.reachable = false
			s.register(next)
			s.drain(next)
			s.runFor(300 * time.Millisecond)
			next.reachable = true
		},
		"the holder changes once it has answered": func(s *simulation, next *fakeWorker) {
			s.register(next)
			s.runFor(200 * time.Millisecond)
			s.release(s.workers[:3]...)
		},
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(3)
			s.submit(plainJob(jobID, 6, 12*time.Second, 1))
			s.runFor(500 * time.Millisecond)
			earlier := s.workers[0]
			if len(earlier.running) == 0 {
				t.Fatal("nothing runs on the worker")
			}
			earlier.reachable = false
			s.changeHolder(s.workers...)
			s.runFor(200 * time.Millisecond)
			s.drain(earlier)
			s.runFor(drainTime)
			next := s.succeed(earlier)
			next.reachable = true
			answer(s, next)
			s.runFor(40 * time.Second)
			requireState(t, s, jobID, dispatcher.StateCompleted)
			requireNoViolations(t, s)
		})
	}
}

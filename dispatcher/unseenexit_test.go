package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// drainTime is how long a worker that drains serves on.
const drainTime = 2 * time.Second

// unseenExitTests are the cases of TestUnseenExitWhileRunsLast: why no holder sees that the worker drains.
var unseenExitTests = map[string]func(s *simulation, earlier *fakeWorker){
	"the registry is unread": func(s *simulation, earlier *fakeWorker) {
		s.registryUnread = true
		s.runFor(drainTime)
		next := s.succeed(earlier)
		s.runFor(time.Second)
		s.registryUnread = false
		s.register(next)
	},
	"the holder changes": func(s *simulation, earlier *fakeWorker) {
		s.pauseHolder(drainTime)
		next := s.succeed(earlier)
		s.changeHolder(next, s.workers[1], s.workers[2])
	},
	"the holder changes, and the earlier one has ended": func(s *simulation, earlier *fakeWorker) {
		s.pauseHolder(drainTime)
		next := s.succeed(earlier)
		s.changeHolder(next, s.workers[1], s.workers[2])
		s.cell.EarlierHoldersEnded(s.now)
	},
}

// TestUnseenExitWhileRunsLast guards against two runs of a task: a worker drains and shuts down while no
// holder reads the registry, and its next process answers while the runs of the earlier one last.
func TestUnseenExitWhileRunsLast(t *testing.T) {
	for name, exit := range unseenExitTests {
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

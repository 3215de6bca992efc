package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// unreadEndTests are the cases of TestUnreadEnds.
var unreadEndTests = map[string]cellTest{
	"the lease expired before the end was read": {workers: 3, run: func(_ *testing.T, s *simulation) {
		s.workers[0].answersLost = true
		s.runFor(8 * time.Second)
	}},
	"a new holder has not read the end": {workers: 3, run: func(_ *testing.T, s *simulation) {
		s.workers[0].answersLost = true
		s.changeHolder(s.workers...)
		s.runFor(12 * time.Second)
	}},
}

// TestUnreadEnds guards against the second run of a task of which a run was done, but
// whose end the holder had not read when the lease expired (TWICE, issue 20).
func TestUnreadEnds(t *testing.T) {
	for name, test := range unreadEndTests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(test.workers)
			s.changeHolder(s.workers...)
			s.runFor(200 * time.Millisecond)
			s.submit(plainJob(jobID, 3, 2*time.Second, 1))
			s.runFor(200 * time.Millisecond)
			test.run(t, s)
			for _, f := range s.workers {
				f.answersLost = false
			}
			s.runFor(2 * time.Second)
			requireState(t, s, jobID, dispatcher.StateCompleted)
			for _, problem := range s.violations {
				t.Error(problem)
			}
		})
	}
}

// TestEndsOfRestartedWorker guards against the second run of a task whose end was
// acknowledged unread: the worker had restarted under its id, and the holder sent it the
// number of an end from before.
func TestEndsOfRestartedWorker(t *testing.T) {
	s := newSimulation(1)
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	s.submit(plainJob(otherID, 3, 200*time.Millisecond, 1))
	s.runFor(time.Second)
	requireState(t, s, otherID, dispatcher.StateCompleted)
	f := s.workers[0]
	f.answersLost = true
	s.runFor(100 * time.Millisecond)
	f.reboot()
	s.submit(plainJob(jobID, 3, 200*time.Millisecond, 1))
	s.runFor(time.Second)
	f.answersLost = false
	s.runFor(9 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	for _, problem := range s.violations {
		t.Error(problem)
	}
}

// TestEndBehindUnknownJob guards against the second run of a task whose end the worker
// lists behind the end of a job that the holder doesn't know yet.
func TestEndBehindUnknownJob(t *testing.T) {
	s := newSimulation(1)
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	s.submit(plainJob(jobID, 1, time.Second, 1))
	s.runFor(200 * time.Millisecond)
	f := s.workers[0]
	f.endCount++
	f.ended = append(f.ended, dispatcher.EndedRow{
		Number: f.endCount, Task: dispatcher.TaskID{Job: otherID}, Run: 1, Ending: dispatcher.EndingDone,
	})
	s.runFor(9 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	for _, problem := range s.violations {
		t.Error(problem)
	}
}

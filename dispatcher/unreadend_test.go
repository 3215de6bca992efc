package dispatcher_test

import (
	"fmt"
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
			s := newActiveSimulation(test.workers)
			s.submit(plainJob(jobID, 3, 2*time.Second, 1))
			s.runFor(200 * time.Millisecond)
			test.run(t, s)
			for _, f := range s.workers {
				f.answersLost = false
			}
			s.runFor(2 * time.Second)
			requireState(t, s, jobID, dispatcher.StateCompleted)
			requireNoViolations(t, s)
		})
	}
}

// TestEndsOfRestartedWorker guards against the second run of a task whose end was
// acknowledged unread: the worker had restarted under its id, and the holder sent it the
// number of an end from before.
func TestEndsOfRestartedWorker(t *testing.T) {
	s := newActiveSimulation(1)
	s.submit(plainJob(otherID, 3, 200*time.Millisecond, 1))
	s.runFor(time.Second)
	requireState(t, s, otherID, dispatcher.StateCompleted)
	s.startsReachAnyBoot = true
	f := s.workers[0]
	f.answersLost = true
	s.runFor(100 * time.Millisecond)
	f.reboot()
	s.submit(plainJob(jobID, 3, 200*time.Millisecond, 1))
	s.runFor(time.Second)
	f.answersLost = false
	s.runFor(time.Second)
	s.register(f)
	s.runFor(8 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestEndsOfRestartBetweenPolls guards against the second run of a task whose end was
// acknowledged unread: the worker had restarted after it answered the last poll (soak,
// seed 1047).
func TestEndsOfRestartBetweenPolls(t *testing.T) {
	s := newActiveSimulation(1)
	s.submit(plainJob(otherID, 3, 200*time.Millisecond, 1))
	s.runFor(time.Second)
	requireState(t, s, otherID, dispatcher.StateCompleted)
	s.startsReachAnyBoot = true
	s.workers[0].reboot()
	s.submit(plainJob(jobID, 3, 200*time.Millisecond, 1))
	s.execute(s.cell.Plan(s.now))
	s.step(250 * time.Millisecond)
	s.runFor(time.Second)
	s.register(s.workers[0])
	s.runFor(8 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestEndBehindUnknownJob guards against the second run of a task whose end the worker
// lists behind the end of a job that the holder doesn't know yet.
func TestEndBehindUnknownJob(t *testing.T) {
	s := newActiveSimulation(1)
	s.submit(plainJob(jobID, 1, time.Second, 1))
	s.runFor(200 * time.Millisecond)
	f := s.workers[0]
	f.endCount++
	f.ended = append(f.ended, dispatcher.EndedRow{
		Number: f.endCount, Task: dispatcher.TaskID{Job: otherID}, Run: 1, Ending: dispatcher.EndingDone,
	})
	s.runFor(9 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestEndOfUnknownJob guards against the second run of a task whose end was acknowledged
// before the holder knew the job: it could not reach the store for longer than it waited.
func TestEndOfUnknownJob(t *testing.T) {
	s := newActiveSimulation(2)
	s.submit(plainJob(jobID, 2, 200*time.Millisecond, 1))
	s.step(50 * time.Millisecond)
	delete(s.archive.jobs, jobID)
	s.changeHolder(s.workers...)
	s.archive.jobs[jobID] = s.jobs[jobID]
	s.storeDown = true
	s.runFor(8 * time.Second)
	s.storeDown = false
	s.cell.AddJob(s.now, s.jobs[jobID], nil, true)
	s.runFor(2 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestRunAcceptedAfterRestart guards against two runs of a task at the same time: the
// registry told of the restart of a worker after the restarted worker had accepted a
// start, and the run counted as one from before.
func TestRunAcceptedAfterRestart(t *testing.T) {
	s := newActiveSimulation(3)
	s.startsReachAnyBoot = true
	for _, f := range s.workers {
		f.reboot()
	}
	s.submit(plainJob(jobID, 2, 2*time.Second, 1))
	s.execute(s.cell.Plan(s.now))
	for _, f := range s.workers {
		if len(f.running) > 0 {
			s.register(f)
		}
	}
	s.execute(s.cell.Plan(s.now))
	s.runFor(5 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestActiveDespiteCrashedWorkers guards against a cell that never becomes active: half of
// the workers that an earlier holder used had crashed and left the registry (soak, seed
// 1045).
func TestActiveDespiteCrashedWorkers(t *testing.T) {
	s := newSimulation(4)
	s.changeHolder(s.workers...)
	s.submit(plainJob(jobID, 2, time.Second, 1))
	s.runFor(200 * time.Millisecond)
	for _, f := range s.workers[:2] {
		f.reboot()
		f.closed = true
	}
	s.changeHolder(s.workers[2:]...)
	s.runFor(15 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestLateAnswerFromBeforeRestart guards against the second run of a task whose end was
// acknowledged unread: a late answer from before a restart hid that newer polls had gone
// unanswered.
func TestLateAnswerFromBeforeRestart(t *testing.T) {
	s := newActiveSimulation(1)
	s.submit(plainJob(otherID, 3, 200*time.Millisecond, 1))
	s.runFor(time.Second)
	requireState(t, s, otherID, dispatcher.StateCompleted)
	f := s.workers[0]
	order, _ := s.cell.NextPoll(s.now, f.registration.ID)
	sent := s.now
	late, answer := f.poll(order)
	s.startsReachAnyBoot = true
	f.answersLost = true
	s.runFor(100 * time.Millisecond)
	f.reboot()
	s.submit(plainJob(jobID, 3, 200*time.Millisecond, 1))
	s.runFor(900 * time.Millisecond)
	s.cell.HandlePollAnswer(s.now, sent, order, late, answer)
	s.runFor(200 * time.Millisecond)
	f.answersLost = false
	s.runFor(time.Second)
	s.register(f)
	s.runFor(8 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestEndsBeyondListing guards against the second run of a task whose end was not in the
// listing: a worker lists a limited number of ends at a time.
func TestEndsBeyondListing(t *testing.T) {
	s := newSimulation(1)
	s.workers[0].maxListedEnds = 500
	s.workers[0].registration.Capacity = dispatcher.Size{MilliProcessors: 400000, Megabytes: 4000000}
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	s.submit(plainJob(jobID, 300, 200*time.Millisecond, 2))
	s.step(50 * time.Millisecond)
	s.storeDown = true
	s.runFor(4 * time.Second)
	s.storeDown = false
	s.runFor(5 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	if len(s.violations) > 0 {
		t.Errorf("%d violations, the first: %s", len(s.violations), s.violations[0])
	}
}

// TestRegistrationBackAfterOutage guards against the second run of a task whose worker lists
// it as done: its registration expired in an outage of the store, and the holder saw the
// new one half a second after the time that the platform allows.
func TestRegistrationBackAfterOutage(t *testing.T) {
	s := newActiveSimulation(3)
	s.submit(plainJob(jobID, 3, 2*time.Second, 1))
	s.runFor(200 * time.Millisecond)
	f := s.workers[0]
	f.answersLost = true
	s.runFor(6 * time.Second)
	s.cell.RemoveWorker(s.now, f.registration.ID)
	s.runFor(2500 * time.Millisecond)
	s.register(f)
	f.answersLost = false
	s.runFor(2 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestRegistryUnreadDuringPause guards against the second run of a task whose worker lists
// it as done: the holder was paused after it had seen the registration expire, and takes the
// worker as gone before it has read the registry again.
func TestRegistryUnreadDuringPause(t *testing.T) {
	s := newActiveSimulation(3)
	s.submit(plainJob(jobID, 3, 2*time.Second, 1))
	s.runFor(200 * time.Millisecond)
	f := s.workers[0]
	f.answersLost = true
	s.runFor(time.Second)
	s.cell.RemoveWorker(s.now, f.registration.ID)
	s.registryUnread = true
	s.pauseHolder(7 * time.Second)
	s.runFor(200 * time.Millisecond)
	s.register(f)
	s.registryUnread = false
	f.answersLost = false
	s.runFor(2 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// newActiveSimulation returns a simulation whose holder is active.
func newActiveSimulation(workers int) *simulation { return newActiveCell("w", workers) }

// newActiveCell returns a simulation whose holder is active, with workers whose ids have a prefix: a worker's id
// is unique in all cells.
func newActiveCell(prefix string, workers int) *simulation {
	s := newSimulation(workers)
	for i, f := range s.workers {
		f.registration.ID = fmt.Sprintf("%s%d", prefix, i)
	}
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	return s
}

func requireNoViolations(t *testing.T, s *simulation) {
	t.Helper()
	for _, problem := range s.violations {
		t.Error(problem)
	}
}

// TestJobDeliveredAfterListing guards against two runs of a task: a new holder gets a job
// only after a worker has listed runs of it, or their ends, and plans before it polls
// again (TWICE on a hunted day, mix 893577733164).
func TestJobDeliveredAfterListing(t *testing.T) {
	for name, length := range map[string]time.Duration{"the runs are active": 4 * time.Second, "the runs are done": 600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(3)
			s.submit(plainJob(jobID, 3, length, 1))
			s.step(50 * time.Millisecond)
			delete(s.archive.jobs, jobID)
			s.changeHolder(s.workers...)
			s.runFor(time.Second)
			s.archive.jobs[jobID] = s.jobs[jobID]
			s.cell.AddJob(s.now, s.jobs[jobID], nil, true)
			if orders := s.cell.Plan(s.now); len(orders.Starts) > 0 {
				t.Errorf("%d tasks are started that a worker has listed", len(orders.Starts))
			}
			s.runFor(9 * time.Second)
			requireState(t, s, jobID, dispatcher.StateCompleted)
			requireNoViolations(t, s)
		})
	}
}

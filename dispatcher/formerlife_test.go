package dispatcher_test

import (
	"strings"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// shortGrant is the longest lease that workers accept on most of the users' deployments.
const shortGrant = 6 * time.Second

// newGrantingSimulation returns a simulation whose holder is active and whose workers accept leases up to a length. Their
// clocks read 30 s and more.
func newGrantingSimulation(workers int, grant time.Duration) *simulation {
	s := newSimulation(workers)
	s.grant = grant
	for _, f := range s.workers {
		f.maxGrant = grant
	}
	s.changeHolder(s.workers...)
	s.runFor(30 * time.Second)
	return s
}

// sendLateStarts submits a job of long-running tasks, whose starts get no answer, and returns the worker of the first one.
func (s *simulation) sendLateStarts(t *testing.T, id string, count int) *fakeWorker {
	t.Helper()
	before := len(s.lateStarts)
	s.nextFate = func() startFate { return fateLate }
	s.submit(longRunningJob(id, count, 500))
	s.step(50 * time.Millisecond)
	s.nextFate = func() startFate { return fateAccepted }
	if len(s.lateStarts) != before+count {
		t.Fatalf("%d starts are on their way, want %d", len(s.lateStarts)-before, count)
	}
	return s.lateStarts[before].worker
}

// TestStartsAfterSilentRestart guards against long-running tasks that have no run for longer than the platform allows, as a
// start got no answer and its worker has restarted and is silent, but stays registered.
func TestStartsAfterSilentRestart(t *testing.T) {
	tests := map[string]struct {
		// executed is true if the restarted worker executes the start before it becomes silent.
		executed bool
		bound    time.Duration
		grant    time.Duration
	}{
		"the start is lost":                    {grant: shortGrant, bound: maxTimeWithoutRun},
		"the restarted worker has executed it": {grant: shortGrant, bound: maxTimeWithoutRun, executed: true},
		"long leases":                          {grant: 10 * time.Second, bound: 10500 * time.Millisecond},
		"long leases, it has executed it":      {grant: 10 * time.Second, bound: 10500 * time.Millisecond, executed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newGrantingSimulation(3, test.grant)
			restarted := s.sendLateStarts(t, jobID, 1)
			restarted.reboot()
			if test.executed {
				restarted.start(s.lateStarts[0].order)
			}
			s.lateStarts = nil
			s.register(restarted)
			restarted.reachable = false
			s.runFor(test.bound)
			if task := (dispatcher.TaskID{Job: jobID}); s.running[task] != 1 {
				t.Errorf("%s has %d runs %v after the restart, want 1", task, s.running[task], test.bound)
			}
			for _, report := range s.events.waits(dispatcher.WaitRun) {
				if !strings.Contains(report.Detail, "time left: ") {
					t.Errorf("a report without the time that is left: %s", report.Detail)
				}
			}
			requireNoViolations(t, s)
		})
	}
}

// TestLateStartsAfterSilentRestart guards against two runs of a task: a worker that has restarted and is silent executes starts
// that were sent before its restart, seconds later, and its runs count as ended when the lease would have that counts from when
// the first of them was sent.
func TestLateStartsAfterSilentRestart(t *testing.T) {
	tests := map[string]struct {
		// between is the time from the first starts to the restart, in which starts of another job are sent if it isn't 0.
		between    time.Duration
		registered bool
	}{
		"the worker stays registered":        {registered: true},
		"the worker isn't registered":        {},
		"another start extends the lease":    {registered: true, between: time.Second},
		"another start, it isn't registered": {between: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newGrantingSimulation(3, shortGrant)
			s.lateAfterRestart, s.stopsLost = true, true
			restarted := s.sendLateStarts(t, jobID, 3)
			if test.between > 0 {
				s.runFor(test.between)
				s.sendLateStarts(t, otherID, 3)
			}
			restarted.reboot()
			s.register(restarted)
			restarted.reachable = false
			if !test.registered {
				s.step(50 * time.Millisecond)
				s.unregister(restarted)
			}
			s.runFor(15 * time.Second)
			requireNoViolations(t, s)
		})
	}
}

// giveUpPoll has the holder poll a worker without an answer. The poll is executed after a time by the boot that is up then.
func (s *simulation) giveUpPoll(f *fakeWorker, delay time.Duration) {
	order, _ := s.cell.NextPoll(s.now, f.registration.ID)
	s.lateCalls = append(s.lateCalls, lateCall{at: s.now.Add(delay), execute: func() { f.poll(order) }})
	s.cell.HandlePollAnswer(s.now, s.now, order, dispatcher.Listing{}, dispatcher.AnswerUnknown)
}

// TestLatePollsAfterRestart guards against two runs of a task: a restarted worker executes a poll for its former life, which
// extends its lease to the longest that it accepts, and becomes silent. Its runs count as ended when the lease has expired that
// the holder granted to the new life.
func TestLatePollsAfterRestart(t *testing.T) {
	tests := map[string]struct {
		// delay is how long after the restart the poll is executed, heard for how long the worker answers then.
		delay, heard time.Duration
		run          func(s *simulation, restarted *fakeWorker)
	}{
		"the new life hasn't answered before": {delay: 20 * time.Millisecond, heard: 200 * time.Millisecond},
		"the new life has runs":               {delay: 2900 * time.Millisecond, heard: 50 * time.Millisecond},
		"the holder has changed since": {delay: 2 * time.Second, heard: 50 * time.Millisecond, run: func(s *simulation, _ *fakeWorker) {
			s.release(s.workers...)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newGrantingSimulation(3, shortGrant)
			restarted := s.workers[0]
			s.giveUpPoll(restarted, test.delay)
			restarted.reboot()
			s.register(restarted)
			s.runFor(100 * time.Millisecond)
			s.submit(longRunningJob(jobID, 3, 3500))
			s.runFor(test.delay)
			if len(restarted.running) != 1 {
				t.Fatalf("%s has %d runs, want 1", restarted.registration.ID, len(restarted.running))
			}
			if test.run != nil {
				test.run(s, restarted)
			}
			s.runFor(test.heard)
			restarted.reachable = false
			s.enlarge(s.workers[1:])
			s.runFor(15 * time.Second)
			requireNoViolations(t, s)
		})
	}
}

// TestGivenUpStartsAfterRestart guards against two runs of a task: the holder gives up a start that got no answer, the task runs
// elsewhere, and the worker restarts, answers, and executes the start.
func TestGivenUpStartsAfterRestart(t *testing.T) {
	const beforeStart = 200 * time.Millisecond
	tests := map[string]func(s *simulation, f *fakeWorker){
		"the worker had accepted the stop": func(s *simulation, f *fakeWorker) {
			s.runFor(time.Second)
			f.reboot()
			s.runFor(time.Second)
		},
		"its lease had expired": func(s *simulation, f *fakeWorker) {
			f.reachable = false
			s.runFor(6 * time.Second)
			f.reboot()
			f.reachable = true
		},
		"it restarts twice": func(s *simulation, f *fakeWorker) {
			s.runFor(time.Second)
			f.reboot()
			s.runFor(time.Second)
			f.reboot()
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			s := newGrantingSimulation(3, shortGrant)
			s.lateAfterRestart = true
			restarted := s.sendLateStarts(t, jobID, 1)
			s.lateStarts[0].at = s.now.Add(time.Hour)
			run(s, restarted)
			if task := (dispatcher.TaskID{Job: jobID}); s.running[task] != 1 {
				t.Fatalf("%s has %d runs before its late start, want 1", task, s.running[task])
			}
			s.lateStarts[0].at = s.now.Add(beforeStart)
			s.runFor(5 * time.Second)
			requireNoViolations(t, s)
		})
	}
}

// TestEndsForgottenAfterRestart guards against a start after the end of a run that was done was acknowledged: a restarted
// worker, whose answers are lost for a moment, executes a poll that acknowledges ends of its former life, and forgets the ends
// with the same numbers of the present one, which nobody has read.
func TestEndsForgottenAfterRestart(t *testing.T) {
	s := newGrantingSimulation(1, shortGrant)
	s.submit(plainJob(otherID, 3, 200*time.Millisecond, 1))
	s.runFor(time.Second)
	requireState(t, s, otherID, dispatcher.StateCompleted)
	restarted := s.workers[0]
	s.giveUpPoll(restarted, 2*time.Second)
	restarted.reboot()
	s.register(restarted)
	s.runFor(time.Second)
	s.submit(plainJob(jobID, 3, 500*time.Millisecond, 1))
	s.runFor(200 * time.Millisecond)
	if len(restarted.running) != 3 {
		t.Fatalf("%s has %d runs, want 3", restarted.registration.ID, len(restarted.running))
	}
	restarted.answersLost = true
	s.runFor(time.Second)
	restarted.answersLost = false
	s.runFor(5 * time.Second)
	requireNoViolations(t, s)
}

// TestLateStartAfterUnseenRestart guards against two runs of a task: a worker that is cut off restarts unseen, and executes a
// start for its former life, whose run counts as ended when the lease of the former life has expired.
func TestLateStartAfterUnseenRestart(t *testing.T) {
	s := newGrantingSimulation(3, shortGrant)
	s.lateAfterRestart = true
	restarted := s.sendLateStarts(t, jobID, 1)
	restarted.reachable = false
	s.runFor(100 * time.Millisecond)
	restarted.reboot()
	s.runFor(15 * time.Second)
	requireNoViolations(t, s)
}

// TestLateStopAfterRestart guards against a task that doesn't run any more, as a restarted worker that runs it again executes the
// stop of its run of the former life.
func TestLateStopAfterRestart(t *testing.T) {
	s := newGrantingSimulation(1, shortGrant)
	s.submit(longRunningJob(jobID, 1, 500))
	s.runFor(time.Second)
	task, restarted := dispatcher.TaskID{Job: jobID}, s.workers[0]
	former := restarted.running[task].number
	restarted.reboot()
	s.register(restarted)
	s.runFor(time.Second)
	for range 2 {
		restarted.stop(dispatcher.StopOrder{Worker: restarted.registration, Task: task, Run: former, Epoch: s.cell.Epoch})
		s.runFor(time.Second)
		if r := restarted.running[task]; r == nil || r.number == former || r.stopping {
			t.Fatalf("the run of %s after a late stop of run %d = %+v, want a later one that isn't stopped", task, former, r)
		}
		restarted.end(restarted.running[task], dispatcher.EndingFailed)
		s.runFor(time.Second)
	}
	requireNoViolations(t, s)
}

package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestLateStartOfReplacedRun guards against two runs of a task, or a run after an acknowledged one: a start that got no answer is
// replaced by another one, its worker restarts, and the next life executes the first start.
func TestLateStartOfReplacedRun(t *testing.T) {
	const length = 300 * time.Millisecond
	tests := map[string]func(s *simulation, f *fakeWorker){
		"the other run lasts": func(s *simulation, f *fakeWorker) {
			s.runFor(100 * time.Millisecond)
			f.reboot()
		},
		"the other run is done": func(s *simulation, f *fakeWorker) {
			s.runFor(2 * time.Second)
			f.reboot()
		},
		"the other run is done, the restart is registered first": func(s *simulation, f *fakeWorker) {
			s.runFor(2 * time.Second)
			f.reboot()
			s.register(f)
		},
		"the worker restarts twice": func(s *simulation, f *fakeWorker) {
			f.reboot()
			s.register(f)
			s.runFor(time.Second)
			f.reboot()
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			s := newGrantingSimulation(3, shortGrant)
			s.lateAfterRestart = true
			s.nextFate = func() startFate { return fateLate }
			s.submit(plainJob(jobID, 1, length, 1))
			s.step(50 * time.Millisecond)
			s.nextFate = func() startFate { return fateAccepted }
			if len(s.lateStarts) != 1 {
				t.Fatalf("%d starts are on their way, want 1", len(s.lateStarts))
			}
			f := s.lateStarts[0].worker
			s.lateStarts[0].at = s.now.Add(time.Hour)
			run(s, f)
			s.lateStarts[0].at = s.now
			s.runFor(20 * time.Second)
			requireState(t, s, jobID, dispatcher.StateCompleted)
			requireNoViolations(t, s)
		})
	}
}

// TestLateStartInFlight guards against a start after an acknowledged end: the worker restarts before the answer to a start is
// overdue, the task runs elsewhere, the worker restarts once more and executes the start.
func TestLateStartInFlight(t *testing.T) {
	s := newGrantingSimulation(3, shortGrant)
	s.submit(plainJob(jobID, 1, 300*time.Millisecond, 1))
	orders := s.cell.Plan(s.now)
	if len(orders.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(orders.Starts))
	}
	f := s.workerByID(orders.Starts[0].Worker.ID)
	f.reboot()
	s.register(f)
	s.runFor(2 * time.Second)
	s.cell.HandleStartAnswer(s.now, orders.Starts[0], dispatcher.AnswerUnknown)
	f.reboot()
	f.start(orders.Starts[0])
	s.register(f)
	s.runFor(20 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestLateStartOfSuspect guards against a start after an acknowledged end: a task counts as a suspect, as its worker has restarted
// twice soon after starts that got no answer, runs elsewhere, and a later life of the worker executes the first of the starts.
func TestLateStartOfSuspect(t *testing.T) {
	s := newGrantingSimulation(3, shortGrant)
	s.lateAfterRestart = true
	s.nextFate = func() startFate { return fateLate }
	s.submit(plainJob(jobID, 1, 300*time.Millisecond, 1))
	s.step(50 * time.Millisecond)
	if len(s.lateStarts) != 1 {
		t.Fatalf("%d starts are on their way, want 1", len(s.lateStarts))
	}
	f := s.lateStarts[0].worker
	for range 2 {
		f.reboot()
		s.register(f)
		s.runFor(200 * time.Millisecond)
	}
	for i := range s.lateStarts {
		s.lateStarts[i].at = s.now.Add(time.Hour)
	}
	s.nextFate = func() startFate { return fateAccepted }
	s.runFor(2 * time.Second)
	f.reboot()
	s.register(f)
	s.lateStarts[0].at = s.now
	s.runFor(30 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestLateStartOfLongRunningTask guards against two runs of a long-running task: the registry reports the restart of its worker,
// which executes an earlier start of the task before it has answered the holder.
func TestLateStartOfLongRunningTask(t *testing.T) {
	s := newGrantingSimulation(3, shortGrant)
	s.lateAfterRestart = true
	f := s.sendLateStarts(t, jobID, 1)
	s.lateStarts[0].at = s.now.Add(time.Hour)
	s.runFor(time.Second)
	if task := (dispatcher.TaskID{Job: jobID}); f.running[task] == nil {
		t.Fatalf("%s has no run of %s", f.registration.ID, task)
	}
	f.reboot()
	f.answersLost = true
	s.register(f)
	s.lateStarts[0].at = s.now
	s.runFor(200 * time.Millisecond)
	f.answersLost = false
	s.runFor(5 * time.Second)
	if running := s.running[dispatcher.TaskID{Job: jobID}]; running != 1 {
		t.Errorf("%d runs after the restart, want 1", running)
	}
	requireNoViolations(t, s)
}

// TestLateStartsDelayNoTask guards against tasks that wait, or count as the cause of crashes, as starts get no answer although no
// worker restarts.
func TestLateStartsDelayNoTask(t *testing.T) {
	const count = 8
	s := newGrantingSimulation(3, shortGrant)
	unanswered := 0
	s.nextFate = func() startFate {
		if unanswered < count {
			unanswered++
			return fateLate
		}
		return fateAccepted
	}
	s.submit(plainJob(jobID, count, 300*time.Millisecond, 1))
	s.runFor(2 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	for _, e := range s.events.recorded {
		if e.Kind == dispatcher.KindCrash {
			t.Errorf("a task counts as the cause of a crash: %s", e.Detail)
		}
	}
	s.runFor(20 * time.Second)
	for _, f := range s.workers {
		if len(f.ended) > 0 {
			t.Errorf("%s still lists %d ends, want none", f.registration.ID, len(f.ended))
		}
	}
	requireNoViolations(t, s)
}

// TestWorkerWithoutBoot guards against a worker that never gets a start as it reports no boot.
func TestWorkerWithoutBoot(t *testing.T) {
	s := newSimulation(1)
	s.workers[0].hidesBoot = true
	s.workers[0].registration.Boot = 0
	s.changeHolder(s.workers...)
	s.submit(plainJob(jobID, 2, 300*time.Millisecond, 1))
	s.runFor(5 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestForgottenEndsAreReported guards against tasks that are started again without an event that explains it: their worker
// has forgotten ends which this holder hasn't acknowledged.
func TestForgottenEndsAreReported(t *testing.T) {
	s := newGrantingSimulation(1, shortGrant)
	f := s.workers[0]
	f.answersLost = true
	s.submit(plainJob(jobID, 2, 300*time.Millisecond, 1))
	s.step(50 * time.Millisecond)
	f.answersLost = false
	s.submit(plainJob(otherID, 2, 300*time.Millisecond, 1))
	for len(f.ended) < 2 {
		s.now = s.now.Add(50 * time.Millisecond)
		f.endDueRuns()
	}
	f.ended = f.ended[1:]
	s.runFor(time.Second)
	reported := 0
	for _, e := range s.events.recorded {
		if e.Kind == dispatcher.KindEndsForgotten {
			reported++
		}
	}
	if reported != 1 {
		t.Errorf("%d events of forgotten ends, want 1", reported)
	}
}

// TestTokensStayBelowNextTerm guards against a worker that refuses the next holder, as the tokens of the one before have risen
// above its term.
func TestTokensStayBelowNextTerm(t *testing.T) {
	s := newGrantingSimulation(3, shortGrant)
	for range 30 {
		for _, f := range s.workers {
			f.reboot()
			s.register(f)
		}
		s.runFor(200 * time.Millisecond)
	}
	for _, f := range s.workers {
		if f.epoch <= s.cell.Epoch || f.epoch >= s.cell.Epoch+termRevisions {
			t.Errorf("%s has seen token %d, want one above %d that precedes the next term", f.registration.ID, f.epoch, s.cell.Epoch)
		}
	}
	s.changeHolder(s.workers...)
	s.runFor(time.Second)
	if s.cell.Superseded() || !s.cell.Confirmed(s.now) {
		t.Errorf("the next holder is superseded: %t, confirmed: %t", s.cell.Superseded(), s.cell.Confirmed(s.now))
	}
}

// TestOwnTokenEndsNoTerm guards against a holder that gives its cell up, or loses a task, as a worker refuses an order
// that carries an earlier token of its own.
func TestOwnTokenEndsNoTerm(t *testing.T) {
	s := newGrantingSimulation(1, shortGrant)
	f := s.workers[0]
	order, _ := s.cell.NextPoll(s.now, f.registration.ID)
	s.cell.HandlePollAnswer(s.now, s.now, order, dispatcher.Listing{}, dispatcher.AnswerUnknown)
	s.submit(plainJob(jobID, 1, 300*time.Millisecond, 1))
	orders := s.cell.Plan(s.now)
	if len(orders.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(orders.Starts))
	}
	raised, _ := s.cell.NextPoll(s.now, f.registration.ID)
	listing, answer := f.poll(raised)
	refused := f.start(orders.Starts[0])
	s.cell.HandlePollAnswer(s.now, s.now, raised, listing, answer)
	s.cell.HandleStartAnswer(s.now, orders.Starts[0], refused)
	if refused != dispatcher.AnswerFenced {
		t.Fatalf("the start with an earlier token was answered %q, want %q", refused, dispatcher.AnswerFenced)
	}
	s.runFor(2 * time.Second)
	if s.cell.Superseded() {
		t.Error("the holder counts as superseded")
	}
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

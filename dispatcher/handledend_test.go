package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// handledEndTests are the cases of TestEndAfterStoredState: what the holder learns of the stop.
var handledEndTests = map[string]dispatcher.Answer{
	"the stop is accepted":        dispatcher.AnswerAccepted,
	"the answer to it is lost":    dispatcher.AnswerUnknown,
	"the worker refuses the stop": dispatcher.AnswerStaleRun,
}

// TestEndAfterStoredState guards against a run that takes capacity after its worker has listed its end, and
// is then reported as lost: the final state of its job was stored before.
func TestEndAfterStoredState(t *testing.T) {
	for name, stopAnswer := range handledEndTests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(1)
			cancelled, next := plainJob(jobID, 1, 10*time.Second, 1), plainJob(otherID, 1, 10*time.Second, 1)
			cancelled.Steps[0].Size, next.Steps[0].Size = fullCapacity, fullCapacity
			s.submit(cancelled)
			s.runFor(300 * time.Millisecond)
			f := s.workers[0]
			order, _ := s.cell.NextPoll(s.now, f.registration.ID)
			sent := s.now
			s.cell.Cancel(s.now, jobID)
			s.save()
			s.now = s.now.Add(50 * time.Millisecond)
			for _, stop := range s.cell.Plan(s.now).Stops {
				f.stop(stop)
				s.cell.HandleStopAnswer(s.now, stop, stopAnswer)
			}
			s.submit(next)
			s.now = s.now.Add(stopTime)
			listing, answer := f.poll(order)
			s.cell.HandlePollAnswer(s.now, sent, order, listing, answer)
			s.execute(s.cell.Plan(s.now))
			if s.running[dispatcher.TaskID{Job: otherID}] != 1 {
				t.Error("the capacity of the run isn't free although its end was listed")
			}
			s.runFor(time.Second)
			if lost := s.countEvents(dispatcher.KindLost, dispatcher.TaskID{Job: jobID}); lost != 0 {
				t.Errorf("the run was reported as lost %d times although its end was listed", lost)
			}
			requireNoViolations(t, s)
		})
	}
}

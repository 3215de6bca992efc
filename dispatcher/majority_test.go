package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// pollWith polls a worker for a holder.
func (s *simulation) pollWith(c *dispatcher.Cell, f *fakeWorker) {
	s.now = s.now.Add(10 * time.Millisecond)
	order, _ := c.NextPoll(s.now, f.registration.ID)
	if order.Boot != 0 && order.Boot != f.reportedBoot() {
		c.HandlePollAnswer(s.now, s.now, order, dispatcher.Listing{}, dispatcher.AnswerUnsent)
		return
	}
	listing, answer := f.poll(order)
	c.HandlePollAnswer(s.now, s.now, order, listing, answer)
}

// TestMajorityOfUnregisteredWorkers guards against two holders that act at the same time: the
// registrations expired while the store was down, and the earlier holder, cut off from the
// store and from most workers since, counts a majority among those that it reaches.
func TestMajorityOfUnregisteredWorkers(t *testing.T) {
	s := newActiveSimulation(5)
	earlier := s.cell
	for _, f := range s.workers {
		earlier.RemoveWorker(s.now, f.registration.ID)
	}
	s.changeHolder(s.workers...)
	later := s.cell
	for end := s.now.Add(2 * limits.MaxConfirmationAge); s.now.Before(end); {
		for _, f := range s.workers[1:] {
			s.pollWith(later, f)
		}
		s.pollWith(earlier, s.workers[0])
	}
	if earlier.Confirmed(s.now) && later.Confirmed(s.now) {
		t.Errorf("one of 5 workers confirms the earlier holder %v after a later one was confirmed", limits.MaxConfirmationAge)
	}
}

// TestFirstMajorityAfterRestart guards against two holders that act at the same time: a
// worker restarts, and so forgets the newer epoch, before the earlier holder polls it for the
// first time.
func TestFirstMajorityAfterRestart(t *testing.T) {
	s := newSimulation(3)
	s.changeHolder(s.workers...)
	earlier := s.cell // paused between its load and its first poll
	s.changeHolder(s.workers...)
	later := s.cell
	s.pollWith(later, s.workers[0])
	s.pollWith(later, s.workers[1])
	s.workers[0].reboot()
	for end := s.now.Add(limits.MaxConfirmationAge); s.now.Before(end); {
		s.pollWith(later, s.workers[1])
	}
	s.pollWith(earlier, s.workers[0])
	s.pollWith(earlier, s.workers[2])
	if earlier.Confirmed(s.now) {
		t.Errorf("the earlier holder is confirmed %v after the later one was", limits.MaxConfirmationAge)
	}
	if !earlier.TermCheckDue(s.now) {
		t.Error("the earlier holder doesn't ask the store about its term")
	}
}

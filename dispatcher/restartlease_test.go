package dispatcher_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/dispatcher"
)

// maxGrant is the longest lease that a worker of these tests accepts; limits.LeaseDuration
// is half of it, as on the users' platform.
const maxGrant = 8 * time.Second

// newAgedSimulation returns a simulation whose holder is active and whose workers' clocks
// read 30 s and more.
func newAgedSimulation(workers int) *simulation {
	s := newActiveSimulation(workers)
	s.runFor(30 * time.Second)
	for _, f := range s.workers {
		f.maxGrant = maxGrant
	}
	return s
}

// enlarge doubles the processors of workers.
func (s *simulation) enlarge(workers []*fakeWorker) {
	for _, f := range workers {
		f.registration.Capacity.MilliProcessors *= 2
		s.register(f)
	}
}

// requireBoundedLease fails if a worker holds a longer lease than the holder grants.
func requireBoundedLease(t *testing.T, f *fakeWorker) {
	t.Helper()
	if lease := f.leaseEnd - f.clock(); lease > limits.LeaseDuration {
		t.Errorf("%s, restarted, holds a lease of %v, want at most %v", f.registration.ID, lease, limits.LeaseDuration)
	}
}

// TestLeaseOfPollAfterRestart guards against two runs of a task at the same time: the
// poll after one that wasn't sent names no boot and takes the lease end on the clock of
// the boot before to the new one, which keeps a longer lease than the holder knows.
func TestLeaseOfPollAfterRestart(t *testing.T) {
	s := newAgedSimulation(3)
	restarted := s.workers[0]
	restarted.reboot()
	s.runFor(100 * time.Millisecond)
	requireBoundedLease(t, restarted)
	s.register(restarted)
	s.submit(longRunningJob(jobID, 3, 3500))
	s.step(50 * time.Millisecond)
	if len(restarted.running) != 1 {
		t.Fatalf("%s has %d runs, want 1", restarted.registration.ID, len(restarted.running))
	}
	restarted.reachable = false
	s.enlarge(s.workers[1:])
	s.runFor(10 * time.Second)
	requireNoViolations(t, s)
}

// TestLeaseOfStartAfterRestart guards against two runs of a task at the same time: a start
// takes the lease end on the clock of the boot before to a worker that has restarted since
// it was polled.
func TestLeaseOfStartAfterRestart(t *testing.T) {
	s := newAgedSimulation(3)
	s.submit(longRunningJob(jobID, 3, 3500))
	restarted := s.workers[0]
	restarted.reboot()
	s.execute(s.cell.Plan(s.now))
	requireBoundedLease(t, restarted)
	if len(restarted.running) > 0 {
		t.Errorf("%s has %d runs of starts for the boot before", restarted.registration.ID, len(restarted.running))
	}
	s.runFor(time.Second)
	s.register(restarted)
	s.runFor(time.Second)
	requireBoundedLease(t, restarted)
	if len(restarted.running) != 1 {
		t.Fatalf("%s has %d runs, want 1", restarted.registration.ID, len(restarted.running))
	}
	restarted.reachable = false
	s.enlarge(s.workers[1:])
	s.runFor(10 * time.Second)
	requireNoViolations(t, s)
}

// TestRunOfRestartedWorkerThatIsGone guards against two runs of a task at the same time: a
// restarted worker accepted a start before the registry told of the restart, was cut off,
// and counts as gone before the lease of the run has expired.
func TestRunOfRestartedWorkerThatIsGone(t *testing.T) {
	s := newActiveSimulation(3)
	s.startsReachAnyBoot = true
	s.submit(plainJob(jobID, 3, 6*time.Second, 1))
	restarted := s.workers[0]
	restarted.reboot()
	s.execute(s.cell.Plan(s.now))
	if len(restarted.running) == 0 {
		t.Fatalf("%s has no run", restarted.registration.ID)
	}
	s.register(restarted)
	restarted.reachable = false
	s.runFor(500 * time.Millisecond)
	s.unregister(restarted)
	s.runFor(10 * time.Second)
	requireNoViolations(t, s)
}

// TestRestartAfterClockStep guards against tasks that wait for ever: the worker restarted
// while its time of day was set back, so that its new boot time is below the one before.
func TestRestartAfterClockStep(t *testing.T) {
	s := newActiveSimulation(1)
	s.submit(plainJob(jobID, 2, 500*time.Millisecond, 2))
	s.runFor(100 * time.Millisecond)
	f := s.workers[0]
	f.reboot()
	f.bootStep = -2 * time.Second
	f.registration.Boot = f.reportedBoot()
	s.register(f)
	s.runFor(20 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestAnswerWithoutBoot guards against an acknowledgement that names no boot: an
// answer without a boot time makes the next poll name any boot, but still acknowledge.
func TestAnswerWithoutBoot(t *testing.T) {
	s := newActiveSimulation(1)
	s.submit(plainJob(otherID, 3, 200*time.Millisecond, 1))
	s.runFor(time.Second)
	id := s.workers[0].registration.ID
	order, _ := s.cell.NextPoll(s.now, id)
	listing, answer := s.workers[0].poll(order)
	listing.Boot = 0
	s.now = s.now.Add(50 * time.Millisecond)
	s.cell.HandlePollAnswer(s.now, s.now, order, listing, answer)
	if order, _ = s.cell.NextPoll(s.now, id); order.Boot == 0 && order.Acknowledged != 0 {
		t.Errorf("a poll of any boot acknowledges the ends up to %d", order.Acknowledged)
	}
}

// TestMajoritiesAfterRestart guards against two holders that act at the same time: a worker
// that restarts forgets the newer epoch, and counts for the earlier holder again. Both may be
// confirmed for MaxConfirmationAge, with or without a restart.
func TestMajoritiesAfterRestart(t *testing.T) {
	s := newActiveSimulation(3)
	earlier := s.cell
	s.changeHolder(s.workers...)
	later := s.cell
	pollWith := func(c *dispatcher.Cell, f *fakeWorker) {
		s.now = s.now.Add(10 * time.Millisecond)
		order, _ := c.NextPoll(s.now, f.registration.ID)
		if order.Boot != 0 && order.Boot != f.reportedBoot() {
			c.HandlePollAnswer(s.now, s.now, order, dispatcher.Listing{}, dispatcher.AnswerUnsent)
			return
		}
		listing, answer := f.poll(order)
		c.HandlePollAnswer(s.now, s.now, order, listing, answer)
	}
	pollWith(later, s.workers[0])
	pollWith(later, s.workers[1])
	if !later.Confirmed(s.now) {
		t.Fatal("the later holder isn't confirmed")
	}
	s.workers[0].reboot()
	// The later holder reckons with starts of the earlier one for this time.
	for end := s.now.Add(limits.MaxConfirmationAge); s.now.Before(end); {
		pollWith(earlier, s.workers[0])
		pollWith(earlier, s.workers[2])
		pollWith(later, s.workers[1])
	}
	if earlier.Confirmed(s.now) {
		t.Errorf("the earlier holder is confirmed %v after the later one was", limits.MaxConfirmationAge)
	}
	if !earlier.TermCheckDue(s.now) {
		t.Error("the earlier holder doesn't ask the store about its term")
	}
}

// TestConfirmedAfterSuspension guards against a holder that acts on old answers: its VM was
// suspended, which its clock doesn't count, and another holder may have taken over.
func TestConfirmedAfterSuspension(t *testing.T) {
	s := newActiveSimulation(3)
	runner := dispatcher.NewRunner(s.cell, clockwork.NewFakeClockAt(s.now), idleWorkers{}, &slowArchive{})
	suspended := time.Duration(0)
	runner.SuspendedTime = func() time.Duration { return suspended }
	dispatcher.DetectSuspension(runner)
	if !s.cell.Confirmed(s.now) {
		t.Fatal("the holder isn't confirmed before the suspension")
	}
	sent := s.now
	order, _ := s.cell.NextPoll(sent, s.workers[0].registration.ID)
	listing, answer := s.workers[0].poll(order)
	suspended = 5 * time.Second
	dispatcher.DetectSuspension(runner)
	s.cell.HandlePollAnswer(s.now, sent, order, listing, answer)
	if s.cell.Confirmed(s.now) {
		t.Error("the holder is confirmed by answers from before the suspension")
	}
	s.runFor(100 * time.Millisecond)
	if !s.cell.Confirmed(s.now) {
		t.Error("the holder isn't confirmed by answers after the suspension")
	}
}

// TestConfirmedAfterRestart guards against a holder that stops acting: the workers that have
// restarted since count again once the store has confirmed its term.
func TestConfirmedAfterRestart(t *testing.T) {
	s := newActiveSimulation(3)
	s.storeDown = true
	for _, f := range s.workers {
		f.reboot()
	}
	s.runFor(limits.MaxConfirmationAge + time.Second)
	if s.cell.Confirmed(s.now) {
		t.Error("the holder is confirmed although no worker may know a newer epoch any more")
	}
	s.storeDown = false
	s.runFor(100 * time.Millisecond)
	if !s.cell.Confirmed(s.now) {
		t.Error("the holder isn't confirmed although the store has confirmed its term")
	}
}

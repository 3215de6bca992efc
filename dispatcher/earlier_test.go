package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// loseHalf makes half of the workers exit without a trace and starts a new holder.
func loseHalf(s *simulation) {
	for i, f := range s.workers {
		if i%2 == 0 {
			continue
		}
		s.unregister(f)
		f.reboot()
		f.reachable = false
	}
	var listed []*fakeWorker
	for f := range s.registered {
		listed = append(listed, f)
	}
	s.changeHolder(listed...)
}

// TestLostHalfAfterRestart guards against a cell that never acts again: a new holder waited for
// the votes of workers that no longer exist and whose addresses refuse nothing, although all
// earlier holders had ended.
func TestLostHalfAfterRestart(t *testing.T) {
	s := newActiveSimulation(4)
	s.submit(longRunningJob(jobID, 4, 1500))
	s.submit(plainJob(otherID, 4, 3*time.Second, 1))
	s.runFor(500 * time.Millisecond)
	loseHalf(s)
	s.cell.EarlierHoldersEnded(s.now)
	s.runFor(7 * time.Second)
	for index := range 4 {
		if id := (dispatcher.TaskID{Job: jobID, Index: index}); s.running[id] != 1 {
			t.Errorf("%s has %d runs 7 s after the change of the holder, want 1", id, s.running[id])
		}
	}
	s.runFor(5 * time.Second)
	requireState(t, s, otherID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestLostHalfUnderEarlierHolder guards against two holders that act: workers that are gone for the
// new one may still support an earlier one that isn't known to have ended.
func TestLostHalfUnderEarlierHolder(t *testing.T) {
	s := newActiveSimulation(4)
	s.submit(longRunningJob(jobID, 4, 1500))
	s.runFor(500 * time.Millisecond)
	loseHalf(s)
	s.runFor(20 * time.Second)
	if s.cell.Confirmed(s.now) {
		t.Error("the new holder acts with half of the workers")
	}
}

// TestEarlierLeasesAfterRestart guards against two runs of a task: that the earlier holders have
// ended doesn't end the leases that they granted.
func TestEarlierLeasesAfterRestart(t *testing.T) {
	s := newActiveSimulation(5)
	s.submit(plainJob(jobID, 10, 12*time.Second, 1))
	s.runFor(500 * time.Millisecond)
	cut := s.workers[0]
	cut.reachable = false
	s.unregister(cut)
	s.changeHolder(s.workers[1:]...)
	s.cell.EarlierHoldersEnded(s.now)
	s.runFor(30 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// TestVotersWithTakenAddresses guards against a cell that never acts again: a new holder waited for
// the votes of workers at whose addresses other workers answer.
func TestVotersWithTakenAddresses(t *testing.T) {
	s := newActiveSimulation(4)
	s.submit(longRunningJob(jobID, 4, 1500))
	s.runFor(500 * time.Millisecond)
	loseHalf(s)
	for i, f := range s.workers {
		if i%2 != 0 {
			f.reachable, f.replaced = true, true
		}
	}
	s.runFor(time.Second)
	if !s.cell.Confirmed(s.now) {
		t.Error("the new holder doesn't act 1 s after the change")
	}
	requireNoViolations(t, s)
}

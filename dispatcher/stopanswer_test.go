package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestStopAnswerOfEarlierBoot guards against two runs of a task: a start is on its way to a worker that
// restarts, and the answer to its stop, of the boot before, is taken for one of the new boot, which then gets the
// start although the holder has taken the run for never started.
func TestStopAnswerOfEarlierBoot(t *testing.T) {
	s := newActiveSimulation(3)
	s.archive.unproven = true // else a poll with a higher fencing token excludes the start, without a stop
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	s.nextFate = func() startFate { return fateLate }
	s.startsReachAnyBoot, s.lateAfterRestart = true, true
	s.submit(plainJob(jobID, 1, 6*time.Second, 1))
	s.step(50 * time.Millisecond)
	if len(s.lateStarts) != 1 {
		t.Fatalf("%d starts are on their way, want 1", len(s.lateStarts))
	}
	f := s.lateStarts[0].worker
	s.nextFate = func() startFate { return fateAccepted }
	// The worker accepts the stop, and restarts before its answer arrives.
	s.now = s.now.Add(50 * time.Millisecond)
	s.pollAll()
	stops := s.cell.Plan(s.now).Stops
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	answer := f.stop(stops[0])
	f.reboot()
	for range 2 { // the first poll names the boot before
		s.now = s.now.Add(50 * time.Millisecond)
		s.pollAll()
	}
	s.cell.HandleStopAnswer(s.now, stops[0], answer)
	s.register(f)
	s.runFor(20 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

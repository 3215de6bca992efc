package owner

import (
	"testing"
	"time"
)

// TestQuarantineProbes checks that a quarantined worker gets one probe at a time, after
// waits that double with each failure, and that a completed task ends the quarantine.
func TestQuarantineProbes(t *testing.T) {
	t.Parallel()
	const wait = 10 * time.Second
	now := time.Unix(0, 0)
	tracker := newFailureTracker(wait)
	for i, task := range []string{"a", "b", "c"} {
		if got, want := tracker.recordFailure(task, "w", now, 8), i == 2; got != want {
			t.Errorf("failure %d: quarantine is %t, want %t", i, got, want)
		}
	}
	for round, pause := range []time.Duration{wait, 2 * wait, 4 * wait} {
		if tracker.acceptsTasks("w", now.Add(pause-1)) {
			t.Errorf("round %d: a probe before the wait of %v is over", round, pause)
		}
		now = now.Add(pause)
		if !tracker.acceptsTasks("w", now) {
			t.Errorf("round %d: no probe after the wait of %v", round, pause)
		}
		tracker.recordPlacement("probe", "w")
		if tracker.acceptsTasks("w", now) {
			t.Errorf("round %d: a second probe at once", round)
		}
		tracker.recordFailure("probe", "w", now, 8)
	}
	tracker.clearWorker("w")
	if !tracker.acceptsTasks("w", now) || tracker.isQuarantined("w") {
		t.Error("in quarantine after a task was done")
	}
}

// TestQuarantineIsBounded lets tasks fail on every worker. At most half of the workers
// may be quarantined, and removing a task at fault must clear its workers.
func TestQuarantineIsBounded(t *testing.T) {
	t.Parallel()
	tracker := newFailureTracker(time.Second)
	workers := []string{"w0", "w1", "w2", "w3"}
	for _, worker := range workers {
		for _, task := range []string{"a", "b", "c"} {
			tracker.recordFailure(task, worker, time.Unix(0, 0), len(workers))
		}
	}
	if got := tracker.countQuarantined(); got != 2 {
		t.Errorf("%d of 4 workers in quarantine, want 2", got)
	}
	tracker.removeTask("a")
	if got := tracker.countQuarantined(); got != 0 {
		t.Errorf("%d workers in quarantine for tasks at fault, want 0", got)
	}
}

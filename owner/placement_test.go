package owner_test

import (
	"sync"
	"testing"
	"time"

	"zinniashore.example/owner"
	"zinniashore.example/placer"
	"zinniashore.example/submitter"
)

// throttlingDecider starts a task, throttles and evicts it, starts it again, and
// keeps what the snapshots said of it while it was placed.
type throttlingDecider struct {
	mu      sync.Mutex
	evicted bool
	first   placer.Task
	second  placer.Task
}

func (d *throttlingDecider) Decide(s placer.Snapshot) placer.Plan {
	d.mu.Lock()
	defer d.mu.Unlock()
	var plan placer.Plan
	for _, t := range s.Tasks {
		switch {
		case t.State == placer.TaskWaiting:
			reserved := placer.Size{Processors: 500, Memory: 3 << 29}
			plan.Actions = append(plan.Actions, placer.Action{Kind: placer.ActionStart, Task: t.ID, Worker: "w0", Reserved: reserved})
		case t.State == placer.TaskPlaced && d.evicted:
			d.second = t
		case t.State == placer.TaskPlaced && t.Throttle == 1:
			plan.Actions = append(plan.Actions, placer.Action{Kind: placer.ActionThrottle, Task: t.ID, Worker: "w0", Throttle: 0.5})
		case t.State == placer.TaskPlaced:
			d.first, d.evicted = t, true
			plan.Actions = append(plan.Actions, placer.Action{Kind: placer.ActionEvict, Task: t.ID, Worker: "w0"})
		}
	}
	return plan
}

// TestSnapshotsCarryWhatThePolicyNeeds: the reservation of the plan is on record, a
// throttle has its time, and a new attempt starts without a throttle.
func TestSnapshotsCarryWhatThePolicyNeeds(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, 1)
	d := &throttlingDecider{}
	w.process("a", func(o *owner.Owner) { o.Decider = d })
	w.submit(submitter.Job{Name: "long", Tasks: 1, Work: time.Hour})
	w.eventually("a second attempt is placed", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.second.ID != ""
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.first.Reserved != (placer.Size{Processors: 500, Memory: 3 << 29}) {
		t.Errorf("the snapshot says %+v is reserved", d.first.Reserved)
	}
	if d.first.ThrottledAt.IsZero() {
		t.Error("the snapshot does not say when the task was throttled")
	}
	if d.first.Evictions != 0 || d.second.Evictions != 1 {
		t.Errorf("the snapshots count %d and %d evictions", d.first.Evictions, d.second.Evictions)
	}
	if d.second.Throttle != 1 || !d.second.ThrottledAt.IsZero() {
		t.Errorf("the second attempt has throttle %v of %v", d.second.Throttle, d.second.ThrottledAt)
	}
	w.check()
}

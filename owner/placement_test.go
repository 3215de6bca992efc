package owner_test

import (
	"sync"
	"testing"
	"time"

	"zinniashore.example/owner"
	"zinniashore.example/placer"
	"zinniashore.example/submitter"
)

// throttlingDecider starts a task, throttles and evicts it, and starts it again. It
// keeps the task from the snapshots of the first and of the second attempt.
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

// TestSnapshotsCarryWhatThePolicyNeeds checks that snapshots hold the reservation of the
// plan, the time of a throttle and the number of evictions, and that a new attempt
// starts unthrottled.
func TestSnapshotsCarryWhatThePolicyNeeds(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1)
	d := &throttlingDecider{}
	env.process("a", func(o *owner.Owner) { o.Decider = d })
	env.submit(submitter.Job{Name: "long", Tasks: 1, Work: time.Hour})
	env.eventually("a second attempt is placed", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.second.ID != ""
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.first.Reserved != (placer.Size{Processors: 500, Memory: 3 << 29}) {
		t.Errorf("the snapshot has a reservation of %+v", d.first.Reserved)
	}
	if d.first.ThrottledAt.IsZero() {
		t.Error("the snapshot has no time of the throttle")
	}
	if d.first.Evictions != 0 || d.second.Evictions != 1 {
		t.Errorf("the snapshots count %d and %d evictions", d.first.Evictions, d.second.Evictions)
	}
	if d.second.Throttle != 1 || !d.second.ThrottledAt.IsZero() {
		t.Errorf("the second attempt has throttle %v, set at %v", d.second.Throttle, d.second.ThrottledAt)
	}
	env.check()
}

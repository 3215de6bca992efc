package owner_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"zinniashore.example/commander"
	"zinniashore.example/owner"
	"zinniashore.example/placer"
	"zinniashore.example/standin"
	"zinniashore.example/submitter"
)

// resizingDecider starts every task with 2 processors and resizes all running tasks to
// size at each decision.
type resizingDecider struct {
	mu        sync.Mutex
	size      placer.Size
	decisions int
	placed    int
}

// Decide implements owner.Decider.
func (d *resizingDecider) Decide(s placer.Snapshot) placer.Plan {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decisions++
	d.placed = 0
	var plan placer.Plan
	for _, t := range s.Tasks {
		switch t.State {
		case placer.TaskWaiting:
			size := placer.Size{Processors: 2000, Memory: 1 << 28}
			plan.Actions = append(plan.Actions, placer.Action{Kind: placer.ActionStart, Task: t.ID, Worker: "w0", Reserved: size})
		case placer.TaskPlaced:
			d.placed++
			plan.Actions = append(plan.Actions, placer.Action{Kind: placer.ActionResize, Task: t.ID, Worker: "w0", Reserved: d.size})
		}
	}
	return plan
}

func (d *resizingDecider) seen() (decisions, placed int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decisions, d.placed
}

func (d *resizingDecider) resizeTo(processors int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.size = placer.Size{Processors: processors, Memory: 1 << 28}
}

// resizeGate counts the resizes sent to the workers, and drops them if lose is set.
type resizeGate struct {
	commander.Commander
	mu   sync.Mutex
	lose bool
	sent int
}

// Resize implements commander.Commander.
func (g *resizeGate) Resize(ctx context.Context, address string, h commander.Header, task commander.Ref, size placer.Size) (commander.Answer, error) {
	g.mu.Lock()
	g.sent++
	lose := g.lose
	g.mu.Unlock()
	if lose {
		return commander.Answer{}, &commander.UnreachableError{Address: address, Err: errors.New("lost")}
	}
	return g.Commander.Resize(ctx, address, h, task, size)
}

func (g *resizeGate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sent
}

func resizingProcess(env *testEnv, d *resizingDecider, lose bool) (*process, *resizeGate) {
	gate := &resizeGate{lose: lose}
	p := env.process("a", func(o *owner.Owner) {
		gate.Commander = o.Commander
		o.Commander = gate
		o.Decider = d
	})
	return p, gate
}

// TestShrinkingFreesNothingUnconfirmed loses every resize. The capacity that smaller
// reservations would free must not be used, since the worker has not applied them.
func TestShrinkingFreesNothingUnconfirmed(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1)
	d := &resizingDecider{}
	d.resizeTo(500)
	_, gate := resizingProcess(env, d, true)
	env.submit(submitter.Job{Name: "many", Tasks: 8, Work: time.Hour})
	env.eventually("resizes are lost for a while", func() bool { return gate.count() > 10 })
	if _, placed := d.seen(); placed != 2 {
		t.Errorf("%d tasks of 2 processors are placed on 4", placed)
	}
	env.check()
}

// TestGrowthIsDurableBeforeItIsTold makes the store unavailable while a reservation is to
// grow. The worker must not receive a reservation that the store does not hold.
func TestGrowthIsDurableBeforeItIsTold(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1)
	d := &resizingDecider{}
	d.resizeTo(2000)
	p, gate := resizingProcess(env, d, false)
	env.submit(submitter.Job{Name: "one", Tasks: 1, Work: time.Hour})
	env.eventually("the task runs", func() bool { _, placed := d.seen(); return placed == 1 })
	env.eventually("the first size is sent", func() bool { return gate.count() > 0 })
	p.gate.set(func(g *callGate) { g.storeDown = true })
	d.resizeTo(3000)
	// Resizes in flight when the store went down arrive within a decision.
	passed := func(count int) func() bool {
		from, _ := d.seen()
		return func() bool { now, _ := d.seen(); return now > from+count }
	}
	before := env.reservedAt("w0")
	env.eventually("some decisions pass", passed(10))
	if now := env.reservedAt("w0"); now != before {
		t.Errorf("the worker received a reservation of %d thousandths of a processor while the store holds %d", now, before)
	}
}

// reservedAt returns the reservation on a worker as the worker knows it, in thousandths
// of a processor.
func (e *testEnv) reservedAt(worker string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.workers[worker].Reserved().Processors
}

// TestResizesUnderLostAnswers resizes all tasks at each decision while answers are lost
// and the owner is replaced. All tasks must be done and no worker overcommitted.
func TestResizesUnderLostAnswers(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1)
	env.store.SetFaults(standin.StoreFaults{LoseEvery: 5})
	env.workers["w0"].SetFaults(standin.WorkerFaults{LoseEvery: 7})
	d := &resizingDecider{}
	d.resizeTo(500)
	first, _ := resizingProcess(env, d, false)
	env.submit(submitter.Job{Name: "many", Tasks: 40, Work: 300 * time.Millisecond})
	env.eventually("smaller reservations free capacity", func() bool { _, placed := d.seen(); return placed > 2 })
	d.resizeTo(1500)
	first.kill()
	env.process("b", func(o *owner.Owner) { o.Decider = d })
	if job := env.ended("many"); job.DoneTasks != 40 {
		t.Errorf("%d of 40 tasks done", job.DoneTasks)
	}
	env.check()
}

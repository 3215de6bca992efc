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

// resizingDecider starts every task at 2 processors and resizes what runs to
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

func (d *resizingDecider) seen() (turns, placed int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decisions, d.placed
}

func (d *resizingDecider) resizeTo(processors int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.size = placer.Size{Processors: processors, Memory: 1 << 28}
}

// resizeGate counts the resizes that reach the workers, or loses them before.
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

func resizingProcess(w *testEnv, d *resizingDecider, lose bool) (*process, *resizeGate) {
	gate := &resizeGate{lose: lose}
	p := w.process("a", func(o *owner.Owner) {
		gate.Commander = o.Commander
		o.Commander = gate
		o.Decider = d
	})
	return p, gate
}

// TestShrinkingFreesNothingUnconfirmed loses every resize: the room of tasks that
// shrank must not be given away, as the worker doesn't know of it.
func TestShrinkingFreesNothingUnconfirmed(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, 1)
	d := &resizingDecider{}
	d.resizeTo(500)
	_, gate := resizingProcess(w, d, true)
	w.submit(submitter.Job{Name: "many", Tasks: 8, Work: time.Hour})
	w.eventually("resizes are lost for a while", func() bool { return gate.count() > 10 })
	if _, placed := d.seen(); placed != 2 {
		t.Errorf("%d tasks of 2 processors are placed on 4", placed)
	}
	w.check()
}

// TestGrowthIsDurableBeforeItIsTold cuts the store off while a task is to grow.
func TestGrowthIsDurableBeforeItIsTold(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, 1)
	d := &resizingDecider{}
	d.resizeTo(2000)
	p, gate := resizingProcess(w, d, false)
	w.submit(submitter.Job{Name: "one", Tasks: 1, Work: time.Hour})
	w.eventually("the task runs", func() bool { _, placed := d.seen(); return placed == 1 })
	w.eventually("the first size is told", func() bool { return gate.count() > 0 })
	p.gate.set(func(v *callGate) { v.storeDown = true })
	d.resizeTo(3000)
	// What was on its way when the store went down has arrived after a decision.
	passed := func(turns int) func() bool {
		from, _ := d.seen()
		return func() bool { now, _ := d.seen(); return now > from+turns }
	}
	before := w.reservedAt("w0")
	w.eventually("some decisions pass", passed(10))
	if now := w.reservedAt("w0"); now != before {
		t.Errorf("the worker was told %d thousandths while the store holds %d", now, before)
	}
}

// reservedAt returns the thousandths of processors that a worker believes reserved.
func (w *testEnv) reservedAt(worker string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[worker].Reserved().Processors
}

// TestResizesUnderLostAnswers resizes all tasks at each decision while answers
// are lost and the owner is replaced; all work is done and nothing overfilled.
func TestResizesUnderLostAnswers(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, 1)
	w.store.SetFaults(standin.StoreFaults{LoseEvery: 5})
	w.workers["w0"].SetFaults(standin.WorkerFaults{LoseEvery: 7})
	d := &resizingDecider{}
	d.resizeTo(500)
	first, _ := resizingProcess(w, d, false)
	w.submit(submitter.Job{Name: "many", Tasks: 40, Work: 300 * time.Millisecond})
	w.eventually("shrinking makes room", func() bool { _, placed := d.seen(); return placed > 2 })
	d.resizeTo(1500)
	first.kill()
	w.process("b", func(o *owner.Owner) { o.Decider = d })
	if job := w.ended("many"); job.DoneTasks != 40 {
		t.Errorf("%d of 40 tasks done", job.DoneTasks)
	}
	w.check()
}

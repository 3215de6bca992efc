package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// Orders are what a Cell wants done.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
}

// Plan returns the orders that are to be carried out now.
func (c *Cell) Plan(now time.Time) Orders {
	c.lapse(now)
	for _, j := range c.timed {
		c.beginOccurrences(now, j)
	}
	var orders Orders
	if c.fencedBy || !c.active {
		return orders
	}
	if c.Confirmed(now) {
		c.leaveDraining(now)
	}
	orders.Stops = c.planStops(now)
	if c.Confirmed(now) {
		orders.Starts = c.planStarts(now)
		orders.Paces = c.planPaces(now)
	}
	return orders
}

// planStops returns the stops that are due, those again that weren't taken.
func (c *Cell) planStops(now time.Time) []StopOrder {
	var orders []StopOrder
	c.stops = slices.DeleteFunc(c.stops, func(r *run) bool {
		key := runKey{task: r.task.id, run: r.number}
		if r.worker.runs[key] != r || !r.stopTakenAt.IsZero() {
			return true
		}
		if now.Sub(r.stopSentAt) >= stopInterval {
			r.stopSentAt = now
			orders = append(orders, c.stopOrder(r.worker, key))
		}
		return false
	})
	for _, w := range c.workers {
		for key, sent := range w.strays {
			if now.Sub(sent) >= stopInterval {
				w.strays[key] = now
				orders = append(orders, c.stopOrder(w, key))
			}
		}
	}
	return orders
}

func (c *Cell) stopOrder(w *worker, key runKey) StopOrder {
	c.record(recorder.Event{Kind: KindStop, VM: w.registration.ID, Task: key.task.String(), Attempt: int(key.run), Key: key.task.Job})
	return StopOrder{Worker: w.registration, Task: key.task, Run: key.run, Epoch: c.Epoch}
}

// planStarts places the ready tasks that fit, in order.
func (c *Cell) planStarts(now time.Time) []StartOrder {
	c.ready = slices.DeleteFunc(c.ready, func(t *task) bool {
		gone := t.done || t.elsewhere || len(t.runs) > 0 || t.job().state.Final()
		if gone {
			t.queued = false
		}
		return gone
	})
	slices.SortStableFunc(c.ready, func(a, b *task) int { return compareTasks(now, a, b) })
	for _, w := range c.workers {
		w.reserved = nil
	}
	var orders []StartOrder
	var without unplaced
	reserved := false
	for _, t := range c.ready {
		if t.notBefore.After(now) || len(t.runs) > 0 || c.held(now, t.job()) || without.covers(t) {
			continue
		}
		placed := c.place(now, t)
		if len(placed) == 0 {
			without.add(t)
			if t.step.step.Lasting && !reserved && now.Sub(t.readyAt) > reserveLimit {
				reserved = c.reserve(t)
			}
		}
		orders = append(orders, placed...)
	}
	c.ready = slices.DeleteFunc(c.ready, func(t *task) bool {
		if len(t.runs) > 0 {
			t.queued = false
			return true
		}
		return false
	})
	return orders
}

// unplaced are the tasks that have found no place in a plan.
type unplaced struct {
	// sizes are those of tasks that any worker of the service may run.
	sizes []Size
	steps []*stepState
}

func (u *unplaced) add(t *task) {
	if t.movedFrom == "" {
		u.steps = append(u.steps, t.step)
	}
	if t.step.step.plain() {
		u.sizes = append(u.sizes, t.step.step.Size)
	}
}

// covers reports whether a task is alike one without a place, or no smaller. A
// filler is only covered by its like: it takes no room of processors.
func (u *unplaced) covers(t *task) bool {
	if t.step.step.Lasting {
		return false
	}
	if slices.Contains(u.steps, t.step) {
		return true
	}
	return !t.step.step.Filler && slices.ContainsFunc(u.sizes, t.step.step.Size.Holds)
}

// plain reports whether any worker of the service may run the step.
func (s *Step) plain() bool {
	return s.Label == "" && s.WorkerLimit == 0 && !s.Gang && !s.Filler && s.TailTarget == 0
}

// compareTasks orders by priority, then lasting tasks first, then the tasks whose
// objective can still be met, then by the end of the objective.
func compareTasks(now time.Time, a, b *task) int {
	ja, jb := a.job(), b.job()
	if order := cmp.Compare(ja.job.Queue.Priority, jb.job.Queue.Priority); order != 0 {
		return order
	}
	if a.step.step.Lasting != b.step.step.Lasting {
		if a.step.step.Lasting {
			return -1
		}
		return 1
	}
	lateA, lateB := now.After(ja.due), now.After(jb.due)
	if lateA != lateB {
		if lateA {
			return 1
		}
		return -1
	}
	return ja.due.Compare(jb.due)
}

// place starts a task, or all members of its gang, if there is room.
func (c *Cell) place(now time.Time, t *task) []StartOrder {
	members := []*task{t}
	if t.step.step.Gang {
		members = t.step.tasks
		for _, member := range members {
			if len(member.runs) > 0 || member.notBefore.After(now) {
				return nil
			}
		}
	}
	c.runs++
	number := c.Epoch*runsOfEpoch + c.runs
	var started []*run
	for _, member := range members {
		w := c.choose(now, member)
		if w == nil {
			for _, r := range started {
				c.withdraw(r)
			}
			return nil
		}
		r := c.attach(member, w, number, phaseSent, now)
		r.paceTaken = true
		started = append(started, r)
	}
	checkpoint := t.checkpoint
	orders := make([]StartOrder, len(started))
	for i, r := range started {
		orders[i] = c.startOrder(now, r, checkpoint)
	}
	return orders
}

// withdraw takes back a run that was never sent.
func (c *Cell) withdraw(r *run) {
	queued := r.task.queued
	r.task.queued = true
	c.resolve(r.sentAt, r)
	r.task.queued = queued
}

func (c *Cell) startOrder(now time.Time, r *run, checkpoint string) StartOrder {
	c.record(recorder.Event{Kind: KindStart, VM: r.worker.registration.ID, Task: r.task.id.String(), Attempt: int(r.number), Key: r.task.id.Job})
	return StartOrder{
		Worker:     r.worker.registration,
		Task:       r.task.id,
		Run:        r.number,
		Spec:       r.task.job().job.Spec,
		Checkpoint: checkpoint,
		Grant:      c.grant(now, r.worker),
		Epoch:      c.Epoch,
	}
}

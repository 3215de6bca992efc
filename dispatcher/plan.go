package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// Orders are the orders to workers that a Cell returns.
type Orders struct {
	Starts    []StartOrder
	Stops     []StopOrder
	Throttles []ThrottleOrder
}

// Plan expires leases, begins the occurrences that are due, and returns the orders to
// send now.
func (c *Cell) Plan(now time.Time) Orders {
	orders := c.plan(now)
	c.reportWaits(now)
	return orders
}

// plan is Plan without the report of waiting tasks.
func (c *Cell) plan(now time.Time) Orders {
	c.expireLeases(now)
	c.activate(now)
	c.reviewCrashes(now)
	c.reportInactivity(now)
	for _, j := range c.upcoming {
		c.beginOccurrences(now, j)
	}
	var orders Orders
	if c.superseded || !c.active {
		return orders
	}
	c.rateWorkers(now)
	if c.mayAct(now) {
		c.drainWorkers(now)
		c.leaveSlowWorkers(now)
	}
	orders.Stops = c.planStops(now)
	if c.mayAct(now) {
		orders.Starts = c.planStarts(now)
		orders.Throttles = c.planThrottles(now)
	}
	return orders
}

// planStops returns the stops that are due, including those to repeat because the
// worker hasn't accepted them.
func (c *Cell) planStops(now time.Time) []StopOrder {
	var orders []StopOrder
	c.pendingStops = slices.DeleteFunc(c.pendingStops, func(r *run) bool {
		key := runKey{task: r.task.id, run: r.number}
		if r.worker.runs[key] != r || !r.stopAcceptedAt.IsZero() {
			return true
		}
		if now.Sub(r.stopSentAt) >= stopRetryInterval {
			r.stopSentAt = now
			if r.firstStopAt.IsZero() {
				r.firstStopAt = now
			}
			orders = append(orders, c.stopOrder(r.worker, key))
		}
		return false
	})
	for _, w := range c.workers {
		for key, sent := range w.orphanedRuns {
			if now.Sub(sent) >= stopRetryInterval {
				w.orphanedRuns[key] = now
				orders = append(orders, c.stopOrder(w, key))
			}
		}
	}
	return orders
}

func (c *Cell) stopOrder(w *worker, key runKey) StopOrder {
	c.record(recorder.Event{Kind: KindStop, VM: w.registration.ID, Task: key.task.String(), Attempt: int(key.run), Key: key.task.Job})
	return StopOrder{Worker: w.registration, Task: key.task, Run: key.run, Epoch: w.fence.Token(), Boot: w.boot}
}

// planStarts places the ready tasks, in the order of compareTasks, on workers with
// capacity for them.
func (c *Cell) planStarts(now time.Time) []StartOrder {
	c.dropFromReady(func(t *task) bool { return t.done || t.remote || len(t.runs) > 0 || t.job().state.Final() })
	slices.SortStableFunc(c.ready, func(a, b *task) int { return compareTasks(now, a, b) })
	for _, w := range c.workers {
		w.reservedFor = nil
	}
	c.pass = c.newPlanningPass(now)
	defer func() { c.pass = nil }()
	var orders []StartOrder
	for _, t := range c.ready {
		switch crashing := t.memberToGiveUp(now); {
		case !c.mayStart(now, t):
		case crashing != nil && !t.gangRuns():
			c.giveUp(now, crashing)
		case crashing != nil || t.anyMember((*task).awaitsCrashReview) || t.suspect() && c.trialsFull(t):
		default:
			orders = append(orders, c.placeOrReserve(now, t)...)
		}
	}
	c.dropFromReady(func(t *task) bool { return len(t.runs) > 0 })
	return orders
}

// dropFromReady drops the tasks that meet a condition from the ready list.
func (c *Cell) dropFromReady(met func(*task) bool) {
	c.ready = slices.DeleteFunc(c.ready, func(t *task) bool {
		if !met(t) {
			return false
		}
		t.queued = false
		return true
	})
}

// mayStart reports whether nothing but a worker with capacity is missing for a start of the
// task, and one can be expected.
func (c *Cell) mayStart(now time.Time, t *task) bool {
	if t.job().relocating || t.notBefore.After(now) || len(t.runs) > 0 {
		return false
	}
	return !c.mayHaveRun(now, t) && !t.awaitsCrashStore() && !c.awaitsBoundWorker(now, t) && !c.pass.unplaced.covers(t)
}

// placeOrReserve starts a task, or notes that no worker has capacity for it. In each
// planning pass a worker is reserved for one suspect and for one long-running task at most.
func (c *Cell) placeOrReserve(now time.Time, t *task) []StartOrder {
	var placed []StartOrder
	if !c.pass.unplaced.hasSibling(t) && !c.keepsAwaitingRack(now, t) {
		placed = c.place(now, t)
	}
	switch {
	case len(placed) > 0, c.pass.awaiting == t:
	case t.suspect():
		c.pass.reservedForTrial = c.pass.reservedForTrial || c.reserveForTrial(now, t)
	default:
		c.pass.unplaced.add(t)
		if t.step.step.LongRunning && !c.pass.reserved && now.Sub(t.readyAt) > reservationDelay {
			c.pass.reserved = c.reserve(now, t)
		}
	}
	return placed
}

// unplaced collects the tasks for which one planning pass found no worker.
type unplaced struct {
	// sizes are the sizes of those tasks that any worker of the service may run.
	sizes []Size
	steps map[*stepState]bool
}

func (u *unplaced) add(t *task) {
	if t.movedFrom == "" {
		if u.steps == nil {
			u.steps = map[*stepState]bool{}
		}
		u.steps[t.step] = true
	}
	if t.step.step.unconstrained() {
		u.sizes = append(u.sizes, t.step.step.Size)
	}
}

// hasSibling reports whether a task of the same step found no worker, so that this one, unless it is
// a suspect, finds none either.
func (u *unplaced) hasSibling(t *task) bool { return u.steps[t.step] && !t.suspect() }

// covers reports whether no worker can be expected for a task, because a task of the
// same step, or one of at most its size without constraints, found none. A best-effort
// task is covered only by its own step, since it takes no processors from the free
// capacity.
func (u *unplaced) covers(t *task) bool {
	if t.step.step.LongRunning || t.suspect() {
		return false
	}
	if u.steps[t.step] {
		return true
	}
	return !t.step.step.BestEffort && slices.ContainsFunc(u.sizes, t.step.step.Size.Holds)
}

// unconstrained reports whether any worker of the service may run the step.
func (s *Step) unconstrained() bool {
	return s.Label == "" && s.WorkerLimit == 0 && !s.Gang && !s.BestEffort && s.TailTarget == 0
}

// compareTasks orders tasks: suspects first, then those that were to start before, then by priority, then long-running tasks first
// (of these the delegated ones, which no other cell can take), then those whose objective can
// still be met, then by the deadline of the objective.
func compareTasks(now time.Time, a, b *task) int {
	if order := trueFirst(a.suspect(), b.suspect()); order != 0 {
		return order
	}
	if order := trueFirst(a.mayStartLate(now), b.mayStartLate(now)); order != 0 {
		return order
	}
	ja, jb := a.job(), b.job()
	if order := cmp.Compare(ja.job.Queue.Priority, jb.job.Queue.Priority); order != 0 {
		return order
	}
	if order := trueFirst(a.step.step.LongRunning, b.step.step.LongRunning); order != 0 {
		return order
	}
	if order := trueFirst(ja.job.Part != nil, jb.job.Part != nil); order != 0 {
		return order
	}
	if order := trueFirst(!now.After(ja.due), !now.After(jb.due)); order != 0 {
		return order
	}
	return ja.due.Compare(jb.due)
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// place starts a task, or all members of its gang, if workers have capacity.
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
	started := c.addRuns(now, t, members)
	if len(started) == 0 {
		return nil
	}
	c.lastRun++
	c.endRackWait(now, t, started)
	checkpoint := t.checkpoint
	orders := make([]StartOrder, len(started))
	for i, r := range started {
		orders[i] = c.startOrder(now, r, checkpoint)
	}
	return orders
}

// withdraw removes a run whose start was never sent.
func (c *Cell) withdraw(r *run) {
	queued := r.task.queued
	r.task.queued = true
	c.removeRun(r.sentAt, r, "")
	r.task.queued = queued
}

func (c *Cell) startOrder(now time.Time, r *run, checkpoint string) StartOrder {
	c.recordRun(KindStart, r, c.earlierRuns(now, r.task))
	c.recordLateStart(now, r)
	r.startToken = r.worker.fence.Grant()
	return StartOrder{
		Worker:     r.worker.registration,
		Task:       r.task.id,
		Run:        r.number,
		Spec:       r.task.job().job.Spec,
		Checkpoint: checkpoint,
		Boot:       r.worker.boot,
		LeaseEnd:   c.extendLease(now, r.worker),
		Epoch:      r.startToken,
		Trial:      r.worker.trial == r,
	}
}

package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"zinniashore.example/recorder"
)

const (
	failurePause    = 50 * time.Millisecond
	maxFailurePause = 2 * time.Second
	// fullPause is how long a worker that had no room gets no starts.
	fullPause = 100 * time.Millisecond
	// unhealthyPause is how long a worker that refused as unhealthy gets none.
	unhealthyPause = time.Second
	// strikesToQuarantine is how many tasks may fail on a worker with none done between.
	strikesToQuarantine = 3
	quarantinePause     = 5 * time.Second
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

// lapse resolves the runs whose lease has surely ended, and forgets workers
// that are gone.
func (c *Cell) lapse(now time.Time) {
	for id, w := range c.workers {
		switch {
		case w.left():
			c.loseAll(now, w, "worker has left")
		case w.fenced && w.lapsed(now):
			c.loseAll(now, w, "lease lapsed")
		}
		if c.gone(now, w) {
			delete(c.workers, id)
			if w.stored {
				c.forgotten++
			}
			c.record(recorder.Event{Kind: KindWorker, VM: id, Detail: "forgotten"})
		}
	}
}

func (c *Cell) loseAll(now time.Time, w *worker, why string) {
	for _, r := range w.sortedRuns() {
		c.lose(now, r, why)
	}
}

// leaveDraining stops the lasting tasks on workers that leave, one at a time, as
// soon as another worker has room for them.
func (c *Cell) leaveDraining(now time.Time) {
	for _, w := range c.workers {
		if w.registration.Phase != PhaseDraining || now.Sub(w.leftAt) < leaveInterval {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.phase == phaseConfirmed && r.task.step.step.Lasting && !r.task.step.step.Gang && c.choose(now, r.task) != nil {
				w.leftAt = now
				c.stop(r)
				break
			}
		}
	}
}

// leaveInterval separates the stops of lasting tasks on a worker that leaves.
const leaveInterval = 200 * time.Millisecond

// gone reports whether nothing can run on a worker any more: it has left, or it
// isn't registered, hasn't answered for long, and the leases of its runs have
// ended.
func (c *Cell) gone(now time.Time, w *worker) bool {
	if w.listed || len(w.runs) > 0 || !c.active {
		return false
	}
	if w.left() {
		return true
	}
	silent := now.Sub(w.answeredAt)
	if !w.fenced {
		silent = now.Sub(c.activeAt) - c.Limits.Confirmation
	}
	return silent > c.Limits.Grant+goneMargin
}

// goneMargin is added to a lease before a worker is forgotten.
const goneMargin = 2 * time.Second

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

// reserveLimit is how long a lasting task waits before a worker is reserved for it.
const reserveLimit = 500 * time.Millisecond

// reserve keeps the worker that will soonest have room for a lasting task free of
// other starts that take room. It reports whether there is one.
func (c *Cell) reserve(t *task) bool {
	var best *worker
	var most int64
	for _, w := range c.workers {
		if w.reserved != nil || !w.listed || w.registration.Phase != PhaseReady || !w.mayHold(t) {
			continue
		}
		if room := w.free().MilliProcessors; best == nil || room > most || room == most && w.registration.ID < best.registration.ID {
			best, most = w, room
		}
	}
	if best != nil {
		best.reserved = t
	}
	return best != nil
}

// mayHold reports whether the worker has room for a task once its passing runs
// have ended.
func (w *worker) mayHold(t *task) bool {
	step := t.step.step
	if w.registration.Service != t.job().job.Queue.Service || !w.has(step.Label) ||
		step.WorkerLimit > 0 && w.runsOf(t.step) >= step.WorkerLimit {
		return false
	}
	passing := Size{}
	for _, r := range w.runs {
		if s := r.task.step.step; !s.Lasting {
			size := s.Size
			if s.Filler {
				size.MilliProcessors = 0
			}
			passing = passing.Plus(size)
		}
	}
	return w.free().Plus(passing).Holds(step.Size)
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

// Started takes the answer to a start.
func (c *Cell) Started(now time.Time, order StartOrder, answer StartAnswer) {
	w, known := c.workers[order.Worker.ID]
	if !known {
		return
	}
	r := w.runs[runKey{task: order.Task, run: order.Run}]
	if r == nil {
		return
	}
	if answer != AnswerTaken {
		c.record(recorder.Event{Kind: KindStartFailed, VM: w.registration.ID, Task: order.Task.String(), Attempt: int(order.Run), Key: order.Task.Job, Detail: string(answer)})
	}
	switch answer {
	case AnswerTaken:
		r.known = true
		if r.phase == phaseSent {
			r.phase = phaseConfirmed
		}
		r.confirmedAt = now
	case AnswerUnclear:
		if r.phase == phaseSent {
			r.phase = phaseUnclear
		}
	case AnswerFenced:
		c.fencedBy = true
		c.resolve(now, r)
	default:
		c.refused(now, r, answer)
	}
}

// refused takes a start that the worker certainly didn't carry out.
func (c *Cell) refused(now time.Time, r *run, answer StartAnswer) {
	w := r.worker
	switch answer {
	case AnswerRoom:
		w.fullUntil = now.Add(fullPause)
	case AnswerUnhealthy, AnswerUnsent, AnswerReborn:
		w.quarantinedUntil = now.Add(unhealthyPause)
	case AnswerInvalid, AnswerTicket, AnswerLate, AnswerOld:
		r.task.notBefore = now.Add(failurePause)
	}
	c.resolve(now, r)
}

// Stopped takes the answer to a stop.
func (c *Cell) Stopped(now time.Time, order StopOrder, answer StartAnswer) {
	w, known := c.workers[order.Worker.ID]
	if !known {
		return
	}
	if answer == AnswerFenced {
		c.fencedBy = true
	}
	r := w.runs[runKey{task: order.Task, run: order.Run}]
	if r != nil && answer == AnswerTaken {
		r.stopTakenAt = now
	}
}

// blame notes a failed run. A worker on which task after task fails for the
// first time is quarantined; lasting tasks may fail at any time by themselves.
func (c *Cell) blame(now time.Time, w *worker, t *task) {
	if t.step.step.Lasting || len(t.failedRuns) > 1 {
		return
	}
	w.strikes++
	if w.strikes >= strikesToQuarantine {
		w.quarantinedUntil = now.Add(quarantinePause)
		w.strikes = 0
		c.record(recorder.Event{Kind: KindWorker, VM: w.registration.ID, Detail: "quarantined after failures"})
	}
}

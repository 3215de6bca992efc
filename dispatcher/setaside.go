package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"zinniashore.example/allocator"
	"zinniashore.example/recorder"
)

const (
	// holdBackLimit is how long a long-running task leaves a place to short tasks on a worker that
	// is set aside. It has to run within 3 s where there is capacity for it.
	holdBackLimit = time.Second
	// placeWaitLimit is how long a short task waits without a place before workers are set aside.
	placeWaitLimit = 300 * time.Millisecond
	// allocationInterval separates the decisions on which workers are set aside.
	allocationInterval = tickInterval
)

// Kinds of events of the division of the processors between short and long-running tasks.
const (
	KindSetAside  recorder.Kind = "worker_set_aside"
	KindGivenBack recorder.Kind = "worker_given_back"
	KindHeldBack  recorder.Kind = "task_held_back"
)

// setAside is which workers are set aside for short tasks. A new holder starts with none.
type setAside struct {
	// allocations are the decisions for the workers of each service, the last ones made at
	// allocatedAt.
	allocations map[string]allocator.Allocation
	allocatedAt time.Time
	// workers are the workers that are set aside, ordered by id.
	workers []*worker
}

// allocate decides which workers are set aside for short tasks, at most once in each
// allocationInterval. It is called after the placement of the ready tasks: those that are still
// ready have found no place.
func (c *Cell) allocate(now time.Time) {
	if now.Sub(c.setAside.allocatedAt) < allocationInterval {
		return
	}
	snapshots := c.allocationSnapshots(now)
	allocations := map[string]allocator.Allocation{}
	for service, s := range snapshots {
		allocations[service] = c.setAside.allocations[service].With(s.snapshot(now))
	}
	c.setAside.allocations, c.setAside.allocatedAt = allocations, now
	c.setAside.workers = nil
	for _, id := range c.Workers() {
		w := c.workers[id]
		c.setAsideWorker(now, w, allocations[w.registration.Service].Contains(id))
	}
}

// setAsideWorker records whether a worker is set aside, and what has been free there.
func (c *Cell) setAsideWorker(now time.Time, w *worker, isSetAside bool) {
	if isSetAside != w.setAside {
		kind := KindGivenBack
		if isSetAside {
			kind = KindSetAside
		}
		c.record(recorder.Event{Kind: kind, VM: w.registration.ID, Detail: fmt.Sprintf("%d of %d millicores are beside long-running tasks", w.roomBesideLongRunning(), w.registration.Capacity.MilliProcessors)})
		w.setAside, w.lasting = isSetAside, lastingRoom{}
	}
	if isSetAside {
		w.lasting = w.lasting.With(now, w.freeCapacity())
		c.setAside.workers = append(c.setAside.workers, w)
	}
}

// allocationSnapshot collects the state of the workers of a service and of the tasks that need
// them.
type allocationSnapshot struct {
	workers []allocator.Worker
	demands map[int]allocator.Demand
	// mostFree is the greatest number of processors that are free on one worker. largest is the
	// number that the largest short task without a place needs, 0 if there is none. Both are in
	// thousandths.
	mostFree, largest int64
}

func (s *allocationSnapshot) snapshot(now time.Time) allocator.Snapshot {
	return allocator.Snapshot{
		At: now, Workers: s.workers, Demands: slices.Collect(maps.Values(s.demands)),
		Waits: s.largest > 0, Largest: s.largest,
	}
}

// allocationSnapshots returns the snapshots by service.
func (c *Cell) allocationSnapshots(now time.Time) map[string]*allocationSnapshot {
	all := map[string]*allocationSnapshot{}
	for _, id := range c.Workers() {
		if w := c.workers[id]; c.healthy(now, w) {
			s := all[w.registration.Service]
			if s == nil {
				s = &allocationSnapshot{demands: map[int]allocator.Demand{}}
				all[w.registration.Service] = s
			}
			s.addWorker(w)
		}
	}
	for _, t := range c.ready {
		if s := all[t.job().job.Queue.Service]; s != nil {
			s.addDemand(t)
			if size := t.step.step.Size.MilliProcessors; size > s.largest && c.lacksPlace(now, t, s.mostFree) {
				s.largest = size
			}
		}
	}
	return all
}

func (s *allocationSnapshot) addWorker(w *worker) {
	s.workers = append(s.workers, allocator.Worker{
		ID: w.registration.ID, Capacity: w.registration.Capacity.MilliProcessors, Room: w.roomBesideLongRunning(),
	})
	for _, r := range w.runs {
		s.addDemand(r.task)
	}
	if w.reservedFor == nil && !w.onTrial(nil) {
		s.mostFree = max(s.mostFree, w.freeCapacity().MilliProcessors)
	}
}

// addDemand adds what a task uses or waits for.
func (s *allocationSnapshot) addDemand(t *task) {
	priority, processors := t.job().job.Queue.Priority, t.step.step.Size.MilliProcessors
	d := s.demands[priority]
	d.Priority = priority
	switch t.step.step.kind() {
	case kindShort:
		d.Short += processors
	case kindLongRunning:
		d.LongRunning += processors
	}
	s.demands[priority] = d
}

// lacksPlace reports whether a short task has waited for placeWaitLimit, and no worker has the
// processors that it needs free.
func (c *Cell) lacksPlace(now time.Time, t *task, mostFree int64) bool {
	step := t.step.step
	if step.kind() != kindShort || step.Size.MilliProcessors <= mostFree && !step.Gang {
		return false
	}
	return now.Sub(t.waitsSince()) >= placeWaitLimit && !t.suspect() && !t.job().relocating && !c.mayHaveRun(now, t)
}

// waitsSince returns since when a ready task waits for a worker.
func (t *task) waitsSince() time.Time {
	if t.notBefore.After(t.readyAt) {
		return t.notBefore
	}
	return t.readyAt
}

// roomBesideLongRunning returns the processors, in thousandths, that the worker's long-running
// tasks leave.
func (w *worker) roomBesideLongRunning() int64 {
	return w.registration.Capacity.MilliProcessors - w.longRunningProcessors
}

// withheldFrom reports whether the worker is set aside, and the step is a long-running one that
// would take room that hasn't been free for holdBackLimit.
func (w *worker) withheldFrom(step *Step) bool {
	return w.setAside && step.LongRunning && !w.openCapacity(step).Holds(step.Size)
}

// openCapacity returns the free capacity of the worker for a step: of one that is set aside, a
// long-running task gets what short tasks have left free for holdBackLimit.
func (w *worker) openCapacity(step *Step) Size {
	if w.setAside && step.LongRunning {
		return w.lasting.Within(w.freeCapacity())
	}
	return w.freeCapacity()
}

// orSetAside returns the worker that was chosen for a task. If none was chosen for a long-running
// task, it returns the best worker that is set aside, once the task has had a place on such a
// worker for holdBackLimit.
func (c *Cell) orSetAside(now time.Time, t *task, chosen *worker) *worker {
	if !t.step.step.LongRunning {
		return chosen
	}
	t.heldBackOn = c.selectSetAside(now, t, chosen)
	switch {
	case t.heldBackOn == nil:
		t.heldBackSince = time.Time{}
		return chosen
	case t.heldBackSince.IsZero():
		t.heldBackSince = now
	case now.Sub(t.heldBackSince) >= holdBackLimit:
		return t.heldBackOn
	}
	c.pass.holdBack(t, t.heldBackOn)
	return nil
}

// holdBack keeps a place on a worker that is set aside from the tasks that come after a task that
// is held back. It does nothing outside a planning pass.
func (p *planningPass) holdBack(t *task, w *worker) {
	if p != nil {
		p.heldBack[w] = p.heldBack[w].Plus(t.step.step.Size)
	}
}

// unclaimed returns the free capacity of a worker that isn't kept for long-running tasks that are
// held back.
func (p *planningPass) unclaimed(w *worker) Size {
	if p == nil {
		return w.freeCapacity()
	}
	return w.freeCapacity().Minus(p.heldBack[w])
}

// selectSetAside returns the worker that is set aside on which a long-running task has its place:
// the one where it is held back or, if that has none, the one with the highest score. It returns
// nil if there is none, or another worker was chosen for the task.
func (c *Cell) selectSetAside(now time.Time, t *task, chosen *worker) *worker {
	if chosen != nil {
		return nil
	}
	var best choice
	for _, w := range c.setAside.workers {
		if !c.pass.unclaimed(w).Holds(t.step.step.Size) || !c.healthy(now, w) || now.Before(w.fullUntil) || !w.hasPlace(now, t) {
			continue
		}
		if w == t.heldBackOn {
			return w
		}
		c.consider(now, &best, w, t)
	}
	return best.worker
}

// endHoldBack records that a long-running task starts on a worker that is set aside.
func (c *Cell) endHoldBack(now time.Time, r *run) {
	if !r.worker.setAside || !r.task.step.step.LongRunning {
		return
	}
	detail := "starts where the room has been free"
	if since := r.task.heldBackSince; !since.IsZero() {
		detail = "held back for " + now.Sub(since).String()
	}
	c.recordRun(KindHeldBack, r, detail)
	r.task.heldBackSince, r.task.heldBackOn = time.Time{}, nil
}

// openLaterCapacities returns what long-running tasks leave of each healthy worker and may take:
// on a worker that is set aside, that is what has been free for holdBackLimit.
func (c *Cell) openLaterCapacities(now time.Time) []*laterCapacity {
	all := c.laterCapacities(now)
	for _, l := range all {
		if l.worker.setAside {
			l.remaining = l.worker.lasting.Within(l.remaining.lesser(l.worker.freeCapacity()))
		}
	}
	return all
}

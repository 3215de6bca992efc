package owner

import (
	"fmt"
	"time"

	"zinniashore.example/placer"
)

// decide requests a plan from the decider and applies its actions. Actions that are not
// safe, such as a placement beyond the capacity of a worker, are skipped.
func (c *cell) decide(now time.Time) {
	candidates := map[string]demand{}
	snapshot := c.snapshot(now, candidates)
	plan := c.owner.Decider.Decide(snapshot)
	used := c.reservedByWorker()
	for _, action := range plan.Actions {
		switch action.Kind {
		case placer.ActionStart:
			c.place(action, candidates, used, now)
		case placer.ActionEvict:
			c.evict(action)
		case placer.ActionThrottle:
			c.throttle(action, now)
		case placer.ActionResize:
			c.resize(action, used)
		}
	}
	c.setWaitReasons(plan.Waiting)
}

// snapshot returns the state of the cell for the decider. It adds the demands of the
// tasks that have no record yet to candidates.
func (c *cell) snapshot(now time.Time, candidates map[string]demand) placer.Snapshot {
	s := placer.Snapshot{Now: now}
	for _, w := range c.sortedWorkers() {
		s.Workers = append(s.Workers, placer.Worker{
			ID: w.vm.ID, FailureDomain: w.vm.FailureDomain, Rack: w.vm.Rack,
			Capacity: w.vm.Capacity, State: c.workerState(w, now),
		})
	}
	for _, t := range c.sortedTasks() {
		if t.phase != phaseWaiting || now.After(t.retryAt) {
			s.Tasks = append(s.Tasks, t.placement())
		}
	}
	for _, d := range c.waitingDemands(maxWaiting) {
		candidates[d.id] = d
		s.Tasks = append(s.Tasks, d.placement())
	}
	if c.owner.Workloads != nil {
		s.Quotas = c.owner.Workloads.Quotas()
	}
	if c.owner.Learner != nil {
		s.Estimates = c.owner.Learner.View(now)
	}
	return s
}

func (c *cell) sortedWorkers() []*workerView {
	workers := make([]*workerView, 0, len(c.workers))
	for _, w := range c.workers {
		workers = append(workers, w)
	}
	sortWorkers(workers)
	return workers
}

// reservedByWorker returns the sum of the reservations of all tasks that may run on
// each worker.
func (c *cell) reservedByWorker() map[string]placer.Size {
	used := make(map[string]placer.Size, len(c.workers))
	for _, t := range c.tasks {
		if !t.occupiesWorker() {
			continue
		}
		for _, worker := range t.record.workers {
			used[worker] = used[worker].Plus(t.record.reserved)
		}
	}
	return used
}

// place stages the start of a waiting task if it fits on its worker together with all
// other tasks that may run there.
func (c *cell) place(action placer.Action, candidates map[string]demand, used map[string]placer.Size, now time.Time) {
	w := c.workers[action.Worker]
	if w == nil || c.workerState(w, now) != placer.WorkerReady {
		return
	}
	t := c.tasks[action.Task]
	d, candidate := candidates[action.Task]
	if t != nil {
		d = t.demand
	}
	if (t == nil && !candidate) || (t != nil && t.phase != phaseWaiting) || !c.allowsFailureDomain(d) || (t != nil && contains(t.record.failedOn, action.Worker)) {
		return
	}
	reserved := action.Reserved
	if reserved == (placer.Size{}) {
		reserved = d.declared
	}
	total := used[action.Worker].Plus(reserved)
	if !total.Within(w.vm.Capacity) {
		return
	}
	used[action.Worker] = total
	if t == nil {
		t = c.createTask(d)
	}
	c.stageAttempt(t, w, reserved, now)
}

// allowsFailureDomain reports whether a task may run in the failure domain of the cell.
func (c *cell) allowsFailureDomain(d demand) bool {
	return len(d.failureDomains) == 0 || contains(d.failureDomains, c.spec.FailureDomain)
}

func (c *cell) createTask(d demand) *task {
	t := &task{record: d.record(), demand: d, phase: phaseWaiting, throttle: 1, appliedThrottle: 1}
	c.tasks[d.id] = t
	if view := c.jobs[d.group]; view != nil {
		view.activeTasks[d.index] = true
	}
	return t
}

// stageAttempt stages the next attempt of a task, which is started once it is durable.
func (c *cell) stageAttempt(t *task, w *workerView, reserved placer.Size, now time.Time) {
	attempt := max(t.record.attempt, c.journal.attemptFloor) + 1
	t.record.template = t.demand.template
	t.record.settings = t.demand.settings
	t.record = t.record.withPlacement(attempt, w.vm.ID, w.vm.Address, reserved)
	t.throttle, t.appliedThrottle, t.throttledAt = 1, 1, time.Time{}
	t.durableReserved, t.targetReserved = placer.Size{}, placer.Size{}
	t.setPhase(phaseRecording, now)
	c.failures.recordPlacement(t.record.id, w.vm.ID)
	c.stageChange(t.record.id)
	delete(c.waitReasons, t.record.id)
}

func (c *cell) evict(action placer.Action) {
	t := c.tasks[action.Task]
	if t != nil && t.phase == phaseRunning {
		c.owner.Metrics.Counter("evictions").Inc(1)
		t.evictions++
		c.requestStop(t, stopEvict)
	}
}

func (c *cell) throttle(action placer.Action, now time.Time) {
	t := c.tasks[action.Task]
	if t != nil && t.phase == phaseRunning && action.Throttle > 0 && action.Throttle <= 1 {
		t.throttle = action.Throttle
		t.throttledAt = now
	}
}

// setWaitReasons stores the reason why each task waits, and sets the reason of each job
// that has a task that no worker can ever run.
func (c *cell) setWaitReasons(waiting []placer.Waiting) {
	c.waitReasons = make(map[string]placer.Waiting, len(waiting))
	for _, view := range c.jobs {
		view.reason = ""
	}
	for _, w := range waiting {
		c.waitReasons[w.Task] = w
		group, _, err := splitTask(w.Task)
		view := c.jobs[group]
		if err != nil || view == nil || w.Code != placer.ReasonNever || view.reason != "" {
			continue
		}
		view.reason = w.Detail
		if view.reason == "" {
			view.reason = fmt.Sprintf("no worker of cell %s can ever carry %+v", c.spec.ID, view.job.Size)
		}
	}
}

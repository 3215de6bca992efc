package owner

import (
	"fmt"
	"time"

	"zinniashore.example/placer"
)

// decide asks for a plan and carries out what of it is safe.
func (c *cell) decide(now time.Time) {
	candidates := map[string]demand{}
	snapshot := c.snapshot(now, candidates)
	plan := c.owner.Decider.Decide(snapshot)
	used := c.used()
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
	c.explain(plan.Waiting)
}

// snapshot returns the state of the cell and fills in the tasks that have no
// record yet.
func (c *cell) snapshot(now time.Time, candidates map[string]demand) placer.Snapshot {
	s := placer.Snapshot{Now: now}
	for _, l := range c.sortedLinks() {
		s.Workers = append(s.Workers, placer.Worker{
			ID: l.vm.ID, FailureDomain: l.vm.FailureDomain, Rack: l.vm.Rack,
			Capacity: l.vm.Capacity, State: c.state(l, now),
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

func (c *cell) sortedLinks() []*link {
	links := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		links = append(links, l)
	}
	sortLinks(links)
	return links
}

// used returns what everything that may run on each worker reserves.
func (c *cell) used() map[string]placer.Size {
	used := make(map[string]placer.Size, len(c.links))
	for _, t := range c.tasks {
		if !t.holds() {
			continue
		}
		for _, worker := range t.record.workers {
			used[worker] = used[worker].Plus(t.record.reserved)
		}
	}
	return used
}

// place stages the start of a waiting task, if its worker can carry it
// together with everything else that may run there.
func (c *cell) place(action placer.Action, candidates map[string]demand, used map[string]placer.Size, now time.Time) {
	l := c.links[action.Worker]
	if l == nil || c.state(l, now) != placer.WorkerReady {
		return
	}
	t := c.tasks[action.Task]
	d, candidate := candidates[action.Task]
	if t != nil {
		d = t.demand
	}
	if (t == nil && !candidate) || (t != nil && t.phase != phaseWaiting) || !c.allows(d) || (t != nil && contains(t.record.failedOn, action.Worker)) {
		return
	}
	reserved := action.Reserved
	if reserved == (placer.Size{}) {
		reserved = d.declared
	}
	total := used[action.Worker].Plus(reserved)
	if !total.Within(l.vm.Capacity) {
		return
	}
	used[action.Worker] = total
	if t == nil {
		t = c.create(d)
	}
	c.stage(t, l, reserved, now)
}

// allows reports whether a task may run in the failure domain of the cell.
func (c *cell) allows(d demand) bool {
	return len(d.failureDomains) == 0 || contains(d.failureDomains, c.spec.FailureDomain)
}

func (c *cell) create(d demand) *task {
	t := &task{record: d.record(), demand: d, phase: phaseWaiting, throttle: 1, throttled: 1}
	c.tasks[d.id] = t
	if view := c.jobs[d.group]; view != nil {
		view.active[d.index] = true
	}
	return t
}

// stage records the next attempt of a task. It is started once that is durable.
func (c *cell) stage(t *task, l *link, reserved placer.Size, now time.Time) {
	attempt := max(t.record.attempt, c.journal.floor) + 1
	t.record.template = t.demand.template
	t.record.settings = t.demand.settings
	t.record = t.record.withPlace(attempt, l.vm.ID, l.vm.Address, reserved)
	t.throttle, t.throttled, t.throttledAt = 1, 1, time.Time{}
	t.durable, t.target = placer.Size{}, placer.Size{}
	t.move(phaseRecording, now)
	c.blamer.started(t.record.id, l.vm.ID)
	c.mark(t.record.id)
	delete(c.waiting, t.record.id)
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

// explain keeps why each task waits, and why a job can never run.
func (c *cell) explain(waiting []placer.Waiting) {
	c.waiting = make(map[string]placer.Waiting, len(waiting))
	for _, view := range c.jobs {
		view.reason = ""
	}
	for _, w := range waiting {
		c.waiting[w.Task] = w
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

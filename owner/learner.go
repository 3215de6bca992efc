package owner

import (
	"zinniashore.example/commander"
)

// learnEnd passes the run time of a task on, if its one attempt ran from the
// beginning, unthrottled, under this owner.
func (c *cell) learnEnd(t *task) {
	whole := t.phase == phaseRunning && t.sent && t.record.checkpoint == "" && t.throttledAt.IsZero()
	if c.owner.Learner == nil || !whole || t.demand.work == 0 {
		return
	}
	c.owner.Learner.ObserveEnd(t.record.template, t.demand.work, c.now().Sub(t.since))
}

// learn passes the measured use of the tasks of a worker on.
func (c *cell) learn(l *link, reports []commander.TaskReport) {
	if c.owner.Learner == nil {
		return
	}
	var usage []UsageReport
	for _, report := range reports {
		t := c.tasks[report.Ref.Task]
		if t == nil || t.phase != phaseRunning || report.Usage.Processors == 0 {
			continue
		}
		usage = append(usage, UsageReport{
			Task: t.record.id, Template: t.record.template, Class: t.record.class, Worker: l.vm.ID,
			Age: c.now().Sub(t.since), Throttle: t.throttled, Declared: t.demand.declared,
			Reserved: t.record.reserved, Used: report.Usage, Slowdown: report.Slowdown,
		})
	}
	c.owner.Learner.Observe(c.now(), usage)
}

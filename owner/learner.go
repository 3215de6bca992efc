package owner

import (
	"zinniashore.example/commander"
)

// observeEnd passes the run time of a task to the learner if the attempt was started
// by this owner without a checkpoint and was never throttled.
func (c *cell) observeEnd(t *task) {
	whole := t.phase == phaseRunning && t.startSent && t.record.checkpoint == "" && t.throttledAt.IsZero()
	if c.owner.Learner == nil || !whole || t.demand.work == 0 {
		return
	}
	c.owner.Learner.ObserveEnd(t.record.template, t.demand.work, c.now().Sub(t.since))
}

// observeUsage passes the measured usage of the tasks of a worker to the learner.
func (c *cell) observeUsage(w *workerView, reports []commander.TaskReport) {
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
			Task: t.record.id, Template: t.record.template, Class: t.record.class, Worker: w.vm.ID,
			Age: c.now().Sub(t.since), Throttle: t.appliedThrottle, Declared: t.demand.declared,
			Reserved: t.record.reserved, Used: report.Usage, Slowdown: report.Slowdown,
		})
	}
	c.owner.Learner.Observe(c.now(), usage)
}

package dispatcher

import "time"

// addRuns adds a run of each member of a task's gang, or of the task alone. It adds none if a member
// has no worker, or waits for a rack.
func (c *Cell) addRuns(now time.Time, t *task, members []*task) []*run {
	t.step.groupRack = ""
	if t.step.step.Gang && c.mayAwaitRack(now, t) {
		return c.addGroup(now, t, members)
	}
	return c.addRunsAnywhere(now, members)
}

// addRunsAnywhere adds a run of each task, or none.
func (c *Cell) addRunsAnywhere(now time.Time, members []*task) []*run {
	number, startedBefore := c.Epoch*maxRunsPerEpoch+c.lastRun+1, members[0].job().started
	var added []*run
	for _, member := range members {
		w := c.selectWorker(now, member)
		if w == nil || c.awaitsRackInstead(now, member, w) {
			c.withdrawAll(added, startedBefore)
			return nil
		}
		r := c.addRun(member, w, number, phaseSent, now)
		r.throttleAccepted, r.startKnown = true, true
		c.noteProbe(now, w)
		added = append(added, r)
	}
	return added
}

// withdrawAll removes runs of a job whose starts were never sent. startedBefore is true if a task of the
// job had started before them.
func (c *Cell) withdrawAll(runs []*run, startedBefore bool) {
	for _, r := range runs {
		c.withdraw(r)
		r.task.job().started = startedBefore
	}
}

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
	number := c.Epoch*maxRunsPerEpoch + c.lastRun + 1
	var added []*run
	for _, member := range members {
		w := c.selectWorker(now, member)
		if w == nil || c.awaitsRackInstead(now, member, w) {
			c.withdrawAll(added)
			return nil
		}
		r := c.addRun(member, w, number, phaseSent, now)
		r.throttleAccepted, r.startKnown = true, true
		c.noteProbe(now, w)
		added = append(added, r)
	}
	return added
}

// withdrawAll removes runs whose starts were never sent.
func (c *Cell) withdrawAll(runs []*run) {
	for _, r := range runs {
		c.withdraw(r)
	}
}

package owner

import (
	"k8s.io/klog/v2"

	"zinniashore.example/placer"
	"zinniashore.example/recorder"
)

// Evacuations provides the failure domains in which operators have requested that no task
// start.
type Evacuations interface {
	// Evacuated reports whether a failure domain is evacuated, and whether this is known.
	Evacuated(failureDomain string) (evacuated, known bool)
}

// domainState returns the state that the failure domain gives to the ready workers of the
// cell.
func (c *cell) domainState() placer.WorkerState {
	if c.owner.Evacuations == nil {
		return placer.WorkerReady
	}
	evacuated, known := c.owner.Evacuations.Evacuated(c.spec.FailureDomain)
	switch {
	case !known:
		return placer.WorkerUnknown
	case evacuated:
		return placer.WorkerEvacuated
	}
	return placer.WorkerReady
}

// domainAllowsStarts reports whether tasks may start in the failure domain of the cell.
func (c *cell) domainAllowsStarts() bool { return c.domainState() == placer.WorkerReady }

// syncEvacuation records when an evacuation of the cell begins or ends. While tasks may not
// start, it ends the attempts whose start was not sent, so that their tasks wait again.
func (c *cell) syncEvacuation() {
	state := c.domainState()
	if evacuated := state == placer.WorkerEvacuated; evacuated != c.evacuated {
		c.evacuated = evacuated
		c.recordEvacuation()
	}
	if state == placer.WorkerReady {
		return
	}
	for _, t := range c.sortedTasks() {
		if t.phase == phaseStarting && !t.startSent {
			c.endAttempt(t, t.record.checkpoint, "failure domain evacuated")
		}
	}
}

// recordEvacuation records the beginning or end of an evacuation of the cell.
func (c *cell) recordEvacuation() {
	kind := KindCellReopened
	if c.evacuated {
		kind = KindCellEvacuated
	}
	klog.InfoS("Evacuation of the cell changed", "cell", c.spec.ID, "epoch", c.tenure.epoch, "evacuated", c.evacuated)
	c.owner.record(recorder.Event{Kind: kind, Cell: c.spec.ID, Epoch: c.tenure.epoch})
}

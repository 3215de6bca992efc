package dispatcher

import (
	"fmt"
	"time"

	"zinniashore.example/delayer"
	"zinniashore.example/recorder"
)

// rackWait is the wait of a task for a place in the rack of its data or of its group. The zero value is
// none.
type rackWait struct {
	// since is when the task was first decided to wait.
	since time.Time
	// ended is true once the task has started after that.
	ended bool
	// decidedAt is when it was last decided to wait, for a rack whose place was expected at expectedAt.
	decidedAt, expectedAt time.Time
	rack                  string
}

// mayAwaitRack reports whether a task runs faster in a rack and may wait for it. Tasks that have failed,
// were moved, may have crashed a worker or are starved don't wait.
func (c *Cell) mayAwaitRack(now time.Time, t *task) bool {
	step := t.step.step
	if c.pass == nil || c.Limits.RemoteFactor <= 1 || !step.prefersRack() {
		return false
	}
	return !t.starved(now) && !t.anyMember(func(member *task) bool {
		return len(member.avoided) > 0 || member.movedFrom != "" || len(member.crashes) > 0
	})
}

// awaitsRackInstead decides whether a task waits for the rack of its data instead of a start on w, the
// best worker for it. addGroup decides for gangs.
func (c *Cell) awaitsRackInstead(now time.Time, t *task, w *worker) bool {
	step := t.step.step
	if step.Gang || !c.mayAwaitRack(now, t) || w.hasLabel(step.DataRack) || c.pass.racks.line(t.step) != nil {
		return false
	}
	line := c.newRackLine(now, t, step.DataRack)
	c.pass.racks.setLine(t.step, line)
	return c.decideRackWait(now, t, line)
}

// keepsAwaitingRack reports whether a task waits for its rack. It decides this only for a step whose rack
// was found to be full in this planning pass, and then without comparing workers again.
func (c *Cell) keepsAwaitingRack(now time.Time, t *task) bool {
	line := c.pass.racks.line(t.step)
	switch {
	case line == nil || !c.mayAwaitRack(now, t):
		return false
	case !t.step.step.Gang:
		return c.decideRackWait(now, t, line)
	case line.groupWaits:
		c.pass.awaiting = t
	}
	return line.groupWaits
}

// decideRackWait decides whether a task waits for the next place of its step in the rack.
func (c *Cell) decideRackWait(now time.Time, t *task, line *rackLine) bool {
	in, expected := line.places.Next()
	if !c.awaitsRack(now, t, line, in, expected) {
		return false
	}
	line.places.Take()
	return true
}

// awaitsRack decides whether a task or its gang waits for places that are expected after a time, and
// records that it begins to wait.
func (c *Cell) awaitsRack(now time.Time, t *task, line *rackLine, in time.Duration, expected bool) bool {
	waiting := line.task.WithWaited(now.Sub(t.readyAt))
	if delayer.Decide(waiting, in, expected) != delayer.VerdictWait {
		return false
	}
	c.pass.awaiting = t
	first := t.firstMember()
	first.rackWait.decidedAt, first.rackWait.expectedAt, first.rackWait.rack = now, now.Add(in), line.rack
	if first.rackWait.since.IsZero() {
		first.rackWait.since = now
		c.record(recorder.Event{Kind: KindRackWait, Task: first.id.String(), Key: first.id.Job,
			Detail: fmt.Sprintf("for %s, expected in %s, remote costs %s", line.rack, rounded(in), rounded(waiting.RemoteCost()))})
	}
	return true
}

// endRackWait records the start of a task or gang that has waited for a rack.
func (c *Cell) endRackWait(now time.Time, t *task, started []*run) {
	first := t.firstMember()
	wait := &first.rackWait
	if wait.since.IsZero() || wait.ended {
		return
	}
	wait.ended = true
	kind := KindRackRemote
	if started[0].inRack() {
		kind = KindRackLocal
	}
	c.record(recorder.Event{Kind: kind, VM: started[0].worker.registration.ID, Task: first.id.String(), Attempt: int(started[0].number), Key: first.id.Job,
		Detail: fmt.Sprintf("after %s", rounded(now.Sub(wait.since)))})
}

// firstMember returns the first member of a gang, or the task itself.
func (t *task) firstMember() *task {
	if t.step.step.Gang {
		return t.step.tasks[0]
	}
	return t
}

// inRack reports whether a run is in the rack of its data, or, for a gang, its group is in one rack.
func (r *run) inRack() bool {
	step := r.task.step.step
	if step.Gang && r.task.step.groupRack != "" {
		return step.DataRack == "" || r.task.step.groupRack == step.DataRack
	}
	return !(step.Gang && step.RackLocal) && r.worker.hasLabel(step.DataRack)
}

// rounded shortens a duration for logs.
func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

package owner

import (
	"zinniashore.example/commander"
	"zinniashore.example/placer"
)

// resizeCommand is the command that changes the reservation of an attempt.
type resizeCommand struct {
	ref  commander.Ref
	size placer.Size
}

// resize stages a new reservation of a running task if the larger of the old and the
// new one fits on its worker. A larger reservation is made durable before it is sent
// to the worker, and the capacity that a smaller one frees is available only after
// the worker has confirmed it.
func (c *cell) resize(action placer.Action, used map[string]placer.Size) {
	t := c.tasks[action.Task]
	w := c.workers[action.Worker]
	if t == nil || w == nil || t.phase != phaseRunning || t.worker() != action.Worker || action.Reserved == (placer.Size{}) {
		return
	}
	reserved := t.record.reserved.Max(action.Reserved)
	total := used[action.Worker].Plus(reserved.Minus(t.record.reserved))
	if !total.Within(w.vm.Capacity) {
		return
	}
	used[action.Worker] = total
	t.targetReserved = action.Reserved
	c.setReserved(t, reserved)
}

// setReserved changes the reservation of a task and stages the change.
func (c *cell) setReserved(t *task, size placer.Size) {
	if t.record.reserved == size {
		return
	}
	t.record = t.record.withReserved(size)
	t.durableReserved = t.durableReserved.Min(size)
	c.stageChange(t.record.id)
}

// resizeDue reports whether the target reservation of a running task is to be sent to
// its worker, which requires that it is within the durable reservation.
func (t *task) resizeDue() bool {
	return t.targetReserved != (placer.Size{}) && t.targetReserved.Within(t.durableReserved)
}

// executeResizes sends the resizes of a batch, which come after all other commands.
func (c *cell) executeResizes(b batch, handle func(commander.Answer, error, bool) error) error {
	for _, r := range b.resizes {
		answer, err := c.owner.Commander.Resize(c.ctx, b.address, b.header, r.ref, r.size)
		if err := handle(answer, err, false); err != nil {
			return err
		}
		c.post(func() { c.handleResized(r, answer) })
	}
	return nil
}

// handleResized lowers the reservation of an attempt once its worker has confirmed a
// resize.
func (c *cell) handleResized(r resizeCommand, answer commander.Answer) {
	t := c.tasks[r.ref.Task]
	if t == nil || t.phase != phaseRunning || !confirms(answer, r.ref) || t.record.attempt != r.ref.Attempt {
		return
	}
	c.setReserved(t, r.size.Max(t.targetReserved))
	if t.targetReserved == r.size {
		t.targetReserved = placer.Size{}
	}
}

func confirms(answer commander.Answer, ref commander.Ref) bool {
	for _, report := range answer.Tasks {
		if report.Ref == ref && !report.State.Ended() {
			return true
		}
	}
	return false
}

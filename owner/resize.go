package owner

import (
	"zinniashore.example/commander"
	"zinniashore.example/placer"
)

// resizing is the command that changes what is reserved for an attempt.
type resizing struct {
	ref  commander.Ref
	size placer.Size
}

// resize stages another reservation of a running task, if its worker can carry
// the larger of both. Growth is recorded before the worker learns of it, and
// what shrinking frees counts once the worker has confirmed it.
func (c *cell) resize(action placer.Action, used map[string]placer.Size) {
	t := c.tasks[action.Task]
	l := c.links[action.Worker]
	if t == nil || l == nil || t.phase != phaseRunning || t.worker() != action.Worker || action.Reserved == (placer.Size{}) {
		return
	}
	reserved := t.record.reserved.Max(action.Reserved)
	total := used[action.Worker].Plus(reserved.Minus(t.record.reserved))
	if !total.Within(l.vm.Capacity) {
		return
	}
	used[action.Worker] = total
	t.target = action.Reserved
	c.reserve(t, reserved)
}

// reserve stages the reservation of a task.
func (c *cell) reserve(t *task, size placer.Size) {
	if t.record.reserved == size {
		return
	}
	t.record = t.record.withReserved(size)
	t.durable = t.durable.Min(size)
	c.mark(t.record.id)
}

// resizeDue reports whether the worker of a running task is to be told its
// target, which must be within what is durable.
func (t *task) resizeDue() bool {
	return t.target != (placer.Size{}) && t.target.Within(t.durable)
}

// executeResizes sends the resizes of a batch after everything else.
func (c *cell) executeResizes(b batch, take func(commander.Answer, error, bool) error) error {
	for _, r := range b.resizes {
		answer, err := c.owner.Commander.Resize(c.ctx, b.address, b.header, r.ref, r.size)
		if err := take(answer, err, false); err != nil {
			return err
		}
		c.post(func() { c.resized(r, answer) })
	}
	return nil
}

// resized takes in that a worker knows the reservation of an attempt.
func (c *cell) resized(r resizing, answer commander.Answer) {
	t := c.tasks[r.ref.Task]
	if t == nil || t.phase != phaseRunning || !confirms(answer, r.ref) || t.record.attempt != r.ref.Attempt {
		return
	}
	c.reserve(t, r.size.Max(t.target))
	if t.target == r.size {
		t.target = placer.Size{}
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

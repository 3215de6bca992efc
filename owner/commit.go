package owner

import (
	"time"

	"k8s.io/klog/v2"
)

// stageChange stages the current entry of a key, or its removal, for the next commit.
func (c *cell) stageChange(key string) {
	if !c.stagedKeys[key] {
		c.stagedKeys[key] = true
		c.staged = append(c.staged, key)
	}
}

// currentEntry returns the journal entry for the current state of a key. It is a
// removal if the key has neither a task nor a job that has not ended.
func (c *cell) currentEntry(key string) entry {
	if t := c.tasks[key]; t != nil {
		r := t.record
		return entry{key: key, task: &r}
	}
	if view := c.jobs[key]; view != nil && !view.job.State.Ended() {
		p := view.progress
		return entry{key: key, job: &p}
	}
	return entry{key: key}
}

// commitOrder returns the staged keys in the order in which to write them: a job comes
// before its tasks. If the commit is split, no removal of a task may be durable before the
// progress that counts it, since a successor would start the task again.
func (c *cell) commitOrder() []string {
	ordered := make([]string, 0, len(c.staged))
	added := make(map[string]bool, len(c.staged))
	add := func(key string) {
		if c.stagedKeys[key] && !added[key] {
			added[key] = true
			ordered = append(ordered, key)
		}
	}
	for _, key := range c.staged {
		if group, _, err := splitTask(key); err == nil {
			add(group)
		}
		add(key)
	}
	return ordered
}

// commit writes the staged changes to the journal in one write. Only one write is in
// flight at a time.
func (c *cell) commit() {
	if c.committing || (len(c.staged) == 0 && c.journal.deleting == 0) {
		return
	}
	if number := c.journal.deleting; number != 0 {
		c.discard(number)
		return
	}
	var entries []entry
	for _, key := range c.commitOrder() {
		entries = append(entries, c.currentEntry(key))
	}
	prepared, rest, err := c.journal.prepare(entries)
	if err != nil {
		klog.ErrorS(err, "Failed to encode journal entries", "cell", c.spec.ID)
		return
	}
	c.staged = nil
	c.stagedKeys = map[string]bool{}
	for _, e := range rest {
		c.stageChange(e.key)
	}
	c.committing = true
	c.spawn(func() {
		err := c.journal.write(c.ctx, prepared)
		c.post(func() { c.handleCommit(prepared, err) })
	})
}

func (c *cell) discard(number int) {
	c.committing = true
	c.spawn(func() {
		err := c.journal.discard(c.ctx, number)
		c.post(func() {
			c.committing = false
			if c.checkFenced(err) || err != nil {
				return
			}
			c.journal.applyDiscard(number)
			c.commit()
		})
	})
}

// handleCommit applies the outcome of a commit. The starts that it made durable are
// sent only now, and only if the session has been valid without a gap. A write that was
// answered after that isn't applied: a successor may have loaded the cell without it.
func (c *cell) handleCommit(prepared preparedWrite, err error) {
	c.committing = false
	if c.checkFenced(err) {
		return
	}
	if err != nil {
		klog.V(1).InfoS("Failed to write journal entries", "cell", c.spec.ID, "err", err)
		for _, e := range prepared.entries {
			c.stageChange(e.key)
		}
		return
	}
	if !c.tenure.valid() {
		klog.InfoS("Ignored journal write answered after the session expired", "cell", c.spec.ID, "epoch", c.tenure.epoch, "entries", len(prepared.entries))
		return
	}
	c.journal.apply(prepared)
	c.owner.Metrics.Counter("commits").Inc(1)
	c.owner.Metrics.Counter("commit_bytes").Inc(int64(len(prepared.body)))
	now := c.now()
	for _, e := range prepared.entries {
		if t := c.tasks[e.key]; t != nil && e.task != nil {
			c.handleRecorded(t, *e.task, now)
		}
	}
	c.dispatch(now)
}

// handleRecorded moves a task whose placement is durable to phaseStarting.
func (c *cell) handleRecorded(t *task, durable record, now time.Time) {
	if durable.state == recordPlaced && durable.attempt == t.record.attempt {
		t.durableReserved = durable.reserved
	}
	if t.phase != phaseRecording || durable.state != recordPlaced || durable.attempt != t.record.attempt {
		return
	}
	t.setPhase(phaseStarting, now)
	c.recordEvent(KindTaskRecorded, t, t.worker(), "")
	if t.stop != "" {
		c.endAttempt(t, t.record.checkpoint, "not started")
	}
}

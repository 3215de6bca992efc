package owner

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/commander"
	"zinniashore.example/placer"
	"zinniashore.example/recorder"
)

type throttling struct {
	ref   commander.Ref
	share float64
}

// batch is the commands for one worker under one header.
type batch struct {
	address   string
	header    commander.Header
	renew     bool
	starts    []commander.Start
	stops     []commander.Ref
	evictions []commander.Ref
	throttles []throttling
	resizes   []resizing
	ended     []commander.Ref
}

func (b batch) empty() bool {
	return !b.renew && len(b.starts)+len(b.stops)+len(b.evictions)+len(b.throttles)+len(b.resizes)+len(b.ended) == 0
}

func (c *cell) dispatchTo(l *link, tasks []*task, now time.Time) {
	b := batch{address: l.vm.Address, renew: !now.Before(l.renewAt)}
	b.header = commander.Header{Cell: c.spec.ID, Epoch: c.tenure.epoch}
	if l.reachable() {
		b.header.Incarnation = l.reading.Incarnation
		b.header.Until = l.reading.Until(now, c.owner.TaskLease)
		c.collect(&b, l, tasks)
	}
	if b.empty() {
		return
	}
	l.until = max(l.until, b.header.Until)
	l.busy = true
	if b.renew {
		l.renewAt = now.Add(c.owner.Renewal)
	}
	c.spawn(func() { c.execute(l, b) })
}

// collect adds the commands that are due for the tasks of a worker.
func (c *cell) collect(b *batch, l *link, tasks []*task) {
	b.stops = append(b.stops, l.orphans...)
	b.ended = l.ended
	l.orphans, l.ended = nil, nil
	granting := c.tenure.valid()
	for _, t := range tasks {
		ref := commander.Ref{Task: t.record.id, Attempt: t.record.attempt}
		switch {
		case t.phase == phaseStarting && granting:
			t.sent = true
			b.starts = append(b.starts, c.startOf(t))
		case t.phase == phaseStopping && t.stop == stopEvict && t.record.class == placer.ClassBatch:
			b.evictions = append(b.evictions, ref)
		case t.phase == phaseStopping:
			b.stops = append(b.stops, ref)
		case t.phase == phaseRunning && t.throttle != t.throttled:
			b.throttles = append(b.throttles, throttling{ref: ref, share: t.throttle})
		case t.phase == phaseRunning && t.resizeDue():
			b.resizes = append(b.resizes, resizing{ref: ref, size: t.target})
		}
	}
}

func (c *cell) startOf(t *task) commander.Start {
	return commander.Start{
		Ref:          commander.Ref{Task: t.record.id, Attempt: t.record.attempt},
		Organisation: t.record.organisation, Template: t.record.template, Class: t.record.class,
		Size: t.record.reserved, Checkpoint: t.record.checkpoint, Work: t.demand.work,
		Slots: t.record.settings.slots, Connections: t.record.settings.connections,
	}
}

// execute gives the commands of a batch in order and posts the answers. It
// stops at the first command that is not answered.
func (c *cell) execute(l *link, b batch) {
	sent := c.now()
	answered := false
	err := c.executeAll(l, b, &answered)
	c.post(func() { c.executed(l, sent, answered, err) })
}

func (c *cell) executeAll(l *link, b batch, answered *bool) error {
	w := c.owner.Commander
	take := func(answer commander.Answer, err error, full bool) error {
		var refused *commander.RefusedError
		if err != nil && !errors.As(err, &refused) {
			return err
		}
		*answered = true
		c.post(func() { c.heard(l, answer, full, refused) })
		return nil
	}
	if b.renew {
		answer, err := w.Renew(c.ctx, b.address, b.header)
		if err := take(answer, err, true); err != nil {
			return err
		}
	}
	if len(b.stops) > 0 {
		answer, err := w.Stop(c.ctx, b.address, b.header, b.stops)
		if err := take(answer, err, false); err != nil {
			return err
		}
	}
	if len(b.evictions) > 0 {
		answer, err := w.Checkpoint(c.ctx, b.address, b.header, b.evictions)
		if err := take(answer, err, false); err != nil {
			return err
		}
	}
	if len(b.ended) > 0 {
		answer, err := w.Forget(c.ctx, b.address, b.header, b.ended)
		if err := take(answer, err, false); err != nil {
			return err
		}
	}
	for _, th := range b.throttles {
		answer, err := w.Throttle(c.ctx, b.address, b.header, th.ref, th.share)
		if err := take(answer, err, false); err != nil {
			return err
		}
		c.post(func() { c.throttled(th) })
	}
	if err := c.executeStarts(l, b, take); err != nil {
		return err
	}
	return c.executeResizes(b, take)
}

// executeStarts sends the starts of a batch, each only if the session was
// valid without a gap until then.
func (c *cell) executeStarts(l *link, b batch, take func(commander.Answer, error, bool) error) error {
	for _, start := range b.starts {
		if !c.tenure.valid() {
			return nil
		}
		answer, err := c.owner.Commander.Start(c.ctx, b.address, b.header, start)
		var refused *commander.RefusedError
		if errors.As(err, &refused) {
			c.post(func() { c.refused(l, start.Ref, refused) })
		}
		if err := take(answer, err, false); err != nil {
			return err
		}
	}
	return nil
}

// executed takes in the end of a batch.
func (c *cell) executed(l *link, sent time.Time, answered bool, err error) {
	l.busy = false
	if answered {
		l.misses = 0
	}
	if err == nil {
		return
	}
	var fenced *commander.FencedError
	if errors.As(err, &fenced) {
		c.fence(fenced.Epoch)
		return
	}
	l.misses++
	l.renewAt = sent.Add(c.owner.Renewal)
	if l.misses == unreachableMisses {
		klog.InfoS("Worker unreachable", "cell", c.spec.ID, "worker", l.vm.ID, "err", err)
		c.owner.record(recorder.Event{Kind: KindWorkerUnreachable, Cell: c.spec.ID, Epoch: c.tenure.epoch, VM: l.vm.ID})
	}
}

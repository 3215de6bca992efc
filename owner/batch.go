package owner

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/commander"
	"zinniashore.example/placer"
	"zinniashore.example/recorder"
)

type throttleCommand struct {
	ref   commander.Ref
	share float64
}

// batch holds the commands to send to one worker under one header.
type batch struct {
	address   string
	header    commander.Header
	renew     bool
	starts    []commander.Start
	stops     []commander.Ref
	evictions []commander.Ref
	throttles []throttleCommand
	resizes   []resizeCommand
	forgets   []commander.Ref
}

func (b batch) empty() bool {
	return !b.renew && len(b.starts)+len(b.stops)+len(b.evictions)+len(b.throttles)+len(b.resizes)+len(b.forgets) == 0
}

func (c *cell) dispatchTo(w *workerView, tasks []*task, now time.Time) {
	b := batch{address: w.vm.Address, renew: !now.Before(w.renewAt)}
	b.header = commander.Header{Cell: c.spec.ID, Epoch: c.tenure.epoch}
	if w.reachable() {
		b.header.Incarnation = w.reading.Incarnation
		b.header.Until = w.reading.Until(now, c.owner.TaskLease)
		c.collectCommands(&b, w, tasks)
	}
	if b.empty() {
		return
	}
	w.leaseUntil = max(w.leaseUntil, b.header.Until)
	w.busy = true
	if b.renew {
		w.renewAt = now.Add(c.owner.Renewal)
	}
	c.spawn(func() { c.execute(w, b) })
}

// collectCommands adds the commands that are due for the tasks of a worker to b.
func (c *cell) collectCommands(b *batch, w *workerView, tasks []*task) {
	b.stops = append(b.stops, w.orphans...)
	b.forgets = w.forgettable
	w.orphans, w.forgettable = nil, nil
	granting, startsAllowed := c.tenure.valid(), c.domainAllowsStarts()
	for _, t := range tasks {
		ref := commander.Ref{Task: t.record.id, Attempt: t.record.attempt}
		switch {
		case t.phase == phaseStarting && granting && startsAllowed:
			t.startSent, t.startUnclear = true, false
			b.starts = append(b.starts, c.startCommand(t))
		case t.phase == phaseStarting && t.startSent && !startsAllowed && b.renew:
			t.startUnclear = true
		case t.phase == phaseStopping && t.stop == stopEvict && t.record.class == placer.ClassBatch:
			b.evictions = append(b.evictions, ref)
		case t.phase == phaseStopping:
			b.stops = append(b.stops, ref)
		case t.phase == phaseRunning && t.throttle != t.appliedThrottle:
			b.throttles = append(b.throttles, throttleCommand{ref: ref, share: t.throttle})
		case t.phase == phaseRunning && t.resizeDue():
			b.resizes = append(b.resizes, resizeCommand{ref: ref, size: t.targetReserved})
		}
	}
}

func (c *cell) startCommand(t *task) commander.Start {
	return commander.Start{
		Ref:          commander.Ref{Task: t.record.id, Attempt: t.record.attempt},
		Organisation: t.record.organisation, Template: t.record.template, Class: t.record.class,
		Size: t.record.reserved, Checkpoint: t.record.checkpoint, Work: t.demand.work,
		Slots: t.record.settings.slots, Connections: t.record.settings.connections,
	}
}

// execute sends the commands of a batch in order and posts the answers. It stops at
// the first command that is not answered.
func (c *cell) execute(w *workerView, b batch) {
	sent := c.now()
	answered := false
	err := c.executeAll(w, b, sent, &answered)
	c.post(func() { c.handleBatchEnd(w, sent, answered, err) })
}

func (c *cell) executeAll(w *workerView, b batch, sent time.Time, answered *bool) error {
	client := c.owner.Commander
	handle := func(answer commander.Answer, err error, full bool) error {
		var refused *commander.RefusedError
		if err != nil && !errors.As(err, &refused) {
			return err
		}
		*answered = true
		c.post(func() { c.handleAnswer(w, answer, full, refused) })
		return nil
	}
	if b.renew {
		answer, err := client.Renew(c.ctx, b.address, b.header)
		if err := handle(answer, err, true); err != nil {
			return err
		}
	}
	if len(b.stops) > 0 {
		answer, err := client.Stop(c.ctx, b.address, b.header, b.stops)
		if err := handle(answer, err, false); err != nil {
			return err
		}
	}
	if len(b.evictions) > 0 {
		answer, err := client.Checkpoint(c.ctx, b.address, b.header, b.evictions)
		if err := handle(answer, err, false); err != nil {
			return err
		}
	}
	if len(b.forgets) > 0 {
		answer, err := client.Forget(c.ctx, b.address, b.header, b.forgets)
		if err := handle(answer, err, false); err != nil {
			return err
		}
	}
	for _, th := range b.throttles {
		answer, err := client.Throttle(c.ctx, b.address, b.header, th.ref, th.share)
		if err := handle(answer, err, false); err != nil {
			return err
		}
		c.post(func() { c.handleThrottled(th) })
	}
	if err := c.executeStarts(w, b, sent, handle); err != nil {
		return err
	}
	return c.executeResizes(b, handle)
}

// executeStarts sends the starts of a batch. Each is sent only if the session has been
// valid without a gap since the cell was acquired, and if the failure domain is not
// evacuated. All starts carry the lease of the batch,
// so those that are left when the next renewal is due wait for the next batch.
func (c *cell) executeStarts(w *workerView, b batch, sent time.Time, handle func(commander.Answer, error, bool) error) error {
	for i, start := range b.starts {
		if !c.tenure.valid() || !c.domainAllowsStarts() || i > 0 && c.now().Sub(sent) >= c.owner.Renewal {
			return nil
		}
		answer, err := c.owner.Commander.Start(c.ctx, b.address, b.header, start)
		var refused *commander.RefusedError
		if errors.As(err, &refused) {
			c.post(func() { c.handleRefusal(w, start.Ref, refused) })
		}
		if err := handle(answer, err, false); err != nil {
			return err
		}
	}
	return nil
}

// handleBatchEnd applies the outcome of a batch: it counts a missed call, or fences the
// cell if the worker has seen a newer epoch.
func (c *cell) handleBatchEnd(w *workerView, sent time.Time, answered bool, err error) {
	w.busy = false
	if answered {
		w.missedCalls = 0
	}
	if err == nil {
		return
	}
	var fenced *commander.FencedError
	if errors.As(err, &fenced) {
		c.fence(fenced.Epoch)
		return
	}
	w.missedCalls++
	w.renewAt = sent.Add(c.owner.Renewal)
	if w.missedCalls == unreachableMisses {
		klog.InfoS("Worker unreachable", "cell", c.spec.ID, "worker", w.vm.ID, "err", err)
		c.owner.record(recorder.Event{Kind: KindWorkerUnreachable, Cell: c.spec.ID, Epoch: c.tenure.epoch, VM: w.vm.ID})
	}
}

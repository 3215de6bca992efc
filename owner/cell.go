package owner

import (
	"context"
	"errors"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/keeper"
	"zinniashore.example/placer"
	"zinniashore.example/publisher"
	"zinniashore.example/recorder"
	"zinniashore.example/submitter"
)

// cell runs the tasks of one cell. Only the goroutine of run accesses its state;
// other goroutines post functions to it.
type cell struct {
	owner   *Owner
	spec    Cell
	tenure  *tenure
	journal *journal
	// leaseBound is when the leases of workers that this process never reached have
	// certainly expired.
	leaseBound time.Time
	// leaseBounds holds that time for each worker that this process reached under its
	// previous epoch.
	leaseBounds map[string]time.Time

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	inbox   chan func()
	fenced  atomic.Bool

	tasks    map[string]*task
	workers  map[string]*workerView
	jobs     map[string]*jobView
	failures *failureTracker
	// jobVersions are the versions of the job records read so far, by key.
	jobVersions    map[string]int64
	mirrorRevision int64
	// staged are the keys of the changes to commit next, in order. stagedKeys holds the
	// same keys.
	staged      []string
	stagedKeys  map[string]bool
	committing  bool
	writingJob  bool
	waitReasons map[string]placer.Waiting
	// evacuated is true if the failure domain was evacuated at the last step.
	evacuated   bool
	publication publication
	// inheritedEndpoints are the endpoints that an earlier owner published, by task.
	inheritedEndpoints map[string]publisher.Endpoint
}

// load reads the journal, jobs and endpoints of a cell that was acquired, and returns
// the cell ready to start.
func (o *Owner) load(ctx context.Context, spec Cell, t *tenure, bound time.Time, sealed int64) (*cell, error) {
	c := &cell{
		owner: o, spec: spec, tenure: t, leaseBound: bound,
		journal: newJournal(o.Keeper, spec.ID, t.epoch, sealed),
		inbox:   make(chan func()),
		tasks:   map[string]*task{}, workers: map[string]*workerView{}, jobs: map[string]*jobView{},
		jobVersions: map[string]int64{}, stagedKeys: map[string]bool{},
		waitReasons: map[string]placer.Waiting{}, failures: newFailureTracker(o.ProbeWait),
	}
	if err := c.journal.load(ctx); err != nil {
		return nil, err
	}
	listing, err := o.Keeper.Store.List(ctx, submitter.Prefix)
	if err != nil {
		return nil, err
	}
	c.applyJobs(listing.Entries)
	if err := c.inheritEndpoints(ctx); err != nil {
		return nil, err
	}
	c.restore()
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c, nil
}

// restore creates the tasks of the stored records. Tasks that were placed start in
// phaseResolving until their worker reports on them. Job progress comes first,
// because the tasks of a job depend on it.
func (c *cell) restore() {
	for _, stored := range c.journal.current {
		if stored.entry.job != nil {
			c.restoreProgress(*stored.entry.job)
		}
	}
	for _, stored := range c.journal.current {
		if stored.entry.task != nil {
			c.restoreTask(*stored.entry.task)
		}
	}
}

func (c *cell) restoreProgress(p progress) {
	if view := c.jobs[p.key]; view != nil && !view.job.State.Ended() {
		view.progress = p
		return
	}
	c.stageChange(p.key)
}

func (c *cell) restoreTask(r record) {
	t := &task{record: r, demand: r.demand(), phase: phaseWaiting, since: c.now(), throttle: 1, appliedThrottle: 1, durableReserved: r.reserved}
	c.tasks[r.id] = t
	if r.state == recordPlaced {
		t.phase = phaseResolving
	}
	if r.class == placer.ClassService {
		return
	}
	view := c.jobs[t.demand.group]
	if view == nil {
		c.requestStop(t, stopRemove)
		return
	}
	t.demand = view.demand(t.demand.index)
	view.activeTasks[t.demand.index] = true
	if !view.wanted() || view.progress.ended(t.demand.index) {
		c.requestStop(t, stopRemove)
	}
}

// leaseBoundOf returns when the leases of a worker that was not reached under this
// epoch have certainly expired.
func (c *cell) leaseBoundOf(worker string) time.Time {
	if bound, known := c.leaseBounds[worker]; known {
		return bound
	}
	return c.leaseBound
}

// inheritLeaseBounds copies the bounds of the leases that an earlier cell of this
// process granted.
func (c *cell) inheritLeaseBounds(earlier *cell) {
	c.leaseBound = earlier.leaseBound
	c.leaseBounds = make(map[string]time.Time, len(earlier.workers))
	for id, w := range earlier.workers {
		c.leaseBounds[id] = w.leaseExpiry(earlier.leaseBoundOf(id))
	}
}

// start runs the cell until stop is called or its context is done.
func (c *cell) start() { c.running.Go(c.run) }

// stop ends the cell and waits for its goroutines.
func (c *cell) stop() {
	c.cancel()
	c.running.Wait()
}

// mayStartTasks reports whether this process still owns the cell under a valid
// session.
func (c *cell) mayStartTasks() bool { return !c.fenced.Load() && c.tenure.valid() }

func (c *cell) now() time.Time { return c.owner.Clock.Now() }

func (c *cell) run() {
	if c.ctx.Err() != nil {
		return
	}
	ticker := c.owner.Clock.NewTicker(c.owner.Period)
	defer ticker.Stop()
	c.step()
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.inbox:
			f()
		case <-ticker.Chan():
			c.step()
		}
	}
}

// post runs f on the goroutine of run, unless the cell has ended.
func (c *cell) post(f func()) {
	select {
	case <-c.ctx.Done():
	case c.inbox <- f:
	}
}

// spawn runs f on a goroutine of its own, which stop waits for.
func (c *cell) spawn(f func()) { c.running.Go(f) }

// step runs one iteration. Without a valid session nothing is decided or written,
// and running tasks keep their leases.
func (c *cell) step() {
	if c.fenced.Load() {
		return
	}
	now := c.now()
	c.syncWorkers(now)
	c.expireUnreachable(now)
	if c.tenure.valid() {
		c.syncJobs()
		c.syncServices()
		c.advanceDrains(now)
		c.syncEvacuation()
		c.decide(now)
		c.commit()
		c.publish(now)
		c.writeJobs(now)
	}
	c.dispatch(now)
	c.owner.Metrics.Tagged(map[string]string{"cell": c.spec.ID}).Gauge("tasks").Update(float64(len(c.tasks)))
}

// checkFenced reports whether err is a *FencedError, and fences the cell if so.
func (c *cell) checkFenced(err error) bool {
	var fenced *FencedError
	if !errors.As(err, &fenced) {
		return false
	}
	c.fence(fenced.Epoch)
	return true
}

// fence ends all activity of the cell because epoch, a newer one, owns it.
func (c *cell) fence(epoch int64) {
	if c.fenced.Swap(true) {
		return
	}
	klog.InfoS("Lost cell to a newer owner", "cell", c.spec.ID, "epoch", c.tenure.epoch, "newer", epoch)
	c.owner.record(recorder.Event{Kind: KindCellLost, Cell: c.spec.ID, Epoch: epoch})
}

func (c *cell) recordEvent(kind recorder.Kind, t *task, worker, detail string) {
	c.owner.record(recorder.Event{
		Kind: kind, Organisation: t.record.organisation, Cell: c.spec.ID, Epoch: c.tenure.epoch,
		VM: worker, Task: t.record.id, Attempt: int(t.record.attempt), Detail: detail,
	})
}

func (c *cell) sortedTasks() []*task {
	tasks := make([]*task, 0, len(c.tasks))
	for _, t := range c.tasks {
		tasks = append(tasks, t)
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].record.id < tasks[j].record.id })
	return tasks
}

// requestStop begins to stop a task, either to place it again or to remove it. A
// removal is not replaced by a later eviction.
func (c *cell) requestStop(t *task, kind stopKind) {
	if t.stop != stopRemove {
		t.stop = kind
	}
	switch t.phase {
	case phaseWaiting:
		if kind == stopRemove {
			c.removeTask(t)
		}
	case phaseRunning:
		if t.record.class == placer.ClassService {
			t.setPhase(phaseDraining, c.now())
			return
		}
		t.setPhase(phaseStopping, c.now())
	case phaseStarting, phaseResolving:
		t.setPhase(phaseStopping, c.now())
	}
}

// endAttempt applies the end of an attempt that can no longer be running. The task is
// removed if that was requested; else it waits for its next attempt.
func (c *cell) endAttempt(t *task, checkpoint, detail string) {
	now := c.now()
	c.recordEvent(KindTaskEnded, t, t.worker(), detail)
	c.failures.releaseProbe(t.record.id, t.worker())
	t.record = t.record.withoutPlacement(checkpoint)
	t.address = ""
	t.startSent, t.startUnclear = false, false
	t.leavingSince = time.Time{}
	t.throttle, t.appliedThrottle = 1, 1
	t.setPhase(phaseWaiting, now)
	if t.stop == stopRemove {
		c.removeTask(t)
		return
	}
	t.stop = ""
	c.stageChange(t.record.id)
}

// removeTask removes a task that runs nowhere. It raises the journal's attempt floor, so
// that a later task of the same id does not reuse an attempt number.
func (c *cell) removeTask(t *task) {
	id := t.record.id
	if t.record.attempt > 0 {
		c.journal.attemptFloor = max(c.journal.attemptFloor, t.record.attempt)
		c.stageChange(id)
	}
	delete(c.tasks, id)
	delete(c.waitReasons, id)
	if view := c.jobs[t.demand.group]; view != nil {
		delete(view.activeTasks, t.demand.index)
	}
}

// advanceDrains stops the instances that have been published as leaving for the
// drain time, within which every router has seen it.
func (c *cell) advanceDrains(now time.Time) {
	for _, t := range c.tasks {
		if t.phase == phaseDraining && !t.leavingSince.IsZero() && now.Sub(t.leavingSince) >= c.owner.Drain {
			t.setPhase(phaseStopping, now)
		}
	}
}

// mirrorHasNewer reports whether the mirror holds a version of key newer than version.
func (c *cell) mirrorHasNewer(key string, version int64) bool {
	entries := c.owner.Mirror.Entries(key)
	return len(entries) == 1 && entries[0].Key == key && entries[0].Version > version
}

// aliveKey returns the store key that is bound to the session of a process.
func aliveKey(process string) string { return keeper.AlivePrefix + process }

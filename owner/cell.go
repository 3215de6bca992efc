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

// cell runs the tasks of one cell. All its state belongs to the goroutine of
// run; other goroutines post functions to it.
type cell struct {
	owner   *Owner
	spec    Cell
	tenure  *tenure
	journal *journal
	// bound is when tasks on workers that were never reached have certainly lapsed.
	bound time.Time
	// bounds are those of workers that this process reached under its last epoch.
	bounds map[string]time.Time

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	inbox   chan func()
	fenced  atomic.Bool

	tasks  map[string]*task
	links  map[string]*link
	jobs   map[string]*jobView
	blamer *blamer
	// seen are the versions of the job records that were read.
	seen     map[string]int64
	mirrored int64
	// staged are the changes that are not in the journal yet, in order.
	staged     []string
	stagedKeys map[string]bool
	committing bool
	writingJob bool
	waiting    map[string]placer.Waiting
	published  publication
	// inherited are the endpoints that an earlier owner published.
	inherited map[string]publisher.Endpoint
}

// load reads the records of a cell that was taken.
func (o *Owner) load(ctx context.Context, spec Cell, t *tenure, bound time.Time, sealed int64) (*cell, error) {
	c := &cell{
		owner: o, spec: spec, tenure: t, bound: bound,
		journal: newJournal(o.Keeper, spec.ID, t.epoch, sealed),
		inbox:   make(chan func()),
		tasks:   map[string]*task{}, links: map[string]*link{}, jobs: map[string]*jobView{},
		seen: map[string]int64{}, stagedKeys: map[string]bool{},
		waiting: map[string]placer.Waiting{}, blamer: newBlamer(o.ProbeWait),
	}
	if err := c.journal.load(ctx); err != nil {
		return nil, err
	}
	listing, err := o.Keeper.Store.List(ctx, submitter.Prefix)
	if err != nil {
		return nil, err
	}
	c.learnJobs(listing.Entries)
	if err := c.inheritEndpoints(ctx); err != nil {
		return nil, err
	}
	c.restore()
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c, nil
}

// restore makes the tasks of the records. Those that were placed are resolved
// with their workers.
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
	c.mark(p.key)
}

func (c *cell) restoreTask(r record) {
	t := &task{record: r, demand: r.demand(), phase: phaseWaiting, since: c.now(), throttle: 1, throttled: 1, durable: r.reserved}
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
	view.active[t.demand.index] = true
	if !view.wanted() || view.progress.ended(t.demand.index) {
		c.requestStop(t, stopRemove)
	}
}

// boundOf returns when tasks on a worker that was not reached under this epoch
// have certainly lapsed.
func (c *cell) boundOf(worker string) time.Time {
	if bound, known := c.bounds[worker]; known {
		return bound
	}
	return c.bound
}

// inheritBounds takes over what an earlier cell of this process knows of the
// leases that it granted.
func (c *cell) inheritBounds(earlier *cell) {
	c.bound = earlier.bound
	c.bounds = make(map[string]time.Time, len(earlier.links))
	for id, l := range earlier.links {
		c.bounds[id] = l.lapsed(earlier.boundOf(id))
	}
}

// start runs the cell until stop or the end of its context.
func (c *cell) start() { c.running.Go(c.run) }

// stop ends the cell and waits for what it has under way.
func (c *cell) stop() {
	c.cancel()
	c.running.Wait()
}

// sound reports whether the cell is owned and may start tasks.
func (c *cell) sound() bool { return !c.fenced.Load() && c.tenure.valid() }

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

// post has the goroutine of run call f, unless the cell has ended.
func (c *cell) post(f func()) {
	select {
	case <-c.ctx.Done():
	case c.inbox <- f:
	}
}

// spawn runs f beside the goroutine of run.
func (c *cell) spawn(f func()) { c.running.Go(f) }

// step does what is due. Without a valid session nothing is decided or
// written, and what is granted goes on.
func (c *cell) step() {
	if c.fenced.Load() {
		return
	}
	now := c.now()
	c.followWorkers(now)
	c.lapseUnreachable(now)
	if c.tenure.valid() {
		c.followJobs()
		c.followServices()
		c.advanceDrains(now)
		c.decide(now)
		c.commit()
		c.publish(now)
		c.writeJobs(now)
	}
	c.dispatch(now)
	c.owner.Metrics.Tagged(map[string]string{"cell": c.spec.ID}).Gauge("tasks").Update(float64(len(c.tasks)))
}

// mark stages what a key stands at, or its removal, for the next commit.
func (c *cell) mark(key string) {
	if !c.stagedKeys[key] {
		c.stagedKeys[key] = true
		c.staged = append(c.staged, key)
	}
}

// entryOf returns the entry that a key stands at.
func (c *cell) entryOf(key string) entry {
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

// commit makes the staged changes durable with one write, one at a time.
func (c *cell) commit() {
	if c.committing || (len(c.staged) == 0 && c.journal.deleting == 0) {
		return
	}
	if number := c.journal.deleting; number != 0 {
		c.discard(number)
		return
	}
	entries := make([]entry, len(c.staged))
	for i, key := range c.staged {
		entries[i] = c.entryOf(key)
	}
	prepared, rest, err := c.journal.prepare(entries)
	if err != nil {
		klog.ErrorS(err, "Records not encoded", "cell", c.spec.ID)
		return
	}
	c.staged = nil
	c.stagedKeys = map[string]bool{}
	for _, e := range rest {
		c.mark(e.key)
	}
	c.committing = true
	c.spawn(func() {
		err := c.journal.write(c.ctx, prepared)
		c.post(func() { c.committed(prepared, err) })
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
			c.journal.discarded(number)
			c.commit()
		})
	})
}

// committed takes over the outcome of a commit. Only now, and only under a
// session that was valid all along, are the recorded starts sent.
func (c *cell) committed(prepared commitment, err error) {
	c.committing = false
	if c.checkFenced(err) {
		return
	}
	if err != nil {
		klog.V(1).InfoS("Records not written", "cell", c.spec.ID, "err", err)
		for _, e := range prepared.entries {
			c.mark(e.key)
		}
		return
	}
	c.journal.applied(prepared)
	c.owner.Metrics.Counter("commits").Inc(1)
	c.owner.Metrics.Counter("commit_bytes").Inc(int64(len(prepared.body)))
	now := c.now()
	for _, e := range prepared.entries {
		if t := c.tasks[e.key]; t != nil && e.task != nil {
			c.recorded(t, *e.task, now)
		}
	}
	c.dispatch(now)
}

// recorded lets a task whose place is durable be started.
func (c *cell) recorded(t *task, durable record, now time.Time) {
	if durable.state == recordPlaced && durable.attempt == t.record.attempt {
		t.durable = durable.reserved
	}
	if t.phase != phaseRecording || durable.state != recordPlaced || durable.attempt != t.record.attempt {
		return
	}
	t.move(phaseStarting, now)
	c.note(KindTaskRecorded, t, t.worker(), "")
	if t.stop != "" {
		c.end(t, t.record.checkpoint, "not started")
	}
}

// checkFenced reports whether the error tells of a newer owner, and ends the
// cell if so.
func (c *cell) checkFenced(err error) bool {
	var fenced *FencedError
	if !errors.As(err, &fenced) {
		return false
	}
	c.fence(fenced.Epoch)
	return true
}

// fence ends all activity: a newer owner has the cell.
func (c *cell) fence(epoch int64) {
	if c.fenced.Swap(true) {
		return
	}
	klog.InfoS("Cell lost", "cell", c.spec.ID, "epoch", c.tenure.epoch, "newer", epoch)
	c.owner.record(recorder.Event{Kind: KindCellLost, Cell: c.spec.ID, Epoch: epoch})
}

func (c *cell) note(kind recorder.Kind, t *task, worker, detail string) {
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

// requestStop has a task stopped, to wait again or to end for good.
func (c *cell) requestStop(t *task, kind stopKind) {
	if t.stop != stopRemove {
		t.stop = kind
	}
	switch t.phase {
	case phaseWaiting:
		if kind == stopRemove {
			c.remove(t)
		}
	case phaseRunning:
		if t.record.class == placer.ClassService {
			t.move(phaseDraining, c.now())
			return
		}
		t.move(phaseStopping, c.now())
	case phaseStarting, phaseResolving:
		t.move(phaseStopping, c.now())
	}
}

// end takes in that the attempt of a task certainly runs no longer.
func (c *cell) end(t *task, checkpoint, detail string) {
	now := c.now()
	c.note(KindTaskEnded, t, t.worker(), detail)
	c.blamer.abandoned(t.record.id, t.worker())
	t.record = t.record.withoutPlace(checkpoint)
	t.address = ""
	t.sent = false
	t.drained = time.Time{}
	t.throttle, t.throttled = 1, 1
	t.move(phaseWaiting, now)
	if t.stop == stopRemove {
		c.remove(t)
		return
	}
	t.stop = ""
	c.mark(t.record.id)
}

// remove drops a task that runs nowhere.
func (c *cell) remove(t *task) {
	id := t.record.id
	if t.record.attempt > 0 {
		c.journal.floor = max(c.journal.floor, t.record.attempt)
		c.mark(id)
	}
	delete(c.tasks, id)
	delete(c.waiting, id)
	if view := c.jobs[t.demand.group]; view != nil {
		delete(view.active, t.demand.index)
	}
}

// advanceDrains stops the instances that every router knows to be leaving.
func (c *cell) advanceDrains(now time.Time) {
	for _, t := range c.tasks {
		if t.phase == phaseDraining && !t.drained.IsZero() && now.Sub(t.drained) >= c.owner.Drain {
			t.move(phaseStopping, now)
		}
	}
}

// seenByMirror reports whether the mirror shows an entry newer than a version.
func (c *cell) seenByMirror(key string, version int64) bool {
	entries := c.owner.Mirror.Entries(key)
	return len(entries) == 1 && entries[0].Key == key && entries[0].Version > version
}

// aliveKey is the key of a process in the store.
func aliveKey(process string) string { return keeper.AlivePrefix + process }

package owner

import (
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/commander"
	"zinniashore.example/placer"
	"zinniashore.example/recorder"
)

// unreachableMisses is the number of calls in a row without an answer after
// which a worker is unreachable: it is granted nothing until it answers.
const unreachableMisses = 2

// link is what the owner of a cell knows of one worker.
type link struct {
	vm     WorkerVM
	listed bool
	// reading relates the worker's clock to ours; known tells that the worker
	// has answered under this epoch.
	reading commander.Reading
	known   bool
	// until is the latest end of the lease that may have reached the worker, on
	// its clock.
	until time.Duration
	busy  bool
	// misses is the number of calls in a row without an answer.
	misses  int
	renewAt time.Time
	// orphans run at the worker and are not wanted; ended are attempts that it
	// need not remember.
	orphans []commander.Ref
	ended   []commander.Ref
}

func (l *link) reachable() bool { return l.known && l.misses < unreachableMisses }

// lapsed returns our time from which nothing that was granted still runs.
func (l *link) lapsed(inherited time.Time) time.Time {
	if !l.known {
		return inherited
	}
	return l.reading.Expiry(l.until)
}

// followWorkers brings the links up to the platform's list and to the records.
func (c *cell) followWorkers(now time.Time) {
	for _, l := range c.links {
		l.listed = false
	}
	for _, vm := range c.owner.listed() {
		if c.spec.Contains(vm) {
			l := c.link(vm.ID, vm.Address, now)
			l.vm = vm
			l.listed = true
		}
	}
	holding := map[string]bool{}
	for _, t := range c.tasks {
		for i, worker := range t.record.workers {
			holding[worker] = true
			c.link(worker, t.record.addresses[i], now)
		}
	}
	for id, l := range c.links {
		if !l.listed && !l.busy && !holding[id] {
			delete(c.links, id)
		}
	}
}

func (c *cell) link(id, address string, now time.Time) *link {
	l := c.links[id]
	if l == nil {
		l = &link{vm: WorkerVM{ID: id, Address: address, FailureDomain: c.spec.FailureDomain}, renewAt: now}
		c.links[id] = l
	}
	return l
}

// state returns the state of a worker as the placer sees it.
func (c *cell) state(l *link, now time.Time) placer.WorkerState {
	switch {
	case !l.listed || !l.reachable():
		return placer.WorkerUnreachable
	case l.vm.Leaving:
		return placer.WorkerLeaving
	case !c.blamer.admits(l.vm.ID, now):
		return placer.WorkerQuarantined
	}
	return placer.WorkerReady
}

// lapseUnreachable ends the attempts on workers that do not answer, once their
// leases have certainly lapsed.
func (c *cell) lapseUnreachable(now time.Time) {
	for _, t := range c.sortedTasks() {
		l := c.links[t.worker()]
		if l == nil || l.reachable() {
			continue
		}
		if t.holds() && t.phase != phaseRecording && now.After(l.lapsed(c.boundOf(l.vm.ID))) {
			c.end(t, t.record.checkpoint, "lease lapsed")
		}
	}
}

// mayRenew reports whether leases may be renewed: under a valid session, or
// for the limit of an outage after it.
func (c *cell) mayRenew(now time.Time) bool {
	return c.tenure.valid() || now.Before(c.tenure.lapsed().Add(c.owner.Outage))
}

// dispatch gives each idle worker the commands that are due, one batch at a
// time.
func (c *cell) dispatch(now time.Time) {
	if c.fenced.Load() || !c.mayRenew(now) {
		return
	}
	byWorker := map[string][]*task{}
	for _, t := range c.sortedTasks() {
		if t.holds() {
			byWorker[t.worker()] = append(byWorker[t.worker()], t)
		}
	}
	for id, l := range c.links {
		if !l.busy {
			c.dispatchTo(l, byWorker[id], now)
		}
	}
}

// heard takes in an answer of a worker.
func (c *cell) heard(l *link, answer commander.Answer, full bool, refused *commander.RefusedError) {
	if l.known && l.reading.Incarnation != answer.Reading.Incarnation {
		c.restarted(l)
	}
	if !l.reachable() {
		l.renewAt = c.now()
	}
	l.reading = answer.Reading
	l.known = true
	l.misses = 0
	if refused != nil {
		return
	}
	for _, report := range answer.Tasks {
		c.reported(l, report)
	}
	if full {
		c.absent(l, answer.Tasks)
		c.vindicate(l)
		c.learn(l, answer.Tasks)
	}
}

// restarted takes in that a worker has begun anew: what it ran is gone.
func (c *cell) restarted(l *link) {
	l.until = 0
	l.orphans, l.ended = nil, nil
	for _, t := range c.sortedTasks() {
		if t.worker() != l.vm.ID || !t.holds() || t.phase == phaseRecording {
			continue
		}
		if t.phase != phaseStarting || t.sent {
			c.end(t, t.record.checkpoint, "worker restarted")
		}
	}
}

// refused takes in that a worker will not run an attempt under this lease.
func (c *cell) refused(l *link, ref commander.Ref, refused *commander.RefusedError) {
	t := c.tasks[ref.Task]
	if t == nil || t.record.attempt != ref.Attempt || !t.record.placedOn(l.vm.ID) || t.phase != phaseStarting {
		return
	}
	klog.V(1).InfoS("Start refused", "task", ref.Task, "worker", l.vm.ID, "reason", refused.Reason)
	t.move(phaseStopping, c.now())
	if t.stop == "" {
		t.stop = stopEvict
	}
}

func (c *cell) throttled(th throttling) {
	t := c.tasks[th.ref.Task]
	if t != nil && t.record.attempt == th.ref.Attempt {
		t.throttled = th.share
	}
}

// reported takes in what a worker says of one attempt.
func (c *cell) reported(l *link, report commander.TaskReport) {
	t := c.tasks[report.Ref.Task]
	if t == nil || t.record.attempt != report.Ref.Attempt || !t.record.placedOn(l.vm.ID) {
		c.reportedOrphan(l, report)
		return
	}
	if t.phase == phaseRecording {
		return
	}
	if report.State.Ended() {
		c.ended(t, report)
		return
	}
	if t.phase == phaseStarting || t.phase == phaseResolving {
		t.address = report.Address
		t.move(phaseRunning, c.now())
		c.note(KindTaskRunning, t, l.vm.ID, "")
		if t.stop != "" {
			c.requestStop(t, t.stop)
		}
	}
}

// reportedOrphan has an attempt that is not wanted stopped or, once its end is
// durable, forgotten.
func (c *cell) reportedOrphan(l *link, report commander.TaskReport) {
	if !report.State.Ended() {
		l.orphans = append(l.orphans, report.Ref)
		return
	}
	durable, found := c.journal.durable(report.Ref.Task)
	if found && durable.state == recordPlaced && durable.attempt <= report.Ref.Attempt {
		return
	}
	l.ended = append(l.ended, report.Ref)
}

// absent takes in that a worker knows nothing of attempts that it was to run:
// they were never started there, and under this epoch never will be.
func (c *cell) absent(l *link, reports []commander.TaskReport) {
	known := make(map[string]bool, len(reports))
	for _, report := range reports {
		known[report.Ref.Task] = true
	}
	for _, t := range c.sortedTasks() {
		if t.worker() != l.vm.ID || known[t.record.id] {
			continue
		}
		switch t.phase {
		case phaseResolving, phaseRunning, phaseDraining:
			c.end(t, t.record.checkpoint, "not known to worker")
		}
	}
}

// vindicate takes in that a task has run well on a worker for some time.
func (c *cell) vindicate(l *link) {
	for _, t := range c.tasks {
		if t.phase == phaseRunning && t.worker() == l.vm.ID && c.now().Sub(t.since) > c.owner.ProbeWait {
			c.blamer.sound(l.vm.ID)
			return
		}
	}
}

// ended takes in that an attempt has ended at its worker.
func (c *cell) ended(t *task, report commander.TaskReport) {
	switch report.State {
	case commander.TaskDone:
		c.done(t)
	case commander.TaskFailed:
		c.failed(t, report)
	case commander.TaskStopped:
		checkpoint := t.record.checkpoint
		if report.Checkpoint != "" {
			checkpoint = report.Checkpoint
		}
		c.end(t, checkpoint, "stopped")
	default:
		c.end(t, t.record.checkpoint, string(report.State))
	}
}

func (c *cell) done(t *task) {
	c.blamer.sound(t.worker())
	c.learnEnd(t)
	if view := c.jobs[t.demand.group]; view != nil {
		view.progress = view.progress.withDone(t.demand.index)
		c.mark(view.key())
		t.stop = stopRemove
	}
	c.end(t, t.record.checkpoint, "done")
}

// failed blames the worker or the task.
func (c *cell) failed(t *task, report commander.TaskReport) {
	now, worker := c.now(), t.worker()
	id := t.record.id
	if c.blamer.failed(id, worker, now, len(c.links)) {
		klog.InfoS("Worker quarantined", "cell", c.spec.ID, "worker", worker)
		c.owner.record(recorder.Event{Kind: KindWorkerQuarantined, Cell: c.spec.ID, Epoch: c.tenure.epoch, VM: worker})
	}
	t.record = t.record.withFailure(worker)
	if c.blamer.blames(t.record.failedOn, c.ready(now)) {
		c.blamer.atFault(id)
		c.giveUp(t, report.Reason, now)
	}
	c.end(t, t.record.checkpoint, "failed: "+report.Reason)
}

// giveUp ends a batch task that fails everywhere. An instance of a service is
// tried again after a wait.
func (c *cell) giveUp(t *task, reason string, now time.Time) {
	if view := c.jobs[t.demand.group]; view != nil {
		detail := t.record.id + " failed on " + joined(t.record.failedOn) + ": " + reason
		view.progress = view.progress.withFailed(t.demand.index, detail)
		c.mark(view.key())
		t.stop = stopRemove
		return
	}
	t.record.failedOn = nil
	t.retryAt = now.Add(c.owner.ProbeWait)
}

// ready returns the number of workers that take new tasks.
func (c *cell) ready(now time.Time) int {
	count := 0
	for _, l := range c.links {
		if c.state(l, now) == placer.WorkerReady {
			count++
		}
	}
	return count
}

func joined(names []string) string {
	text := ""
	for i, name := range names {
		if i > 0 {
			text += ", "
		}
		text += name
	}
	return text
}

package owner

import (
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/commander"
	"zinniashore.example/placer"
	"zinniashore.example/recorder"
)

// unreachableMisses is the number of consecutive calls without an answer after which
// a worker is unreachable. An unreachable worker is granted no lease until it answers.
const unreachableMisses = 2

// workerView is the state of one worker as the owner of its cell knows it.
type workerView struct {
	vm     WorkerVM
	listed bool
	// reading relates the worker's clock to the local clock; answered is true once
	// the worker has answered under this epoch.
	reading  commander.Reading
	answered bool
	// leaseUntil is the latest end of the lease that may have reached the worker, on
	// the worker's clock.
	leaseUntil time.Duration
	busy       bool
	// missedCalls is the number of consecutive calls without an answer.
	missedCalls int
	renewAt     time.Time
	// orphans are attempts that run on the worker and are to be stopped; forgettable
	// are ended attempts that the worker no longer needs to remember.
	orphans     []commander.Ref
	forgettable []commander.Ref
}

func (w *workerView) reachable() bool { return w.answered && w.missedCalls < unreachableMisses }

// leaseExpiry returns the local time after which no task runs under a lease that the
// worker was granted. It is inherited if the worker has not answered yet.
func (w *workerView) leaseExpiry(inherited time.Time) time.Time {
	if !w.answered {
		return inherited
	}
	return w.reading.Expiry(w.leaseUntil)
}

// syncWorkers updates the workers of the cell from the platform's list and from the
// placements of the tasks.
func (c *cell) syncWorkers(now time.Time) {
	for _, w := range c.workers {
		w.listed = false
	}
	for _, vm := range c.owner.listedWorkers() {
		if c.spec.Contains(vm) {
			w := c.ensureWorker(vm.ID, vm.Address, now)
			w.vm = vm
			w.listed = true
		}
	}
	placedOn := map[string]bool{}
	for _, t := range c.tasks {
		for i, worker := range t.record.workers {
			placedOn[worker] = true
			c.ensureWorker(worker, t.record.addresses[i], now)
		}
	}
	for id, w := range c.workers {
		if !w.listed && !w.busy && !placedOn[id] {
			delete(c.workers, id)
		}
	}
}

func (c *cell) ensureWorker(id, address string, now time.Time) *workerView {
	w := c.workers[id]
	if w == nil {
		w = &workerView{vm: WorkerVM{ID: id, Address: address, FailureDomain: c.spec.FailureDomain}, renewAt: now}
		c.workers[id] = w
	}
	return w
}

// workerState returns the state of a worker for the placer.
func (c *cell) workerState(w *workerView, now time.Time) placer.WorkerState {
	if state := c.workerHealth(w, now); state != placer.WorkerReady {
		return state
	}
	return c.domainState()
}

// workerHealth returns the state of a worker regardless of evacuations.
func (c *cell) workerHealth(w *workerView, now time.Time) placer.WorkerState {
	switch {
	case !w.listed || !w.reachable():
		return placer.WorkerUnreachable
	case w.vm.Leaving:
		return placer.WorkerLeaving
	case !c.failures.acceptsTasks(w.vm.ID, now):
		return placer.WorkerQuarantined
	}
	return placer.WorkerReady
}

// expireUnreachable ends the attempts on unreachable workers whose leases have
// certainly expired.
func (c *cell) expireUnreachable(now time.Time) {
	for _, t := range c.sortedTasks() {
		w := c.workers[t.worker()]
		if w == nil || w.reachable() {
			continue
		}
		if t.occupiesWorker() && t.phase != phaseRecording && now.After(w.leaseExpiry(c.leaseBoundOf(w.vm.ID))) {
			c.endAttempt(t, t.record.checkpoint, "lease lapsed")
		}
	}
}

// mayRenew reports whether leases may be renewed: while the session is valid, and for
// up to Outage after it has expired.
func (c *cell) mayRenew(now time.Time) bool {
	return c.tenure.valid() || now.Before(c.tenure.expiry().Add(c.owner.Outage))
}

// dispatch sends the commands that are due to each worker that has no batch in flight.
func (c *cell) dispatch(now time.Time) {
	if c.fenced.Load() || !c.mayRenew(now) {
		return
	}
	byWorker := map[string][]*task{}
	for _, t := range c.sortedTasks() {
		if t.occupiesWorker() {
			byWorker[t.worker()] = append(byWorker[t.worker()], t)
		}
	}
	for id, w := range c.workers {
		if !w.busy {
			c.dispatchTo(w, byWorker[id], now)
		}
	}
}

// handleAnswer applies a worker's answer. A full answer reports all attempts that the
// worker knows.
func (c *cell) handleAnswer(w *workerView, answer commander.Answer, full bool, refused *commander.RefusedError) {
	if w.answered && w.reading.Incarnation != answer.Reading.Incarnation {
		c.handleRestart(w)
	}
	if !w.reachable() {
		w.renewAt = c.now()
	}
	w.reading = answer.Reading
	w.answered = true
	w.missedCalls = 0
	if refused != nil {
		return
	}
	for _, report := range answer.Tasks {
		c.handleReport(w, report)
	}
	if full {
		c.endUnreported(w, answer.Tasks)
		c.clearFailures(w)
		c.observeUsage(w, answer.Tasks)
	}
}

// handleRestart ends the attempts on a worker that has restarted, since none of them
// survives a restart.
func (c *cell) handleRestart(w *workerView) {
	w.leaseUntil = 0
	w.orphans, w.forgettable = nil, nil
	for _, t := range c.sortedTasks() {
		if t.worker() != w.vm.ID || !t.occupiesWorker() || t.phase == phaseRecording {
			continue
		}
		if t.phase != phaseStarting || t.startSent {
			c.endAttempt(t, t.record.checkpoint, "worker restarted")
		}
	}
}

// handleRefusal stops an attempt that its worker refused to start.
func (c *cell) handleRefusal(w *workerView, ref commander.Ref, refused *commander.RefusedError) {
	t := c.tasks[ref.Task]
	if t == nil || t.record.attempt != ref.Attempt || !t.record.placedOn(w.vm.ID) || t.phase != phaseStarting {
		return
	}
	klog.V(1).InfoS("Worker refused to start task", "task", ref.Task, "worker", w.vm.ID, "reason", refused.Reason)
	t.setPhase(phaseStopping, c.now())
	if t.stop == "" {
		t.stop = stopEvict
	}
}

func (c *cell) handleThrottled(command throttleCommand) {
	t := c.tasks[command.ref.Task]
	if t != nil && t.record.attempt == command.ref.Attempt {
		t.appliedThrottle = command.share
	}
}

// handleReport applies a worker's report on one attempt.
func (c *cell) handleReport(w *workerView, report commander.TaskReport) {
	t := c.tasks[report.Ref.Task]
	if t == nil || t.record.attempt != report.Ref.Attempt || !t.record.placedOn(w.vm.ID) {
		c.handleOrphan(w, report)
		return
	}
	if t.phase == phaseRecording {
		return
	}
	if report.State.Ended() {
		c.handleEnd(t, report)
		return
	}
	if t.phase == phaseStarting || t.phase == phaseResolving {
		t.address = report.Address
		t.setPhase(phaseRunning, c.now())
		c.recordEvent(KindTaskRunning, t, w.vm.ID, "")
		if t.stop != "" {
			c.requestStop(t, t.stop)
		}
	}
}

// handleOrphan schedules an attempt that is not the current one of a task on the worker
// to be stopped or, once its end is durable, to be forgotten.
func (c *cell) handleOrphan(w *workerView, report commander.TaskReport) {
	if !report.State.Ended() {
		w.orphans = append(w.orphans, report.Ref)
		return
	}
	durable, found := c.journal.durableRecord(report.Ref.Task)
	if found && durable.state == recordPlaced && durable.attempt <= report.Ref.Attempt {
		return
	}
	w.forgettable = append(w.forgettable, report.Ref)
}

// endUnreported ends the attempts that are missing from a full answer of their worker:
// they were never started there, and cannot be started under this epoch any more.
func (c *cell) endUnreported(w *workerView, reports []commander.TaskReport) {
	known := make(map[string]bool, len(reports))
	for _, report := range reports {
		known[report.Ref.Task] = true
	}
	for _, t := range c.sortedTasks() {
		if t.worker() != w.vm.ID || known[t.record.id] {
			continue
		}
		switch t.phase {
		case phaseResolving, phaseRunning, phaseDraining:
			c.endAttempt(t, t.record.checkpoint, "not known to worker")
		case phaseStarting:
			// A start that is still on its way may take effect until the worker has
			// confirmed the stop.
			if t.startUnclear {
				c.requestStop(t, stopEvict)
			}
		}
	}
}

// clearFailures clears the failures of a worker on which a task has run for longer than
// ProbeWait.
func (c *cell) clearFailures(w *workerView) {
	for _, t := range c.tasks {
		if t.phase == phaseRunning && t.worker() == w.vm.ID && c.now().Sub(t.since) > c.owner.ProbeWait {
			c.failures.clearWorker(w.vm.ID)
			return
		}
	}
}

// handleEnd applies the end of an attempt that its worker reported.
func (c *cell) handleEnd(t *task, report commander.TaskReport) {
	switch report.State {
	case commander.TaskDone:
		c.handleDone(t)
	case commander.TaskFailed:
		c.handleFailure(t, report)
	case commander.TaskStopped:
		checkpoint := t.record.checkpoint
		if report.Checkpoint != "" {
			checkpoint = report.Checkpoint
		}
		c.endAttempt(t, checkpoint, "stopped")
	default:
		c.endAttempt(t, t.record.checkpoint, string(report.State))
	}
}

func (c *cell) handleDone(t *task) {
	c.failures.clearWorker(t.worker())
	c.observeEnd(t)
	if view := c.jobs[t.demand.group]; view != nil {
		view.progress = view.progress.withDone(t.demand.index)
		c.stageChange(view.key())
		t.stop = stopRemove
	}
	c.endAttempt(t, t.record.checkpoint, "done")
}

// handleFailure records a failed attempt and decides whether the worker or the task is
// at fault.
func (c *cell) handleFailure(t *task, report commander.TaskReport) {
	now, worker := c.now(), t.worker()
	id := t.record.id
	if c.failures.recordFailure(id, worker, now, len(c.workers)) {
		klog.InfoS("Worker quarantined", "cell", c.spec.ID, "worker", worker)
		c.owner.record(recorder.Event{Kind: KindWorkerQuarantined, Cell: c.spec.ID, Epoch: c.tenure.epoch, VM: worker})
	}
	t.record = t.record.withFailure(worker)
	if c.failures.taskAtFault(t.record.failedOn, c.countCandidates(t, now)) {
		c.failures.removeTask(id)
		c.handleFaultyTask(t, report.Reason, now)
	}
	c.endAttempt(t, t.record.checkpoint, "failed: "+report.Reason)
}

// handleFaultyTask marks a batch task that is at fault as failed. An instance of a
// service is tried again after ProbeWait.
func (c *cell) handleFaultyTask(t *task, reason string, now time.Time) {
	if view := c.jobs[t.demand.group]; view != nil {
		detail := t.record.id + " failed on " + joinNames(t.record.failedOn) + ": " + reason
		view.progress = view.progress.withFailed(t.demand.index, detail)
		c.stageChange(view.key())
		t.stop = stopRemove
		return
	}
	t.record.failedOn = nil
	t.retryAt = now.Add(c.owner.ProbeWait)
}

// countCandidates returns the number of workers that could run a task that has failed. The failure of a batch
// task at fault is final, so workers that don't answer at present, or not yet, count for it: they may soon.
func (c *cell) countCandidates(t *task, now time.Time) int {
	if c.jobs[t.demand.group] == nil {
		return c.countReady(now)
	}
	count := 0
	for id, w := range c.workers {
		if w.listed && !w.vm.Leaving && c.failures.acceptsTasks(id, now) {
			count++
		}
	}
	return count
}

// countReady returns the number of workers that accept new tasks unless they are
// evacuated. An evacuation does not make a failure the fault of its task.
func (c *cell) countReady(now time.Time) int {
	count := 0
	for _, w := range c.workers {
		if c.workerHealth(w, now) == placer.WorkerReady {
			count++
		}
	}
	return count
}

func joinNames(names []string) string {
	text := ""
	for i, name := range names {
		if i > 0 {
			text += ", "
		}
		text += name
	}
	return text
}

package owner

import "time"

const (
	// taskFaultWorkers is the number of distinct workers outside quarantine on which a
	// task fails before the task is considered at fault. A task that fails on twice as
	// many workers is at fault whether or not they are in quarantine.
	taskFaultWorkers = 3
	// workerFaultTasks is the number of distinct tasks that fail on a worker, with no
	// success in between, before the worker is considered at fault.
	workerFaultTasks = 3
	// quarantineDivisor bounds quarantine: at most one in quarantineDivisor workers of
	// a cell, and always one, may be quarantined at once.
	quarantineDivisor = 2
	firstProbeWait    = 10 * time.Second
	maxProbeWait      = 10 * time.Minute
	probeWaitFactor   = 2
)

// failureTracker decides whether a failure is the fault of the task or of the worker.
// A worker is at fault while several tasks have failed there that are not at fault
// themselves. It is not safe for concurrent use.
type failureTracker struct {
	// firstProbeWait is the wait before the first probe of a quarantined worker.
	firstProbeWait time.Duration
	workers        map[string]*workerFailures
}

// workerFailures holds the failures on one worker and its quarantine.
type workerFailures struct {
	tasks         map[string]bool
	quarantined   bool
	quarantinedAt time.Time
	probeWait     time.Duration
	probeAt       time.Time
	probe         string
}

// quarantinedSince returns when a worker was quarantined, zero if it is not.
func (f *failureTracker) quarantinedSince(worker string) time.Time {
	s := f.workers[worker]
	if s == nil || !s.quarantined {
		return time.Time{}
	}
	return s.quarantinedAt
}

func newFailureTracker(probeWait time.Duration) *failureTracker {
	return &failureTracker{firstProbeWait: probeWait, workers: map[string]*workerFailures{}}
}

// recordFailure records that a task failed on a worker, and reports whether that puts
// the worker into quarantine. workers is the number of workers of the cell.
func (f *failureTracker) recordFailure(task, worker string, now time.Time, workers int) bool {
	s := f.workers[worker]
	if s == nil {
		s = &workerFailures{tasks: map[string]bool{}, probeWait: f.firstProbeWait}
		f.workers[worker] = s
	}
	if len(s.tasks) < workerFaultTasks {
		s.tasks[task] = true
	}
	if s.quarantined {
		s.probeWait = min(s.probeWait*probeWaitFactor, maxProbeWait)
		s.probeAt = now.Add(s.probeWait)
		s.probe = ""
		return false
	}
	if len(s.tasks) < workerFaultTasks || f.countQuarantined() >= max(1, workers/quarantineDivisor) {
		return false
	}
	s.quarantined = true
	s.quarantinedAt = now
	s.probeAt = now.Add(s.probeWait)
	return true
}

// clearWorker clears the failures of a worker on which a task is done or has run for
// long enough.
func (f *failureTracker) clearWorker(worker string) { delete(f.workers, worker) }

// removeTask removes a task that is at fault itself from the failures of all workers.
func (f *failureTracker) removeTask(task string) {
	for worker, s := range f.workers {
		delete(s.tasks, task)
		if len(s.tasks) == 0 || (s.quarantined && len(s.tasks) < workerFaultTasks) {
			delete(f.workers, worker)
		}
	}
}

// taskAtFault reports whether a task that failed on the workers failedOn is at fault.
// ready is the number of workers that could run it.
func (f *failureTracker) taskAtFault(failedOn []string, ready int) bool {
	onHealthy := 0
	for _, worker := range failedOn {
		if !f.isQuarantined(worker) {
			onHealthy++
		}
	}
	return onHealthy >= min(taskFaultWorkers, max(1, ready)) || len(failedOn) >= 2*taskFaultWorkers
}

func (f *failureTracker) isQuarantined(worker string) bool {
	s := f.workers[worker]
	return s != nil && s.quarantined
}

// acceptsTasks reports whether a task may be placed on the worker: it is not in
// quarantine, or it is due for a probe.
func (f *failureTracker) acceptsTasks(worker string, now time.Time) bool {
	s := f.workers[worker]
	return s == nil || !s.quarantined || (s.probe == "" && !now.Before(s.probeAt))
}

// recordPlacement records that a task is placed on the worker. If the worker is in
// quarantine, the task is its probe.
func (f *failureTracker) recordPlacement(task, worker string) {
	if s := f.workers[worker]; s != nil && s.quarantined {
		s.probe = task
	}
}

// releaseProbe allows another probe of the worker if task was its probe and ended
// without an outcome.
func (f *failureTracker) releaseProbe(task, worker string) {
	if s := f.workers[worker]; s != nil && s.probe == task {
		s.probe = ""
	}
}

func (f *failureTracker) countQuarantined() int {
	count := 0
	for _, s := range f.workers {
		if s.quarantined {
			count++
		}
	}
	return count
}

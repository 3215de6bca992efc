package owner

import "time"

const (
	// taskBlameWorkers is the number of distinct sound workers on which a task
	// fails before the task is at fault.
	taskBlameWorkers = 3
	// workerBlameTasks is the number of distinct tasks that a worker fails,
	// with none done between, before the worker is at fault.
	workerBlameTasks = 3
	// quarantineShare is the part of the workers of a cell, one in so many,
	// that may be in quarantine at once.
	quarantineShare   = 2
	firstProbeWait    = 10 * time.Second
	longestProbeWait  = 10 * time.Minute
	probeWaitIncrease = 2
)

// blamer tells whether a failure is the fault of the task or of the worker. A
// worker is at fault while several tasks failed there that are not at fault
// themselves. It is used from one goroutine.
type blamer struct {
	// firstWait is the wait before the first probe.
	firstWait time.Duration
	workers   map[string]*suspect
}

// suspect is a worker on which tasks failed.
type suspect struct {
	tasks       map[string]bool
	quarantined bool
	began       time.Time
	wait        time.Duration
	probeAt     time.Time
	probe       string
}

// since returns when the quarantine of a worker began, zero without one.
func (b *blamer) since(worker string) time.Time {
	s := b.workers[worker]
	if s == nil || !s.quarantined {
		return time.Time{}
	}
	return s.began
}

func newBlamer(firstWait time.Duration) *blamer {
	return &blamer{firstWait: firstWait, workers: map[string]*suspect{}}
}

// failed takes in that a task failed on a worker, and returns whether the
// worker went into quarantine.
func (b *blamer) failed(task, worker string, now time.Time, workers int) bool {
	s := b.workers[worker]
	if s == nil {
		s = &suspect{tasks: map[string]bool{}, wait: b.firstWait}
		b.workers[worker] = s
	}
	if len(s.tasks) < workerBlameTasks {
		s.tasks[task] = true
	}
	if s.quarantined {
		s.wait = min(s.wait*probeWaitIncrease, longestProbeWait)
		s.probeAt = now.Add(s.wait)
		s.probe = ""
		return false
	}
	if len(s.tasks) < workerBlameTasks || b.quarantined() >= max(1, workers/quarantineShare) {
		return false
	}
	s.quarantined = true
	s.began = now
	s.probeAt = now.Add(s.wait)
	return true
}

// sound takes in that a task was done on the worker or runs well there.
func (b *blamer) sound(worker string) { delete(b.workers, worker) }

// atFault takes in that a task is at fault itself: the workers where it failed
// are not blamed for it.
func (b *blamer) atFault(task string) {
	for worker, s := range b.workers {
		delete(s.tasks, task)
		if len(s.tasks) == 0 || (s.quarantined && len(s.tasks) < workerBlameTasks) {
			delete(b.workers, worker)
		}
	}
}

// blames reports whether a task that failed on these workers is at fault,
// where ready is the number of workers that could run it.
func (b *blamer) blames(failedOn []string, ready int) bool {
	onSound := 0
	for _, worker := range failedOn {
		if !b.isQuarantined(worker) {
			onSound++
		}
	}
	return onSound >= min(taskBlameWorkers, max(1, ready)) || len(failedOn) >= 2*taskBlameWorkers
}

func (b *blamer) isQuarantined(worker string) bool {
	s := b.workers[worker]
	return s != nil && s.quarantined
}

// admits reports whether the worker may be given a task: it is not in
// quarantine, or it is due for a probe.
func (b *blamer) admits(worker string, now time.Time) bool {
	s := b.workers[worker]
	return s == nil || !s.quarantined || (s.probe == "" && !now.Before(s.probeAt))
}

// started takes in that a task is placed on the worker. In quarantine it is
// the probe.
func (b *blamer) started(task, worker string) {
	if s := b.workers[worker]; s != nil && s.quarantined {
		s.probe = task
	}
}

// abandoned takes in that a task left the worker without an outcome.
func (b *blamer) abandoned(task, worker string) {
	if s := b.workers[worker]; s != nil && s.probe == task {
		s.probe = ""
	}
}

func (b *blamer) quarantined() int {
	count := 0
	for _, s := range b.workers {
		if s.quarantined {
			count++
		}
	}
	return count
}

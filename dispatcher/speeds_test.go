package dispatcher_test

import (
	"strconv"
	"time"

	"zinniashore.example/dispatcher"
)

// speeds are the rules by which the runs of a simulation progress.
type speeds struct {
	// actual returns how long a task takes on a normal worker; nil is its estimate.
	actual func(dispatcher.TaskID) time.Duration
	// checkpointInterval is the work between two checkpoints, restoreTime how long a run takes
	// to restore one.
	checkpointInterval, restoreTime time.Duration
	// startup is how long a long-running task takes to serve, tail its tail latency on a
	// normal worker.
	startup, tail time.Duration
}

// fakeProgress is the progress of a run of a simulation with speeds.
type fakeProgress struct {
	// total is the work of the task, left what was left at leftAt, which is in the future while a
	// checkpoint is restored. Both are times on a normal worker.
	total, left time.Duration
	leftAt      time.Time
}

// setWork sets the work of a run that starts, of a length on a normal worker.
func (w *fakeWorker) setWork(r *fakeRun, length time.Duration, checkpoint string) {
	s := w.simulation
	if s.speeds == nil || r.ending != dispatcher.EndingDone {
		return
	}
	step := s.jobs[r.task.Job].Steps[r.task.Step]
	if s.speeds.actual != nil && !step.LongRunning {
		length = s.speeds.actual(r.task)
	}
	r.progress = fakeProgress{total: length, left: length, leftAt: s.now}
	if done, err := strconv.Atoi(checkpoint); err == nil {
		r.progress.left -= time.Duration(done) * time.Millisecond
		r.progress.leftAt = s.now.Add(w.slowed(s.speeds.restoreTime))
	}
	r.endsAt = r.progress.leftAt.Add(w.slowed(r.progress.left))
}

// slowed returns how long work takes on the worker.
func (w *fakeWorker) slowed(work time.Duration) time.Duration {
	return time.Duration(float64(work) * max(w.slowdown, 1))
}

// restOf returns what is left of the work of a run.
func (w *fakeWorker) restOf(r *fakeRun) time.Duration {
	passed := max(w.simulation.now.Sub(r.progress.leftAt), 0)
	return r.progress.left - time.Duration(float64(passed)/max(w.slowdown, 1))
}

// setSlowdown changes the speed of the worker.
func (w *fakeWorker) setSlowdown(slowdown float64) {
	lefts := map[*fakeRun]time.Duration{}
	for _, r := range w.running {
		lefts[r] = w.restOf(r)
	}
	w.slowdown = slowdown
	for r, left := range lefts {
		if r.progress.total == 0 {
			continue
		}
		r.progress.left = left
		if w.simulation.now.After(r.progress.leftAt) {
			r.progress.leftAt = w.simulation.now
		}
		if !r.stopping {
			r.endsAt = r.progress.leftAt.Add(w.slowed(left))
		}
	}
}

// progressRow adds the progress of a run to its row.
func (w *fakeWorker) progressRow(row dispatcher.RunningRow) dispatcher.RunningRow {
	s, r := w.simulation, w.running[row.Task]
	if s.speeds == nil {
		return row
	}
	if s.jobs[row.Task.Job].Steps[row.Task.Step].LongRunning {
		startup := w.slowed(s.speeds.startup)
		row.Percent = int(min(100, 100*float64(s.now.Sub(r.startedAt)+1)/float64(startup+1)))
		row.Usage = w.slowed(s.speeds.tail).Milliseconds()
		return row
	}
	if r.progress.total > 0 {
		row.Percent = int(100 - 100*float64(w.restOf(r))/float64(r.progress.total))
	}
	row.Checkpoint = w.checkpoint(r)
	return row
}

// checkpoint returns the last checkpoint of a run: the work done then, in milliseconds.
func (w *fakeWorker) checkpoint(r *fakeRun) string {
	s := w.simulation
	if s.speeds == nil || s.speeds.checkpointInterval == 0 || r.progress.total == 0 || !s.jobs[r.task.Job].Steps[r.task.Step].Checkpoints {
		return ""
	}
	done := (r.progress.total - w.restOf(r)) / s.speeds.checkpointInterval * s.speeds.checkpointInterval
	if done <= 0 {
		return ""
	}
	return strconv.FormatInt(done.Milliseconds(), 10)
}

package dispatcher

import (
	"fmt"
	"time"

	"zinniashore.example/rater"
	"zinniashore.example/recorder"
)

const (
	// weightSlow is the weight of the share of a run's time that it is expected to lose on a
	// slow worker. A worker twice as slow weighs about as much as a remote data rack; none
	// weighs more than one on which the task has failed.
	weightSlow = -19.0
	// coldSlowdown is the assumed slowdown of a worker that has registered as cold.
	coldSlowdown = 2.0
	// ratingInterval separates the ratings of all workers.
	ratingInterval = 250 * time.Millisecond
	// maxListingGap is the longest time between two listings of a worker, beyond the wait of a
	// poll, after which a listed end shows when its run has ended.
	maxListingGap = 500 * time.Millisecond
	// startupUnit takes the place of the declared run time in the pace of a startup, which has none.
	startupUnit = time.Second
)

// speedKinds are the kinds of the events for a worker's new status.
var speedKinds = map[rater.Status]recorder.Kind{
	rater.StatusSlow: KindWorkerSlow, rater.StatusProbed: KindWorkerProbed, rater.StatusNormal: KindWorkerNormal,
}

// workerSpeed is what planning uses of the speed of a worker.
type workerSpeed struct {
	// lostShare is the share of a run's time that is expected to be lost there: 0 on a normal
	// worker, 0.8 on one five times slower.
	lostShare float64
	// doubtfulShare is the same by what was last known of a worker that is being probed, otherwise
	// it equals lostShare.
	doubtfulShare float64
	// coldUntil is until when the worker is cold, by its registration.
	coldUntil time.Time
}

// slowed returns a workerSpeed with a slowdown and the one that was last known; both are 1 on a normal
// worker.
func (s workerSpeed) slowed(slowdown, former float64) workerSpeed {
	s.lostShare = 1 - 1/slowdown
	s.doubtfulShare = 1 - 1/max(slowdown, former)
	return s
}

// lostShareOf returns the share of its time that a run of a task is expected to lose. Long-running
// tasks, and those that have left a slow worker, don't probe another one.
func (s workerSpeed) lostShareOf(t *task) float64 {
	if t.step.step.LongRunning || !t.slowMoves.at[0].IsZero() {
		return s.doubtfulShare
	}
	return s.lostShare
}

// observeEnds passes the paces of the runs that are listed as done to the rater. It is called before the
// listing is handled.
func (c *Cell) observeEnds(now time.Time, w *worker, listing Listing) {
	gap := listing.Clock - w.clock
	if !w.epochAccepted || gap < 0 || gap > c.Limits.PollWait+maxListingGap {
		return
	}
	for _, row := range listing.Ended {
		if r := w.runs[runKey{task: row.Task, run: row.Run}]; r != nil && row.Ending == EndingDone && row.Number > w.lastEnd {
			c.observeEnd(now, r, listing.Clock)
		}
	}
}

// observeProgress passes the listed progress or tail latency of a run to the rater.
func (c *Cell) observeProgress(now time.Time, r *run, clock time.Duration, row RunningRow) {
	if clock < r.worker.clock {
		return // a newer listing has been handled
	}
	if r.task.step.step.LongRunning && row.Percent >= fullPercent {
		c.observeTail(now, r, row)
		return
	}
	if r.phase == phaseSent {
		return // update confirms the run
	}
	if !r.showsSpeed() || row.Percent >= fullPercent {
		r.track, r.trackLost = rater.Track{}, true
		return
	}
	if !r.track.Open() && r.restoring(now, c.Limits.RestoreTime) {
		return
	}
	work := r.work()
	usual := 0.0
	if r.track.Open() {
		usual, _ = c.speeds.Usual(now, work)
	}
	track, pace, window := r.startedTrack().Advance(clock, row.Percent, r.workUnit(), usual)
	r.track = track
	c.observePace(now, r, work, pace, window)
}

// observeEnd passes the pace of a run that was done to the rater.
func (c *Cell) observeEnd(now time.Time, r *run, clock time.Duration) {
	if !r.showsSpeed() || r.task.step.step.LongRunning {
		return
	}
	if pace, window, measured := r.startedTrack().End(clock, r.workUnit()); measured {
		c.observePace(now, r, r.work(), pace, window)
	}
}

// observeTail passes the tail latency of a long-running task to the rater, unless best-effort
// tasks on the same worker lengthen it.
func (c *Cell) observeTail(now time.Time, r *run, row RunningRow) {
	if r.task.step.step.TailTarget == 0 || row.Usage <= 0 || r.worker.bestEffortRuns > 0 {
		return
	}
	work := r.work()
	work.Measure = rater.MeasureTail
	latency := time.Duration(row.Usage) * time.Millisecond
	c.observePace(now, r, work, float64(r.task.step.step.TailTarget)/float64(latency), 0)
}

// observePace passes a pace to the rater, unless it is 0.
func (c *Cell) observePace(now time.Time, r *run, work rater.Work, pace float64, window time.Duration) {
	if pace > 0 {
		c.speeds.Observe(now, rater.Sample{Worker: r.worker.registration.ID, Run: r.number, Work: work, Pace: pace, Window: window})
	}
}

// showsSpeed reports whether the progress of a run depends on the speed of its worker and on
// nothing that other runs of the same work don't have. Members of a gang wait for each other, tasks
// outside the rack of their data are slower, and best-effort tasks get what other tasks leave.
func (r *run) showsSpeed() bool {
	step := r.task.step.step
	switch {
	case r.phase != phaseConfirmed || step.Gang || step.RackLocal || r.workUnit() <= 0:
		return false
	case step.DataRack != "" && !r.worker.hasLabel(step.DataRack):
		return false
	case step.BestEffort:
		return r.startKnown && r.throttleAccepted && r.throttle == fullPercent && r.worker.idleProcessors() >= 0
	}
	return true
}

// restoring reports whether a run may still be restoring a checkpoint.
func (r *run) restoring(now time.Time, restoreTime time.Duration) bool {
	return (r.task.checkpoint != "" || !r.startKnown) && now.Sub(r.sentAt) <= restoreTime
}

// startedTrack returns the track of the run, which begins with the run if that started from the
// beginning under this holder.
func (r *run) startedTrack() rater.Track {
	if r.track.Open() || r.trackLost || !r.startKnown || r.task.checkpoint != "" {
		return r.track
	}
	return rater.NewTrack(r.worker.clock + r.sentAt.Sub(r.worker.clockAt))
}

// workUnit returns the run time to which the progress of a run is relative: the declared one, or
// startupUnit for the startup of a long-running task.
func (r *run) workUnit() time.Duration {
	if r.task.step.step.LongRunning {
		return startupUnit
	}
	return r.task.step.step.Estimate
}

// work returns the work with which the progress of the run is compared.
func (r *run) work() rater.Work {
	step := r.task.step.step
	work := rater.Work{Queue: r.task.job().job.Queue.Name, Image: step.Image, Job: r.task.id.Job, Step: r.task.id.Step, Measure: rater.MeasureProgress}
	if step.LongRunning {
		work.Measure = rater.MeasureStartup
	}
	return work
}

// rateWorkers updates the speeds of the workers, at most once in each ratingInterval.
func (c *Cell) rateWorkers(now time.Time) {
	if now.Sub(c.ratedAt) < ratingInterval {
		return
	}
	c.ratedAt, c.anySlow = now, false
	for _, id := range c.Workers() {
		w := c.workers[id]
		rating, changed := c.speeds.Rate(now, id)
		if changed {
			c.record(recorder.Event{Kind: speedKinds[rating.Status], VM: id, Detail: fmt.Sprintf("%.1f times slower than others", rating.Former)})
		}
		c.anySlow = c.anySlow || rating.Status == rater.StatusSlow
		w.setSpeed(now, rating)
	}
}

// setSpeed applies the learned rating of a worker. The slowdown is at least coldSlowdown while the
// worker is cold.
func (w *worker) setSpeed(now time.Time, learned rater.Rating) {
	least := 1.0
	if now.Before(w.speed.coldUntil) {
		least = coldSlowdown
	}
	w.speed = w.speed.slowed(max(learned.Slowdown, least), learned.Former)
}

// noteProbe reports a start to the rater. If the worker is being probed, it counts as slow until the
// probing run has shown its speed.
func (c *Cell) noteProbe(now time.Time, w *worker) {
	id := w.registration.ID
	c.speeds.Started(now, id)
	w.setSpeed(now, c.speeds.Current(id))
}

package dispatcher

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"zinniashore.example/rater"
)

const (
	// slowMoveInterval separates the moves off slow workers in a cell. It bounds the work that is
	// lost if workers are found slow by mistake, and what the search for a move costs.
	slowMoveInterval = 300 * time.Millisecond
	// maxSlowMoveTries is how many runs are tried for each move.
	maxSlowMoveTries = 4
	// slowMoveRetryDelay is how long a run for which no normal worker had room isn't tried again.
	slowMoveRetryDelay = time.Second
	// slowMovesPeriod is the time in which a task moves at most maxSlowMoves times.
	slowMovesPeriod = 10 * time.Second
	maxSlowMoves    = 2
	// slowMoveTimeout is how long a moved task that doesn't run again holds off other moves off
	// its worker.
	slowMoveTimeout = 10 * time.Second
	// moveOverhead is the time between the stop of a run and the start of the next one.
	moveOverhead = 500 * time.Millisecond
	// longRunningGain orders long-running tasks before others, as they never end by themselves.
	longRunningGain = time.Hour
)

// slowMoves holds the moves of a task off slow workers.
type slowMoves struct {
	// at are the times of the last moves, the newest first.
	at [maxSlowMoves]time.Time
	// refusedAt is when no normal worker had room for the task.
	refusedAt time.Time
}

// allowed reports whether the task may move now.
func (m slowMoves) allowed(now time.Time) bool {
	oldest := m.at[len(m.at)-1]
	return now.Sub(m.refusedAt) >= slowMoveRetryDelay && (oldest.IsZero() || now.Sub(oldest) >= slowMovesPeriod)
}

// refused returns the moves with now as the last time at which no normal worker had room.
func (m slowMoves) refused(now time.Time) slowMoves {
	m.refusedAt = now
	return m
}

// moved returns the moves with a further one at now.
func (m slowMoves) moved(now time.Time) slowMoves {
	copy(m.at[1:], m.at[:])
	m.at[0] = now
	return m
}

// slowMove is a run that may move off a slow worker.
type slowMove struct {
	run *run
	// gain is the time that the task is expected to gain.
	gain time.Duration
}

// leaveSlowWorkers stops a run on a slow worker, if it is expected to end earlier on a normal worker
// that has room for it now, or if it is a long-running task over its target.
func (c *Cell) leaveSlowWorkers(now time.Time) {
	if now.Sub(c.slowMoveTriedAt) < slowMoveInterval {
		return
	}
	c.slowMoveTriedAt = now
	if !c.anySlow {
		return
	}
	slow := c.slowWorkers(now)
	var moves []slowMove
	for _, w := range slow {
		if !w.awaitsMoved(now) {
			moves = append(moves, c.slowMovesOff(now, w)...)
		}
	}
	slices.SortStableFunc(moves, func(a, b slowMove) int { return cmp.Compare(b.gain, a.gain) })
	for _, m := range moves[:min(len(moves), maxSlowMoveTries)] {
		if c.hasNormalPlace(now, m.run) && !c.mayHaveRun(now, m.run.task) {
			c.moveOffSlow(now, m)
			return
		}
		m.run.task.slowMoves = m.run.task.slowMoves.refused(now)
	}
}

// slowWorkers returns the workers that were found slow, in order. It returns none if most workers seem
// slow: then the load or the estimates are the reason.
func (c *Cell) slowWorkers(now time.Time) []*worker {
	var slow []*worker
	healthy, notNormal := 0, 0
	for _, id := range c.Workers() {
		w := c.workers[id]
		if !c.healthy(now, w) {
			continue
		}
		healthy++
		switch status := c.speeds.Current(id).Status; {
		case status == rater.StatusSlow:
			notNormal++
			slow = append(slow, w)
		case status == rater.StatusProbed || now.Before(w.speed.coldUntil):
			notNormal++
		}
	}
	if 2*notNormal >= healthy {
		return nil
	}
	return slow
}

// awaitsMoved reports whether the task that last moved off the worker doesn't run again yet.
func (w *worker) awaitsMoved(now time.Time) bool {
	t := w.movedOff
	if t == nil || now.Sub(t.movedAt) > slowMoveTimeout || t.done || t.job().state.Final() {
		return false
	}
	return len(t.runs) != 1 || t.runs[0].worker == w || t.runs[0].phase != phaseConfirmed
}

// slowMovesOff returns the runs of a slow worker that would gain time by a move.
func (c *Cell) slowMovesOff(now time.Time, w *worker) []slowMove {
	var moves []slowMove
	for _, r := range w.sortedRuns() {
		if !c.mayLeaveSlow(now, r) {
			continue
		}
		if r.task.step.step.LongRunning {
			if c.servesSlowly(now, r) && !c.othersUnavailable(now, r.task) {
				moves = append(moves, slowMove{run: r, gain: longRunningGain})
			}
			continue
		}
		if gain := c.slowMoveGain(now, r); gain > 0 {
			moves = append(moves, slowMove{run: r, gain: gain})
		}
	}
	return moves
}

// mayLeaveSlow reports whether a run may be stopped at all so that its task moves.
func (c *Cell) mayLeaveSlow(now time.Time, r *run) bool {
	t := r.task
	step := t.step.step
	switch {
	case r.phase != phaseConfirmed || !r.observed || len(t.runs) != 1 || !r.lastsUntil.IsZero():
		return false
	case step.Gang || step.RackLocal || len(t.crashes) > 0 || t.job().relocating || t.job().state.Final():
		return false
	case r.worker.registration.Phase != PhaseReady || now.Before(r.worker.speed.coldUntil):
		return false
	}
	return t.slowMoves.allowed(now)
}

// servesSlowly reports whether a long-running task stays over its target although no best-effort tasks
// run on the worker.
func (c *Cell) servesSlowly(now time.Time, r *run) bool {
	return r.task.step.step.TailTarget > 0 && r.percent >= fullPercent && r.worker.bestEffortRuns == 0 &&
		!r.overTargetSince.IsZero() && now.Sub(r.overTargetSince) > haltDelay
}

// othersUnavailable reports whether the interruption of a task would leave more tasks of its step unavailable than
// the step allows, or another one has just moved off a slow worker. A step without a maximum allows one.
func (c *Cell) othersUnavailable(now time.Time, t *task) bool {
	if now.Sub(c.activeAt) < slowMoveTimeout {
		return true // a worker may still list a run that an earlier holder has stopped
	}
	unavailable := 0
	for _, other := range t.step.tasks {
		if other == t || c.serves(now, other) {
			continue
		}
		unavailable++
		if !other.slowMoves.at[0].IsZero() && now.Sub(other.slowMoves.at[0]) < slowMoveTimeout {
			return true
		}
	}
	return unavailable >= max(t.step.step.MaxUnavailable, 1)
}

// serves reports whether a long-running task certainly serves: it has one run, which is fully started on
// a worker that answers and isn't about to leave. What other cells run may be unavailable.
func (c *Cell) serves(now time.Time, t *task) bool {
	if t.remote || len(t.runs) != 1 {
		return false
	}
	r := t.runs[0]
	w := r.worker
	return r.phase == phaseConfirmed && r.observed && r.percent >= fullPercent && r.lastsUntil.IsZero() &&
		w.registered && w.registration.Phase == PhaseReady && w.epochAccepted && !w.connectionRefused && !w.addressTaken &&
		now.Sub(w.heardAt) <= c.Limits.PollWait+maxListingGap
}

// slowMoveGain returns how much earlier the task of a run is expected to end if it moves to a normal
// worker; it is not above 0 if it doesn't.
func (c *Cell) slowMoveGain(now time.Time, r *run) time.Duration {
	step := r.task.step.step
	if !step.Checkpoints || step.Estimate <= 0 || r.percent >= fullPercent {
		return 0
	}
	usual, known := c.speeds.Usual(now, r.work())
	if !known {
		return 0
	}
	total := time.Duration(float64(step.Estimate) / usual)
	done := total * time.Duration(r.percent) / fullPercent
	lost := done
	if r.checkpoint != "" && c.Limits.CheckpointInterval > 0 {
		lost = min(done, c.Limits.CheckpointInterval)
	}
	slowdown := c.speeds.Current(r.worker.registration.ID).Slowdown
	saved := time.Duration(float64(total-done) * (slowdown - 1))
	return saved - lost - c.Limits.RestoreTime - moveOverhead
}

// hasNormalPlace reports whether a normal worker has room for the task of a run now, near its data if
// the run is.
func (c *Cell) hasNormalPlace(now time.Time, r *run) bool {
	before := r.task.slowMoves
	r.task.slowMoves = before.moved(now) // tasks that have moved are placed differently
	w := c.selectWorker(now, r.task)
	r.task.slowMoves = before
	if w == nil || w == r.worker || w.speed.doubtfulShare > 0 || c.speeds.Current(w.registration.ID).Status != rater.StatusNormal {
		return false
	}
	rack := r.task.step.step.DataRack
	return rack == "" || w.hasLabel(rack) || !r.worker.hasLabel(rack)
}

// moveOffSlow stops a run, so that its task starts on another worker.
func (c *Cell) moveOffSlow(now time.Time, m slowMove) {
	r := m.run
	t, id := r.task, r.worker.registration.ID
	t.movedFrom, t.movedAt = id, now
	t.slowMoves = t.slowMoves.moved(now)
	r.worker.movedOff = t
	c.recordRun(KindSlowMove, r, fmt.Sprintf("worker is %.1f times slower than others, progress %d%%, expected gain %v",
		c.speeds.Current(id).Slowdown, r.percent, m.gain.Round(time.Millisecond)))
	c.stop(r)
}

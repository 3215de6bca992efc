package dispatcher

import (
	"fmt"
	"strings"
	"time"

	"zinniashore.example/recorder"
)

// recordLoaded records what the holder has loaded: with it, a job that was accepted and that no holder has is
// missing in the log.
func (c *Cell) recordLoaded(stored StoredCell) {
	var jobs, parts, final, cancelled int
	for _, s := range stored.Jobs {
		if s.Cancelled {
			cancelled++
		}
	}
	for _, j := range c.jobs {
		switch {
		case j.state.Final():
			final++
		case j.job.Part != nil:
			parts++
		default:
			jobs++
		}
	}
	longRunning, others, delegated := c.countOpenTasks()
	c.record(recorder.Event{Kind: KindLoaded, Detail: fmt.Sprintf(
		"%d jobs, %d parts of jobs of other cells, %d final; %d were cancelled in the store; open tasks: %d long-running, %d others, %d delegated; %d workers may have runs of earlier holders",
		jobs, parts, final, cancelled, longRunning, others, delegated, len(stored.Workers))})
}

// countOpenTasks counts the tasks that aren't done, of the occurrences that have begun: those of this cell, and
// those that it has delegated.
func (c *Cell) countOpenTasks() (longRunning, others, delegated int) {
	c.visitOpenTasks(func(t *task) {
		switch {
		case t.delegatedTo != "":
			delegated++
		case t.remote:
		case t.step.step.LongRunning:
			longRunning++
		default:
			others++
		}
	})
	return longRunning, others, delegated
}

// visitOpenTasks calls visit with each task that isn't done, of jobs that aren't final.
func (c *Cell) visitOpenTasks(visit func(*task)) {
	for _, j := range c.jobs {
		if j.state.Final() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					if !t.done {
						visit(t)
					}
				}
			}
		}
	}
}

// recordLeft records what the holder leaves to the next one: what has no run, what may be active, and what the
// store or a worker doesn't know yet. err is the error that has ended the holder, nil if it was stopped.
func (c *Cell) recordLeft(now time.Time, err error) {
	reason := "stopped"
	if err != nil {
		reason = err.Error()
	}
	active := "never active"
	if c.active {
		active = "active for " + age(now, c.activeAt)
	}
	parts := []string{
		reason + ", " + active, c.leftTasks(now), c.leftRuns(), c.leftEnds(),
		fmt.Sprintf("changed jobs that aren't stored: %d", len(c.dirty)),
	}
	c.record(recorder.Event{Kind: KindLeft, Detail: strings.Join(append(parts, c.leftMoves()...), "; ")})
}

// leftTasks describes the tasks without a run.
func (c *Cell) leftTasks(now time.Time) string {
	var longRunning []*task
	others := 0
	c.visitOpenTasks(func(t *task) {
		switch {
		case t.remote || len(t.runs) > 0 || !t.step.ready:
		case t.step.step.LongRunning:
			longRunning = append(longRunning, t)
		default:
			others++
		}
	})
	account := fmt.Sprintf("without a run: %d long-running tasks, %d others", len(longRunning), others)
	if len(longRunning) == 0 {
		return account
	}
	longest := longRunning[0]
	for _, t := range longRunning {
		if t.readyAt.Before(longest.readyAt) {
			longest = t
		}
	}
	return fmt.Sprintf("%s; %s, of which %s for %s, %s", account, listTasks(longRunning), longest.id, age(now, longest.readyAt), longest.lastRunAccount(now))
}

// leftRuns counts the runs, and those of which the workers' state isn't known.
func (c *Cell) leftRuns() string {
	var runs, stopping, kept int
	var unanswered []string
	for _, id := range c.Workers() {
		for _, r := range c.workers[id].sortedRuns() {
			runs++
			switch {
			case !r.lastsUntil.IsZero():
				kept++
			case r.phase == phaseStopping:
				stopping++
			case r.phase == phaseSent || r.phase == phaseUnknown:
				unanswered = append(unanswered, fmt.Sprintf("%s run %d on %s", r.task.id, r.number, id))
			}
		}
	}
	account := fmt.Sprintf("runs: %d, %d stopping, %d of earlier processes of workers, %d starts without an answer", runs, stopping, kept, len(unanswered))
	if len(unanswered) == 0 {
		return account
	}
	return account + ": " + strings.Join(unanswered[:min(len(unanswered), maxReportedWorkers)], ", ")
}

// leftEnds counts the ends that workers have listed and that aren't acknowledged.
func (c *Cell) leftEnds() string {
	var unacknowledged, held, awaited int64
	for _, w := range c.workers {
		unacknowledged += max(w.lastEnd-w.acknowledgedEnd, 0)
		held += int64(len(w.heldEnds))
		awaited += int64(len(w.awaitedEnds))
	}
	return fmt.Sprintf("ends that aren't acknowledged: %d, %d held, %d of unknown jobs", unacknowledged, held, awaited)
}

// leftMoves describes the moves to and from other cells that aren't stored yet.
func (c *Cell) leftMoves() []string {
	var moves []string
	if p := c.pendingPart; p != nil {
		moves = append(moves, fmt.Sprintf("a part of %s on its way to %s", p.Job.ID, p.Cell))
	}
	if p := c.pendingRelocation; p != nil {
		moves = append(moves, fmt.Sprintf("%s on its way to %s", p.Job.ID, p.Cell))
	}
	if p := c.pendingReturn; p != nil {
		moves = append(moves, fmt.Sprintf("a part of %s on its way back", p.Job))
	}
	return moves
}

// recordEnd records what the holder leaves once its goroutines have ended, if it has loaded the cell.
func (r *Runner) recordEnd(err error) {
	select {
	case <-r.loaded:
	default:
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Cell.recordLeft(r.Clock.Now(), err)
}

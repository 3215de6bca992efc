package dispatcher

import (
	"time"

	"zinniashore.example/recorder"
)

const (
	failurePause    = 50 * time.Millisecond
	maxFailurePause = 2 * time.Second
	// fullPause is how long a worker that had no room gets no starts.
	fullPause = 100 * time.Millisecond
	// unhealthyPause is how long a worker that refused as unhealthy gets none.
	unhealthyPause = time.Second
	// strikesToQuarantine is how many tasks may fail on a worker with none done between.
	strikesToQuarantine = 3
	quarantinePause     = 5 * time.Second
)

// Started takes the answer to a start.
func (c *Cell) Started(now time.Time, order StartOrder, answer StartAnswer) {
	w, known := c.workers[order.Worker.ID]
	if !known {
		return
	}
	r := w.runs[runKey{task: order.Task, run: order.Run}]
	if r == nil {
		return
	}
	if answer != AnswerTaken {
		c.record(recorder.Event{Kind: KindStartFailed, VM: w.registration.ID, Task: order.Task.String(), Attempt: int(order.Run), Key: order.Task.Job, Detail: string(answer)})
	}
	switch answer {
	case AnswerTaken:
		r.known = true
		if r.phase == phaseSent {
			r.phase = phaseConfirmed
		}
		r.confirmedAt = now
	case AnswerUnclear:
		if r.phase == phaseSent {
			r.phase = phaseUnclear
		}
	case AnswerFenced:
		c.fencedBy = true
		c.resolve(now, r)
	default:
		c.refused(now, r, answer)
	}
}

// refused takes a start that the worker certainly didn't carry out.
func (c *Cell) refused(now time.Time, r *run, answer StartAnswer) {
	w := r.worker
	switch answer {
	case AnswerRoom:
		w.fullUntil = now.Add(fullPause)
	case AnswerUnhealthy, AnswerUnsent, AnswerReborn:
		w.quarantinedUntil = now.Add(unhealthyPause)
	case AnswerInvalid, AnswerTicket, AnswerLate, AnswerOld:
		r.task.notBefore = now.Add(failurePause)
	}
	c.resolve(now, r)
}

// Stopped takes the answer to a stop.
func (c *Cell) Stopped(now time.Time, order StopOrder, answer StartAnswer) {
	w, known := c.workers[order.Worker.ID]
	if !known {
		return
	}
	if answer == AnswerFenced {
		c.fencedBy = true
	}
	r := w.runs[runKey{task: order.Task, run: order.Run}]
	if r != nil && answer == AnswerTaken {
		r.stopTakenAt = now
	}
}

// blame notes a failed run. A worker on which task after task fails for the
// first time is quarantined; lasting tasks may fail at any time by themselves.
func (c *Cell) blame(now time.Time, w *worker, t *task) {
	if t.step.step.Lasting || len(t.failedRuns) > 1 {
		return
	}
	w.strikes++
	if w.strikes >= strikesToQuarantine {
		w.quarantinedUntil = now.Add(quarantinePause)
		w.strikes = 0
		c.record(recorder.Event{Kind: KindWorker, VM: w.registration.ID, Detail: "quarantined after failures"})
	}
}

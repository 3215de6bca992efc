package dispatcher

import (
	"time"

	"zinniashore.example/recorder"
)

const (
	// failureBackoff is the delay of a task's next start for each of its failures, up
	// to maxFailureBackoff.
	failureBackoff    = 50 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
	// fullPause is how long no starts are sent to a worker that had no free capacity.
	fullPause = 100 * time.Millisecond
	// unhealthyPause is how long no starts are sent to a worker that refused one as
	// unhealthy.
	unhealthyPause = time.Second
	// failuresToQuarantine is the number of consecutive failures of tasks on a worker
	// after which it is quarantined for quarantinePause.
	failuresToQuarantine = 3
	quarantinePause      = 5 * time.Second
)

// HandleStartAnswer applies a worker's answer to a start.
func (c *Cell) HandleStartAnswer(now time.Time, order StartOrder, answer Answer) {
	w, known := c.workers[order.Worker.ID]
	if !known {
		return
	}
	key := runKey{task: order.Task, run: order.Run}
	r := w.runs[key]
	if r == nil {
		return
	}
	if answer != AnswerAccepted {
		c.record(recorder.Event{Kind: KindStartFailed, VM: w.registration.ID, Task: order.Task.String(), Attempt: int(order.Run), Key: order.Task.Job, Detail: string(answer) + "; " + c.describe(now, w)})
	}
	if answer == AnswerAccepted {
		r.acceptedStart = true
		r.task.job().started = true
	}
	if r.blameOnAnswer != "" && (answer == AnswerAccepted || answer == AnswerUnknown) {
		c.blame(now, r, r.blameOnAnswer)
		r.blameOnAnswer = ""
	}
	switch answer {
	case AnswerAccepted:
		if r.phase == phaseSent {
			r.phase = phaseConfirmed
		}
		r.confirmedAt = now
	case AnswerUnknown:
		if r.phase == phaseSent {
			r.phase = phaseUnknown
			r.task.noteUnanswered(r)
		}
		w.unresolvedToken = max(w.unresolvedToken, order.Epoch)
		w.lateStartsUntil = now.Add(lateStartAge)
	case AnswerFenced:
		c.handleFenced(w, order.Epoch)
		c.removeRun(now, r, string(answer))
	default:
		c.handleRefusedStart(now, r, answer)
	}
}

// handleRefusedStart removes a run that the worker certainly didn't start.
func (c *Cell) handleRefusedStart(now time.Time, r *run, answer Answer) {
	w := r.worker
	switch answer {
	case AnswerNoCapacity:
		w.fullUntil = now.Add(fullPause)
	case AnswerUnhealthy, AnswerUnsent, AnswerRestarted:
		w.quarantinedUntil = now.Add(unhealthyPause)
	case AnswerInvalid, AnswerTicket, AnswerLate, AnswerStaleRun:
		r.task.notBefore = now.Add(failureBackoff)
	}
	c.removeRun(now, r, string(answer))
}

// HandleStopAnswer applies a worker's answer to a stop. That an earlier boot has accepted it doesn't keep the
// present one from a start that is on its way: that one has to accept the stop, which is sent again.
func (c *Cell) HandleStopAnswer(now time.Time, order StopOrder, answer Answer) {
	w, known := c.workers[order.Worker.ID]
	if !known {
		return
	}
	if answer == AnswerFenced {
		c.handleFenced(w, order.Epoch)
	}
	if answer != AnswerAccepted || order.Boot != w.boot {
		return
	}
	key := runKey{task: order.Task, run: order.Run}
	if r := w.runs[key]; r != nil {
		r.stopAcceptedAt = now
	}
}

// recordFailure records a failed run. A worker on which different tasks fail
// consecutively, each for the first time, is quarantined. Long-running tasks don't
// count, since they may fail at any time for reasons of their own.
func (c *Cell) recordFailure(now time.Time, w *worker, t *task) {
	if t.step.step.LongRunning || len(t.failures) > 1 {
		return
	}
	w.consecutiveFailures++
	if w.consecutiveFailures >= failuresToQuarantine {
		w.quarantinedUntil = now.Add(quarantinePause)
		w.consecutiveFailures = 0
		c.record(recorder.Event{Kind: KindWorker, VM: w.registration.ID, Detail: "quarantined after failures"})
	}
}

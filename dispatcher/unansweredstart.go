package dispatcher

import "time"

const (
	// lateStartAge is how long after it was sent a start without an answer may still be executed.
	lateStartAge = 15 * time.Second
	// maxBoundStarts is how many starts of a task on one worker may get no answer before it starts on any other, and
	// maxBoundLongStarts how many of a long-running task, which has to run again soon.
	maxBoundStarts     = 10
	maxBoundLongStarts = 3
	// maxBoundWait is how long a task waits for a place on the worker that it is bound to while that one hasn't restarted.
	maxBoundWait = 2 * time.Second
)

// unansweredStarts are the starts of a task on one worker that got no answer. While the worker's next life may execute one of them,
// the task is bound to the worker: a run there ends with its life, while one on another worker may be active at the same time
// as the late run, or be done and acknowledged before it.
type unansweredStarts struct {
	worker string
	// boot is the life that the newest one was for, sentAt when it was sent, run its number.
	boot   int64
	sentAt time.Time
	run    int64
	count  int
}

// noteUnanswered notes that the start of a run got no answer.
func (t *task) noteUnanswered(r *run) {
	u := &t.unanswered
	if id := r.worker.registration.ID; u.worker != id {
		*u = unansweredStarts{worker: id}
	}
	u.boot, u.sentAt, u.run = r.boot, r.sentAt, r.number
	u.count++
}

// expectedOn reports whether a life of a worker may still execute one of the starts.
func (u *unansweredStarts) expectedOn(now time.Time, worker string) bool {
	return u.count > 0 && u.worker == worker && now.Sub(u.sentAt) < lateStartAge
}

// mayStartLate reports whether a worker may still execute a start of the task that got no answer.
func (t *task) mayStartLate(now time.Time) bool {
	return t.unanswered.expectedOn(now, t.unanswered.worker)
}

// mayStartLate reports whether a life of the worker after the one that has the run may still execute another start of its task.
func (r *run) mayStartLate(now time.Time) bool {
	u := &r.task.unanswered
	return u.expectedOn(now, r.worker.registration.ID) && (u.run != r.number || u.count > 1)
}

func (t *task) maxBoundStarts() int {
	if t.step.step.LongRunning {
		return maxBoundLongStarts
	}
	return maxBoundStarts
}

// boundTo returns the worker that a task is bound to, or nil. A long-running task, which has to run again soon, isn't bound to one that
// has restarted or is silent, nor is a task that likely crashes workers.
func (c *Cell) boundTo(now time.Time, t *task) *worker {
	u := &t.unanswered
	if u.count > t.maxBoundStarts() || !t.mayStartLate(now) || t.step.step.Gang || t.likelyCrashes() {
		return nil
	}
	w := c.workers[u.worker]
	if w == nil || !c.takesStarts(w) || c.lost(w) {
		return nil
	}
	switch {
	case w.boot != u.boot:
		return w.unless(t.step.step.LongRunning || c.needsRevision)
	case !c.answersOrders(now, w):
		return w.unless(t.step.step.LongRunning)
	}
	return w.unless(now.Sub(t.readyAt) >= maxBoundWait)
}

// likelyCrashes reports whether workers have crashed that almost certainly had the task, as many as make a suspect, or more than
// that which may have had it. Starts without an answer make a suspect of any task where workers restart again and again.
func (t *task) likelyCrashes() bool {
	attributed := 0
	for _, crash := range t.crashes {
		if crash.Attributed {
			attributed++
		}
	}
	return attributed >= suspectCrashes || len(t.crashes) > suspectCrashes
}

// unless returns the worker, or nil if a condition holds.
func (w *worker) unless(condition bool) *worker {
	if condition {
		return nil
	}
	return w
}

// awaitsBoundWorker reports whether a task is bound to a worker that takes no start of it now.
func (c *Cell) awaitsBoundWorker(now time.Time, t *task) bool {
	w := c.boundTo(now, t)
	return w != nil && !c.usable(now, w, t)
}

// holdEnd keeps the end of a run unacknowledged until no life of the worker executes a start of its task any more. If the worker
// restarts before, and executes one, no acknowledged end precedes that run.
func (w *worker) holdEnd(number int64, until time.Time) {
	if w.heldEnds == nil {
		w.heldEnds = map[int64]time.Time{}
	}
	w.heldEnds[number] = until
}

// acknowledgeable returns the number of the newest end that may be acknowledged now.
func (w *worker) acknowledgeable(now time.Time) int64 {
	newest := w.acknowledgedEnd
	for number, until := range w.heldEnds {
		if now.After(until) {
			delete(w.heldEnds, number)
		}
	}
	for number := range w.heldEnds {
		newest = min(newest, number-1)
	}
	return newest
}

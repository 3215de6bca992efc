package dispatcher

import "time"

// unclearStart is a start without an answer whose run counts as ended. No boot executes it that has accepted its stop, but the
// next one may.
type unclearStart struct {
	// sentAt is when the start was planned, stopSentAt when a stop was last sent because of it.
	sentAt, stopSentAt time.Time
	// refusedBy is the boot that refuses the start.
	refusedBy int64
}

// unclearStartAge is how long after it was sent a start without an answer may still be executed.
const unclearStartAge = 15 * time.Second

// noteUnclearStart notes a run that counts as ended, unless it is known that its start was executed.
func (w *worker) noteUnclearStart(r *run) {
	if r.acknowledged() {
		return
	}
	refusedBy := r.boot
	if !r.stopAcceptedAt.IsZero() {
		refusedBy = w.boot
	}
	w.unclearStarts[runKey{task: r.task.id, run: r.number}] = &unclearStart{sentAt: r.sentAt, refusedBy: refusedBy}
}

// refuseUnclearStarts returns the stops by which a worker that has restarted refuses the starts for its former life that
// it may still get.
func (c *Cell) refuseUnclearStarts(now time.Time, w *worker) []StopOrder {
	var orders []StopOrder
	for key, u := range w.unclearStarts {
		switch {
		case now.Sub(u.sentAt) > unclearStartAge:
			delete(w.unclearStarts, key)
		case u.refusedBy != w.boot && now.Sub(u.stopSentAt) >= stopRetryInterval:
			u.stopSentAt = now
			orders = append(orders, c.stopOrder(w, key))
		}
	}
	return orders
}

package dispatcher

import (
	"context"
	"time"
)

const (
	// relieveInterval is how often a cell looks for tasks that find no room.
	relieveInterval = 150 * time.Millisecond
	// relieveLimit is how many tasks are offered to other cells in a row.
	relieveLimit = 16
)

// relieve hands lasting tasks that find no room to other cells, and stops those
// that have to leave their worker for one.
func (r *Runner) relieve(ctx context.Context) {
	for r.sleep(ctx, relieveInterval) {
		for range relieveLimit {
			if !r.relieveOnce(ctx) {
				break
			}
		}
	}
}

// relieveOnce offers the task that has waited longest for an offer. It reports
// whether there was one.
func (r *Runner) relieveOnce(ctx context.Context) bool {
	r.mu.Lock()
	now := r.Clock.Now()
	id, job, waits := r.Cell.Stuck(now)
	leaves := false
	if !waits {
		id, job, leaves = r.Cell.Leaving(now)
	}
	r.mu.Unlock()
	if !waits && !leaves {
		return false
	}
	cell, found := r.Others.Roomiest(ctx, r.Cell.Name, job.Queue.Service, job.Steps[id.Step])
	r.mu.Lock()
	switch now = r.Clock.Now(); {
	case !found:
		r.Cell.Refused(now, id)
	case waits:
		r.Cell.HandOver(id, cell)
	default:
		r.Cell.StopToMove(now, id)
	}
	r.mu.Unlock()
	signal(r.wake)
	return true
}

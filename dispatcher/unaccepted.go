package dispatcher

import (
	"time"

	"zinniashore.example/recorder"
)

// AddUnaccepted adds the stored cancellation of a job that was never accepted. It is kept for as
// long as the state of a final job, so that no late submission of the job is accepted, and isn't
// shown.
func (c *Cell) AddUnaccepted(now time.Time, id string) {
	if _, known := c.jobs[id]; known {
		return
	}
	c.record(recorder.Event{Kind: KindJobCancelled, Key: id, Detail: "before it was accepted"})
	c.jobs[id] = &jobState{job: Job{ID: id}, state: StateCancelled, stored: StateCancelled, finalAt: now, unaccepted: true}
}

// AddUnaccepted adds the stored cancellation of a job that was never accepted.
func (r *Runner) AddUnaccepted(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Cell.AddUnaccepted(r.Clock.Now(), id)
	r.outdateLookup(id)
}

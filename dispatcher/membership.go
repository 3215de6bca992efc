package dispatcher

import (
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// SetWorker notes what the registry says of a worker.
func (c *Cell) SetWorker(now time.Time, registration Registration) {
	w, known := c.workers[registration.ID]
	if !known {
		w = newWorker()
		c.workers[registration.ID] = w
		c.record(recorder.Event{Kind: KindWorker, VM: registration.ID, Detail: "registered at " + registration.Address})
	} else if w.registration.Phase != registration.Phase {
		c.record(recorder.Event{Kind: KindWorker, VM: registration.ID, Detail: string(registration.Phase)})
	}
	if !w.registration.alike(registration) {
		w.stored = false
	}
	w.registration = registration
	w.listed = true
	if w.boot != 0 && registration.Boot > w.boot {
		c.reborn(now, w, registration.Boot)
	}
}

// RestoreWorker notes a worker that tasks of an earlier holder may be on,
// whether it is registered or not.
func (c *Cell) RestoreWorker(registration Registration) {
	w, known := c.workers[registration.ID]
	if !known {
		w = newWorker()
		w.registration = registration
		c.workers[registration.ID] = w
	}
	w.stored = w.registration.alike(registration)
	w.restored = true
}

func newWorker() *worker {
	return &worker{runs: map[runKey]*run{}, strays: map[runKey]time.Time{}}
}

// RemoveWorker notes that the registry no longer has a worker.
func (c *Cell) RemoveWorker(id string) {
	w, known := c.workers[id]
	if !known || !w.listed {
		return
	}
	w.listed = false
	c.record(recorder.Event{Kind: KindWorker, VM: id, Detail: "no longer registered"})
}

// Workers returns the ids of the workers to look at.
func (c *Cell) Workers() []string {
	ids := make([]string, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// reborn notes that a worker has started anew: the runs that it had are gone.
func (c *Cell) reborn(now time.Time, w *worker, boot int64) {
	c.record(recorder.Event{Kind: KindWorker, VM: w.registration.ID, Detail: "started anew"})
	for _, r := range w.sortedRuns() {
		if r.known {
			c.lose(now, r, "worker started anew")
			continue
		}
		// The start may still arrive: the new life has to refuse it first.
		r.phase = phaseUnclear
		r.stopTakenAt = time.Time{}
		c.stop(r)
	}
	w.boot = boot
	w.fenced = false
	w.seen, w.acknowledged = 0, 0
	w.grant = 0
	w.strays = map[runKey]time.Time{}
}

func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return int(a.number - b.number) })
	return runs
}

// lose resolves a run that is surely gone without a listed end.
func (c *Cell) lose(now time.Time, r *run, why string) {
	c.record(recorder.Event{Kind: KindLost, VM: r.worker.registration.ID, Task: r.task.id.String(), Attempt: int(r.number), Detail: why})
	c.resolve(now, r)
}

// resolve takes a run off its worker and its task; the task may start again.
func (c *Cell) resolve(now time.Time, r *run) {
	w := r.worker
	key := runKey{task: r.task.id, run: r.number}
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	w.occupy(r.task.step.step, -1)
	if r.checkpoint != "" {
		r.task.checkpoint = r.checkpoint
	}
	r.task.runs = slices.DeleteFunc(r.task.runs, func(other *run) bool { return other == r })
	r.task.job().running--
	c.enqueue(now, r.task)
}

// attach puts a run on a worker.
func (c *Cell) attach(t *task, w *worker, number int64, phase runPhase, now time.Time) *run {
	r := &run{task: t, number: number, worker: w, phase: phase, sentAt: now, confirmedAt: now, pace: wholePace}
	w.runs[runKey{task: t.id, run: number}] = r
	w.occupy(t.step.step, 1)
	t.runs = append(t.runs, r)
	t.job().started = true
	t.job().running++
	return r
}

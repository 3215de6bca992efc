package dispatcher

import (
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// wholePace is the pace of a run that isn't slowed, in percent.
const wholePace = 100

// Look returns the next look at a worker, and whether the worker is known. A
// worker that has been silent gets no longer lease, so that it can lapse.
func (c *Cell) Look(now time.Time, id string) (LookOrder, bool) {
	w, known := c.workers[id]
	if !known {
		return LookOrder{}, false
	}
	order := LookOrder{Worker: w.registration, Epoch: c.Epoch, Acknowledged: w.acknowledged}
	if w.fenced && c.Confirmed(now) && now.Sub(w.answeredAt) < silenceInterval {
		order.Grant = c.grant(now, w)
	}
	if w.fenced && w.seen == w.acknowledged {
		order.Wait = c.Limits.LookWait
	}
	return order, true
}

// grant returns a lease end for the worker's clock and notes it.
func (c *Cell) grant(now time.Time, w *worker) time.Duration {
	end := w.lowClock(now) + c.Limits.Grant
	w.grant = max(w.grant, end)
	return end
}

// Confirmed reports whether most workers have lately taken an order of this
// epoch, so that no other holder can have begun.
func (c *Cell) Confirmed(now time.Time) bool {
	return c.active && c.most(func(w *worker) bool {
		return w.fenced && now.Sub(w.answeredAt) < c.Limits.Confirmation
	})
}

// activate makes the cell active once most workers have taken its epoch; a cell
// that knows of no worker isn't.
func (c *Cell) activate(now time.Time) {
	known := false
	for _, w := range c.workers {
		known = known || w.counts()
	}
	if !c.active && known && c.most(func(w *worker) bool { return w.fenced }) {
		c.active = true
		c.activeAt = now
		c.record(recorder.Event{Kind: KindCell, Detail: "active"})
	}
}

// most reports whether more workers meet a condition than half of those that
// count.
func (c *Cell) most(met func(*worker) bool) bool {
	counting, meeting := 0, 0
	for _, w := range c.workers {
		if w.counts() {
			counting++
		}
		if met(w) {
			meeting++
		}
	}
	return 2*meeting > counting
}

// counts reports whether the worker is one of those of which most must agree:
// it is registered, or an earlier holder may have used it.
func (w *worker) counts() bool { return w.listed || w.restored && !w.left() }

// held reports whether a task of a restored job may be at work on a worker that
// hasn't answered this holder yet.
func (c *Cell) held(now time.Time, j *jobState) bool {
	if !j.restored || now.After(c.activeAt.Add(c.Limits.Confirmation+time.Duration(float64(c.Limits.Grant)/slowestClock)+lapseMargin)) {
		return false
	}
	for _, w := range c.workers {
		if !w.fenced && w.counts() {
			return true
		}
	}
	return false
}

// Looked takes the outcome of a look that was sent at a time.
func (c *Cell) Looked(now, sent time.Time, order LookOrder, listing Listing, answer StartAnswer) {
	w, known := c.workers[order.Worker.ID]
	if !known || w.registration.Address != order.Worker.Address {
		return
	}
	if answer == AnswerFenced {
		c.fencedBy = true
	}
	w.closed = answer == AnswerClosed || w.closed && answer != AnswerTaken
	if answer != AnswerTaken {
		return
	}
	if listing.Boot != 0 && w.boot != 0 && listing.Boot != w.boot {
		if listing.Boot < w.boot {
			return
		}
		c.reborn(now, w, listing.Boot)
	}
	if listing.Clock >= w.clock || !w.fenced {
		w.clock = listing.Clock
		w.clockAt = now
	}
	w.boot = listing.Boot
	if !w.fenced {
		w.grant = max(w.grant, listing.Clock+c.Limits.Grant)
	}
	w.fenced = true
	if sent.After(w.answeredAt) {
		w.answeredAt = sent
	}
	c.takeEnds(now, w, listing.Ended)
	c.takeRunning(now, sent, w, listing.Running)
	c.learnTails(now, w)
	c.activate(now)
}

// takeEnds notes the ends that are new, in their order.
func (c *Cell) takeEnds(now time.Time, w *worker, rows []EndedRow) {
	slices.SortFunc(rows, func(a, b EndedRow) int { return int(a.Number - b.Number) })
	for _, row := range rows {
		if row.Number <= w.seen {
			continue
		}
		if c.awaitsJob(now, w, row.Task.Job) {
			break
		}
		w.seen = row.Number
		c.takeEnd(now, w, row)
	}
	if len(c.dirty) == 0 && !c.storing {
		w.acknowledged = w.seen
	}
}

// awaitsJob reports whether an end belongs to a job that isn't known yet: it may
// be on its way here, and its end must not be acknowledged before.
func (c *Cell) awaitsJob(now time.Time, w *worker, id string) bool {
	if _, known := c.jobs[id]; known {
		w.unknownSince = time.Time{}
		return false
	}
	if w.unknownSince.IsZero() {
		w.unknownSince = now
	}
	return now.Sub(w.unknownSince) < unknownLimit
}

// unknownLimit is how long the ends of an unknown job are left unacknowledged.
const unknownLimit = 5 * time.Second

func (c *Cell) takeEnd(now time.Time, w *worker, row EndedRow) {
	key := runKey{task: row.Task, run: row.Run}
	delete(w.strays, key)
	r := w.runs[key]
	t := c.task(now, row.Task)
	c.record(recorder.Event{Kind: KindEnd, VM: w.registration.ID, Task: row.Task.String(), Attempt: int(row.Run), Key: row.Task.Job, Detail: string(row.Ending)})
	if t == nil {
		return
	}
	if r != nil && row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
	switch row.Ending {
	case EndingDone:
		w.strikes = 0
		c.taskDone(now, t)
	case EndingFailed:
		c.taskFailed(now, t, w, row.Run)
	}
	if r != nil {
		c.resolve(now, r)
	}
}

// task returns a task by its id, or nil.
func (c *Cell) task(now time.Time, id TaskID) *task {
	j, known := c.jobs[id.Job]
	if !known || id.Occurrence >= j.job.Occurrences || id.Step >= len(j.job.Steps) ||
		id.Index >= j.job.Steps[id.Step].Count || j.finished[id.Occurrence] {
		return nil
	}
	o, begun := j.occurrences[id.Occurrence]
	if !begun {
		if j.state.Final() {
			return nil
		}
		o = c.beginOccurrence(now, j, id.Occurrence)
	}
	return o.steps[id.Step].tasks[id.Index]
}

// taskDone notes that a task is done; a gang is done with one of its members.
func (c *Cell) taskDone(now time.Time, t *task) {
	if t.step.step.Gang {
		for _, member := range t.step.tasks {
			c.markDone(now, member)
		}
		return
	}
	c.markDone(now, t)
}

func (c *Cell) markDone(now time.Time, t *task) {
	if t.done || t.step.step.Lasting {
		return
	}
	t.done = true
	j := t.job()
	j.started = true
	c.dirty[j.job.ID] = true
	if !t.step.step.Gang {
		c.stopRuns(t)
	}
	s := t.step
	s.open--
	if s.open > 0 {
		return
	}
	o := s.occurrence
	o.open--
	if o.open > 0 {
		c.unlock(now, o)
		return
	}
	j.finished[o.number] = true
	if len(j.finished) == j.job.Occurrences && !j.state.Final() {
		c.finish(now, j, StateCompleted)
	}
}

func (c *Cell) taskFailed(now time.Time, t *task, w *worker, number int64) {
	if slices.Contains(t.failedRuns, number) {
		return
	}
	t.failedRuns = append(t.failedRuns, number)
	if !t.avoids(w.registration.ID) {
		t.avoided = append(t.avoided, w.registration.ID)
	}
	t.notBefore = now.Add(min(time.Duration(len(t.failedRuns))*failurePause, maxFailurePause))
	c.blame(now, w, t)
	j := t.job()
	if t.step.step.Lasting || j.state.Final() {
		return
	}
	c.dirty[j.job.ID] = true
	failures := len(t.failedRuns)
	if t.step.step.Gang {
		failures = 0
		for _, member := range t.step.tasks {
			failures += len(member.failedRuns)
		}
	}
	if failures >= j.job.Queue.Attempts {
		c.finish(now, j, StateFailed)
	}
}

// takeRunning notes what runs, adopts runs of an earlier holder and notices
// runs that are gone.
func (c *Cell) takeRunning(now, sent time.Time, w *worker, rows []RunningRow) {
	listed := make(map[runKey]bool, len(rows))
	for _, row := range rows {
		key := runKey{task: row.Task, run: row.Run}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.adopt(now, w, row)
		}
		if r != nil {
			delete(w.strays, key)
			r.note(now, row)
		}
	}
	for _, r := range w.sortedRuns() {
		if !listed[runKey{task: r.task.id, run: r.number}] {
			c.unlisted(now, sent, r)
		}
	}
	for key := range w.strays {
		if !listed[key] {
			delete(w.strays, key)
		}
	}
}

func (r *run) note(now time.Time, row RunningRow) {
	r.missing = 0
	r.known = true
	if r.phase == phaseSent || r.phase == phaseUnclear {
		r.phase = phaseConfirmed
		r.confirmedAt = now
	}
	r.percent = row.Percent
	r.usage = row.Usage
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// unlisted judges a run that a look didn't list.
func (c *Cell) unlisted(now, sent time.Time, r *run) {
	switch r.phase {
	case phaseConfirmed:
		if sent.After(r.confirmedAt) {
			r.missing++
		}
		if r.missing >= missingLooks {
			c.lose(now, r, "no longer listed")
		}
	case phaseUnclear:
		if sent.After(r.sentAt) {
			c.stop(r)
		}
	case phaseStopping:
		if !r.stopTakenAt.IsZero() && sent.After(r.stopTakenAt) {
			c.lose(now, r, "never started")
		}
	}
}

// adopt takes over a run that this holder didn't start. It counts as a run of
// its task even where the task needs none, so that no other starts before it has
// ended. A run of no open task becomes a stray that is stopped.
func (c *Cell) adopt(now time.Time, w *worker, row RunningRow) *run {
	t := c.task(now, row.Task)
	if t == nil || t.done || t.job().state.Final() {
		c.noteStray(now, w, row)
		return nil
	}
	surplus := len(t.runs) > 0
	c.record(recorder.Event{Kind: KindAdopted, VM: w.registration.ID, Task: row.Task.String(), Attempt: int(row.Run), Key: row.Task.Job})
	r := c.attach(t, w, row.Run, phaseConfirmed, now)
	if surplus {
		c.stop(r)
	}
	return r
}

// noteStray notes a run that nobody needs. One of an unknown job is left alone
// for a while, as the job may be on its way here.
func (c *Cell) noteStray(now time.Time, w *worker, row RunningRow) {
	key := runKey{task: row.Task, run: row.Run}
	if _, noted := w.strays[key]; noted {
		return
	}
	w.strays[key] = time.Time{}
	if _, known := c.jobs[row.Task.Job]; !known {
		w.strays[key] = now.Add(unknownPause)
	}
	c.record(recorder.Event{Kind: KindStray, VM: w.registration.ID, Task: row.Task.String(), Attempt: int(row.Run), Key: row.Task.Job})
}

// unknownPause is how long a run of an unknown job is left alone.
const unknownPause = 1500 * time.Millisecond

package dispatcher

import "time"

// criticalPath returns the estimated run time of the longest chain of dependent steps.
func criticalPath(steps []Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// maxOpenOccurrences is how many occurrences of a job may be open at a time. Others that are due
// wait, so that a job with any number of them takes bounded memory.
const maxOpenOccurrences = 100

// beginOccurrences begins the occurrences of a job that are due.
func (c *Cell) beginOccurrences(now time.Time, j *jobState) {
	for j.nextDue < j.job.Occurrences && j.openOccurrences < maxOpenOccurrences && !now.Before(j.job.Due(j.nextDue)) {
		if !j.finished[j.nextDue] {
			c.beginOccurrence(now, j, j.nextDue)
		}
		j.nextDue++
	}
	if j.nextDue >= j.job.Occurrences {
		delete(c.upcoming, j.job.ID)
	}
}

// beginOccurrence returns an occurrence of a job, and begins it if it hasn't begun.
func (c *Cell) beginOccurrence(now time.Time, j *jobState, number int) *occurrenceState {
	if o, begun := j.occurrences[number]; begun {
		return o
	}
	o := &occurrenceState{job: j, number: number, openSteps: len(j.job.Steps)}
	for i := range j.job.Steps {
		step := &j.job.Steps[i]
		s := &stepState{step: step, occurrence: o, openTasks: step.Count}
		for index := range step.Count {
			id := TaskID{Job: j.job.ID, Occurrence: number, Step: i, Index: index}
			s.tasks = append(s.tasks, &task{id: id, step: s, remote: !j.job.includes(id)})
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences[number] = o
	j.openOccurrences++
	c.enqueueReadySteps(now, o)
	return o
}

// enqueueReadySteps enqueues the tasks of the steps whose dependencies are all done.
func (c *Cell) enqueueReadySteps(now time.Time, o *occurrenceState) {
	for _, s := range o.steps {
		if s.ready || !o.stepsDone(s.step.After) {
			continue
		}
		s.ready = true
		for _, t := range s.tasks {
			c.enqueue(now, t)
		}
	}
}

func (o *occurrenceState) stepsDone(steps []int) bool {
	for _, s := range steps {
		if o.steps[s].openTasks > 0 {
			return false
		}
	}
	return true
}

// enqueue appends a task to the ready list if it may start.
func (c *Cell) enqueue(now time.Time, t *task) {
	if t.queued || t.done || t.remote || len(t.runs) > 0 || !t.step.ready || t.job().state.Final() {
		return
	}
	t.queued = true
	t.readyAt = now
	c.ready = append(c.ready, t)
}

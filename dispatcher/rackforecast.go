package dispatcher

import (
	"slices"
	"time"

	"zinniashore.example/delayer"
	"zinniashore.example/estimator"
)

// overdueShare is the smallest expected rest of a run, as a share of its expected run time. It applies to
// runs that take longer than expected.
const overdueShare = 0.1

// rackForecasts holds the forecasts of a planning pass. Each is computed when a task first needs it.
type rackForecasts struct {
	// forecasts are the forecasts by rack, lines the waiting tasks of the steps whose rack was found to be
	// full.
	forecasts map[string]*rackForecast
	lines     map[*stepState]*rackLine
	// healthyIn are the workers of each rack to which starts may be sent, rackNames the racks of all of them.
	healthyIn map[string][]*worker
	rackNames []string
}

// rackForecast is the forecast of a rack and its workers.
type rackForecast struct {
	rack    *delayer.Rack
	workers []*worker
}

// rackLine holds the tasks of a step that wait for a rack.
type rackLine struct {
	rack   string
	places *delayer.Line
	// task describes each of the tasks, without the time that it has waited.
	task delayer.Task
	// expected is true if the rack is expected to have places for the gang, groupWaits if the gang waits
	// for them.
	expected, groupWaits bool
}

// line returns the line of a step, or nil if its rack wasn't found to be full.
func (f *rackForecasts) line(s *stepState) *rackLine { return f.lines[s] }

func (f *rackForecasts) setLine(s *stepState, line *rackLine) {
	if f.lines == nil {
		f.lines = map[*stepState]*rackLine{}
	}
	f.lines[s] = line
}

// healthy returns the workers of a rack to which starts may be sent.
func (f *rackForecasts) healthy(c *Cell, rack string) []*worker {
	if workers, known := f.healthyIn[rack]; known {
		return workers
	}
	if f.healthyIn == nil {
		f.healthyIn = map[string][]*worker{}
	}
	var workers []*worker
	for _, w := range c.pass.healthy {
		if w.hasLabel(rack) {
			workers = append(workers, w)
		}
	}
	f.healthyIn[rack] = workers
	return workers
}

// names returns the racks of the workers to which starts may be sent.
func (f *rackForecasts) names(c *Cell) []string {
	if f.rackNames != nil {
		return f.rackNames
	}
	for _, w := range c.pass.healthy {
		if rack := w.registration.Rack; rack != "" {
			f.rackNames = append(f.rackNames, rack)
		}
	}
	slices.Sort(f.rackNames)
	f.rackNames = slices.Compact(f.rackNames)
	return f.rackNames
}

// forecast returns the forecast of a rack.
func (c *Cell) forecast(now time.Time, rack string) *rackForecast {
	if f, known := c.pass.racks.forecasts[rack]; known {
		return f
	}
	f := &rackForecast{}
	var workers []delayer.Worker
	for _, id := range c.Workers() {
		if w := c.workers[id]; w.hasLabel(rack) && c.healthy(now, w) {
			f.workers = append(f.workers, w)
			workers = append(workers, c.forecastWorker(now, w))
		}
	}
	f.rack = delayer.NewRack(workers)
	if c.pass.racks.forecasts == nil {
		c.pass.racks.forecasts = map[string]*rackForecast{}
	}
	c.pass.racks.forecasts[rack] = f
	return f
}

// forecastWorker returns what is free on a worker now and later. Long-running tasks and suspended runs
// don't end.
func (c *Cell) forecastWorker(now time.Time, w *worker) delayer.Worker {
	free := roomOf(w.freeCapacity())
	free.IdleMilliProcessors = w.idleProcessors()
	f := delayer.Worker{Free: free, Opens: max(w.fullUntil.Sub(now), 0)}
	for _, r := range w.runs {
		if step := r.task.step.step; !step.LongRunning && r.throttle > 0 {
			f.Ends = append(f.Ends, delayer.End{In: c.remainingTime(now, r), Frees: step.takes()})
		}
	}
	return f
}

// roomOf returns a size as a delayer.Room. All of its processors count as idle.
func roomOf(size Size) delayer.Room {
	return delayer.Room{
		MilliProcessors: size.MilliProcessors, IdleMilliProcessors: size.MilliProcessors,
		Megabytes: size.Megabytes, Accelerators: size.Accelerators,
	}
}

// takes returns what a task of the step takes of a worker. Best-effort tasks take only idle processors.
func (s *Step) takes() delayer.Room {
	room := roomOf(s.Size)
	if s.BestEffort {
		room.MilliProcessors = 0
	}
	return room
}

// needs returns what a worker must have free for a task of the step, as worker.fits does.
func (s *Step) needs(idleShare float64) delayer.Room {
	room := s.takes()
	room.IdleMilliProcessors = 0
	if s.BestEffort {
		room.IdleMilliProcessors = int64(idleShare * float64(s.Size.MilliProcessors))
	}
	return room
}

// remainingTime returns how much longer a run that isn't suspended is expected to last at its present
// speed: by its progress if the worker lists one, else by its age.
func (c *Cell) remainingTime(now time.Time, r *run) time.Duration {
	if r.phase == phaseStopping {
		return 0
	}
	expected := c.expectedRunTime(r.task.step)
	if c.Limits.RemoteFactor > 1 && !r.inRack() {
		expected = time.Duration(c.Limits.RemoteFactor * float64(expected))
	}
	rest := expected - now.Sub(r.confirmedAt)
	if r.percent > 0 {
		rest = expected*time.Duration(fullPercent-r.percent)/fullPercent - now.Sub(r.listedAt)
	}
	rest = max(rest, time.Duration(overdueShare*float64(expected)))
	return rest * fullPercent / time.Duration(r.throttle)
}

// expectedRunTime returns the expected run time of a task of a step in its rack.
func (c *Cell) expectedRunTime(s *stepState) time.Duration {
	return c.runTimes.RunTime(s.runTimeKind(), s.step.Estimate)
}

// runTimeKind returns the kind of tasks by which run times are learned.
func (s *stepState) runTimeKind() estimator.Kind {
	return estimator.Kind{Queue: s.occurrence.job.job.Queue.Name, Image: s.step.Image}
}

// noteRacks begins to learn run times with the first job that has tasks which may wait for a rack. Before
// that nothing uses them, and each end would cost processor time.
func (c *Cell) noteRacks(job *Job) {
	for i := range job.Steps {
		c.learnsRunTimes = c.learnsRunTimes || c.Limits.RemoteFactor > 1 && job.Steps[i].prefersRack()
	}
}

// prefersRack reports whether tasks of the step run faster in a rack and may wait for it.
func (s *Step) prefersRack() bool {
	return !s.LongRunning && (s.DataRack != "" || s.Gang && s.RackLocal)
}

// learnRunTime learns from the end of a run how long its task takes in its rack. It ignores runs that
// another holder started, that weren't at full speed or that began with a checkpoint.
func (c *Cell) learnRunTime(now time.Time, r *run, ending Ending) {
	if !c.learnsRunTimes || ending != EndingDone || r.task.step.step.LongRunning || r.number/maxRunsPerEpoch != c.Epoch ||
		r.throttle != fullPercent || r.task.checkpoint != "" {
		return
	}
	took := now.Sub(r.confirmedAt)
	if c.Limits.RemoteFactor > 1 && !r.inRack() {
		took = time.Duration(float64(took) / c.Limits.RemoteFactor)
	}
	c.runTimes.Observe(r.task.step.runTimeKind(), r.task.step.step.Estimate, took)
}

// newRackLine returns the line of a task's step for a rack.
func (c *Cell) newRackLine(now time.Time, t *task, rack string) *rackLine {
	f := c.forecast(now, rack)
	step, runTime := t.step.step, c.expectedRunTime(t.step)
	request := delayer.Request{
		Need: step.needs(t.requiredIdleShare(now)), Takes: step.takes(), RunTime: runTime, Places: make([]int, len(f.workers)),
	}
	for i, w := range f.workers {
		request.Places[i] = w.laterPlaces(now, t)
	}
	waiting := delayer.Task{RunTime: runTime, RemoteFactor: c.Limits.RemoteFactor}
	if due, set := t.step.due(); set {
		waiting.Slack, waiting.HasObjective = due.Sub(now)-runTime, true
	}
	return &rackLine{rack: rack, places: f.rack.NewLine(request), task: waiting}
}

// laterPlaces returns how many tasks of the step of a task a worker may start once it has room for them.
// It is 0 for a worker that has room now: its capacity isn't the reason why the task waits.
func (w *worker) laterPlaces(now time.Time, t *task) int {
	step := t.step.step
	switch {
	case w.registration.Service != t.job().job.Queue.Service, !w.hasLabel(step.Label), w.reservedFor != nil, w.onTrial(t):
		return 0
	case !step.Gang && !now.Before(w.fullUntil) && w.fits(step, t.requiredIdleShare(now)):
		return 0
	case step.WorkerLimit > 0:
		return max(step.WorkerLimit-w.countRuns(t.step), 0)
	}
	return maxPlaces
}

// due returns the time by which a task of the step must end for its occurrence to meet its objective,
// by the declared estimates of the steps that follow. It returns false if the queue has no objective.
func (s *stepState) due() (due time.Time, set bool) {
	j := s.occurrence.job
	if j.job.Queue.Stretch == 0 && j.job.Queue.Target == 0 {
		return time.Time{}, false
	}
	if j.restAfter == nil {
		j.restAfter = restAfter(j.job.Steps)
	}
	index := s.tasks[0].id.Step
	return j.job.Due(s.occurrence.number).Add(j.due.Sub(j.job.Accepted) - j.restAfter[index]), true
}

// restAfter returns, for each step, the estimated run time of the longest chain of steps that follows it.
func restAfter(steps []Step) []time.Duration {
	rest := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		for _, before := range steps[i].After {
			rest[before] = max(rest[before], steps[i].Estimate+rest[i])
		}
	}
	return rest
}

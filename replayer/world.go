package replayer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniashore.example/estimator"
	"zinniashore.example/placer"
)

// Parameters of the simulation.
const (
	// reportPeriod is the time between two usage reports of a worker.
	reportPeriod = 6 * time.Second
	// reportLag is the time from a measurement to the delivery of its report.
	reportLag = 10 * time.Second
	// checkpointTime is the time that a checkpoint takes.
	checkpointTime = time.Second
	// rampTime is the time from the start of a task until it uses all its memory.
	rampTime = 30 * time.Second
	// brokenRunTime is the time after which a task fails on a broken worker.
	brokenRunTime = 3 * time.Second
	// lossDetectionTime is the time from the failure of a worker until its tasks are
	// known to have ended.
	lossDetectionTime = 15 * time.Second
	// quarantineTasks is the number of distinct failed tasks at which a worker is
	// quarantined.
	quarantineTasks = 3
	// noiseMean is the mean slowdown above 1 of a service without co-located tasks.
	noiseMean = 0.01
)

// job is a task with its true size, work and progress, which the scheduler can't see.
type job struct {
	task      placer.Task
	template  *Template
	factor    float64
	work      time.Duration
	declared  time.Duration
	done      time.Duration
	submitted time.Duration
	started   time.Time
	stopsAt   time.Time
	hash      uint64
	finished  bool
	cancelled bool
}

// node is a worker with its running jobs and its faults, which the scheduler can't see.
type node struct {
	worker      placer.Worker
	jobs        []*job
	broken      bool
	failed      bool
	lostAt      time.Time
	failedTasks map[string]bool
}

// world is the simulated state of the cluster during a replay.
type world struct {
	trace      Trace
	start      time.Time
	now        time.Time
	estimates  *estimator.Estimator
	templates  map[string]*Template
	load       map[string]float64
	nodes      map[string]*node
	order      []*node
	jobs       map[string]*job
	all        []*job
	live       []*job
	nextEvent  int
	reports    []delayedReport
	lastReport time.Time
	counters   *counters
}

func newWorld(trace Trace) *world {
	start := time.Date(2026, 12, 4, 21, 0, 0, 0, time.UTC)
	w := &world{
		trace:     trace,
		start:     start,
		now:       start,
		estimates: &estimator.Estimator{},
		templates: map[string]*Template{},
		load:      map[string]float64{},
		nodes:     map[string]*node{},
		jobs:      map[string]*job{},
		counters:  newCounters(),
	}
	for i := range trace.Templates {
		w.templates[trace.Templates[i].Name] = &trace.Templates[i]
		w.load[trace.Templates[i].Name] = 1
	}
	for _, worker := range trace.Workers {
		n := &node{worker: worker, failedTasks: map[string]bool{}}
		w.nodes[worker.ID] = n
		w.order = append(w.order, n)
	}
	return w
}

// step advances the simulation by one step of the trace.
func (w *world) step() {
	w.now = w.now.Add(w.trace.Step)
	for w.nextEvent < len(w.trace.Events) && !w.start.Add(w.trace.Events[w.nextEvent].At).After(w.now) {
		w.apply(w.trace.Events[w.nextEvent])
		w.nextEvent++
	}
	for _, n := range w.order {
		w.markLost(n)
		w.run(n)
	}
	w.live = slices.DeleteFunc(w.live, func(j *job) bool { return j.finished || j.cancelled })
	w.report()
}

// apply applies an event of the trace.
func (w *world) apply(event Event) {
	n := w.nodes[event.Worker]
	switch event.Kind {
	case EventSubmit:
		w.submit(event)
	case EventCancel:
		w.cancel(w.jobs[event.Task])
	case EventLoad:
		w.load[event.Template] = event.Factor
	case EventFail:
		n.failed = true
		n.worker.State = placer.WorkerUnreachable
		n.lostAt = w.now.Add(lossDetectionTime)
	case EventBreak:
		n.broken = true
	case EventLeave:
		n.worker.State = placer.WorkerLeaving
	case EventReturn:
		n.failed, n.broken = false, false
		n.worker.State = placer.WorkerReady
	}
}

func (w *world) submit(event Event) {
	template := w.templates[event.Template]
	j := &job{
		template:  template,
		factor:    event.Factor,
		work:      event.Work,
		declared:  event.DeclaredWork,
		submitted: event.At,
		hash:      xxhash.Sum64String(event.Task) ^ w.trace.Seed,
		task: placer.Task{
			ID:           event.Task,
			Organisation: template.Organisation,
			Template:     template.Name,
			Class:        template.Class,
			Declared:     template.Declared,
			Priority:     template.Priority,
			Urgent:       event.Urgent,
			Group:        template.Group,
			Work:         event.DeclaredWork,
			Submitted:    w.now,
			Since:        w.now,
			State:        placer.TaskWaiting,
			Throttle:     1,
		},
	}
	if template.Deadline > 0 {
		j.task.NotBefore = w.start.Add(template.NotBefore)
		j.task.Deadline = w.start.Add(template.Deadline)
	}
	w.jobs[event.Task] = j
	w.all = append(w.all, j)
	w.live = append(w.live, j)
}

func (w *world) cancel(j *job) {
	if j == nil || j.finished {
		return
	}
	j.cancelled = true
	w.unassign(j)
}

// unassign removes a job from its workers.
func (w *world) unassign(j *job) {
	for _, id := range j.task.Workers {
		n := w.nodes[id]
		n.jobs = slices.DeleteFunc(n.jobs, func(other *job) bool { return other == j })
	}
	j.task.Workers = nil
}

// requeue removes a job from its workers and makes it wait for another start.
func (w *world) requeue(j *job) {
	w.unassign(j)
	j.task.State = placer.TaskWaiting
	j.task.Since = w.now
	j.task.Throttle = 1
	j.task.ThrottledAt = time.Time{}
	j.task.Reserved = placer.Size{}
	j.task.Ran = j.done
	j.task.Work = max(0, j.declared-j.done)
}

// markLost requeues the tasks of a failed worker once they are known to have ended.
func (w *world) markLost(n *node) {
	if !n.failed || w.now.Before(n.lostAt) {
		return
	}
	for _, j := range slices.Clone(n.jobs) {
		w.counters.lost += j.done
		j.done = 0
		w.requeue(j)
	}
}

// run runs the tasks of a worker for one step.
func (w *world) run(n *node) {
	if n.failed {
		return
	}
	contention := w.contention(n)
	w.countViolations(n)
	for _, j := range slices.Clone(n.jobs) {
		switch {
		case j.task.State == placer.TaskEvicting && !w.now.Before(j.stopsAt):
			j.task.Evictions++
			w.requeue(j)
		case n.broken && w.now.Sub(j.started) >= brokenRunTime:
			w.fail(n, j)
		case j.task.Class == placer.ClassService:
			w.counters.recordSlowdown(w.slowdown(n, j, contention))
		default:
			w.progress(j, contention)
		}
	}
}

// fail fails a task on a broken worker and quarantines the worker after
// quarantineTasks distinct tasks.
func (w *world) fail(n *node, j *job) {
	n.failedTasks[j.task.ID] = true
	j.task.Excluded = append(j.task.Excluded, n.worker.ID)
	j.done = 0
	w.requeue(j)
	if len(n.failedTasks) >= quarantineTasks {
		n.worker.State = placer.WorkerQuarantined
	}
}

// progress advances a batch job by one step and records its completion.
func (w *world) progress(j *job, contention float64) {
	if j.task.State != placer.TaskPlaced {
		return
	}
	speed := j.task.Throttle / contention
	j.done += scaled(w.trace.Step, speed)
	if j.done < j.work {
		return
	}
	j.done = j.work
	j.finished = true
	w.estimates.ObserveCompletion(estimator.Completion{Template: j.template.Name, Declared: j.declared, Took: j.work})
	if w.missedWindow(j) {
		w.counters.missed++
	}
	w.unassign(j)
}

// missedWindow reports whether the time window of a job has passed although it was long
// enough for the true run time.
func (w *world) missedWindow(j *job) bool {
	if j.task.Deadline.IsZero() || !w.now.After(j.task.Deadline) {
		return false
	}
	return j.earliestStart()+j.work <= j.template.Deadline
}

// countViolations counts a worker whose capacity is exceeded by the reservations or the
// memory use of its tasks.
func (w *world) countViolations(n *node) {
	var reserved, used placer.Size
	for _, j := range n.jobs {
		reserved = reserved.Plus(j.task.Reserved)
		used = used.Plus(w.usage(j))
	}
	if !reserved.Within(n.worker.Capacity) {
		w.counters.overReserved++
	}
	if used.Memory > n.worker.Capacity.Memory {
		w.counters.overUsed++
	}
}

// snapshot returns the state that the scheduler sees.
func (w *world) snapshot() placer.Snapshot {
	s := placer.Snapshot{
		Now:       w.now,
		Workers:   make([]placer.Worker, len(w.order)),
		Tasks:     make([]placer.Task, len(w.live)),
		Quotas:    w.trace.Quotas,
		Estimates: w.estimates.View(w.now),
	}
	for i, n := range w.order {
		s.Workers[i] = n.worker
	}
	for i, j := range w.live {
		s.Tasks[i] = j.task
	}
	return s
}

// execute carries out the actions of a plan.
func (w *world) execute(plan placer.Plan) {
	for _, action := range plan.Actions {
		j := w.jobs[action.Task]
		switch action.Kind {
		case placer.ActionStart:
			w.startRun(j, action)
		case placer.ActionThrottle:
			w.counters.throttles++
			j.task.Throttle = action.Throttle
			j.task.ThrottledAt = w.now
		case placer.ActionResize:
			j.task.Reserved = action.Reserved
		case placer.ActionEvict:
			w.evict(j, action)
		}
	}
	w.counters.recordUnplaceable(plan)
}

func (w *world) startRun(j *job, action placer.Action) {
	n := w.nodes[action.Worker]
	if j.task.State != placer.TaskWaiting || n.failed {
		w.counters.duplicateStarts++
		return
	}
	j.task.State = placer.TaskPlaced
	j.task.Workers = []string{action.Worker}
	j.task.Reserved = action.Reserved
	j.task.Since = w.now
	j.task.Throttle = 1
	j.started = w.now
	n.jobs = append(n.jobs, j)
	if j.task.Urgent {
		w.counters.urgentWait = max(w.counters.urgentWait, w.now.Sub(w.start)-j.submitted)
	}
}

func (w *world) evict(j *job, action placer.Action) {
	took := checkpointTime
	if action.Within > 0 {
		took = min(took, action.Within)
	}
	w.counters.evictions++
	j.task.State = placer.TaskEvicting
	j.task.Since = w.now
	j.stopsAt = w.now.Add(took)
}

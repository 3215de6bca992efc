package replayer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniashore.example/estimator"
	"zinniashore.example/placer"
)

// Times of what happens to tasks and reports.
const (
	// reportPeriod is the time between two reports of a worker.
	reportPeriod = 6 * time.Second
	// reportLag is how late a report arrives.
	reportLag = 10 * time.Second
	// checkpointTime is how long a checkpoint takes.
	checkpointTime = time.Second
	// rampTime is how long a task takes to use all its memory.
	rampTime = 30 * time.Second
	// breakTime is how long a broken worker takes to fail a task.
	breakTime = 3 * time.Second
	// resolveTime is how long it takes until the tasks of a failed worker are
	// known not to run any more.
	resolveTime = 15 * time.Second
	// blameTasks is the number of different tasks that a worker fails before it
	// is quarantined.
	blameTasks = 3
	// noiseMean is the mean slowdown above 1 of a service that is alone.
	noiseMean = 0.01
)

// job is a task with its truth.
type job struct {
	task      placer.Task
	template  *Template
	factor    float64
	work      time.Duration
	declared  time.Duration
	done      time.Duration
	submitted time.Duration
	started   time.Time
	stops     time.Time
	hash      uint64
	finished  bool
	cancelled bool
}

// node is a worker with its truth.
type node struct {
	worker   placer.Worker
	jobs     []*job
	broken   bool
	failed   bool
	resolves time.Time
	blamed   map[string]bool
}

// world is the state of a replay.
type world struct {
	trace     Trace
	start     time.Time
	now       time.Time
	estimates *estimator.Estimator
	templates map[string]*Template
	load      map[string]float64
	nodes     map[string]*node
	order     []*node
	jobs      map[string]*job
	all       []*job
	live      []*job
	next      int
	reports   []lateReport
	reported  time.Time
	tally     *tally
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
		tally:     newTally(),
	}
	for i := range trace.Templates {
		w.templates[trace.Templates[i].Name] = &trace.Templates[i]
		w.load[trace.Templates[i].Name] = 1
	}
	for _, worker := range trace.Workers {
		n := &node{worker: worker, blamed: map[string]bool{}}
		w.nodes[worker.ID] = n
		w.order = append(w.order, n)
	}
	return w
}

// step advances the world by one step of the trace.
func (w *world) step() {
	w.now = w.now.Add(w.trace.Step)
	for w.next < len(w.trace.Events) && !w.start.Add(w.trace.Events[w.next].At).After(w.now) {
		w.apply(w.trace.Events[w.next])
		w.next++
	}
	for _, n := range w.order {
		w.resolve(n)
		w.run(n)
	}
	w.live = slices.DeleteFunc(w.live, func(j *job) bool { return j.finished || j.cancelled })
	w.report()
}

// apply lets an event happen.
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
		n.resolves = w.now.Add(resolveTime)
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
	w.takeOff(j)
}

func (w *world) takeOff(j *job) {
	for _, id := range j.task.Workers {
		n := w.nodes[id]
		n.jobs = slices.DeleteFunc(n.jobs, func(other *job) bool { return other == j })
	}
	j.task.Workers = nil
}

// wait puts a job back to the waiting ones.
func (w *world) wait(j *job) {
	w.takeOff(j)
	j.task.State = placer.TaskWaiting
	j.task.Since = w.now
	j.task.Throttle = 1
	j.task.ThrottledAt = time.Time{}
	j.task.Reserved = placer.Size{}
	j.task.Ran = j.done
	j.task.Work = max(0, j.declared-j.done)
}

// resolve takes the tasks off a failed worker once they are known to have ended.
func (w *world) resolve(n *node) {
	if !n.failed || w.now.Before(n.resolves) {
		return
	}
	for _, j := range slices.Clone(n.jobs) {
		w.tally.lost += j.done
		j.done = 0
		w.wait(j)
	}
}

// run lets the tasks of a worker run for a step.
func (w *world) run(n *node) {
	if n.failed {
		return
	}
	crowding := w.crowding(n)
	w.check(n)
	for _, j := range slices.Clone(n.jobs) {
		switch {
		case j.task.State == placer.TaskEvicting && !w.now.Before(j.stops):
			j.task.Evictions++
			w.wait(j)
		case n.broken && w.now.Sub(j.started) >= breakTime:
			w.fail(n, j)
		case j.task.Class == placer.ClassService:
			w.tally.slowdown(w.slowdown(n, j, crowding))
		default:
			w.progress(j, crowding)
		}
	}
}

// fail ends an attempt by the fault of its worker.
func (w *world) fail(n *node, j *job) {
	n.blamed[j.task.ID] = true
	j.task.Excluded = append(j.task.Excluded, n.worker.ID)
	j.done = 0
	w.wait(j)
	if len(n.blamed) >= blameTasks {
		n.worker.State = placer.WorkerQuarantined
	}
}

func (w *world) progress(j *job, crowding float64) {
	if j.task.State != placer.TaskPlaced {
		return
	}
	speed := j.task.Throttle / crowding
	j.done += scaled(w.trace.Step, speed)
	if j.done < j.work {
		return
	}
	j.done = j.work
	j.finished = true
	w.estimates.ObserveCompletion(estimator.Completion{Template: j.template.Name, Declared: j.declared, Took: j.work})
	if w.late(j) {
		w.tally.late++
	}
	w.takeOff(j)
}

// late reports whether the window of a job has passed, although it was long enough
// for its true run time.
func (w *world) late(j *job) bool {
	if j.task.Deadline.IsZero() || !w.now.After(j.task.Deadline) {
		return false
	}
	return j.begin()+j.work <= j.template.Deadline
}

// check counts a worker that carries more than it can.
func (w *world) check(n *node) {
	var reserved, used placer.Size
	for _, j := range n.jobs {
		reserved = reserved.Plus(j.task.Reserved)
		used = used.Plus(w.usage(j))
	}
	if !reserved.Within(n.worker.Capacity) {
		w.tally.overReserved++
	}
	if used.Memory > n.worker.Capacity.Memory {
		w.tally.overUsed++
	}
}

// snapshot returns what the placer sees.
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

// carryOut does what a plan says.
func (w *world) carryOut(plan placer.Plan) {
	for _, action := range plan.Actions {
		j := w.jobs[action.Task]
		switch action.Kind {
		case placer.ActionStart:
			w.begin(j, action)
		case placer.ActionThrottle:
			w.tally.throttles++
			j.task.Throttle = action.Throttle
			j.task.ThrottledAt = w.now
		case placer.ActionResize:
			j.task.Reserved = action.Reserved
		case placer.ActionEvict:
			w.evict(j, action)
		}
	}
	w.tally.waiting(plan)
}

func (w *world) begin(j *job, action placer.Action) {
	n := w.nodes[action.Worker]
	if j.task.State != placer.TaskWaiting || n.failed {
		w.tally.doubled++
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
		w.tally.urgent = max(w.tally.urgent, w.now.Sub(w.start)-j.submitted)
	}
}

func (w *world) evict(j *job, action placer.Action) {
	took := checkpointTime
	if action.Within > 0 {
		took = min(took, action.Within)
	}
	w.tally.evictions++
	j.task.State = placer.TaskEvicting
	j.task.Since = w.now
	j.stops = w.now.Add(took)
}

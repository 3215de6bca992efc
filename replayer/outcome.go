package replayer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zinniashore.example/placer"
)

// Outcome is the result of a replay.
type Outcome struct {
	// Slowdown99 is the 99th percentile of the services' slowdown, where 1 means no
	// slowdown.
	Slowdown99 float64
	// Slowdown50 is the median of the services' slowdown.
	Slowdown50 float64
	// Work is the batch work done by tasks that were not cancelled, in processor hours.
	Work float64
	// Bound is the upper bound of Work that the free capacity allows, in processor
	// hours.
	Bound float64
	// Finished is the number of batch tasks that finished.
	Finished int
	// Evictions is the number of evictions.
	Evictions int
	// Throttles is the number of changes to the throttle of a task.
	Throttles int
	// Missed is the number of missed time windows that were long enough for the true
	// run time of their task, including windows that left hardly any slack.
	Missed int
	// Unplaceable is the number of tasks that the plans reported as never able to run.
	Unplaceable int
	// OverReserved is the number of times that the reservations on a worker exceeded
	// its capacity, counted once for each worker and step.
	OverReserved int
	// OverUsed is the number of times that the tasks on a worker used more memory than
	// it has, counted once for each worker and step.
	OverUsed int
	// DuplicateStarts is the number of start actions for a task that was not waiting,
	// or on a worker that had failed.
	DuplicateStarts int
	// Lost is the run time lost by failures of workers.
	Lost time.Duration
	// UrgentStart is the maximum time that an urgent task waited for its start.
	UrgentStart time.Duration
	// UrgentWaiting is the number of urgent tasks that never started.
	UrgentWaiting int
}

// Throughput returns the ratio of the batch work done to its upper bound, or 1 if the
// bound is 0.
func (o Outcome) Throughput() float64 {
	if o.Bound == 0 {
		return 1
	}
	return o.Work / o.Bound
}

// Violations returns the number of times that the capacity of a worker was exceeded or
// a task was started twice.
func (o Outcome) Violations() int {
	return o.OverReserved + o.OverUsed + o.DuplicateStarts
}

const (
	slowdownScale  = 1e4
	slowdownLimit  = 1e7
	slowdownDigits = 4
)

// counters holds the measurements taken during a replay.
type counters struct {
	slowdowns       *hdrhistogram.Histogram
	evictions       int
	throttles       int
	missed          int
	overReserved    int
	overUsed        int
	duplicateStarts int
	lost            time.Duration
	urgentWait      time.Duration
	unplaceable     map[string]bool
}

func newCounters() *counters {
	return &counters{
		slowdowns:   hdrhistogram.New(1, slowdownLimit, slowdownDigits),
		unplaceable: map[string]bool{},
	}
}

func (c *counters) recordSlowdown(value float64) {
	_ = c.slowdowns.RecordValue(int64(min(value*slowdownScale, slowdownLimit-1)))
}

func (c *counters) recordUnplaceable(plan placer.Plan) {
	for _, waiting := range plan.Waiting {
		if waiting.Code == placer.ReasonNever {
			c.unplaceable[waiting.Task] = true
		}
	}
}

// outcome returns the outcome of a finished replay.
func (w *world) outcome() Outcome {
	c := w.counters
	o := Outcome{
		Slowdown99:      float64(c.slowdowns.ValueAtQuantile(99)) / slowdownScale,
		Slowdown50:      float64(c.slowdowns.ValueAtQuantile(50)) / slowdownScale,
		Bound:           min(processorBound(w), memoryBound(w)),
		Evictions:       c.evictions,
		Throttles:       c.throttles,
		Missed:          c.missed,
		Unplaceable:     len(c.unplaceable),
		OverReserved:    c.overReserved,
		OverUsed:        c.overUsed,
		DuplicateStarts: c.duplicateStarts,
		Lost:            c.lost,
		UrgentStart:     c.urgentWait,
	}
	for _, j := range w.all {
		w.addJob(&o, j)
	}
	return o
}

// addJob adds a batch job that was not cancelled to the outcome.
func (w *world) addJob(o *Outcome, j *job) {
	if j.task.Class == placer.ClassService || j.cancelled {
		return
	}
	o.Work += processorHours(j, j.done)
	switch {
	case j.finished:
		o.Finished++
	case w.missedWindow(j):
		o.Missed++
	}
	if j.task.Urgent && j.started.IsZero() {
		o.UrgentWaiting++
	}
}

// processorHours returns the work that a job does in the given run time, in processor
// hours.
func processorHours(j *job, run time.Duration) float64 {
	processors := float64(j.task.Declared.Processors) * j.template.Processors * j.factor
	return processors / milliPerProcessor * run.Hours()
}

// processorBound returns an upper bound, in processor hours, of the batch work of any
// schedule: the minimum over all times t of the work that arrived by t plus the
// processor hours that were free after t. A task contributes at most its own work and
// at most what it can do between the start of its window and the end of the trace.
func processorBound(w *world) float64 {
	steps := int(w.trace.Length / w.trace.Step)
	arrived := make([]float64, steps+1)
	for _, j := range w.countedBatch() {
		work := processorHours(j, w.possibleRun(j))
		arrived[min(steps, int(j.earliestStart()/w.trace.Step))] += work
	}
	free := freeProcessors(w)
	bound := 0.0
	for _, work := range arrived {
		bound += work
	}
	after, before := 0.0, bound
	for i := steps; i >= 0; i-- {
		bound = min(bound, before+after)
		before -= arrived[i]
		after += free[i] * w.trace.Step.Hours()
	}
	return min(bound, after)
}

// memoryBound returns an upper bound, in processor hours, of the batch work that fits in
// the memory that services leave free on all workers over the whole trace. It fills the
// memory with fractions of tasks, in the order of processors per memory, highest first.
func memoryBound(w *world) float64 {
	free := 0.0
	for _, worker := range w.trace.Workers {
		free += float64(worker.Capacity.Memory) * w.trace.Length.Hours()
	}
	for _, j := range w.all {
		if j.task.Class == placer.ClassService {
			free -= j.memory() * w.trace.Length.Hours()
		}
	}
	jobs := w.countedBatch()
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Compare(processorHours(b, time.Hour)/b.memory(), processorHours(a, time.Hour)/a.memory())
	})
	work := 0.0
	for _, j := range jobs {
		run := w.possibleRun(j)
		needed := j.memory() * run.Hours()
		share := math.Min(1, free/needed)
		work += share * processorHours(j, run)
		free -= share * needed
	}
	return work
}

// countedBatch returns the batch jobs that count towards the bounds: those that were
// neither cancelled nor reported as never able to run.
func (w *world) countedBatch() []*job {
	var counted []*job
	for _, j := range w.all {
		if j.task.Class == placer.ClassBatch && !j.cancelled && !w.counters.unplaceable[j.task.ID] {
			counted = append(counted, j)
		}
	}
	return counted
}

// earliestStart returns the earliest time at which a job can run, since the start of
// the trace.
func (j *job) earliestStart() time.Duration {
	return max(j.submitted, j.template.NotBefore)
}

// memory returns the true memory use of a job in bytes.
func (j *job) memory() float64 {
	return float64(j.task.Declared.Memory) * j.template.Memory * j.factor
}

// possibleRun returns the maximum run time that a job can have within the trace.
func (w *world) possibleRun(j *job) time.Duration {
	return max(0, min(j.work, w.trace.Length-j.earliestStart()))
}

// freeProcessors returns, for each step, the number of processors of healthy workers
// that services do not use.
func freeProcessors(w *world) []float64 {
	steps := int(w.trace.Length / w.trace.Step)
	free := make([]float64, steps+1)
	var current float64
	for _, worker := range w.trace.Workers {
		current += float64(worker.Capacity.Processors)
	}
	for _, j := range w.all {
		if j.task.Class == placer.ClassService {
			current -= float64(j.task.Declared.Processors) * j.template.Processors
		}
	}
	next := 0
	for i := range free {
		for next < len(w.trace.Events) && w.trace.Events[next].At <= time.Duration(i)*w.trace.Step {
			current += w.processorChange(w.trace.Events[next])
			next++
		}
		free[i] = current / milliPerProcessor
	}
	return free
}

// processorChange returns the change that an event makes to the processors of healthy
// workers, in thousandths of a processor.
func (w *world) processorChange(event Event) float64 {
	n := w.nodes[event.Worker]
	switch event.Kind {
	case EventFail, EventBreak:
		return -float64(n.worker.Capacity.Processors)
	case EventReturn:
		return float64(n.worker.Capacity.Processors)
	}
	return 0
}

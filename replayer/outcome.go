package replayer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zinniashore.example/placer"
)

// Outcome is what came of a replay.
type Outcome struct {
	// Slowdown99 is the 99th percentile of the services' slowdown, 1 being none.
	Slowdown99 float64
	// Slowdown50 is its median.
	Slowdown50 float64
	// Work is the batch work done, in processor hours of tasks not cancelled.
	Work float64
	// Bound is the most that the free capacity allowed, in processor hours.
	Bound float64
	// Finished is the number of batch tasks finished.
	Finished int
	// Evictions is the number of evictions.
	Evictions int
	// Throttles is the number of changes of a throttle.
	Throttles int
	// Missed is the number of windows missed that were long enough for the true run
	// time of their task, however little they left to spare.
	Missed int
	// Never is the number of tasks reported as never to run.
	Never int
	// OverReserved is how often a worker was promised more than it has, a worker
	// and step each.
	OverReserved int
	// OverUsed is how often the tasks of a worker used more memory than it has.
	OverUsed int
	// Doubled is the number of starts of a task that did not wait.
	Doubled int
	// Lost is the run time lost by failures of workers.
	Lost time.Duration
	// UrgentStart is the longest wait of an urgent task.
	UrgentStart time.Duration
	// UrgentWaiting is the number of urgent tasks that never started.
	UrgentWaiting int
}

// Throughput is the share of the bound that was done.
func (o Outcome) Throughput() float64 {
	if o.Bound == 0 {
		return 1
	}
	return o.Work / o.Bound
}

// Violations is how often a worker carried more than it can, or a task was
// started twice.
func (o Outcome) Violations() int {
	return o.OverReserved + o.OverUsed + o.Doubled
}

const (
	slowdownScale  = 1e4
	slowdownLimit  = 1e7
	slowdownDigits = 4
)

// tally counts during a replay.
type tally struct {
	slowdowns    *hdrhistogram.Histogram
	evictions    int
	throttles    int
	late         int
	overReserved int
	overUsed     int
	doubled      int
	lost         time.Duration
	urgent       time.Duration
	never        map[string]bool
}

func newTally() *tally {
	return &tally{
		slowdowns: hdrhistogram.New(1, slowdownLimit, slowdownDigits),
		never:     map[string]bool{},
	}
}

func (t *tally) slowdown(value float64) {
	_ = t.slowdowns.RecordValue(int64(min(value*slowdownScale, slowdownLimit-1)))
}

func (t *tally) waiting(plan placer.Plan) {
	for _, waiting := range plan.Waiting {
		if waiting.Code == placer.ReasonNever {
			t.never[waiting.Task] = true
		}
	}
}

// outcome sums up a finished replay.
func (w *world) outcome() Outcome {
	t := w.tally
	o := Outcome{
		Slowdown99:   float64(t.slowdowns.ValueAtQuantile(99)) / slowdownScale,
		Slowdown50:   float64(t.slowdowns.ValueAtQuantile(50)) / slowdownScale,
		Bound:        min(processorBound(w), memoryBound(w)),
		Evictions:    t.evictions,
		Throttles:    t.throttles,
		Missed:       t.late,
		Never:        len(t.never),
		OverReserved: t.overReserved,
		OverUsed:     t.overUsed,
		Doubled:      t.doubled,
		Lost:         t.lost,
		UrgentStart:  t.urgent,
	}
	for _, j := range w.all {
		w.count(&o, j)
	}
	return o
}

func (w *world) count(o *Outcome, j *job) {
	if j.task.Class == placer.ClassService || j.cancelled {
		return
	}
	o.Work += processorHours(j, j.done)
	switch {
	case j.finished:
		o.Finished++
	case w.late(j):
		o.Missed++
	}
	if j.task.Urgent && j.started.IsZero() {
		o.UrgentWaiting++
	}
}

// processorHours is the batch work of a run time of a job.
func processorHours(j *job, run time.Duration) float64 {
	processors := float64(j.task.Declared.Processors) * j.template.Processors * j.factor
	return processors / milliPerProcessor * run.Hours()
}

// processorBound is the most batch work that any schedule could have done: for each time,
// the work that had arrived by then and the processors that were free after it,
// whichever time gives least. A task does at most its own work, and no more than
// the time since its window began allows.
func processorBound(w *world) float64 {
	steps := int(w.trace.Length / w.trace.Step)
	arrived := make([]float64, steps+1)
	for _, j := range w.countedBatch() {
		work := processorHours(j, w.possibleRun(j))
		arrived[min(steps, int(j.begin()/w.trace.Step))] += work
	}
	free := freeProcessors(w)
	least := 0.0
	for _, work := range arrived {
		least += work
	}
	after, before := 0.0, least
	for i := steps; i >= 0; i-- {
		least = min(least, before+after)
		before -= arrived[i]
		after += free[i] * w.trace.Step.Hours()
	}
	return min(least, after)
}

// memoryBound is the most batch work that fits the memory which services leave of
// all workers over the whole trace: tasks are taken in parts, those that use the
// least memory for their processors first.
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
		part := math.Min(1, free/needed)
		work += part * processorHours(j, run)
		free -= part * needed
	}
	return work
}

// countedBatch returns the batch jobs that the bound counts.
func (w *world) countedBatch() []*job {
	var counted []*job
	for _, j := range w.all {
		if j.task.Class == placer.ClassBatch && !j.cancelled && !w.tally.never[j.task.ID] {
			counted = append(counted, j)
		}
	}
	return counted
}

// begin is when a job could run first, since the start of the trace.
func (j *job) begin() time.Duration {
	return max(j.submitted, j.template.NotBefore)
}

// memory is the true use of memory of a job in bytes.
func (j *job) memory() float64 {
	return float64(j.task.Declared.Memory) * j.template.Memory * j.factor
}

// possibleRun is the longest run time that a job can get in the trace.
func (w *world) possibleRun(j *job) time.Duration {
	return max(0, min(j.work, w.trace.Length-j.begin()))
}

// freeProcessors is what services leave of the processors of sound workers at
// each step.
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
			current += w.lostProcessors(w.trace.Events[next])
			next++
		}
		free[i] = current / milliPerProcessor
	}
	return free
}

// lostProcessors is by how much an event changes the processors of sound workers.
func (w *world) lostProcessors(event Event) float64 {
	n := w.nodes[event.Worker]
	switch event.Kind {
	case EventFail, EventBreak:
		return -float64(n.worker.Capacity.Processors)
	case EventReturn:
		return float64(n.worker.Capacity.Processors)
	}
	return 0
}

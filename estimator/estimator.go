// Package estimator estimates, from the delayed reports of workers, the resource usage
// and run times of tasks and the slowdown that they cause services. The estimates are
// kept in memory only; a restarted process learns them again from new reports.
package estimator

import (
	"maps"
	"math"
	"sync"
	"time"

	"zinniashore.example/placer"
)

// Estimator learns sizes, run times and slowdowns from the reports of workers. The zero
// value is ready to use. It is safe for concurrent use.
type Estimator struct {
	mu          sync.Mutex
	templates   map[string]*templateSizes
	runTimes    map[string]templateRunTimes
	pairs       map[string]*PairModel
	services    map[string]measurement
	lastReports map[string]time.Time
	lastPruned  time.Time
}

// measurement is the smoothed slowdown of a running service task.
type measurement struct {
	slowdown float64
	time     time.Time
}

const (
	// measurementWeight is the weight of a new report in the moving average of the
	// measured slowdown.
	measurementWeight = 0.3
	// maxMeasurementAge is the age from which a measured slowdown is ignored.
	maxMeasurementAge = time.Minute
	// pruneAge is the age above which measurements and report times are deleted, and the
	// minimum time between two deletions.
	pruneAge = 10 * time.Minute
	// minLoad and maxLoad bound the load of a co-located task relative to the average of
	// its template.
	minLoad = 0.05
	maxLoad = 4.0
)

// Observe updates the estimates with a report. It returns false, and ignores the report,
// if the report is not newer than the last one of the same worker.
func (e *Estimator) Observe(report Report) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.initMaps()
	if !report.Time.After(e.lastReports[report.Worker]) {
		return false
	}
	e.lastReports[report.Worker] = report.Time
	for _, task := range report.Tasks {
		e.sizes(task.Template).observe(report.Time, task)
	}
	for i, task := range report.Tasks {
		if task.Class == placer.ClassService && task.Slowdown > 0 {
			e.observeService(report, i)
		}
	}
	e.prune(report.Time)
	return true
}

// ObserveCompletion updates the run time estimates with a batch task that completed its
// work.
func (e *Estimator) ObserveCompletion(completion Completion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.initMaps()
	e.runTimes[completion.Template] = e.runTimes[completion.Template].observe(completion)
}

func (e *Estimator) initMaps() {
	if e.templates != nil {
		return
	}
	e.templates = map[string]*templateSizes{}
	e.runTimes = map[string]templateRunTimes{}
	e.pairs = map[string]*PairModel{}
	e.services = map[string]measurement{}
	e.lastReports = map[string]time.Time{}
}

func (e *Estimator) sizes(template string) *templateSizes {
	sizes, known := e.templates[template]
	if !known {
		sizes = &templateSizes{}
		e.templates[template] = sizes
	}
	return sizes
}

func (e *Estimator) observeService(report Report, index int) {
	task := report.Tasks[index]
	last, known := e.services[task.Task]
	slowdown := task.Slowdown
	if known && report.Time.Sub(last.time) < maxMeasurementAge {
		slowdown = last.slowdown + measurementWeight*(slowdown-last.slowdown)
	}
	e.services[task.Task] = measurement{slowdown: slowdown, time: report.Time}
	pairs, known := e.pairs[task.Template]
	if !known {
		pairs = NewPairModel(task.Template, slowdownPrior)
		e.pairs[task.Template] = pairs
	}
	pairs.Observe(report.Time, task.Slowdown-1, e.colocatedLoads(report, index))
}

// colocatedLoads returns the summed load of the other tasks of a report, by template.
func (e *Estimator) colocatedLoads(report Report, index int) []ColocatedLoad {
	var found []ColocatedLoad
	for i, task := range report.Tasks {
		if i == index {
			continue
		}
		found = addLoad(found, task.Template, e.load(task))
	}
	return found
}

// load returns the processor usage of a task relative to the average of its template.
func (e *Estimator) load(task TaskReport) float64 {
	usual := e.templates[task.Template].averageUse * float64(task.Declared.Processors)
	if usual == 0 {
		return 1
	}
	load := float64(task.Usage.Processors) / usual
	return math.Min(maxLoad, math.Max(minLoad, load))
}

func addLoad(found []ColocatedLoad, template string, load float64) []ColocatedLoad {
	for i := range found {
		if found[i].Name == template {
			found[i].Load += load
			return found
		}
	}
	return append(found, ColocatedLoad{Name: template, Load: load})
}

// prune deletes the measurements and report times that are older than pruneAge.
func (e *Estimator) prune(now time.Time) {
	if now.Sub(e.lastPruned) < pruneAge {
		return
	}
	e.lastPruned = now
	for task, m := range e.services {
		if now.Sub(m.time) > pruneAge {
			delete(e.services, task)
		}
	}
	for worker, at := range e.lastReports {
		if now.Sub(at) > pruneAge {
			delete(e.lastReports, worker)
		}
	}
}

// View returns an immutable snapshot of the estimates, decayed to the given time.
func (e *Estimator) View(now time.Time) *View {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := &View{
		runTimes: maps.Clone(e.runTimes),
		sizes:    make(map[string]factors, len(e.templates)),
		pairs:    make(map[string]map[string]float64, len(e.pairs)),
		measured: make(map[string]float64, len(e.services)),
	}
	for template, sizes := range e.templates {
		v.sizes[template] = sizes.factors()
	}
	for template, pairs := range e.pairs {
		bounds := make(map[string]float64, len(pairs.effects))
		for other := range pairs.effects {
			bounds[other] = pairs.Bound(other, now)
		}
		v.pairs[template] = bounds
	}
	for task, m := range e.services {
		if now.Sub(m.time) < maxMeasurementAge {
			v.measured[task] = m.slowdown
		}
	}
	return v
}

// View is an immutable snapshot of the estimates of an Estimator. It implements
// placer.Estimates, placer.RunTimes and placer.Confidence.
type View struct {
	runTimes map[string]templateRunTimes
	sizes    map[string]factors
	pairs    map[string]map[string]float64
	measured map[string]float64
}

// Size implements placer.Estimates.
func (v *View) Size(template string, declared placer.Size) placer.Size {
	f, known := v.sizes[template]
	if !known {
		f = factors{processors: 1, memory: unlearnedMemory}
	}
	return f.apply(declared)
}

// Learned implements placer.Confidence.
func (v *View) Learned(template string) bool {
	return v.sizes[template].learned
}

// Remaining implements placer.RunTimes.
func (v *View) Remaining(template string, declared, ran time.Duration) time.Duration {
	return v.runTimes[template].remaining(declared, ran)
}

// Slowdown implements placer.Estimates.
func (v *View) Slowdown(template string, others []string) float64 {
	slowdown := 1.0
	for _, other := range others {
		bound, known := v.pairs[template][other]
		if !known {
			bound = slowdownPrior.pair(template, other).upperBound()
		}
		slowdown += bound
	}
	return slowdown
}

// Measured implements placer.Estimates.
func (v *View) Measured(task string) float64 {
	slowdown, known := v.measured[task]
	if !known {
		return 1
	}
	return slowdown
}

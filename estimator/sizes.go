package estimator

import (
	"math"
	"slices"
	"time"

	"zinniashore.example/placer"
)

// Bounds of the reserved sizes, relative to the declared size.
const (
	// unlearnedMemory is the memory reserved for tasks of a template that is not
	// learned yet, so that tasks which use up to this multiple of their declared
	// memory never exceed the memory of a worker.
	unlearnedMemory = 4.0
	// memoryMargin is the factor applied to the observed peak usage of memory.
	memoryMargin = 1.15
	// minMemory is the smallest memory reserved, whatever the usage.
	minMemory = 0.125
	// processorQuantile is the quantile of processor usage that is reserved.
	processorQuantile = 0.75
	// processorMargin is the factor applied to that quantile.
	processorMargin = 1.05
	// minProcessors is the smallest share of processors reserved, whatever the usage.
	minProcessors = 0.125
)

// Conditions under which the sizes of a template count as learned.
const (
	// minSampleAge is the age from which a task counts as sampled and its processor usage
	// is recorded.
	minSampleAge = time.Minute
	// minSampledTasks is the number of sampled tasks from which a template is learned.
	minSampledTasks = 3
	// singleTaskAge is the age from which a single sampled task is enough.
	singleTaskAge = 10 * time.Minute
)

// peakPeriod is the minimum time for which a peak of memory usage is kept.
const peakPeriod = 24 * time.Hour

// templateSizes holds the observed usage of the tasks of a template, relative to the
// declared size.
type templateSizes struct {
	processors   histogram
	averageUse   float64
	peak         float64
	previousPeak float64
	peakStarted  time.Time
	sampledTasks []string
	longSampled  bool
}

func (s *templateSizes) observe(at time.Time, task TaskReport) {
	if task.Declared.Memory > 0 {
		s.observeMemory(at, ratio(task.Usage.Memory, task.Declared.Memory))
	}
	if task.Age < minSampleAge {
		return
	}
	throttled := task.Throttle != 0 && task.Throttle < 1
	if task.Declared.Processors > 0 && !throttled {
		s.observeProcessors(ratio(task.Usage.Processors, task.Declared.Processors))
	}
	s.longSampled = s.longSampled || task.Age >= singleTaskAge
	if len(s.sampledTasks) < minSampledTasks && !slices.Contains(s.sampledTasks, task.Task) {
		s.sampledTasks = append(s.sampledTasks, task.Task)
	}
}

// averageWeight is the weight of a new report in the moving average of processor usage.
const averageWeight = 0.02

func (s *templateSizes) observeProcessors(used float64) {
	s.processors.add(used)
	if s.averageUse == 0 {
		s.averageUse = used
	}
	s.averageUse += averageWeight * (used - s.averageUse)
}

func (s *templateSizes) observeMemory(at time.Time, used float64) {
	if at.Sub(s.peakStarted) > peakPeriod {
		s.previousPeak, s.peak = s.peak, 0
		s.peakStarted = at
	}
	s.peak = math.Max(s.peak, used)
}

func (s *templateSizes) learned() bool {
	return s.longSampled || len(s.sampledTasks) >= minSampledTasks
}

// factors returns the processors and memory to reserve, relative to the declared size.
func (s *templateSizes) factors() factors {
	highest := memoryMargin * math.Max(s.peak, s.previousPeak)
	if !s.learned() {
		return factors{processors: 1, memory: math.Max(unlearnedMemory, highest)}
	}
	used := processorMargin * s.processors.quantile(processorQuantile)
	if used == 0 {
		used = 1
	}
	return factors{
		processors: math.Max(minProcessors, used),
		memory:     math.Max(minMemory, highest),
		learned:    true,
	}
}

// factors holds the size to reserve, relative to the declared size.
type factors struct {
	processors float64
	memory     float64
	learned    bool
}

func (f factors) apply(declared placer.Size) placer.Size {
	return placer.Size{
		Processors:   int64(math.Ceil(f.processors * float64(declared.Processors))),
		Memory:       int64(math.Ceil(f.memory * float64(declared.Memory))),
		Accelerators: declared.Accelerators,
	}
}

func ratio(part, whole int64) float64 {
	return float64(part) / float64(whole)
}

const (
	histogramBuckets = 150
	// histogramLowest is the upper end of the lowest bucket.
	histogramLowest = 1.0 / 32
	// histogramGrowth is the ratio of the upper ends of adjacent buckets.
	histogramGrowth = 1.05
	// histogramWindow is the number of samples after which the relative weight of a
	// sample has decayed by the factor e.
	histogramWindow = 2000
	// maxHistogramWeight is the weight at which all weights are rescaled, so that they
	// stay in the range of a float64.
	maxHistogramWeight = 1e6
)

// histogram counts positive values in exponential buckets. The weights of older values
// decay exponentially.
type histogram struct {
	weights    [histogramBuckets]float64
	nextWeight float64
}

func (h *histogram) add(value float64) {
	if h.nextWeight == 0 {
		h.nextWeight = 1
	}
	h.weights[bucketOf(value)] += h.nextWeight
	h.nextWeight *= 1 + 1.0/histogramWindow
	if h.nextWeight < maxHistogramWeight {
		return
	}
	for i := range h.weights {
		h.weights[i] /= h.nextWeight
	}
	h.nextWeight = 1
}

func bucketOf(value float64) int {
	if value <= histogramLowest {
		return 0
	}
	index := int(math.Ceil(math.Log(value/histogramLowest) / math.Log(histogramGrowth)))
	return min(index, histogramBuckets-1)
}

// quantile returns the upper end of the bucket that contains the quantile, or zero if the
// histogram is empty.
func (h *histogram) quantile(q float64) float64 {
	total := 0.0
	for _, weight := range h.weights {
		total += weight
	}
	if total == 0 {
		return 0
	}
	sum := 0.0
	for i, weight := range h.weights {
		sum += weight
		if sum >= q*total {
			return histogramLowest * math.Pow(histogramGrowth, float64(i))
		}
	}
	return histogramLowest * math.Pow(histogramGrowth, histogramBuckets-1)
}

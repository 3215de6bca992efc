package estimator

import (
	"math"
	"slices"
	"time"

	"zinniashore.example/placer"
)

// Bounds of the sizes that are reserved, relative to the declared size.
const (
	// coldMemory is reserved of a template that is not learned yet: tasks that
	// use up to this multiple of their declared memory never exceed a worker.
	coldMemory = 4.0
	// memoryMargin is kept above the highest use that was seen.
	memoryMargin = 1.15
	// memoryFloor is the least that is reserved, however little is used.
	memoryFloor = 0.125
	// processorQuantile is the quantile of the use of processors.
	processorQuantile = 0.75
	// processorMargin is kept above that quantile.
	processorMargin = 1.05
	// processorFloor is the least that is reserved, however little is used.
	processorFloor = 0.125
)

// What it takes for a template to count as learned.
const (
	matureAge   = time.Minute
	matureTasks = 3
	matureAlone = 10 * time.Minute
)

// peakPeriod is how long the highest use of memory is kept at least.
const peakPeriod = 24 * time.Hour

// templateSizes is what was learned of the sizes of a template, relative to
// what it declares.
type templateSizes struct {
	processors  histogram
	average     float64
	peak        float64
	peakBefore  float64
	peakStarted time.Time
	mature      []string
	alone       bool
}

func (s *templateSizes) observe(at time.Time, task TaskReport) {
	if task.Declared.Memory > 0 {
		s.observeMemory(at, ratio(task.Usage.Memory, task.Declared.Memory))
	}
	if task.Age < matureAge {
		return
	}
	throttled := task.Throttle != 0 && task.Throttle < 1
	if task.Declared.Processors > 0 && !throttled {
		s.observeProcessors(ratio(task.Usage.Processors, task.Declared.Processors))
	}
	s.alone = s.alone || task.Age >= matureAlone
	if len(s.mature) < matureTasks && !slices.Contains(s.mature, task.Task) {
		s.mature = append(s.mature, task.Task)
	}
}

// averageWeight is the weight of a report in the average use of processors.
const averageWeight = 0.02

func (s *templateSizes) observeProcessors(used float64) {
	s.processors.add(used)
	if s.average == 0 {
		s.average = used
	}
	s.average += averageWeight * (used - s.average)
}

func (s *templateSizes) observeMemory(at time.Time, used float64) {
	if at.Sub(s.peakStarted) > peakPeriod {
		s.peakBefore, s.peak = s.peak, 0
		s.peakStarted = at
	}
	s.peak = math.Max(s.peak, used)
}

func (s *templateSizes) learned() bool {
	return s.alone || len(s.mature) >= matureTasks
}

// factors returns what to reserve of processors and memory relative to what is
// declared.
func (s *templateSizes) factors() factors {
	highest := memoryMargin * math.Max(s.peak, s.peakBefore)
	if !s.learned() {
		return factors{processors: 1, memory: math.Max(coldMemory, highest)}
	}
	used := processorMargin * s.processors.quantile(processorQuantile)
	if used == 0 {
		used = 1
	}
	return factors{
		processors: math.Max(processorFloor, used),
		memory:     math.Max(memoryFloor, highest),
		learned:    true,
	}
}

// factors are sizes relative to what is declared.
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
	// histogramGrowth is the ratio of the ends of neighbouring buckets.
	histogramGrowth = 1.05
	// histogramMemory is the number of samples after which a sample has lost
	// most of its weight.
	histogramMemory = 2000
	histogramLimit  = 1e6
)

// histogram counts positive values in buckets of equal ratio; newer values weigh
// more.
type histogram struct {
	weights [histogramBuckets]float64
	next    float64
}

func (h *histogram) add(value float64) {
	if h.next == 0 {
		h.next = 1
	}
	h.weights[bucketOf(value)] += h.next
	h.next *= 1 + 1.0/histogramMemory
	if h.next < histogramLimit {
		return
	}
	for i := range h.weights {
		h.weights[i] /= h.next
	}
	h.next = 1
}

func bucketOf(value float64) int {
	if value <= histogramLowest {
		return 0
	}
	index := int(math.Ceil(math.Log(value/histogramLowest) / math.Log(histogramGrowth)))
	return min(index, histogramBuckets-1)
}

// quantile returns the upper end of the bucket that holds the quantile, or zero
// if nothing was added.
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

package estimator

import (
	"math"
	"time"
)

const (
	// baselinePrior is the prior mean of the baseline headroom of a job, and
	// baselineDeviation its standard deviation.
	baselinePrior     = 2.5
	baselineDeviation = 1.0
	// baselineDrift is the growth of the variance of a baseline per second. It is large
	// because the load of a long-running task swings within seconds.
	baselineDrift = 0.25
	// minBaselineDeviation is the lower bound of the standard deviation of a baseline.
	minBaselineDeviation = 0.01
	// maxHeadroom is the upper bound of a measured headroom.
	maxHeadroom = 5.0
	// latencyNoise is the relative standard deviation of a reported tail latency.
	// latencyStep is the standard deviation of its rounding to whole milliseconds, in
	// milliseconds.
	latencyNoise = 0.08
	latencyStep  = 0.29

	// effectPrior is the prior mean of the effect of a co-located task at a load of 1, and
	// effectDeviation its standard deviation. minEffectDeviation is the lower bound of the
	// standard deviation, so that the estimate keeps following changes.
	effectPrior        = 3.0
	effectDeviation    = 4.5
	minEffectDeviation = 0.7
	// maxInnovation limits the innovation of one report, which is the difference of the
	// measured and the expected headroom, in standard deviations.
	maxInnovation = 3.0
)

// Headrooms estimates how far long-running tasks stay below their targets of tail
// latency and how much co-located tasks reduce that. The headroom of a task is its
// target divided by its tail latency; it is 1 at the target. It falls linearly with the
// load, because the latency of a queue is inversely proportional to its idle share of
// time. All tasks of a job share a baseline, which is their headroom without co-located
// tasks. The effect of a co-located task depends on the images of both tasks.
type Headrooms struct {
	baselines map[string]gaussian
	effects   map[effectKey]gaussian
}

// effectKey holds the image of a long-running task and that of a co-located task.
type effectKey struct{ image, other string }

// NewHeadrooms returns a Headrooms that holds only its priors.
func NewHeadrooms() *Headrooms {
	return &Headrooms{baselines: map[string]gaussian{}, effects: map[effectKey]gaussian{}}
}

// TailReport is a measured tail latency of a long-running task.
type TailReport struct {
	// Job is the id of the task's job, whose tasks share a baseline. Image is the image
	// that the task runs.
	Job, Image string
	// Tail is the measured tail latency and Target its upper bound.
	Tail, Target time.Duration
	// Colocated are the loads of the co-located tasks, as shares of the worker's
	// processors.
	Colocated []ColocatedLoad
}

// Observe updates the estimates with a report.
func (h *Headrooms) Observe(at time.Time, report TailReport) {
	tail := math.Max(1, float64(report.Tail)/float64(time.Millisecond))
	measured := math.Min(maxHeadroom, float64(report.Target)/float64(time.Millisecond)/tail)
	baseline := h.baselineAt(report.Job, at)
	expected := baseline.mean
	noise := measured * (latencyNoise + latencyStep/tail)
	variance := noise*noise + baseline.variance
	for _, n := range report.Colocated {
		b := h.effect(report.Image, n.Name)
		expected -= n.Load * b.mean
		variance += n.Load * n.Load * b.variance
	}
	innovation := (measured - expected) / variance
	bound := maxInnovation / math.Sqrt(variance)
	innovation = math.Max(-bound, math.Min(bound, innovation))
	h.baselines[report.Job] = baseline.update(at, innovation, variance, 1, minBaselineDeviation)
	for _, n := range report.Colocated {
		b := h.effect(report.Image, n.Name).update(at, innovation, variance, -n.Load, minEffectDeviation)
		b.mean = math.Max(0, b.mean)
		h.effects[effectKey{report.Image, n.Name}] = b
	}
}

// baselineAt returns the estimated baseline of a job, with the drift until a time.
func (h *Headrooms) baselineAt(job string, at time.Time) gaussian {
	b, known := h.baselines[job]
	if !known {
		return gaussian{mean: baselinePrior, variance: baselineDeviation * baselineDeviation, updated: at}
	}
	passed := math.Max(0, at.Sub(b.updated).Seconds())
	b.variance = math.Min(baselineDeviation*baselineDeviation, b.variance+baselineDrift*passed)
	return b
}

func (h *Headrooms) effect(image, other string) gaussian {
	b, known := h.effects[effectKey{image, other}]
	if !known {
		return gaussian{mean: effectPrior, variance: effectDeviation * effectDeviation}
	}
	return b
}

// Baseline returns the expected headroom of a job's tasks without co-located tasks.
func (h *Headrooms) Baseline(job string) float64 {
	if b, known := h.baselines[job]; known {
		return b.mean
	}
	return baselinePrior
}

// Effect returns the expected reduction of the headroom of an image's tasks by a
// co-located task at a load of 1.
func (h *Headrooms) Effect(image, other string) float64 { return h.effect(image, other).mean }

// EffectBound returns a conservative estimate of the reduction that Effect returns.
func (h *Headrooms) EffectBound(image, other string) float64 {
	return h.effect(image, other).upperBound()
}

// Forget deletes the baseline of a job that has ended.
func (h *Headrooms) Forget(job string) { delete(h.baselines, job) }

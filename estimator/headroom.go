package estimator

import (
	"math"
	"time"
)

const (
	// ownPrior is the expected headroom of a lasting task beside nothing.
	ownPrior     = 2.5
	ownDeviation = 1.0
	// ownDrift is how fast the variance of a task's own headroom grows, by the
	// second: its load swings within seconds.
	ownDrift = 0.25
	leastOwn = 0.01
	// maxHeadroom bounds a measured headroom.
	maxHeadroom = 5.0
	// latencyNoise is the relative deviation of a reported tail latency, and
	// latencyStep that of its rounding to whole milliseconds, in milliseconds.
	latencyNoise = 0.08
	latencyStep  = 0.29

	effectPrior          = 3.0
	effectDeviation      = 4.5
	leastEffectDeviation = 0.7
	// surpriseLimit bounds what one report may change, in deviations.
	surpriseLimit = 3.0
)

// Headrooms learns how far lasting tasks are below their targets of tail latency
// and what their neighbours take of that. The headroom of a task is its target
// divided by its tail latency: 1 at the target. It falls linearly with the load,
// as the latency of a queue is inverse to the part of its time that is idle. All
// tasks of a job share the headroom that they have beside nothing; what a
// neighbour takes depends on both images.
type Headrooms struct {
	own     map[string]belief
	effects map[effectKey]belief
}

// effectKey names the image of a lasting task and that of a neighbour.
type effectKey struct{ image, neighbour string }

// NewHeadrooms returns a Headrooms that knows nothing but its priors.
func NewHeadrooms() *Headrooms {
	return &Headrooms{own: map[string]belief{}, effects: map[effectKey]belief{}}
}

// TailReport is the tail latency of a lasting task.
type TailReport struct {
	// Job names what the task shares its own load with, Image what it runs.
	Job, Image string
	// Tail is its tail latency, Target the one to stay below.
	Tail, Target time.Duration
	// Neighbours are the loads beside it, as shares of the worker's processors.
	Neighbours []Influence
}

// Observe learns from a report.
func (h *Headrooms) Observe(at time.Time, r TailReport) {
	tail := math.Max(1, float64(r.Tail)/float64(time.Millisecond))
	measured := math.Min(maxHeadroom, float64(r.Target)/float64(time.Millisecond)/tail)
	own := h.ownAt(r.Job, at)
	expected := own.mean
	noise := measured * (latencyNoise + latencyStep/tail)
	variance := noise*noise + own.variance
	for _, n := range r.Neighbours {
		b := h.effect(r.Image, n.Name)
		expected -= n.Load * b.mean
		variance += n.Load * n.Load * b.variance
	}
	surprise := (measured - expected) / variance
	bound := surpriseLimit / math.Sqrt(variance)
	surprise = math.Max(-bound, math.Min(bound, surprise))
	h.own[r.Job] = own.learn(at, surprise, variance, 1, leastOwn)
	for _, n := range r.Neighbours {
		b := h.effect(r.Image, n.Name).learn(at, surprise, variance, -n.Load, leastEffectDeviation)
		b.mean = math.Max(0, b.mean)
		h.effects[effectKey{r.Image, n.Name}] = b
	}
}

// ownAt returns the belief about a job's headroom beside nothing.
func (h *Headrooms) ownAt(job string, at time.Time) belief {
	b, known := h.own[job]
	if !known {
		return belief{mean: ownPrior, variance: ownDeviation * ownDeviation, renewed: at}
	}
	passed := math.Max(0, at.Sub(b.renewed).Seconds())
	b.variance = math.Min(ownDeviation*ownDeviation, b.variance+ownDrift*passed)
	return b
}

func (h *Headrooms) effect(image, neighbour string) belief {
	b, known := h.effects[effectKey{image, neighbour}]
	if !known {
		return belief{mean: effectPrior, variance: effectDeviation * effectDeviation}
	}
	return b
}

// Own returns the expected headroom of a job's tasks beside nothing.
func (h *Headrooms) Own(job string) float64 {
	if b, known := h.own[job]; known {
		return b.mean
	}
	return ownPrior
}

// Effect returns what a neighbour at a load of 1 is expected to take of the
// headroom of an image's tasks.
func (h *Headrooms) Effect(image, neighbour string) float64 { return h.effect(image, neighbour).mean }

// EffectBound returns what a neighbour at a load of 1 may well take.
func (h *Headrooms) EffectBound(image, neighbour string) float64 {
	return h.effect(image, neighbour).bound()
}

// Forget drops what is known of a job that has ended.
func (h *Headrooms) Forget(job string) { delete(h.own, job) }

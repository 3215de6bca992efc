package estimator

import (
	"math"
	"time"
)

// Prior holds the prior distributions of a PairModel. Deviations are standard
// deviations.
type Prior struct {
	// Mean and Deviation describe the effect of one co-located task at a load of 1.
	Mean, Deviation float64
	// ReplicaMean and ReplicaDeviation describe the effect of a co-located task of
	// the same name.
	ReplicaMean, ReplicaDeviation float64
	// BaseDeviation is the deviation of the measured value without co-located tasks.
	BaseDeviation float64
	// ReportDeviation is the noise of a single report.
	ReportDeviation float64
	// MinDeviation and MinBaseDeviation are lower bounds of the deviations of the
	// effects and the base, so that the estimates keep following changes.
	MinDeviation, MinBaseDeviation float64
	// HalfLife is the time in which an estimate without new reports decays half of the way
	// to its prior.
	HalfLife time.Duration
}

// slowdownPrior is the prior of excess slowdowns, which are slowdowns minus 1.
var slowdownPrior = Prior{
	Mean:             0.03,
	Deviation:        0.03,
	ReplicaMean:      0.005,
	ReplicaDeviation: 0.01,
	BaseDeviation:    0.03,
	ReportDeviation:  0.03,
	MinDeviation:     0.002,
	MinBaseDeviation: 0.002,
	HalfLife:         12 * time.Hour,
}

// boundDeviations is the number of standard deviations that an upper bound adds to the
// mean.
const boundDeviations = 1.0

// gaussian is an estimated value as a normal distribution.
type gaussian struct {
	mean     float64
	variance float64
	updated  time.Time
}

// pair returns the prior of the effect of a co-located task on a template.
func (p Prior) pair(template, other string) gaussian {
	if template == other {
		return gaussian{mean: p.ReplicaMean, variance: p.ReplicaDeviation * p.ReplicaDeviation}
	}
	return gaussian{mean: p.Mean, variance: p.Deviation * p.Deviation}
}

// decayed returns the estimate after its exponential decay towards the prior until now.
func (b gaussian) decayed(now time.Time, prior gaussian, halfLife time.Duration) gaussian {
	if b.updated.IsZero() || !now.After(b.updated) {
		return b
	}
	weight := math.Exp2(-float64(now.Sub(b.updated)) / float64(halfLife))
	return gaussian{
		mean:     prior.mean + weight*(b.mean-prior.mean),
		variance: prior.variance + weight*(b.variance-prior.variance),
		updated:  now,
	}
}

// upperBound returns a conservative estimate of the value, which is never negative.
func (b gaussian) upperBound() float64 {
	return math.Max(0, b.mean+boundDeviations*math.Sqrt(b.variance))
}

// ColocatedLoad is the load of the co-located tasks of one template or image.
type ColocatedLoad struct {
	// Name is the template or image of the co-located tasks.
	Name string
	// Load is their total load. The Prior gives effects at a load of 1.
	Load float64
}

// PairModel estimates the effects of co-located tasks on the tasks of one template or
// image. It is a linear model whose weights are independent normal distributions,
// updated by a Kalman filter.
type PairModel struct {
	name    string
	prior   Prior
	base    gaussian
	effects map[string]gaussian
}

// NewPairModel returns a PairModel that holds only the prior.
func NewPairModel(name string, prior Prior) *PairModel {
	return &PairModel{
		name:    name,
		prior:   prior,
		base:    gaussian{variance: prior.BaseDeviation * prior.BaseDeviation},
		effects: map[string]gaussian{},
	}
}

// Observe updates the model with a value that was measured beside co-located tasks.
func (p *PairModel) Observe(at time.Time, measured float64, colocated []ColocatedLoad) {
	expected := p.base.mean
	variance := p.prior.ReportDeviation*p.prior.ReportDeviation + p.base.variance
	effects := make([]gaussian, len(colocated))
	for i, n := range colocated {
		effects[i] = p.effect(n.Name, at)
		expected += n.Load * effects[i].mean
		variance += n.Load * n.Load * effects[i].variance
	}
	innovation := (measured - expected) / variance
	p.base = p.base.update(at, innovation, variance, 1, p.prior.MinBaseDeviation)
	for i, n := range colocated {
		p.effects[n.Name] = effects[i].update(at, innovation, variance, n.Load, p.prior.MinDeviation)
	}
}

// Bound returns a conservative estimate of the effect of a co-located task at a load
// of 1.
func (p *PairModel) Bound(other string, now time.Time) float64 {
	return p.effect(other, now).upperBound()
}

// update returns the estimate after a measurement. The innovation is the difference of
// the measured and the expected value, divided by the variance of the measurement.
func (b gaussian) update(at time.Time, innovation, variance, load, minDeviation float64) gaussian {
	remaining := 1 - load*load*b.variance/variance
	return gaussian{
		mean:     b.mean + load*b.variance*innovation,
		variance: math.Max(minDeviation*minDeviation, remaining*b.variance),
		updated:  at,
	}
}

// effect returns the estimated effect of a co-located task, decayed until now.
func (p *PairModel) effect(name string, now time.Time) gaussian {
	prior := p.prior.pair(p.name, name)
	b, known := p.effects[name]
	if !known {
		return prior
	}
	return b.decayed(now, prior, p.prior.HalfLife)
}

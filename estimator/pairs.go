package estimator

import (
	"math"
	"time"
)

// Prior is what is believed about pairs before anything was measured.
type Prior struct {
	// Mean and Deviation are of the effect of one neighbour at a load of 1.
	Mean, Deviation float64
	// ReplicaMean and ReplicaDeviation are those of a neighbour of the same name.
	ReplicaMean, ReplicaDeviation float64
	// BaseDeviation is that of the measure without neighbours.
	BaseDeviation float64
	// ReportDeviation is that of a report.
	ReportDeviation float64
	// LeastDeviation and LeastBaseDeviation keep the beliefs about neighbours and
	// the base open to change.
	LeastDeviation, LeastBaseDeviation float64
	// HalfLife is the time in which a belief that no report renews moves half the
	// way back to the prior one.
	HalfLife time.Duration
}

// slowdownPrior is the prior of slowdowns above 1.
var slowdownPrior = Prior{
	Mean:               0.03,
	Deviation:          0.03,
	ReplicaMean:        0.005,
	ReplicaDeviation:   0.01,
	BaseDeviation:      0.03,
	ReportDeviation:    0.03,
	LeastDeviation:     0.002,
	LeastBaseDeviation: 0.002,
	HalfLife:           12 * time.Hour,
}

// confidence is the number of deviations added to an estimate.
const confidence = 1.0

// belief is the estimate of one pair: a normal distribution.
type belief struct {
	mean     float64
	variance float64
	renewed  time.Time
}

// between is the belief about a template and a neighbour before anything was
// measured.
func (p Prior) between(template, neighbour string) belief {
	if template == neighbour {
		return belief{mean: p.ReplicaMean, variance: p.ReplicaDeviation * p.ReplicaDeviation}
	}
	return belief{mean: p.Mean, variance: p.Deviation * p.Deviation}
}

// at returns the belief as it has faded towards the prior one until now.
func (b belief) at(now time.Time, prior belief, halfLife time.Duration) belief {
	if b.renewed.IsZero() || !now.After(b.renewed) {
		return b
	}
	kept := math.Exp2(-float64(now.Sub(b.renewed)) / float64(halfLife))
	return belief{
		mean:     prior.mean + kept*(b.mean-prior.mean),
		variance: prior.variance + kept*(b.variance-prior.variance),
		renewed:  now,
	}
}

// bound is the slowdown above 1 to reckon with.
func (b belief) bound() float64 {
	return math.Max(0, b.mean+confidence*math.Sqrt(b.variance))
}

// Influence is a neighbour and how strongly it runs.
type Influence struct {
	// Name is the neighbour's template or image.
	Name string
	// Load is its strength, in the unit of the prior.
	Load float64
}

// Pairs is what was learned of the effect of neighbours on one template or
// image: a linear model whose weights are independent normal distributions,
// updated as by a Kalman filter.
type Pairs struct {
	name       string
	prior      Prior
	base       belief
	neighbours map[string]belief
}

// NewPairs returns a Pairs that knows nothing but the prior.
func NewPairs(name string, prior Prior) *Pairs {
	return &Pairs{
		name:       name,
		prior:      prior,
		base:       belief{variance: prior.BaseDeviation * prior.BaseDeviation},
		neighbours: map[string]belief{},
	}
}

// Observe learns from a measure that was taken beside neighbours.
func (p *Pairs) Observe(at time.Time, measure float64, influences []Influence) {
	expected := p.base.mean
	variance := p.prior.ReportDeviation*p.prior.ReportDeviation + p.base.variance
	beliefs := make([]belief, len(influences))
	for i, n := range influences {
		beliefs[i] = p.neighbour(n.Name, at)
		expected += n.Load * beliefs[i].mean
		variance += n.Load * n.Load * beliefs[i].variance
	}
	surprise := (measure - expected) / variance
	p.base = p.base.learn(at, surprise, variance, 1, p.prior.LeastBaseDeviation)
	for i, n := range influences {
		p.neighbours[n.Name] = beliefs[i].learn(at, surprise, variance, n.Load, p.prior.LeastDeviation)
	}
}

// Bound returns the effect of a neighbour at a load of 1 to reckon with.
func (p *Pairs) Bound(neighbour string, now time.Time) float64 {
	return p.neighbour(neighbour, now).bound()
}

// learn moves a belief by its part in a surprise, which is relative to the
// variance of the report.
func (b belief) learn(at time.Time, surprise, variance, load, least float64) belief {
	left := 1 - load*load*b.variance/variance
	return belief{
		mean:     b.mean + load*b.variance*surprise,
		variance: math.Max(least*least, left*b.variance),
		renewed:  at,
	}
}

// neighbour returns the belief about a neighbour at a time.
func (p *Pairs) neighbour(name string, now time.Time) belief {
	prior := p.prior.between(p.name, name)
	b, known := p.neighbours[name]
	if !known {
		return prior
	}
	return b.at(now, prior, p.prior.HalfLife)
}

package estimator

import (
	"math"
	"time"
)

// Prior belief about the slowdown above 1 that one neighbour causes, before
// anything was measured.
const (
	priorMean      = 0.03
	priorDeviation = 0.03
	// replicaMean and replicaDeviation are those between tasks of one template.
	replicaMean      = 0.005
	replicaDeviation = 0.01
	// baseDeviation is the prior deviation of a service's slowdown when alone.
	baseDeviation = 0.03
	// reportDeviation is the deviation of a reported slowdown.
	reportDeviation = 0.03
	// leastDeviation keeps a belief open to change.
	leastDeviation = 0.002
	// confidence is the number of deviations added to an estimate.
	confidence = 1.0
	// beliefHalfLife is the time in which a belief that no report renews moves
	// half the way back to the prior one.
	beliefHalfLife = 12 * time.Hour
)

// belief is the estimate of one pair: a normal distribution.
type belief struct {
	mean     float64
	variance float64
	renewed  time.Time
}

// priorBetween is the belief about a template and a neighbour before anything was
// measured.
func priorBetween(template, neighbour string) belief {
	if template == neighbour {
		return belief{mean: replicaMean, variance: replicaDeviation * replicaDeviation}
	}
	return belief{mean: priorMean, variance: priorDeviation * priorDeviation}
}

// at returns the belief as it has faded towards the prior one until now.
func (b belief) at(now time.Time, prior belief) belief {
	if b.renewed.IsZero() || !now.After(b.renewed) {
		return b
	}
	kept := math.Exp2(-float64(now.Sub(b.renewed)) / float64(beliefHalfLife))
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

// influence is a neighbour template and how strongly it runs, 1 being one task
// at its usual use of processors.
type influence struct {
	template string
	load     float64
}

// templatePairs is what was learned of the slowdown of one service template by
// its neighbours: a linear model whose weights are independent normal
// distributions, updated as by a Kalman filter.
type templatePairs struct {
	template   string
	base       belief
	neighbours map[string]belief
}

func newTemplatePairs(template string) *templatePairs {
	return &templatePairs{
		template:   template,
		base:       belief{variance: baseDeviation * baseDeviation},
		neighbours: map[string]belief{},
	}
}

// observe learns from a reported slowdown above 1 beside neighbours.
func (p *templatePairs) observe(at time.Time, excess float64, influences []influence) {
	expected := p.base.mean
	variance := reportDeviation*reportDeviation + p.base.variance
	beliefs := make([]belief, len(influences))
	for i, n := range influences {
		beliefs[i] = p.neighbour(n.template, at)
		expected += n.load * beliefs[i].mean
		variance += n.load * n.load * beliefs[i].variance
	}
	surprise := (excess - expected) / variance
	p.base = p.base.learn(at, surprise, variance, 1)
	for i, n := range influences {
		p.neighbours[n.template] = beliefs[i].learn(at, surprise, variance, n.load)
	}
}

// learn moves a belief by its part in a surprise, which is relative to the
// variance of the report.
func (b belief) learn(at time.Time, surprise, variance, load float64) belief {
	left := 1 - load*load*b.variance/variance
	return belief{
		mean:     b.mean + load*b.variance*surprise,
		variance: math.Max(leastDeviation*leastDeviation, left*b.variance),
		renewed:  at,
	}
}

// neighbour returns the belief about a neighbour at a time.
func (p *templatePairs) neighbour(template string, now time.Time) belief {
	prior := priorBetween(p.template, template)
	b, known := p.neighbours[template]
	if !known {
		return prior
	}
	return b.at(now, prior)
}

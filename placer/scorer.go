package placer

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Scorer compares the workers that the filters admit for a task.
type Scorer interface {
	// Score returns the cost of a candidate; less is better. A scorer of a
	// higher priority number decides only between candidates of equal cost.
	Score(c *Candidate) float64
}

// DefaultScorers returns the scorers that a Placer uses when it has none set.
func DefaultScorers(seed uint64) []Prioritized[Scorer] {
	return []Prioritized[Scorer]{
		{Value: AcceleratorScorer{}, Priority: 100},
		{Value: SpreadScorer{}, Priority: 200},
		{Value: InterferenceScorer{}, Priority: 300},
		{Value: PackingScorer{}, Priority: 400},
		{Value: SeedScorer{Seed: seed}, Priority: 500},
	}
}

// AcceleratorScorer fits accelerators tightly and keeps other work off them.
type AcceleratorScorer struct{}

// Score implements Scorer.
func (AcceleratorScorer) Score(c *Candidate) float64 {
	if c.Size.Accelerators > 0 {
		return float64(c.Free.Accelerators - c.Size.Accelerators)
	}
	if c.Free.Accelerators > 0 {
		return 1
	}
	return 0
}

// SpreadScorer spreads the instances of a group over failure domains, racks
// and workers.
type SpreadScorer struct{}

// Weights of the levels of places; a level outweighs those below it.
const (
	domainWeight = 1e8
	rackWeight   = 1e4
)

// Score implements Scorer.
func (SpreadScorer) Score(c *Candidate) float64 {
	if c.Task.Group == "" {
		return 0
	}
	places := placesOf(c.Task.Group, c.Worker)
	spread := c.ledger.spread
	score := domainWeight*float64(spread[places[0]]) + rackWeight*float64(spread[places[1]])
	return score + float64(spread[places[2]])
}

// interferenceStep is the difference of expected slowdown that matters.
const interferenceStep = 0.005

// InterferenceScorer prefers the least expected slowdown of services.
type InterferenceScorer struct{}

// Score implements Scorer.
func (InterferenceScorer) Score(c *Candidate) float64 {
	excess := c.ownExcess()
	for _, service := range c.room.services {
		excess += c.ledger.pair(service.template, c.template)
	}
	return math.Round(excess / interferenceStep)
}

// PackingScorer prefers the worker whose scarcest resource is filled most.
type PackingScorer struct{}

// Score implements Scorer.
func (PackingScorer) Score(c *Candidate) float64 {
	return leftShare(c)
}

// leftShare is the largest share of a resource that the task would leave free.
func leftShare(c *Candidate) float64 {
	left := c.Free.Minus(c.Size)
	processors := share(left.Processors, c.Worker.Capacity.Processors)
	memory := share(left.Memory, c.Worker.Capacity.Memory)
	return math.Max(processors, memory)
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// SeedScorer decides among equals by a hash of seed, task and worker.
type SeedScorer struct {
	// Seed selects the hash.
	Seed uint64
}

// Score implements Scorer.
func (s SeedScorer) Score(c *Candidate) float64 {
	digest := xxhash.NewWithSeed(s.Seed)
	_, _ = digest.WriteString(c.Task.ID)
	_, _ = digest.WriteString(c.Worker.ID)
	return float64(digest.Sum64())
}

// FirstScorer prefers workers in the order of the snapshot.
type FirstScorer struct{}

// Score implements Scorer.
func (FirstScorer) Score(*Candidate) float64 {
	return 0
}

// LoadScorer prefers the least loaded worker.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(c *Candidate) float64 {
	return -leftShare(c)
}

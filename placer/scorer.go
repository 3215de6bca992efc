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
		{Value: IsolationScorer{}, Priority: 300},
		{Value: InterferenceScorer{}, Priority: 400},
		{Value: PackingScorer{}, Priority: 500},
		{Value: SeedScorer{Seed: seed}, Priority: 600},
	}
}

// AcceleratorScorer fits accelerators tightly and keeps other work off them.
type AcceleratorScorer struct{}

// Score implements Scorer.
func (AcceleratorScorer) Score(c *Candidate) float64 {
	if c.Size.Accelerators > 0 {
		return float64(c.Free.Accelerators - c.Size.Accelerators)
	}
	return boolCost(c.Free.Accelerators > 0)
}

// SpreadScorer spreads the instances of a group over failure domains and racks,
// and keeps each worker to a part of them. Below that part it leaves workers
// equal, so that others stay free of services.
type SpreadScorer struct{}

// workerPart is the part of the instances of a group that one worker may run
// before others are preferred: one in so many.
const workerPart = 12

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
	limit := max(1, c.ledger.groups[c.Task.Group]/workerPart)
	return score + float64(max(0, spread[places[2]]+1-limit))
}

// isolationStep is the difference of cost that matters to an IsolationScorer.
const isolationStep = 0.1

// IsolationScorer keeps workers without services free for the work that services
// do not bear: services join each other, and quiet batch work goes beside them as
// long as it uses up no more of what they bear than of the room.
type IsolationScorer struct{}

// Score implements Scorer.
func (IsolationScorer) Score(c *Candidate) float64 {
	services := len(c.room.services)
	if c.Task.Class == ClassService {
		return -float64(services)
	}
	if services == 0 {
		return math.Round(c.ledger.quietness(c.template) / isolationStep)
	}
	over := c.toleranceShare() - c.roomShare()
	return math.Round(math.Max(0, over) / isolationStep)
}

func boolCost(costs bool) float64 {
	if costs {
		return 1
	}
	return 0
}

// toleranceShare is the part that the task takes of the slowdown which the
// services of the worker still bear.
func (c *Candidate) toleranceShare() float64 {
	highest := 0.0
	for _, service := range c.room.services {
		left := math.Max(interferenceStep, expectedExcess-service.excess)
		highest = math.Max(highest, c.ledger.pair(service.template, c.template)/left)
	}
	return highest
}

// roomShare is the part that the task takes of what is free on the worker.
func (c *Candidate) roomShare() float64 {
	return math.Max(share(c.Size.Processors, c.Free.Processors), share(c.Size.Memory, c.Free.Memory))
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

package placer

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Scorer ranks the workers that the filters admit for a task.
type Scorer interface {
	// Score returns the cost of a candidate; lower is better. A scorer with a higher
	// priority number only decides between candidates of equal cost.
	Score(c *Candidate) float64
}

// DefaultScorers returns the scorers that a Placer uses if none are set.
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

// AcceleratorScorer packs accelerators tightly and prefers workers without free
// accelerators for other tasks.
type AcceleratorScorer struct{}

// Score implements Scorer.
func (AcceleratorScorer) Score(c *Candidate) float64 {
	if c.Size.Accelerators > 0 {
		return float64(c.Free.Accelerators - c.Size.Accelerators)
	}
	return boolCost(c.Free.Accelerators > 0)
}

// SpreadScorer spreads the instances of a group over failure domains and racks, and
// limits the share of them on one worker. Workers below that limit score equally, so that
// services do not spread over all workers.
type SpreadScorer struct{}

// workerInstancesDivisor limits the instances of a group on one worker: other workers are
// preferred once it runs one in workerInstancesDivisor of them, and at least one.
const workerInstancesDivisor = 12

// Weights of the instances in the same failure domain and in the same rack. Each level
// outweighs those below it.
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
	limit := max(1, c.ledger.groupSizes[c.Task.Group]/workerInstancesDivisor)
	return score + float64(max(0, spread[places[2]]+1-limit))
}

// isolationStep is the smallest difference of cost that an IsolationScorer distinguishes.
const isolationStep = 0.1

// IsolationScorer keeps workers without services free for tasks that interfere with
// services. It places services together, and places batch tasks beside services as long
// as they use up no greater share of the acceptable slowdown than of the free capacity.
type IsolationScorer struct{}

// Score implements Scorer.
func (IsolationScorer) Score(c *Candidate) float64 {
	services := len(c.info.services)
	if c.Task.Class == ClassService {
		return -float64(services)
	}
	if services == 0 {
		return math.Round(c.ledger.quietness(c.template) / isolationStep)
	}
	over := c.toleranceShare() - c.freeShare()
	return math.Round(math.Max(0, over) / isolationStep)
}

func boolCost(costs bool) float64 {
	if costs {
		return 1
	}
	return 0
}

// toleranceShare returns the greatest share that the task takes of the slowdown that a
// service of the worker may still have.
func (c *Candidate) toleranceShare() float64 {
	highest := 0.0
	for _, service := range c.info.services {
		left := math.Max(interferenceStep, maxExpectedExcess-service.excess)
		highest = math.Max(highest, c.ledger.pairExcess(service.template, c.template)/left)
	}
	return highest
}

// freeShare returns the share that the task takes of the free capacity of the worker.
func (c *Candidate) freeShare() float64 {
	return math.Max(share(c.Size.Processors, c.Free.Processors), share(c.Size.Memory, c.Free.Memory))
}

// interferenceStep is the smallest difference of expected slowdown that is distinguished.
const interferenceStep = 0.005

// InterferenceScorer prefers the worker with the lowest expected slowdown of services.
type InterferenceScorer struct{}

// Score implements Scorer.
func (InterferenceScorer) Score(c *Candidate) float64 {
	excess := c.ownExcess()
	for _, service := range c.info.services {
		excess += c.ledger.pairExcess(service.template, c.template)
	}
	return math.Round(excess / interferenceStep)
}

// PackingScorer prefers the worker that the task would fill most, measured by
// remainingShare.
type PackingScorer struct{}

// Score implements Scorer.
func (PackingScorer) Score(c *Candidate) float64 {
	return remainingShare(c)
}

// remainingShare returns the larger of the shares of processors and memory that the task
// would leave free.
func remainingShare(c *Candidate) float64 {
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

// SeedScorer decides between equal candidates by a hash of seed, task and worker.
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
	return -remainingShare(c)
}

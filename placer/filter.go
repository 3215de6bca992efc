package placer

import "slices"

// Candidate is a worker that is considered for a task.
type Candidate struct {
	// Task is the task to be placed.
	Task *Task
	// Size is the size that would be reserved for the task.
	Size Size
	// Worker is the worker that is considered.
	Worker *Worker
	// Free is the free capacity of the worker.
	Free Size

	ledger   *ledger
	info     *workerInfo
	template int
}

// Filter rejects workers for a task.
type Filter interface {
	// Admits reports whether the task may start on the worker, and otherwise the reason
	// why the task waits.
	Admits(c *Candidate) (ReasonCode, bool)
}

// DefaultFilters returns the filters that a Placer uses if none are set.
func DefaultFilters() []Prioritized[Filter] {
	return append(CapacityFilters(), Prioritized[Filter]{Value: interferenceFilter{}, Priority: 400})
}

// placeFilter admits only ready workers in the failure domains of the task that are not
// excluded for it.
type placeFilter struct{}

// Admits implements Filter.
func (placeFilter) Admits(c *Candidate) (ReasonCode, bool) {
	return ReasonCapacity, c.Worker.State == WorkerReady && allowed(c.Task, c.Worker)
}

// allowed reports whether the failure domains and excluded workers of a task permit a
// worker.
func allowed(task *Task, worker *Worker) bool {
	return inDomains(task, worker) && !slices.Contains(task.Excluded, worker.ID)
}

func inDomains(task *Task, worker *Worker) bool {
	return len(task.FailureDomains) == 0 || slices.Contains(task.FailureDomains, worker.FailureDomain)
}

// capacityFilter admits workers with enough free capacity for the task.
type capacityFilter struct{}

// Admits implements Filter.
func (capacityFilter) Admits(c *Candidate) (ReasonCode, bool) {
	return ReasonCapacity, c.Size.Within(c.Free)
}

// acceleratorReserve is the share of a worker's processors and memory that is kept for
// its free accelerators, relative to the share of accelerators that is free.
const acceleratorReserve = 0.5

// acceleratorFilter keeps tasks without accelerators from using up the processors and
// memory that tasks with accelerators need.
type acceleratorFilter struct{}

// Admits implements Filter.
func (acceleratorFilter) Admits(c *Candidate) (ReasonCode, bool) {
	capacity := c.Worker.Capacity
	if c.Size.Accelerators > 0 || capacity.Accelerators == 0 {
		return ReasonCapacity, true
	}
	kept := acceleratorReserve * float64(c.Free.Accelerators) / float64(capacity.Accelerators)
	left := c.Free.Minus(c.Size)
	processors := float64(left.Processors) >= kept*float64(capacity.Processors)
	memory := float64(left.Memory) >= kept*float64(capacity.Memory)
	return ReasonCapacity, processors && memory
}

// Limits of the expected and the measured slowdown of a service.
const (
	// maxExpectedExcess is the greatest expected excess slowdown of a service, which is
	// its slowdown minus 1, at which co-located tasks are admitted.
	maxExpectedExcess = 0.09
	// throttleThreshold is the measured slowdown of a service above which co-located
	// tasks are throttled.
	throttleThreshold = 1.12
	// liftThreshold is the slowdown below which a service is expected to stay when a
	// throttle is lifted.
	liftThreshold = 1.1
)

// interferenceFilter keeps the expected slowdown of services below a limit.
type interferenceFilter struct{}

// Admits implements Filter.
func (interferenceFilter) Admits(c *Candidate) (ReasonCode, bool) {
	if c.ledger.snapshot.Estimates == nil {
		return ReasonInterference, true
	}
	for _, service := range c.info.services {
		added := c.ledger.pairExcess(service.template, c.template)
		if added > 0 && service.excess+added > maxExpectedExcess {
			return ReasonInterference, false
		}
		if added > 0 && c.Task.Class == ClassBatch && c.ledger.measuredSlowdown(service) > throttleThreshold {
			return ReasonInterference, false
		}
	}
	return ReasonInterference, c.ownExcess() <= maxExpectedExcess
}

// ownExcess returns the expected excess slowdown of the task on the worker, or 0 if it is
// not a service.
func (c *Candidate) ownExcess() float64 {
	if c.Task.Class != ClassService {
		return 0
	}
	excess := 0.0
	for _, other := range c.info.allocations {
		excess += c.ledger.pairExcess(c.template, other.template)
	}
	return excess
}

// CapacityFilters returns the default filters without the one that protects services from
// interference.
func CapacityFilters() []Prioritized[Filter] {
	return []Prioritized[Filter]{
		{Value: placeFilter{}, Priority: 100},
		{Value: capacityFilter{}, Priority: 200},
		{Value: acceleratorFilter{}, Priority: 300},
	}
}

package placer

import "slices"

// Candidate is a worker that is considered for a task.
type Candidate struct {
	// Task is the task to be placed.
	Task *Task
	// Size is what would be reserved for it.
	Size Size
	// Worker is the worker considered.
	Worker *Worker
	// Free is the size of the worker that nothing may occupy.
	Free Size

	ledger   *ledger
	room     *room
	template int
}

// Filter rules workers out for a task.
type Filter interface {
	// Admits reports whether the task may start on the worker, and otherwise
	// names the reason for which it has to wait.
	Admits(c *Candidate) (ReasonCode, bool)
}

// DefaultFilters returns the filters that a Placer uses when it has none set.
func DefaultFilters() []Prioritized[Filter] {
	return append(CapacityFilters(), Prioritized[Filter]{Value: interferenceFilter{}, Priority: 400})
}

// placeFilter keeps tasks to ready workers of their failure domains.
type placeFilter struct{}

// Admits implements Filter.
func (placeFilter) Admits(c *Candidate) (ReasonCode, bool) {
	return ReasonCapacity, c.Worker.State == WorkerReady && allowed(c.Task, c.Worker)
}

// allowed reports whether a task may ever run on a worker.
func allowed(task *Task, worker *Worker) bool {
	return inDomains(task, worker) && !slices.Contains(task.Excluded, worker.ID)
}

func inDomains(task *Task, worker *Worker) bool {
	return len(task.FailureDomains) == 0 || slices.Contains(task.FailureDomains, worker.FailureDomain)
}

// capacityFilter keeps the sum of everything that may run within the worker.
type capacityFilter struct{}

// Admits implements Filter.
func (capacityFilter) Admits(c *Candidate) (ReasonCode, bool) {
	return ReasonCapacity, c.Size.Within(c.Free)
}

// acceleratorShare is the share of a worker's processors and memory kept for
// its free accelerators, relative to the share of accelerators that is free.
const acceleratorShare = 0.5

// acceleratorFilter keeps work without accelerators from blocking them.
type acceleratorFilter struct{}

// Admits implements Filter.
func (acceleratorFilter) Admits(c *Candidate) (ReasonCode, bool) {
	capacity := c.Worker.Capacity
	if c.Size.Accelerators > 0 || capacity.Accelerators == 0 {
		return ReasonCapacity, true
	}
	kept := acceleratorShare * float64(c.Free.Accelerators) / float64(capacity.Accelerators)
	left := c.Free.Minus(c.Size)
	processors := float64(left.Processors) >= kept*float64(capacity.Processors)
	memory := float64(left.Memory) >= kept*float64(capacity.Memory)
	return ReasonCapacity, processors && memory
}

// Limits of the expected and the measured slowdown of a service.
const (
	// expectedExcess is the expected slowdown above 1 up to which neighbours of
	// a service are admitted.
	expectedExcess = 0.09
	// measuredHigh is the measured slowdown above which neighbours are throttled.
	measuredHigh = 1.12
	// measuredLow is the measured slowdown that must be left after a throttle is lifted.
	measuredLow = 1.1
)

// interferenceFilter keeps the expected slowdown of services below a limit.
type interferenceFilter struct{}

// Admits implements Filter.
func (interferenceFilter) Admits(c *Candidate) (ReasonCode, bool) {
	if c.ledger.snapshot.Estimates == nil {
		return ReasonInterference, true
	}
	for _, service := range c.room.services {
		added := c.ledger.pair(service.template, c.template)
		if added > 0 && service.excess+added > expectedExcess {
			return ReasonInterference, false
		}
		if added > 0 && c.Task.Class == ClassBatch && c.ledger.measured(service) > measuredHigh {
			return ReasonInterference, false
		}
	}
	return ReasonInterference, c.ownExcess() <= expectedExcess
}

// ownExcess is the expected slowdown above 1 of the task on the worker, if it
// is a service.
func (c *Candidate) ownExcess() float64 {
	if c.Task.Class != ClassService {
		return 0
	}
	excess := 0.0
	for _, neighbour := range c.room.tenants {
		excess += c.ledger.pair(c.template, neighbour.template)
	}
	return excess
}

// CapacityFilters returns the default filters without the one that protects
// services from interference.
func CapacityFilters() []Prioritized[Filter] {
	return []Prioritized[Filter]{
		{Value: placeFilter{}, Priority: 100},
		{Value: capacityFilter{}, Priority: 200},
		{Value: acceleratorFilter{}, Priority: 300},
	}
}

// Package placer decides which task runs on which worker. The decision is a
// pure function of a snapshot.
package placer

import "time"

// Class tells what a task is to its callers.
type Class string

// Classes of tasks.
const (
	// ClassService is a latency-critical instance that serves requests.
	ClassService Class = "service"
	// ClassBatch is work that runs to an end.
	ClassBatch Class = "batch"
)

// Size is an amount of the resources of a worker.
type Size struct {
	// Processors is in thousandths of a processor.
	Processors int64
	// Memory is in bytes.
	Memory int64
	// Accelerators is a count.
	Accelerators int64
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{
		Processors:   s.Processors + o.Processors,
		Memory:       s.Memory + o.Memory,
		Accelerators: s.Accelerators + o.Accelerators,
	}
}

// Minus returns the difference of s and o.
func (s Size) Minus(o Size) Size {
	return Size{
		Processors:   s.Processors - o.Processors,
		Memory:       s.Memory - o.Memory,
		Accelerators: s.Accelerators - o.Accelerators,
	}
}

// Max returns the larger of s and o in every resource.
func (s Size) Max(o Size) Size {
	return Size{
		Processors:   max(s.Processors, o.Processors),
		Memory:       max(s.Memory, o.Memory),
		Accelerators: max(s.Accelerators, o.Accelerators),
	}
}

// Min returns the smaller of s and o in every resource.
func (s Size) Min(o Size) Size {
	return Size{
		Processors:   min(s.Processors, o.Processors),
		Memory:       min(s.Memory, o.Memory),
		Accelerators: min(s.Accelerators, o.Accelerators),
	}
}

// Divided returns an equal part of s in whole units, of parts above zero.
func (s Size) Divided(parts int) Size {
	n := int64(max(parts, 1))
	return Size{
		Processors:   s.Processors / n,
		Memory:       s.Memory / n,
		Accelerators: s.Accelerators / n,
	}
}

// Within reports whether s fits into o in every resource.
func (s Size) Within(o Size) bool {
	return s.Processors <= o.Processors && s.Memory <= o.Memory && s.Accelerators <= o.Accelerators
}

// WorkerState tells whether a worker takes new tasks.
type WorkerState string

// States of workers.
const (
	// WorkerReady takes new tasks.
	WorkerReady WorkerState = "ready"
	// WorkerLeaving takes no new tasks and its tasks are moved away.
	WorkerLeaving WorkerState = "leaving"
	// WorkerUnreachable does not answer; its tasks may still run.
	WorkerUnreachable WorkerState = "unreachable"
	// WorkerQuarantined fails the tasks it starts.
	WorkerQuarantined WorkerState = "quarantined"
)

// Worker is a VM that runs tasks.
type Worker struct {
	// ID names the worker.
	ID string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Rack is its rack.
	Rack string
	// Capacity is what it can carry.
	Capacity Size
	// State tells whether it takes new tasks.
	State WorkerState
}

// TaskState is the state of a task as the placer sees it.
type TaskState string

// States of tasks.
const (
	// TaskWaiting is not running anywhere and wants a worker.
	TaskWaiting TaskState = "waiting"
	// TaskPlaced has a worker: it starts, runs or may run there.
	TaskPlaced TaskState = "placed"
	// TaskEvicting is being checkpointed and stopped; it still holds its worker.
	TaskEvicting TaskState = "evicting"
)

// Task is a service instance or a batch task.
type Task struct {
	// ID names the task.
	ID string
	// Organisation is its owner.
	Organisation string
	// Template is the template that it was made from.
	Template string
	// Class tells what the task is to its callers.
	Class Class
	// Declared is the size that its template declares.
	Declared Size
	// Reserved is the size that its current attempt was given, as
	// Action.Reserved said; zero stands for Declared.
	Reserved Size
	// Priority orders tasks; higher goes first.
	Priority int
	// Urgent marks a task that must start within the urgent start limit.
	Urgent bool
	// FailureDomains are the failure domains where it may run; empty is any.
	FailureDomains []string
	// Excluded are the workers where it must not run.
	Excluded []string
	// Group names the set of replicas to spread, for instances of a service.
	Group string
	// NotBefore is the start of its time window.
	NotBefore time.Time
	// Deadline is the end of its time window, zero if none.
	Deadline time.Time
	// Work is the declared run time of the remaining work.
	Work time.Duration
	// Ran is the run time that its last checkpoint holds.
	Ran time.Duration
	// Submitted is when it began to wait.
	Submitted time.Time
	// State is its state.
	State TaskState
	// Workers are the workers where the current attempt may run.
	Workers []string
	// Throttle is the share of its processors that it may use, 1 if not throttled.
	Throttle float64
	// ThrottledAt is when Throttle last changed, zero if never.
	ThrottledAt time.Time
	// Evictions is how often the task has been evicted so far.
	Evictions int
	// Since is when it reached its state.
	Since time.Time
}

// Quota is what an organisation may use of the cell without borrowing.
type Quota struct {
	// Organisation is the organisation.
	Organisation string
	// Limit is its share.
	Limit Size
}

// Snapshot is everything that a decision depends on. It is not changed.
type Snapshot struct {
	// Now is the time of the decision.
	Now time.Time
	// Workers are the workers of the cell.
	Workers []Worker
	// Tasks are the tasks of the cell that have not ended.
	Tasks []Task
	// Quotas are the quotas of the organisations.
	Quotas []Quota
	// Estimates answers what was learned of sizes and interference. It may be nil.
	Estimates Estimates
}

// Estimates is what was learned of templates from usage reports.
type Estimates interface {
	// Size returns the size to reserve for a task of the template.
	Size(template string, declared Size) Size
	// Slowdown returns the expected slowdown, 1 being none, of a task of
	// template beside one task of each of the neighbours. The excess over 1 is
	// the sum of the excesses beside each neighbour alone.
	Slowdown(template string, neighbours []string) float64
	// Measured returns the slowdown that a running task shows now, 1 if unknown.
	Measured(task string) float64
}

// RunTimes is implemented by Estimates that learn how long tasks run.
type RunTimes interface {
	// Remaining returns the run time that a task of the template may still need,
	// on the safe side, from its declared total and what it ran so far.
	Remaining(template string, declared, ran time.Duration) time.Duration
}

// Confidence is implemented by Estimates that tell what they have learned from
// what they guess. Placed tasks are resized only to learned sizes.
type Confidence interface {
	// Learned reports whether Size rests on enough reports of the template.
	Learned(template string) bool
}

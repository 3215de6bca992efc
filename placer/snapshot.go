// Package placer decides which task runs on which worker. A decision is a pure function
// of a snapshot.
package placer

import "time"

// Class distinguishes services from batch tasks.
type Class string

// Classes of tasks.
const (
	// ClassService is a latency-critical instance that serves requests.
	ClassService Class = "service"
	// ClassBatch is work that runs to completion.
	ClassBatch Class = "batch"
)

// Size is an amount of the resources of a worker.
type Size struct {
	// Processors is in thousandths of a processor.
	Processors int64
	// Memory is in bytes.
	Memory int64
	// Accelerators is a number of accelerators.
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

// Divided returns s divided by parts, rounded down to whole units. Values of parts below
// 1 count as 1.
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

// WorkerState is the state of a worker. Only ready workers accept new tasks.
type WorkerState string

// States of workers.
const (
	// WorkerReady accepts new tasks.
	WorkerReady WorkerState = "ready"
	// WorkerLeaving accepts no new tasks, and its tasks are moved to other workers.
	WorkerLeaving WorkerState = "leaving"
	// WorkerUnreachable does not answer; its tasks may still run.
	WorkerUnreachable WorkerState = "unreachable"
	// WorkerQuarantined accepts no new tasks because tasks failed there.
	WorkerQuarantined WorkerState = "quarantined"
	// WorkerEvacuated accepts no new tasks because an operator has evacuated its failure
	// domain; its tasks continue.
	WorkerEvacuated WorkerState = "evacuated"
	// WorkerUnknown accepts no new tasks because it is not known yet whether its failure
	// domain is evacuated.
	WorkerUnknown WorkerState = "unknown"
)

// Worker is a VM that runs tasks.
type Worker struct {
	// ID identifies the worker.
	ID string
	// FailureDomain is the failure domain of the worker.
	FailureDomain string
	// Rack is the rack of the worker.
	Rack string
	// Capacity is the total size of the worker.
	Capacity Size
	// State is the state of the worker.
	State WorkerState
}

// TaskState is the state of a task in a snapshot.
type TaskState string

// States of tasks.
const (
	// TaskWaiting waits for a worker. It is not running, unless Task.Workers names where
	// its last attempt may still run.
	TaskWaiting TaskState = "waiting"
	// TaskPlaced is assigned to a worker: the task is starting, running or may be running
	// there.
	TaskPlaced TaskState = "placed"
	// TaskEvicting is being checkpointed and stopped; the task still holds its
	// reservation.
	TaskEvicting TaskState = "evicting"
)

// Task is a service instance or a batch task.
type Task struct {
	// ID identifies the task.
	ID string
	// Organisation is the owner of the task.
	Organisation string
	// Template names the template of the task.
	Template string
	// Class is the class of the task.
	Class Class
	// Declared is the size that the template declares.
	Declared Size
	// Reserved is the size that is reserved for the current attempt, as set by
	// Action.Reserved. Zero stands for Declared.
	Reserved Size
	// Priority orders tasks; higher values go first.
	Priority int
	// Urgent marks a task that must start within a limited time. It may evict batch tasks
	// that are not urgent.
	Urgent bool
	// FailureDomains are the failure domains in which the task may run; empty means any.
	FailureDomains []string
	// Excluded lists the workers on which the task must not run.
	Excluded []string
	// Group names the set of instances to spread, for instances of a service.
	Group string
	// NotBefore is the start of the task's time window.
	NotBefore time.Time
	// Deadline is the end of the task's time window, zero if none.
	Deadline time.Time
	// Work is the declared run time of the remaining work.
	Work time.Duration
	// Ran is the run time that is covered by the last checkpoint.
	Ran time.Duration
	// Submitted is when the task was submitted.
	Submitted time.Time
	// State is the state of the task.
	State TaskState
	// Workers are the workers on which the current attempt may run.
	Workers []string
	// Throttle is the share of its processors that the task may use, 1 or 0 if not
	// throttled.
	Throttle float64
	// ThrottledAt is when Throttle last changed, zero if never.
	ThrottledAt time.Time
	// Evictions is the number of times that the task has been evicted.
	Evictions int
	// Since is when the task entered its state.
	Since time.Time
}

// Quota limits what an organisation may use of the cell without borrowing.
type Quota struct {
	// Organisation is the organisation.
	Organisation string
	// Limit is the size that the organisation may use.
	Limit Size
}

// Snapshot holds all inputs of a decision. A decision does not modify it.
type Snapshot struct {
	// Now is the time of the decision.
	Now time.Time
	// Workers are the workers of the cell.
	Workers []Worker
	// Tasks are the tasks of the cell that have not ended.
	Tasks []Task
	// Quotas are the quotas of the organisations.
	Quotas []Quota
	// Estimates holds the learned sizes and interference. It may be nil.
	Estimates Estimates
}

// Estimates provides what was learned about templates and tasks from usage reports.
type Estimates interface {
	// Size returns the size to reserve for a task of the template.
	Size(template string, declared Size) Size
	// Slowdown returns the expected slowdown of a task of the template beside one task of
	// each of the other templates; 1 means none. The excess over 1 is the sum of the
	// excesses beside each of them alone.
	Slowdown(template string, others []string) float64
	// Measured returns the current slowdown of a running task, 1 if unknown.
	Measured(task string) float64
}

// RunTimes is implemented by Estimates that learn run times.
type RunTimes interface {
	// Remaining returns a conservative estimate of the run time that a task of the
	// template still needs, from its declared total and the run time so far.
	Remaining(template string, declared, ran time.Duration) time.Duration
}

// Confidence is implemented by Estimates that distinguish learned sizes from defaults.
// Placed tasks are resized only to learned sizes.
type Confidence interface {
	// Learned reports whether Size is based on enough reports of the template.
	Learned(template string) bool
}

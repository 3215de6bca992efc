package placer

import (
	"slices"
	"time"
)

// ActionKind is the operation on a task.
type ActionKind string

// Kinds of actions.
const (
	// ActionStart starts a waiting task on a worker.
	ActionStart ActionKind = "start"
	// ActionThrottle limits the share of its processors that a task may use.
	ActionThrottle ActionKind = "throttle"
	// ActionEvict checkpoints and stops a placed task, which then waits again.
	ActionEvict ActionKind = "evict"
	// ActionResize changes the size that is reserved for a placed task.
	ActionResize ActionKind = "resize"
)

// Action is one operation of a plan.
type Action struct {
	// Kind is the operation.
	Kind ActionKind
	// Task is the id of the task.
	Task string
	// Worker is the id of the worker concerned.
	Worker string
	// Throttle is the new share for ActionThrottle.
	Throttle float64
	// Reserved is the size to record as Task.Reserved for ActionStart and
	// ActionResize. Zero stands for the declared size.
	Reserved Size
	// Within limits the time for the checkpoint of an ActionEvict, after which the task
	// is stopped without it. Zero means no limit.
	Within time.Duration
	// Reason explains the action to the operator.
	Reason string
}

// ReasonCode is the kind of reason for which a task waits.
type ReasonCode string

// Reasons for waiting.
const (
	// ReasonNever marks a task that no worker could run even if it were empty.
	ReasonNever ReasonCode = "never"
	// ReasonCapacity marks a task that waits for free capacity.
	ReasonCapacity ReasonCode = "capacity"
	// ReasonQuota marks a task that waits for its organisation's quota.
	ReasonQuota ReasonCode = "quota"
	// ReasonWindow marks a task whose time window has not begun.
	ReasonWindow ReasonCode = "window"
	// ReasonInterference marks a task that waits because it would slow services down.
	ReasonInterference ReasonCode = "interference"
	// ReasonUnresolved marks a task whose last attempt may still run.
	ReasonUnresolved ReasonCode = "unresolved"
	// ReasonEvacuated marks a task that waits because the failure domains of the workers
	// that could accept it are evacuated.
	ReasonEvacuated ReasonCode = "evacuated"
)

// Waiting explains why a task was not started.
type Waiting struct {
	// Task is the id of the task.
	Task string
	// Code is the kind of reason.
	Code ReasonCode
	// Detail describes the reason in words.
	Detail string
}

// Plan is the result of a decision.
type Plan struct {
	// Actions lists the actions in the order in which they are to be carried out.
	Actions []Action
	// Waiting has an entry for each task that keeps waiting.
	Waiting []Waiting
}

// evict adds an eviction, which replaces all other actions on the task.
func (p *Plan) evict(action Action) {
	action.Kind = ActionEvict
	p.Actions = slices.DeleteFunc(p.Actions, func(a Action) bool { return a.Task == action.Task })
	p.Actions = append(p.Actions, action)
}

package placer

import (
	"slices"
	"time"
)

// ActionKind names what is to be done with a task.
type ActionKind string

// Kinds of actions.
const (
	// ActionStart starts a waiting task on a worker.
	ActionStart ActionKind = "start"
	// ActionThrottle limits the share of its processors that a task may use.
	ActionThrottle ActionKind = "throttle"
	// ActionEvict checkpoints and stops a placed task, to wait again.
	ActionEvict ActionKind = "evict"
	// ActionResize changes what is reserved for a placed task.
	ActionResize ActionKind = "resize"
)

// Action is one step of a plan.
type Action struct {
	// Kind names what is to be done.
	Kind ActionKind
	// Task is the id of the task.
	Task string
	// Worker is the worker concerned.
	Worker string
	// Throttle is the new share for ActionThrottle.
	Throttle float64
	// Reserved is the size to record as Task.Reserved for ActionStart and
	// ActionResize. Zero stands for the declared size.
	Reserved Size
	// Within limits how long the checkpoint of an ActionEvict may take before
	// the task is stopped without it; zero is no limit.
	Within time.Duration
	// Reason tells the operator why.
	Reason string
}

// ReasonCode names why a task waits.
type ReasonCode string

// Reasons for waiting.
const (
	// ReasonNever marks a task that no worker could run even when empty.
	ReasonNever ReasonCode = "never"
	// ReasonCapacity marks a task that waits for room.
	ReasonCapacity ReasonCode = "capacity"
	// ReasonQuota marks a task that waits for its organisation's quota.
	ReasonQuota ReasonCode = "quota"
	// ReasonWindow marks a task whose time window has not begun.
	ReasonWindow ReasonCode = "window"
	// ReasonInterference marks a task held back to protect services.
	ReasonInterference ReasonCode = "interference"
	// ReasonUnresolved marks a task whose last attempt may still run.
	ReasonUnresolved ReasonCode = "unresolved"
)

// Waiting tells why a task was not started.
type Waiting struct {
	// Task is the id of the task.
	Task string
	// Code names the reason.
	Code ReasonCode
	// Detail gives the exact reason.
	Detail string
}

// Plan is the outcome of a decision.
type Plan struct {
	// Actions are in the order in which they are to be done.
	Actions []Action
	// Waiting explains each task that stays waiting.
	Waiting []Waiting
}

// evict adds an eviction, which takes the place of other actions on the task.
func (p *Plan) evict(action Action) {
	action.Kind = ActionEvict
	p.Actions = slices.DeleteFunc(p.Actions, func(a Action) bool { return a.Task == action.Task })
	p.Actions = append(p.Actions, action)
}

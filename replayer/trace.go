// Package replayer replays recorded traces of events through the scheduling code
// of package placer and measures the outcome. The true size, work and interference
// of tasks are known to the simulation only; the scheduler sees them in delayed
// usage reports. The network is not modelled.
package replayer

import (
	"time"

	"zinniashore.example/placer"
)

// EventKind is the kind of an event in a trace.
type EventKind string

// Kinds of events.
const (
	// EventSubmit submits a task.
	EventSubmit EventKind = "submit"
	// EventCancel cancels a task.
	EventCancel EventKind = "cancel"
	// EventLoad sets the load factor of a template.
	EventLoad EventKind = "load"
	// EventFail fails a worker. Its tasks lose the work that is not checkpointed.
	EventFail EventKind = "fail"
	// EventBreak makes a worker fail every task that runs on it.
	EventBreak EventKind = "break"
	// EventLeave announces that a worker is about to leave.
	EventLeave EventKind = "leave"
	// EventReturn brings a worker back, empty and healthy.
	EventReturn EventKind = "return"
)

// Event is one entry of a trace. Fields that do not apply to its kind are zero.
type Event struct {
	// At is the time since the start of the trace.
	At time.Duration
	// Kind is the kind of the event.
	Kind EventKind
	// Task is the id of the task that is submitted or cancelled.
	Task string
	// Template is the template of a submitted task, or the template whose load
	// changes.
	Template string
	// Worker is the id of the worker that fails, breaks, leaves or returns.
	Worker string
	// Factor is the true size of a submitted task relative to its template, or
	// the new load of a template relative to its usual load.
	Factor float64
	// Work is the true run time of a submitted task.
	Work time.Duration
	// DeclaredWork is the declared run time of a submitted task.
	DeclaredWork time.Duration
	// Urgent marks a submitted task as urgent.
	Urgent bool
}

// Interference is the true slowdown that one task of a template causes to the
// co-located tasks of a service.
type Interference struct {
	// Service is the name of the service's template.
	Service string
	// Excess is the part of the slowdown above 1.
	Excess float64
}

// Template describes the tasks that are created from it.
type Template struct {
	// Name is the name of the template.
	Name string
	// Organisation is the organisation that owns the tasks.
	Organisation string
	// Class is the scheduling class of the tasks.
	Class placer.Class
	// Declared is the declared size of a task.
	Declared placer.Size
	// Processors is the true use of processors relative to Declared.
	Processors float64
	// Memory is the true use of memory relative to Declared.
	Memory float64
	// Interference lists the slowdowns that the tasks cause to services.
	Interference []Interference
	// Group is the name of the replica set over which the tasks are spread.
	Group string
	// Priority is the priority of the tasks.
	Priority int
	// NotBefore is the start of the time window, since the start of the trace.
	NotBefore time.Duration
	// Deadline is the end of the time window, since the start of the trace, or zero
	// if the tasks have no window.
	Deadline time.Duration
}

// Targets are the outcomes required of a trace, set before it is first replayed.
type Targets struct {
	// Slowdown is the maximum ratio of the services' 99th percentile slowdown to the
	// same percentile without batch work.
	Slowdown float64
	// Throughput is the minimum ratio of batch work done to its upper bound.
	Throughput float64
	// Missed is the maximum number of feasible time windows missed.
	Missed int
	// Violations is the maximum of Outcome.Violations.
	Violations int
	// Evictions is the maximum ratio of evictions to those of the best baseline.
	Evictions float64
	// UrgentStart is the maximum time that an urgent task waits for its start.
	UrgentStart time.Duration
}

// Trace is a recorded sequence of events with the workers and templates that the
// events refer to.
type Trace struct {
	// Name is the name of the trace.
	Name string
	// Seed is the seed that the trace was generated from.
	Seed uint64
	// Step is the time between two scheduling decisions.
	Step time.Duration
	// Length is the duration of the trace.
	Length time.Duration
	// Workers are the workers at the start of the trace.
	Workers []placer.Worker
	// Quotas are the quotas of the organisations.
	Quotas []placer.Quota
	// Templates are the templates of the tasks.
	Templates []Template
	// Events are the events, ordered by time.
	Events []Event
	// Targets are the outcomes required of the trace.
	Targets Targets
}

// ServicesOnly returns the trace without its batch tasks.
func (t Trace) ServicesOnly() Trace {
	services := map[string]bool{}
	for _, template := range t.Templates {
		services[template.Name] = template.Class == placer.ClassService
	}
	var events []Event
	for _, event := range t.Events {
		batch := event.Kind == EventSubmit && !services[event.Template]
		if !batch && event.Kind != EventCancel {
			events = append(events, event)
		}
	}
	t.Events = events
	return t
}

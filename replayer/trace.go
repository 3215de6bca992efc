// Package replayer replays recorded traces of events through the decision code
// of package placer and measures what comes of it. Tasks have a true size, true
// work and true interference that show only in lagging reports. There is no
// model of a network.
package replayer

import (
	"time"

	"zinniashore.example/placer"
)

// EventKind names what happens in a trace.
type EventKind string

// Kinds of events.
const (
	// EventSubmit submits a task.
	EventSubmit EventKind = "submit"
	// EventCancel cancels a task.
	EventCancel EventKind = "cancel"
	// EventLoad sets the load of a template.
	EventLoad EventKind = "load"
	// EventFail fails a worker; its tasks lose what they have not checkpointed.
	EventFail EventKind = "fail"
	// EventBreak makes a worker fail every task that it starts.
	EventBreak EventKind = "break"
	// EventLeave announces that a worker is about to leave.
	EventLeave EventKind = "leave"
	// EventReturn brings a worker back, empty and sound.
	EventReturn EventKind = "return"
)

// Event is one entry of a trace. Fields that do not apply are zero.
type Event struct {
	// At is the time since the start of the trace.
	At time.Duration
	// Kind names what happens.
	Kind EventKind
	// Task is the id of the task.
	Task string
	// Template is the template of a submitted task or of a change of load.
	Template string
	// Worker is the worker concerned.
	Worker string
	// Factor is the true size of a submitted task relative to its template, or
	// the new load of a template, 1 being the usual one.
	Factor float64
	// Work is the true run time of a submitted task.
	Work time.Duration
	// DeclaredWork is its declared run time.
	DeclaredWork time.Duration
	// Urgent marks a submitted task as urgent.
	Urgent bool
}

// Disturbance is the true slowdown above 1 that one task of a template causes a
// service.
type Disturbance struct {
	// Service is the template of the service.
	Service string
	// Excess is the slowdown above 1.
	Excess float64
}

// Template is what the tasks of a trace are made from.
type Template struct {
	// Name names the template.
	Name string
	// Organisation is its owner.
	Organisation string
	// Class tells what its tasks are to their callers.
	Class placer.Class
	// Declared is the size that it declares.
	Declared placer.Size
	// Processors is the true use of processors relative to the declared one.
	Processors float64
	// Memory is the true use of memory relative to the declared one.
	Memory float64
	// Disturbances are what its tasks do to services.
	Disturbances []Disturbance
	// Group names the set of replicas to spread.
	Group string
	// Priority orders its tasks.
	Priority int
	// NotBefore is the start of its window since the start of the trace.
	NotBefore time.Duration
	// Deadline is the end of its window since the start of the trace, or zero.
	Deadline time.Duration
}

// Targets are the outcomes stated for a trace before it was replayed.
type Targets struct {
	// Slowdown is the greatest ratio of the 99th percentile of the services'
	// slowdown to that of the services alone.
	Slowdown float64
	// Throughput is the least share of the bound of batch work.
	Throughput float64
	// Missed is the greatest number of feasible windows missed.
	Missed int
	// Violations is the greatest number of times that a worker carried more than
	// it can.
	Violations int
	// Evictions is the greatest ratio of evictions to those of the best baseline.
	Evictions float64
	// UrgentStart is the longest wait of urgent work.
	UrgentStart time.Duration
}

// Trace is a recorded sequence of events and what they happen to.
type Trace struct {
	// Name names the trace.
	Name string
	// Seed is the seed that it was generated from.
	Seed uint64
	// Step is the time between two decisions.
	Step time.Duration
	// Length is the time that it covers.
	Length time.Duration
	// Workers are the workers at its start.
	Workers []placer.Worker
	// Quotas are the quotas of the organisations.
	Quotas []placer.Quota
	// Templates are the templates of its tasks.
	Templates []Template
	// Events are in the order of their times.
	Events []Event
	// Targets are the outcomes stated beforehand.
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

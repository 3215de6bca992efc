// Package recorder keeps the time line of a process: a bounded ring of typed
// events, ordered over all processes by a hybrid logical clock.
package recorder

// Kind is the kind of an event.
type Kind string

// Event is one entry of the time line. Fields that don't apply are empty.
type Event struct {
	// Time orders the event causally among the events of all processes.
	Time Timestamp
	// Process is the id of the process that recorded the event.
	Process string
	// FailureDomain is the failure domain of that process.
	FailureDomain string
	// Kind is the kind of the event.
	Kind Kind
	// Organisation is the organisation that the event concerns.
	Organisation string
	// Revision is the configuration revision that the event concerns.
	Revision int64
	// Cell is the cell that the event concerns.
	Cell string
	// Epoch is the fencing epoch under which the event happened.
	Epoch int64
	// VM is the worker, entry VM or endpoint that the event concerns.
	VM string
	// Task is the id of the task that the event concerns.
	Task string
	// Attempt is the attempt number of the task or request.
	Attempt int
	// Key is the idempotency key of the request.
	Key string
	// Detail is a short text for the operator.
	Detail string
}

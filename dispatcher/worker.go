package dispatcher

import (
	"slices"
	"time"
)

// Phase is what a worker says of itself.
type Phase string

// Phases of a worker.
const (
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
)

// Registration is what a worker registered about itself.
type Registration struct {
	// ID identifies the worker; a restarted worker may keep it.
	ID string
	// Address is the IP address and port of the worker.
	Address string
	// FailureDomain is where the worker is.
	FailureDomain string
	// Service names the queues' service that the worker belongs to.
	Service string
	// Phase says whether the worker takes new tasks.
	Phase Phase
	// Capacity is what the worker can carry.
	Capacity Size
	// Labels are the worker's labels, its rack among them.
	Labels []string
	// Boot is the start of this life of the worker in Unix milliseconds.
	Boot int64
}

// HasLabel reports whether the worker has a label.
func (r Registration) HasLabel(label string) bool {
	return slices.Contains(r.Labels, label)
}

// alike reports whether another registration says the same of where the worker is
// and whether it drains.
func (r Registration) alike(other Registration) bool {
	return r.Address == other.Address && (r.Phase == PhaseDraining) == (other.Phase == PhaseDraining)
}

// Ending is how a run ended.
type Ending string

// Endings of a run.
const (
	EndingDone    Ending = "done"
	EndingFailed  Ending = "failed"
	EndingStopped Ending = "stopped"
	EndingLapsed  Ending = "lapsed"
	EndingBroken  Ending = "broken"
	EndingAlone   Ending = "alone"
)

// RunningRow is a run that a worker lists as running.
type RunningRow struct {
	// Task and Run name the run.
	Task TaskID
	Run  int64
	// Checkpoint is the last checkpoint, or empty.
	Checkpoint string
	// Percent is the progress; a lasting task is at work at 100.
	Percent int
	// Usage is the tail latency in milliseconds of a lasting task with a target,
	// and thousandths of a processor in use of any other.
	Usage int64
}

// EndedRow is an end that a worker lists until it is acknowledged.
type EndedRow struct {
	// Number counts the ends of this life of the worker from 1.
	Number int64
	// Task and Run name the run.
	Task TaskID
	Run  int64
	// Ending is how the run ended.
	Ending Ending
	// Checkpoint is the last checkpoint, or empty.
	Checkpoint string
}

// Listing is a worker's answer to a look.
type Listing struct {
	// Clock is the worker's steady clock.
	Clock time.Duration
	// Boot is the start of the worker's life in Unix milliseconds; 0 if unsaid.
	Boot int64
	// Running and Ended are the worker's runs.
	Running []RunningRow
	Ended   []EndedRow
}

// StartAnswer is a worker's answer to a start.
type StartAnswer string

// Answers to a start or stop.
const (
	// AnswerTaken says that the order was carried out.
	AnswerTaken StartAnswer = "taken"
	// AnswerFenced says that the worker has seen a newer epoch.
	AnswerFenced StartAnswer = "fenced"
	// AnswerOld says that the run is not newer than one that ended there.
	AnswerOld StartAnswer = "old"
	// AnswerLate says that the grant had run out on the worker's clock.
	AnswerLate StartAnswer = "late"
	// AnswerRoom says that the worker has no room.
	AnswerRoom StartAnswer = "room"
	// AnswerTicket says that the advisor's ticket isn't valid.
	AnswerTicket StartAnswer = "ticket"
	// AnswerUnhealthy says that the worker did nothing because it is unhealthy.
	AnswerUnhealthy StartAnswer = "unhealthy"
	// AnswerReborn says that another life of the worker answered.
	AnswerReborn StartAnswer = "reborn"
	// AnswerInvalid says that the worker can't read the order.
	AnswerInvalid StartAnswer = "invalid"
	// AnswerUnclear says that the order may have been carried out, or may be yet.
	AnswerUnclear StartAnswer = "unclear"
	// AnswerUnsent says that the order never left this process.
	AnswerUnsent StartAnswer = "unsent"
	// AnswerClosed says that nothing listened at the worker's address.
	AnswerClosed StartAnswer = "closed"
)

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Worker     Registration
	Task       TaskID
	Run        int64
	Spec       string
	Checkpoint string
	Ticket     string
	// Grant is when the worker's lease on its runs ends, on its clock.
	Grant time.Duration
	// Epoch fences the order.
	Epoch int64
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	Worker Registration
	Task   TaskID
	Run    int64
	Epoch  int64
}

// PaceOrder bounds the share at which a run works.
type PaceOrder struct {
	Worker  Registration
	Task    TaskID
	Run     int64
	Percent int
	Epoch   int64
}

// LookOrder asks a worker for its runs and extends its grant.
type LookOrder struct {
	Worker Registration
	Epoch  int64
	// Acknowledged is the number of the last end that needs no more listing.
	Acknowledged int64
	// Grant is when the lease ends on the worker's clock; 0 leaves it.
	Grant time.Duration
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

package dispatcher

import (
	"slices"
	"time"
)

// Phase is the phase that a worker reports in its registration.
type Phase string

// Phases of a worker.
const (
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
)

// Registration describes a worker as it registered itself.
type Registration struct {
	// ID identifies the worker. A restarted worker may keep it.
	ID string
	// Address is the IP address and port of the worker.
	Address string
	// FailureDomain is the failure domain of the worker.
	FailureDomain string
	// Service is the service that the worker belongs to; queues name the service that
	// runs their tasks.
	Service string
	// Phase is PhaseReady if the worker accepts new tasks.
	Phase Phase
	// Remaining is for how long at least the worker runs on if it drains, from when it
	// registered that.
	Remaining time.Duration
	// Cold is for how long the worker runs slower, from when it registered that.
	Cold time.Duration
	// Capacity is the total capacity of the worker.
	Capacity Size
	// Labels are the worker's labels, its rack among them.
	Labels []string
	// Rack is the label of the worker's rack, empty if unknown. The stored list of a cell's
	// workers doesn't contain it.
	Rack string
	// Boot is when the worker's process started, in Unix milliseconds.
	Boot int64
	// EarlierBoot is the boot of an earlier process of the worker that may still be shutting down
	// while its runs last; 0 if there is none. Only the stored list of a cell's workers tells it.
	EarlierBoot int64
}

// HasLabel reports whether the worker has a label.
func (r Registration) HasLabel(label string) bool {
	return slices.Contains(r.Labels, label)
}

// equivalent reports whether another registration has the same address and earlier process and
// agrees on whether the worker is draining.
func (r Registration) equivalent(other Registration) bool {
	return r.Address == other.Address && r.EarlierBoot == other.EarlierBoot && (r.Phase == PhaseDraining) == (other.Phase == PhaseDraining)
}

// Ending is how a run ended.
type Ending string

// Endings of a run.
const (
	EndingDone    Ending = "done"
	EndingFailed  Ending = "failed"
	EndingStopped Ending = "stopped"
	EndingExpired Ending = "lapsed"
	EndingBroken  Ending = "broken"
	EndingAlone   Ending = "alone"
)

// RunningRow is a run that a worker lists as running.
type RunningRow struct {
	// Task and Run identify the run.
	Task TaskID
	Run  int64
	// Checkpoint is the last checkpoint, or empty.
	Checkpoint string
	// Percent is the progress. A long-running task serves once it is at 100.
	Percent int
	// Usage is the tail latency in milliseconds for a long-running task with a latency
	// target, and the processor usage in thousandths of a processor for any other.
	Usage int64
}

// EndedRow is the end of a run, which a worker lists until it is acknowledged.
type EndedRow struct {
	// Number counts the ends since the worker's boot, from 1.
	Number int64
	// Task and Run identify the run.
	Task TaskID
	Run  int64
	// Ending is how the run ended.
	Ending Ending
	// Checkpoint is the last checkpoint, or empty.
	Checkpoint string
}

// Listing is a worker's answer to a poll.
type Listing struct {
	// Clock is the worker's monotonic clock.
	Clock time.Duration
	// Boot is when the worker's process started, in Unix milliseconds; 0 if the answer
	// doesn't contain it.
	Boot int64
	// Running are the worker's current runs, Ended the ends that aren't acknowledged.
	Running []RunningRow
	Ended   []EndedRow
	// MoreEnds is true if the worker may have more ends than Ended contains.
	MoreEnds bool
	// Incomplete is true if the worker may have listed runs or ends that Running and Ended
	// don't contain, because they couldn't be read.
	Incomplete bool
}

// Answer is a worker's answer to an order.
type Answer string

// Answers to an order.
const (
	// AnswerAccepted: the worker executed the order.
	AnswerAccepted Answer = "taken"
	// AnswerFenced: the worker has seen a newer epoch.
	AnswerFenced Answer = "fenced"
	// AnswerStaleRun: the run's number isn't above that of a run of the task that ended
	// on the worker.
	AnswerStaleRun Answer = "old"
	// AnswerLate: the lease in the order had expired on the worker's clock.
	AnswerLate Answer = "late"
	// AnswerNoCapacity: the worker has no free capacity.
	AnswerNoCapacity Answer = "room"
	// AnswerTicket: the advisor's ticket isn't valid.
	AnswerTicket Answer = "ticket"
	// AnswerUnhealthy: the worker rejected the order because it is unhealthy.
	AnswerUnhealthy Answer = "unhealthy"
	// AnswerRestarted: the worker has restarted since the registration to which the
	// order was sent, or another worker has its address.
	AnswerRestarted Answer = "reborn"
	// AnswerInvalid: the worker can't parse the order.
	AnswerInvalid Answer = "invalid"
	// AnswerUnknown: the worker may have executed the order, or may execute it later.
	AnswerUnknown Answer = "unclear"
	// AnswerUnsent: the order wasn't sent, and never will be.
	AnswerUnsent Answer = "unsent"
	// AnswerConnectionRefused: the worker's address refused the connection.
	AnswerConnectionRefused Answer = "closed"
)

// StartOrder orders a worker to start a run.
type StartOrder struct {
	Worker     Registration
	Task       TaskID
	Run        int64
	Spec       string
	Checkpoint string
	Ticket     string
	// Boot is the boot that the order is for, in Unix milliseconds. It must not reach the
	// worker after a restart, with which the clock starts anew; 0 is any boot.
	Boot int64
	// LeaseEnd is when the worker's lease on its runs ends, on the worker's clock.
	LeaseEnd time.Duration
	// Epoch is the fencing token of the order.
	Epoch int64
	// Trial is true if the run may crash the worker, so that the worker is polled soon after
	// it has accepted the start.
	Trial bool
}

// StopOrder orders a worker to stop a run.
type StopOrder struct {
	Worker Registration
	Task   TaskID
	Run    int64
	Epoch  int64
	// Boot is the boot that the worker was known to have when the order was made, in Unix milliseconds; 0 if
	// none was. The order reaches any boot.
	Boot int64
}

// ThrottleOrder orders a worker to limit the speed of a run to Percent of its full
// speed.
type ThrottleOrder struct {
	Worker  Registration
	Task    TaskID
	Run     int64
	Percent int
	Epoch   int64
}

// PollOrder polls a worker for its runs and extends its lease.
type PollOrder struct {
	Worker Registration
	// Boot is the boot that the order is for, in Unix milliseconds. It must not reach the
	// worker after a restart, with which the numbers of ends and the clock start anew; 0
	// is any boot.
	Boot  int64
	Epoch int64
	// Acknowledged is the number of the newest end that the worker no longer needs to
	// list.
	Acknowledged int64
	// LeaseEnd is when the lease ends on the worker's clock; 0 doesn't extend it.
	LeaseEnd time.Duration
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
	// Urgent is true if several such polls may be on their way at once: the worker may still execute starts that got no
	// answer, until it answers one of them.
	Urgent bool
}

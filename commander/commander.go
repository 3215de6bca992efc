// Package commander gives commands to workers by the platform's worker
// protocol and relates the clock of each worker to ours.
package commander

import (
	"context"
	"fmt"
	"time"

	"zinniashore.example/placer"
)

// Commander gives commands to workers. Each command names the cell and its
// epoch: a worker refuses one of an older epoch with a *FencedError and
// remembers a newer one. Every method returns an *UnreachableError where it is
// not known whether the command took effect; all commands are idempotent.
type Commander interface {
	// Start starts an attempt. It returns a *RefusedError where the worker
	// will never run this attempt under this lease.
	Start(ctx context.Context, address string, header Header, start Start) (Answer, error)
	// Renew extends the leases of all tasks of the cell on the worker.
	Renew(ctx context.Context, address string, header Header) (Answer, error)
	// Stop stops attempts.
	Stop(ctx context.Context, address string, header Header, tasks []Ref) (Answer, error)
	// Checkpoint checkpoints and then stops attempts.
	Checkpoint(ctx context.Context, address string, header Header, tasks []Ref) (Answer, error)
	// Throttle limits an attempt to a share of its processors, 1 being all.
	Throttle(ctx context.Context, address string, header Header, task Ref, share float64) (Answer, error)
	// Resize changes what is reserved for an attempt. The answer reports the
	// attempt if it took effect.
	Resize(ctx context.Context, address string, header Header, task Ref, size placer.Size) (Answer, error)
	// Forget acknowledges ended attempts; the worker drops what it kept of them.
	Forget(ctx context.Context, address string, header Header, tasks []Ref) (Answer, error)
}

// Header is common to all commands.
type Header struct {
	// Cell is the cell that the command is given for.
	Cell string
	// Epoch is the fencing epoch of the cell.
	Epoch int64
	// Incarnation is the incarnation of the worker that Until belongs to,
	// empty before the first answer.
	Incarnation string
	// Until is the end of the lease of the tasks of the cell on the clock of
	// the worker. A worker never shortens a lease. A late command with an
	// Until that has passed grants nothing.
	Until time.Duration
}

// Ref names one attempt of a task.
type Ref struct {
	// Task is the id of the task.
	Task string
	// Attempt is the attempt number.
	Attempt int64
}

// Start describes an attempt that is to be started.
type Start struct {
	// Ref names the attempt.
	Ref Ref
	// Organisation owns the task.
	Organisation string
	// Template is the template that the task was made from.
	Template string
	// Class tells what the task is to its callers.
	Class placer.Class
	// Size is what is reserved for it.
	Size placer.Size
	// Checkpoint is where to resume, empty for the beginning.
	Checkpoint string
	// Work is the declared run time of the whole task, zero for a service.
	Work time.Duration
	// Slots is how many requests a service instance serves at once.
	Slots int
	// Connections is how many connections a service instance accepts.
	Connections int
}

// TaskState is the state of an attempt at a worker.
type TaskState string

// States of attempts at a worker.
const (
	// TaskRunning runs.
	TaskRunning TaskState = "running"
	// TaskDone has done its work. The result waits to be acknowledged.
	TaskDone TaskState = "done"
	// TaskFailed ended with an error of its own.
	TaskFailed TaskState = "failed"
	// TaskStopped was stopped by a command, with its checkpoint if asked for.
	TaskStopped TaskState = "stopped"
	// TaskLapsed was ended by the end of its lease; its result and its
	// checkpoint are discarded.
	TaskLapsed TaskState = "lapsed"
)

// Ended reports whether the attempt runs no longer.
func (s TaskState) Ended() bool { return s != TaskRunning }

// TaskReport is what a worker says of one attempt.
type TaskReport struct {
	// Ref names the attempt.
	Ref Ref
	// State is its state.
	State TaskState
	// Address is the IP address and port of a service instance.
	Address string
	// Checkpoint is where it can resume, for a stopped attempt.
	Checkpoint string
	// Usage is its measured use, which lags.
	Usage placer.Size
	// Slowdown is the measured slowdown of a service instance, zero if unknown.
	Slowdown float64
	// Reason tells why it failed.
	Reason string
}

// Answer is the answer of a worker to a command.
type Answer struct {
	// Reading is the clock of the worker.
	Reading Reading
	// Tasks are the reports of the attempts that the command concerns; for
	// Renew, of all attempts of the cell that the worker knows.
	Tasks []TaskReport
}

// FencedError reports a command of an older epoch. It took no effect.
type FencedError struct {
	// Cell is the cell.
	Cell string
	// Epoch is the epoch that the worker knows.
	Epoch int64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("worker: cell %s has epoch %d", e.Cell, e.Epoch)
}

// RefusedError reports a command that the worker refuses. It took no effect.
type RefusedError struct {
	// Reason is the worker's reason.
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return "worker: refused: " + e.Reason }

// UnreachableError reports a command that may or may not have taken effect.
type UnreachableError struct {
	// Address is the address of the worker.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("worker: %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

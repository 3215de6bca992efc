// Package commander sends commands to workers over the platform's worker protocol and
// relates the clock of each worker to the local clock.
package commander

import (
	"context"
	"fmt"
	"time"

	"zinniashore.example/placer"
)

// Commander sends commands to workers. Each command names the cell and its epoch: a
// worker refuses a command of an older epoch with a *FencedError and stores a newer
// epoch. Every method returns an *UnreachableError if it is not known whether the
// command took effect. All commands are idempotent.
type Commander interface {
	// Start starts an attempt. It returns a *RefusedError if the worker will never run
	// this attempt under this lease.
	Start(ctx context.Context, address string, header Header, start Start) (Answer, error)
	// Renew extends the leases of all tasks of the cell on the worker.
	Renew(ctx context.Context, address string, header Header) (Answer, error)
	// Stop stops attempts.
	Stop(ctx context.Context, address string, header Header, tasks []Ref) (Answer, error)
	// Checkpoint writes a checkpoint of each attempt and then stops the attempt.
	Checkpoint(ctx context.Context, address string, header Header, tasks []Ref) (Answer, error)
	// Throttle limits an attempt to a share of its processors, 1 being all.
	Throttle(ctx context.Context, address string, header Header, task Ref, share float64) (Answer, error)
	// Resize changes the reservation of an attempt. The answer reports the attempt if
	// the change took effect.
	Resize(ctx context.Context, address string, header Header, task Ref, size placer.Size) (Answer, error)
	// Forget acknowledges ended attempts; the worker deletes what it stored about them.
	Forget(ctx context.Context, address string, header Header, tasks []Ref) (Answer, error)
}

// Header is common to all commands.
type Header struct {
	// Cell is the cell on whose behalf the command is sent.
	Cell string
	// Epoch is the fencing epoch of the cell.
	Epoch int64
	// Incarnation is the incarnation of the worker whose clock Until refers to. It is
	// empty before the first answer.
	Incarnation string
	// Until is the end of the lease of the cell's tasks, on the clock of the worker. A
	// worker never shortens a lease. A late command whose Until has passed extends no
	// lease.
	Until time.Duration
}

// Ref names one attempt of a task.
type Ref struct {
	// Task is the id of the task.
	Task string
	// Attempt is the attempt number.
	Attempt int64
}

// Start describes an attempt to start.
type Start struct {
	// Ref names the attempt.
	Ref Ref
	// Organisation owns the task.
	Organisation string
	// Template is the template that the task was made from.
	Template string
	// Class is the class of the task.
	Class placer.Class
	// Size is the reservation for the attempt.
	Size placer.Size
	// Checkpoint is the checkpoint to resume from, or empty to start from the beginning.
	Checkpoint string
	// Work is the declared run time of the whole task, zero for a service.
	Work time.Duration
	// Slots is the number of requests that a service instance serves at once.
	Slots int
	// Connections is the number of connections that a service instance accepts.
	Connections int
}

// TaskState is the state of an attempt at a worker.
type TaskState string

// States of attempts at a worker.
const (
	// TaskRunning is an attempt that is running.
	TaskRunning TaskState = "running"
	// TaskDone is an attempt that has finished its work and whose result is not
	// acknowledged yet.
	TaskDone TaskState = "done"
	// TaskFailed is an attempt that ended with an error of its own.
	TaskFailed TaskState = "failed"
	// TaskStopped is an attempt that was stopped by a command, with a checkpoint if one
	// was requested.
	TaskStopped TaskState = "stopped"
	// TaskExpired is an attempt whose lease expired. Its result and its checkpoint are
	// discarded.
	TaskExpired TaskState = "lapsed"
)

// Ended reports whether the attempt is no longer running.
func (s TaskState) Ended() bool { return s != TaskRunning }

// TaskReport is the report of a worker on one attempt.
type TaskReport struct {
	// Ref names the attempt.
	Ref Ref
	// State is the state of the attempt.
	State TaskState
	// Address is the IP address and port of a service instance.
	Address string
	// Checkpoint is the checkpoint that a stopped attempt can resume from.
	Checkpoint string
	// Usage is the measured resource usage, which lags behind the actual usage.
	Usage placer.Size
	// Slowdown is the measured slowdown of a service instance, zero if unknown.
	Slowdown float64
	// Reason is why the attempt failed.
	Reason string
}

// Answer is the answer of a worker to a command.
type Answer struct {
	// Reading is the reading of the worker's clock.
	Reading Reading
	// Tasks are the reports of the attempts that the command concerns; for Renew, of all
	// attempts of the cell that the worker knows.
	Tasks []TaskReport
}

// FencedError reports a command of an older epoch. It took no effect.
type FencedError struct {
	// Cell is the cell.
	Cell string
	// Epoch is the epoch that the worker has stored.
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

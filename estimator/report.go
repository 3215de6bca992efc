package estimator

import (
	"time"

	"zinniashore.example/placer"
)

// Report is what a worker measured of its tasks. Reports may arrive late and
// more than once; those older than the last one of their worker are ignored.
type Report struct {
	// Worker is the id of the worker.
	Worker string
	// Time is when it measured.
	Time time.Time
	// Tasks are the tasks that ran.
	Tasks []TaskReport
}

// TaskReport is what a worker measured of one task.
type TaskReport struct {
	// Task is the id of the task.
	Task string
	// Template is the template that it was made from.
	Template string
	// Class tells what it is to its callers.
	Class placer.Class
	// Age is the time since it started.
	Age time.Duration
	// Declared is the size that its template declares.
	Declared placer.Size
	// Usage is the highest use since the report before.
	Usage placer.Size
	// Throttle is the share of its processors that it may use, 1 or 0 for all.
	Throttle float64
	// Slowdown is the slowdown of a service, 1 being none, or 0 if unknown.
	Slowdown float64
}

package estimator

import (
	"time"

	"zinniashore.example/placer"
)

// Report holds the measurements of a worker about its tasks. Reports may arrive late or
// repeatedly; a report that is not newer than the last one of its worker is ignored.
type Report struct {
	// Worker is the id of the worker.
	Worker string
	// Time is when the worker took the measurements.
	Time time.Time
	// Tasks holds the measurements of the tasks that ran.
	Tasks []TaskReport
}

// TaskReport holds the measurements of one task.
type TaskReport struct {
	// Task is the id of the task.
	Task string
	// Template names the template of the task.
	Template string
	// Class is the class of the task.
	Class placer.Class
	// Age is the time since the task started.
	Age time.Duration
	// Declared is the size that the template declares.
	Declared placer.Size
	// Usage is the peak usage since the previous report.
	Usage placer.Size
	// Throttle is the share of its processors that the task may use, 1 or 0 for all.
	Throttle float64
	// Slowdown is the slowdown of a service; 1 means none and 0 means unknown.
	Slowdown float64
}

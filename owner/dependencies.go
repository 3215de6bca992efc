package owner

import (
	"context"
	"time"

	"zinniashore.example/placer"
)

// Session is the store lease of this process.
type Session interface {
	// Valid reports whether the lease is certainly still held at the store.
	Valid() bool
	// ValidUntil returns the time at which the lease expires unless it is renewed.
	ValidUntil() time.Time
}

// Service describes the desired instances of a service.
type Service struct {
	// Organisation is the organisation that the service belongs to.
	Organisation string
	// Name is the name of the service within its organisation.
	Name string
	// Template is the name of the template that the service was made from.
	Template string
	// Instances is the number of instances over all cells.
	Instances int
	// Size is the declared size of each instance.
	Size placer.Size
	// Priority orders services; the highest is placed first.
	Priority int
	// FailureDomains are the failure domains where instances may run; empty means
	// all.
	FailureDomains []string
	// Slots is the number of requests that an instance serves concurrently.
	Slots int
	// Connections is the number of connections that an instance accepts.
	Connections int
}

// Workloads provides the services and quotas that are in force.
type Workloads interface {
	// Services returns the services, or nil while the configuration is not known.
	Services() []Service
	// Quotas returns the quotas of the organisations.
	Quotas() []placer.Quota
}

// Decider decides which task runs on which worker.
type Decider interface {
	// Decide returns the actions to take for the state in snapshot.
	Decide(snapshot placer.Snapshot) placer.Plan
}

// UsageReport holds a worker's measurements of a running task. The measurements
// lag behind the task's current usage.
type UsageReport struct {
	// Task is the id of the task.
	Task string
	// Template is the template that the task was made from.
	Template string
	// Class is the kind of task, such as a batch task or an instance of a service.
	Class placer.Class
	// Worker is the id of the worker that runs the task.
	Worker string
	// Age is the time since the task started.
	Age time.Duration
	// Throttle is the share of its processors that the task may use.
	Throttle float64
	// Declared is the size that the template declares.
	Declared placer.Size
	// Reserved is the size that is reserved for the task.
	Reserved placer.Size
	// Used is the measured usage.
	Used placer.Size
	// Slowdown is the measured slowdown, zero if unknown.
	Slowdown float64
}

// Learner estimates the sizes, slowdowns and run times of tasks from measurements.
type Learner interface {
	// View returns the estimates as of now. Later reports do not change them.
	View(now time.Time) placer.Estimates
	// Observe adds the usage reports of one worker.
	Observe(now time.Time, reports []UsageReport)
	// ObserveEnd adds the run time of a batch task that completed in one attempt.
	ObserveEnd(template string, declared, ran time.Duration)
}

// WorkerVM is one row of the platform's list of workers.
type WorkerVM struct {
	// ID is the id of the worker.
	ID string
	// Address is the IP address and port on which the worker accepts commands.
	Address string
	// FailureDomain is the failure domain of the worker.
	FailureDomain string
	// Rack is the rack of the worker.
	Rack string
	// Capacity is the total size of the tasks that the worker can run at once.
	Capacity placer.Size
	// Leaving is true if the worker is about to stop.
	Leaving bool
}

// WorkerList is the platform's list of workers. The list lags behind the workers
// that actually run.
type WorkerList interface {
	// Workers returns the workers on the list.
	Workers(ctx context.Context) ([]WorkerVM, error)
}

// Cell is a group of racks of one failure domain that has one owner at a time.
type Cell struct {
	// ID is the id of the cell.
	ID string
	// FailureDomain is the failure domain of the racks.
	FailureDomain string
	// Racks are the racks of the cell; empty means all of the failure domain.
	Racks []string
}

// Contains reports whether vm is in one of the racks of the cell.
func (c Cell) Contains(vm WorkerVM) bool {
	if vm.FailureDomain != c.FailureDomain {
		return false
	}
	if len(c.Racks) == 0 {
		return true
	}
	for _, rack := range c.Racks {
		if rack == vm.Rack {
			return true
		}
	}
	return false
}

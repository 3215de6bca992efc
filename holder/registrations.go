package holder

import (
	"strings"

	"k8s.io/klog/v2"

	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

// workerRegistry receives the registered workers of a cell.
type workerRegistry interface {
	SetWorkers(registrations []dispatcher.Registration)
	ChangeWorkers(changes []dispatcher.WorkerChange)
}

// registrations passes the workers of a cell to its runner. The watch has those of all cells. Each call of
// the runner waits for its lock, for long if the process is slow: there is at most one for each answer of the
// store, and none for workers of other cells.
type registrations struct {
	cell      string
	partition Partition
	runner    workerRegistry
	// passed are the ids of the workers that are registered in the cell.
	passed map[string]bool
}

func (r *registrations) decode(item platform.Item) (dispatcher.Registration, bool) {
	registration, err := platform.DecodeRegistration(item)
	if err != nil {
		klog.ErrorS(err, "Skipping a registration that can't be decoded", "worker", registration.ID)
		return registration, false
	}
	return registration, r.partition.Contains(r.cell, registration)
}

// Replace implements watcher.Handler.
func (r *registrations) Replace(items []platform.Item) {
	var registered []dispatcher.Registration
	r.passed = map[string]bool{}
	for _, item := range items {
		if registration, inCell := r.decode(item); inCell {
			registered = append(registered, registration)
			r.passed[registration.ID] = true
		}
	}
	r.runner.SetWorkers(registered)
}

// Apply implements watcher.Handler.
func (r *registrations) Apply(events ...platform.Event) {
	var changes []dispatcher.WorkerChange
	for _, event := range events {
		if change, inCell := r.change(event); inCell {
			changes = append(changes, change)
		}
	}
	if len(changes) > 0 {
		r.runner.ChangeWorkers(changes)
	}
}

// change returns the change of a worker of the cell, and false for a worker of another one.
func (r *registrations) change(event platform.Event) (dispatcher.WorkerChange, bool) {
	id := strings.TrimPrefix(event.Key, platform.RegistrationPrefix)
	if !event.Removed {
		if registration, inCell := r.decode(event.Item); inCell {
			r.passed[id] = true
			return dispatcher.WorkerChange{Registration: registration}, true
		}
	}
	passed := r.passed[id]
	delete(r.passed, id)
	return dispatcher.WorkerChange{Registration: dispatcher.Registration{ID: id}, Removed: true}, passed
}

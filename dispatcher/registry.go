package dispatcher

import "time"

// SetWorkers replaces the registered workers.
func (r *Runner) SetWorkers(registrations []Registration) {
	r.mu.Lock()
	now := r.Clock.Now()
	listed := map[string]bool{}
	for _, registration := range registrations {
		listed[registration.ID] = true
		r.Cell.SetWorker(now, registration)
	}
	for _, id := range r.Cell.Workers() {
		if !listed[id] {
			r.Cell.RemoveWorker(now, id)
		}
	}
	r.Cell.removeUnnamed(listed)
	r.mu.Unlock()
	signal(r.wake)
}

// WorkerChange is a change of the registration of a worker.
type WorkerChange struct {
	// Registration is the new registration. Only its ID counts if Removed is true.
	Registration Registration
	// Removed is true if the worker is no longer registered.
	Removed bool
}

// ChangeWorkers applies changes of registrations in their order.
func (r *Runner) ChangeWorkers(changes []WorkerChange) {
	r.mu.Lock()
	now := r.Clock.Now()
	for _, change := range changes {
		if change.Removed {
			r.Cell.RemoveWorker(now, change.Registration.ID)
		} else {
			r.Cell.SetWorker(now, change.Registration)
		}
	}
	r.mu.Unlock()
	signal(r.wake)
}

// RegistryRead records that all changes of the registry up to a time have been passed.
func (r *Runner) RegistryRead(until time.Time) {
	r.mu.Lock()
	r.Cell.RegistryRead(until)
	r.mu.Unlock()
}

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

// SetWorker applies a worker's new or changed registration.
func (r *Runner) SetWorker(registration Registration) {
	r.mu.Lock()
	r.Cell.SetWorker(r.Clock.Now(), registration)
	r.mu.Unlock()
	signal(r.wake)
}

// RegistryRead records that all changes of the registry up to a time have been passed.
func (r *Runner) RegistryRead(until time.Time) {
	r.mu.Lock()
	r.Cell.RegistryRead(until)
	r.mu.Unlock()
}

// RemoveWorker marks a worker as no longer registered.
func (r *Runner) RemoveWorker(id string) {
	r.mu.Lock()
	r.Cell.RemoveWorker(r.Clock.Now(), id)
	r.mu.Unlock()
}

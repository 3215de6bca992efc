package dispatcher

import "time"

// leaseExpiry returns when the lease on the worker's runs has certainly expired.
func (w *worker) leaseExpiry(now time.Time) time.Time {
	left := max(w.leaseEnd+leaseExpiryMargin-w.minClock(now), 0)
	return now.Add(time.Duration(float64(left) / minClockRate))
}

// mayShutDown reports whether a new process of the worker doesn't show that the earlier one has ended:
// the earlier one drains, has taken its registration back, or isn't the one that is registered.
func (w *worker) mayShutDown() bool {
	registered := w.registration.Boot
	return w.left || registered != 0 && registered != w.boot
}

// succeeded reports whether another process than the one that an earlier holder saw draining, which
// may still be shutting down, answers as the worker.
func (w *worker) succeeded() bool {
	return w.epochAccepted && w.drainedBoot != 0 && w.boot != 0 && w.boot != w.drainedBoot
}

// toStore returns the registration as it is stored for the next holder.
func (w *worker) toStore() Registration {
	r := w.registration
	r.EarlierBoot = w.earlierBoot
	if r.EarlierBoot == 0 && w.drainedBoot != r.Boot {
		r.EarlierBoot = w.drainedBoot
	}
	return r
}

// displaced reports whether another worker has the worker's address, so that no holder can reach
// it any more. Its process may still be shutting down: its runs last until their lease expires.
func (w *worker) displaced() bool { return w.addressTaken && !w.registered }

// lost reports whether a worker won't list its runs any more: it has exited or is displaced. They may
// last until their lease expires.
func (c *Cell) lost(w *worker) bool { return w.displaced() || c.exited(w) }

// noteLeaving notes what the registration tells of the process that was last heard: whether it drains, or
// is back as ready.
func (w *worker) noteLeaving() {
	switch {
	case w.registration.Phase == PhaseDraining:
		w.drainingBoot = w.registration.Boot
	case w.registered && w.registration.Boot == w.drainingBoot:
		w.drainingBoot = 0
	}
	switch {
	case w.registration.Phase == PhaseDraining || !w.registered:
		w.left = true
	case w.registration.Boot != 0 && w.registration.Boot == w.boot:
		w.left = false
	}
}

// noteUnheardProcess notes that a process of the worker may still be shutting down which this holder has never heard: it has
// registered that it drains, and another boot is the first to answer, or registers before one has.
func (c *Cell) noteUnheardProcess(now time.Time, w *worker, boot int64) {
	mayHaveRuns := w.restored && (!c.active || c.mayHoldEarlierLease(now, w))
	if mayHaveRuns && w.drainedBoot == 0 && w.drainingBoot != 0 && w.drainingBoot != boot {
		w.drainedBoot, w.replaced, w.stored = w.drainingBoot, true, false
	}
}

// plansExit reports whether a boot of the worker has registered that it drains, so that its end is no
// crash.
func (w *worker) plansExit(boot int64) bool { return boot != 0 && boot == w.drainingBoot }

// keepsRuns reports whether the runs of the worker's process last after another one has answered.
func (w *worker) keepsRuns() bool { return w.epochAccepted && w.mayShutDown() }

// keepRuns keeps the runs of a process that may still be shutting down until their lease has expired.
func (c *Cell) keepRuns(now time.Time, w *worker) {
	if !w.keepsRuns() {
		return
	}
	expiry := w.leaseExpiry(now)
	for _, r := range w.runs {
		if r.lastsUntil.IsZero() {
			r.lastsUntil = expiry
			w.earlierBoot = w.boot
		}
	}
	w.stored = w.stored && !(w.registered && w.earlierBoot != 0)
}

// expireKeptRuns handles the runs that an earlier process of the worker had and whose lease has expired.
// One that it hasn't listed may be on the present process.
func (c *Cell) expireKeptRuns(now time.Time, w *worker) {
	kept := false
	for _, r := range w.sortedRuns() {
		switch {
		case r.lastsUntil.IsZero():
		case !now.After(r.lastsUntil):
			kept = true
		case r.observed:
			c.markLost(now, r, "lease of an earlier process lapsed")
		default:
			r.lastsUntil = time.Time{}
		}
	}
	if !kept {
		w.earlierBoot = 0
	}
	if c.active && now.After(c.earlierLeasesEnd()) {
		w.drainedBoot = 0
	}
}

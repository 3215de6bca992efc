package dispatcher

import (
	"math"
	"time"
)

const (
	// contactInterval separates the contacts of a holder with the store: a save, or a trace of its own.
	contactInterval = 500 * time.Millisecond
)

// Contacted records a contact of the holder that began at a time: the store has taken a write under its term, so that
// the next holder knows of it, or the store is down for all processes, so that there is no next holder.
func (c *Cell) Contacted(began time.Time) {
	if began.After(c.contactAt) {
		c.contactAt = began
	}
}

// ContactDue reports whether the holder has to leave a trace in the store.
func (c *Cell) ContactDue(now time.Time) bool {
	return c.active && c.Limits.MaxIsolation > 0 && now.Sub(c.contactAt) >= contactInterval
}

// isolated reports whether the holder has had no contact for so long that another one may act in its place.
func (c *Cell) isolated(now time.Time) bool { return c.isolationLeft(now) <= 0 }

// isolationLeft returns for how long the holder may act on without a contact, and its leases may last.
func (c *Cell) isolationLeft(now time.Time) time.Duration {
	switch {
	case c.Limits.MaxIsolation == 0:
		return math.MaxInt64
	case !c.contactAt.After(c.resumedAt):
		return 0 // for how long the VM was suspended isn't known
	}
	return max(0, c.contactAt.Add(c.Limits.MaxIsolation).Sub(now))
}

// IsolationEnd returns when a holder that has had no contact since a time has certainly stopped acting, and all of
// its leases have expired, on clocks that run slow.
func IsolationEnd(contact time.Time, maxIsolation time.Duration) time.Time {
	return contact.Add(time.Duration(float64(maxIsolation)/minClockRate) + leaseExpiryMargin)
}

// noteOutage takes an outage of the store for all processes for a contact; the caller holds mu.
func (r *Runner) noteOutage() {
	if r.OutageSeen != nil {
		r.Cell.Contacted(r.OutageSeen())
	}
}

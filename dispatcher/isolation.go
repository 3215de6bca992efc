package dispatcher

import (
	"math"
	"time"
)

// heartbeatInterval separates the writes by which a holder shows that it reaches the store. A save is one as well.
const heartbeatInterval = 500 * time.Millisecond

// Renewed records that the authority of the holder was renewed at a time: by a write that the store has taken under its
// term, which was sent then and tells the next holder of it; or by an outage of the store for all processes, in which no
// other term can begin.
func (c *Cell) Renewed(at time.Time) {
	if at.After(c.renewedAt) {
		c.renewedAt = at
	}
}

// HeartbeatDue reports whether the holder has to write a heartbeat.
func (c *Cell) HeartbeatDue(now time.Time) bool {
	return c.active && (c.Limits.MaxIsolation > 0 || c.needsRevision) && now.Sub(c.renewedAt) >= heartbeatInterval
}

// isolated reports whether the authority of the holder has ended, so that another one may act.
func (c *Cell) isolated(now time.Time) bool { return c.authorityLeft(now) <= 0 }

// authorityLeft returns for how long the holder may act, and its leases may last, unless its authority is renewed.
func (c *Cell) authorityLeft(now time.Time) time.Duration {
	switch {
	case c.Limits.MaxIsolation == 0:
		return math.MaxInt64
	case !c.renewedAt.After(c.resumedAt):
		return 0 // for how long the VM was suspended isn't known
	}
	return max(0, c.renewedAt.Add(c.Limits.MaxIsolation).Sub(now))
}

// IsolationEnd returns when a holder has certainly stopped acting, and its leases have expired, whose authority was last
// renewed at a time. Workers' clocks may run slow.
func IsolationEnd(renewed time.Time, maxIsolation time.Duration) time.Time {
	return renewed.Add(time.Duration(float64(maxIsolation)/minClockRate) + leaseExpiryMargin)
}

// noteOutage renews the authority of the holder in an outage of the store for all processes; the caller holds mu.
func (r *Runner) noteOutage() {
	if r.OutageSeen != nil {
		r.Cell.Renewed(r.OutageSeen())
	}
}

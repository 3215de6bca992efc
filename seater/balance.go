package seater

import (
	"time"

	"zinniashore.example/keeper"
)

// claim returns r with one free seat granted to this process, if no live member
// holds fewer.
func (c *cohort) claim(r Roster, alive map[string]keeper.LeaseID, now time.Time) Roster {
	if c.draining || c.leaving || c.self.FailureDomain != r.FailureDomain {
		return r
	}
	mine := len(r.HeldBy(c.self.VM))
	if mine > c.fewest(r, alive) {
		return r
	}
	for _, seat := range r.Seats {
		if seat.Holder == "" {
			return r.WithGrant(seat.Number, c.self.VM, now)
		}
	}
	return r
}

// fewest returns the least number of seats that a live member holds.
func (c *cohort) fewest(r Roster, alive map[string]keeper.LeaseID) int {
	fewest := len(r.Seats)
	for _, m := range r.Members {
		live := m.VM == c.self.VM || alive[m.Process] == m.Session
		if m.FailureDomain == r.FailureDomain && live && !m.Draining {
			fewest = min(fewest, len(r.HeldBy(m.VM)))
		}
	}
	return fewest
}

// share stops the use of one seat where a live member holds at least two fewer.
func (c *cohort) share(alive map[string]keeper.LeaseID, now time.Time) {
	held := c.known.HeldBy(c.self.VM)
	if len(held) < 2 || len(held)-c.fewest(c.known, alive) < 2 || c.unsettled() {
		return
	}
	last := held[len(held)-1].Number
	g := c.grants[last]
	g.stopped = now
	c.grants[last] = g
}

// unsettled reports whether a seat is free or on its way to another member.
func (c *cohort) unsettled() bool {
	for _, g := range c.grants {
		if !g.stopped.IsZero() {
			return true
		}
	}
	for _, seat := range c.known.Seats {
		if seat.Holder == "" {
			return true
		}
	}
	return false
}

// release returns r without the seats that this process stopped using so long
// ago that nothing of it is in flight on them.
func (c *cohort) release(r Roster, now time.Time) Roster {
	for number, g := range c.grants {
		drained := g.stopped.Add(c.limits.settling())
		if !g.stopped.IsZero() && !now.Before(drained) && r.Seats[number].Epoch == g.epoch {
			r = r.WithRelease(number, c.self.VM)
		}
	}
	return r
}

// depart returns r without this process, with nothing of it in flight. A seat on
// which something of an earlier holder may be in flight is not clean.
func (c *cohort) depart(r Roster, now time.Time) Roster {
	return r.WithoutMember(c.self.VM, true).withSeats(func(seat Seat) Seat {
		g, held := c.grants[seat.Number]
		if held && g.epoch == seat.Epoch && now.Before(g.usable) {
			seat.Clean = false
		}
		return seat
	})
}

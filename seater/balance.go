package seater

import (
	"time"

	"zinniashore.example/keeper"
)

// claim returns r with one free seat granted to this process, if no live member holds
// fewer.
func (rs *rosterState) claim(r Roster, alive map[string]keeper.LeaseID, now time.Time) Roster {
	if rs.draining || rs.leaving || rs.self.FailureDomain != r.FailureDomain {
		return r
	}
	mine := len(r.HeldBy(rs.self.VM))
	if mine > rs.fewestSeats(r, alive) {
		return r
	}
	for _, seat := range r.Seats {
		if seat.Holder == "" {
			return r.WithGrant(seat.Number, rs.self.VM, now)
		}
	}
	return r
}

// fewestSeats returns the smallest number of seats that a live member holds.
func (rs *rosterState) fewestSeats(r Roster, alive map[string]keeper.LeaseID) int {
	fewest := len(r.Seats)
	for _, m := range r.Members {
		live := m.VM == rs.self.VM || alive[m.Process] == m.Session
		if m.FailureDomain == r.FailureDomain && live && !m.Draining {
			fewest = min(fewest, len(r.HeldBy(m.VM)))
		}
	}
	return fewest
}

// stopExcessSeat stops the use of one seat if a live member holds at least two fewer.
func (rs *rosterState) stopExcessSeat(alive map[string]keeper.LeaseID, now time.Time) {
	held := rs.roster.HeldBy(rs.self.VM)
	if len(held) < 2 || len(held)-rs.fewestSeats(rs.roster, alive) < 2 || rs.seatInTransfer() {
		return
	}
	last := held[len(held)-1].Number
	granted := rs.grants[last]
	granted.stoppedAt = now
	rs.grants[last] = granted
}

// seatInTransfer reports whether a seat is free or about to be released for another
// member.
func (rs *rosterState) seatInTransfer() bool {
	for _, g := range rs.grants {
		if !g.stoppedAt.IsZero() {
			return true
		}
	}
	for _, seat := range rs.roster.Seats {
		if seat.Holder == "" {
			return true
		}
	}
	return false
}

// releaseDrained returns r without the seats that this process stopped using long
// enough ago that none of its requests can be in flight on them.
func (rs *rosterState) releaseDrained(r Roster, now time.Time) Roster {
	for number, g := range rs.grants {
		drained := g.stoppedAt.Add(rs.config.drainDuration())
		if !g.stoppedAt.IsZero() && !now.Before(drained) && r.Seats[number].Epoch == g.epoch {
			r = r.WithRelease(number, rs.self.VM)
		}
	}
	return r
}

// removeSelf returns r without this process, which has no requests in flight. A seat on
// which requests of an earlier holder may be in flight is not marked clean.
func (rs *rosterState) removeSelf(r Roster, now time.Time) Roster {
	return r.WithoutMember(rs.self.VM, true).withSeats(func(seat Seat) Seat {
		granted, held := rs.grants[seat.Number]
		if held && granted.epoch == seat.Epoch && now.Before(granted.usableFrom) {
			seat.Clean = false
		}
		return seat
	})
}

package dispatcher

import (
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// Confirmed reports whether a majority of the workers has recently accepted an order
// of this epoch, so that no other holder can have become active. Where no worker is left there
// is nothing to act on but the store, which takes changes under the newest term only.
func (c *Cell) Confirmed(now time.Time) bool {
	if !c.active || c.isolated(now) {
		return false
	}
	return c.majority(now, func(w *worker) bool { return c.confirms(now, w) }) || !c.hasVoters(now)
}

// hasVoters reports whether any worker counts towards a majority.
func (c *Cell) hasVoters(now time.Time) bool {
	for _, w := range c.workers {
		if c.isVoter(now, w) {
			return true
		}
	}
	return false
}

// confirms reports whether a worker has recently accepted an order of this epoch.
func (c *Cell) confirms(now time.Time, w *worker) bool {
	return c.vouches(w) && now.Sub(w.answeredAt) < c.Limits.MaxConfirmationAge
}

// Resumed records that the VM of the holder was suspended: the monotonic clock stood still,
// so that the age of the workers' answers isn't known.
func (c *Cell) Resumed(now time.Time) {
	c.resumedAt = now
	for _, w := range c.workers {
		w.answeredAt = time.Time{}
	}
	c.record(recorder.Event{Kind: KindCell, Detail: "resumed after a suspension"})
}

// activate makes the cell active once a majority of the workers has accepted its
// epoch, or if all earlier holders have ended and the store confirms the term or no worker is left.
func (c *Cell) activate(now time.Time) {
	if c.active {
		return
	}
	alone := !c.earlierEndedAt.IsZero() && !c.registryReadAt.IsZero()
	if alone && (c.storeConfirms(now) || !c.hasVoters(now)) || c.hasVoters(now) && c.majority(now, c.vouches) {
		c.active = true
		c.activeAt = now
		c.record(recorder.Event{Kind: KindCell, Detail: "active"})
	}
}

// majority reports whether the number of workers that meet a condition exceeds half
// the number of voters.
func (c *Cell) majority(now time.Time, met func(*worker) bool) bool {
	voters, matching := 0, 0
	for _, w := range c.workers {
		if c.isVoter(now, w) {
			voters++
		}
		if met(w) {
			matching++
		}
	}
	return 2*matching > voters
}

// isVoter reports whether the worker counts towards the size of a majority: it is
// registered, or a holder may have used it, it may still exist, and it may confirm another holder.
func (c *Cell) isVoter(now time.Time, w *worker) bool {
	return w.registered || (w.restored || w.stored) && !w.displaced() && !c.crashed(w) && c.mayConfirmOther(now, w)
}

// confirmedAt returns the newest time at which certainly no other holder was active: a majority of the
// workers, or the store, has confirmed this holder since. It is zero if nothing has.
func (c *Cell) confirmedAt(now time.Time) time.Time {
	var newest time.Time
	if c.termCheckedAt.After(c.resumedAt) {
		newest = c.termCheckedAt
	}
	if majority := c.majorityConfirmedAt(now); majority.After(newest) {
		return majority
	}
	return newest
}

// majorityConfirmedAt returns the newest time since which a majority of the workers has accepted an
// order of this epoch, zero if there is none.
func (c *Cell) majorityConfirmedAt(now time.Time) time.Time {
	voters := 0
	var accepted []time.Time
	for _, w := range c.workers {
		if c.isVoter(now, w) {
			voters++
		}
		if c.vouches(w) {
			accepted = append(accepted, w.answeredAt)
		}
	}
	minority := voters / 2
	if voters == 0 || len(accepted) <= minority {
		return time.Time{}
	}
	slices.SortFunc(accepted, func(a, b time.Time) int { return b.Compare(a) })
	return accepted[minority]
}

// leaseDuration returns how long a lease that is granted now lasts. It counts from the newest confirmation
// of the holder if that is older than FullLeaseAge, and ends with the holder's authority.
func (c *Cell) leaseDuration(now time.Time) time.Duration {
	return min(c.confirmedLeaseDuration(now), c.authorityLeft(now))
}

// confirmedLeaseDuration returns how long a lease that is granted now lasts by the newest confirmation of the holder.
func (c *Cell) confirmedLeaseDuration(now time.Time) time.Duration {
	if c.termCheckedAt.After(c.resumedAt) && now.Sub(c.termCheckedAt) <= c.Limits.FullLeaseAge {
		return c.Limits.LeaseDuration
	}
	overdue := now.Sub(c.confirmedAt(now)) - c.Limits.FullLeaseAge
	return max(0, c.Limits.LeaseDuration-max(0, overdue))
}

package dispatcher

import (
	"context"
	"time"

	"zinniashore.example/recorder"
)

// earlierHoldersRetryDelay separates questions to earlier holders.
const earlierHoldersRetryDelay = 500 * time.Millisecond

// EarlierHolders finds out whether the earlier holders of a cell have ended.
type EarlierHolders interface {
	// Ended reports whether all holders of earlier terms have certainly stopped acting.
	Ended(ctx context.Context, records EarlierRecords) (EarlierEnd, bool)
}

// EarlierRecords is what earlier holders have stored of themselves.
type EarlierRecords struct {
	// ActiveEpoch is the newest epoch under which a holder became active, so that those of terms before that
	// stop within Limits.MaxConfirmationAge; 0 if none is stored.
	ActiveEpoch int64
	// LastWrite is the revision of the newest save or heartbeat of any of them; 0 if there is none.
	LastWrite int64
}

// EarlierEnd is when all holders of earlier terms have stopped acting.
type EarlierEnd struct {
	// At is a time by which they have, which may be yet to come.
	At time.Time
	// LeasesExpired is true if all leases that they granted have expired by then too.
	LeasesExpired bool
}

// EarlierHoldersEnded records that all earlier holders have certainly stopped acting by a time.
// From then on only leases that they granted before keep runs active.
func (c *Cell) EarlierHoldersEnded(at time.Time) {
	if !c.earlierEndedAt.IsZero() {
		return
	}
	c.earlierEndedAt = at
	c.record(recorder.Event{Kind: KindCell, Detail: "all earlier holders have ended"})
}

// EarlierHoldersExpired records that all earlier holders have certainly stopped acting by a time, by which all leases
// that they granted have expired.
func (c *Cell) EarlierHoldersExpired(at time.Time) {
	if c.earlierEndedAt.IsZero() {
		c.earlierExpiredAt = at
	}
	c.EarlierHoldersEnded(at)
}

// AwaitsEarlierHolders reports whether it matters that the earlier holders aren't known to have
// ended: a worker that one of them used hasn't answered, or only another process of it, or no worker is left.
func (c *Cell) AwaitsEarlierHolders(now time.Time) bool {
	if !c.earlierEndedAt.IsZero() {
		return false
	}
	if !c.active && !c.hasVoters(now) {
		return true
	}
	for _, w := range c.workers {
		if w.restored && (!w.epochAccepted || w.succeeded()) {
			return true
		}
	}
	return false
}

// mayConfirmOther reports whether a worker may still accept the orders of another holder. One that
// the registry doesn't list any more can't if it has answered this holder and the lease that this one
// granted has expired, or if it has never answered and all earlier holders have ended.
func (c *Cell) mayConfirmOther(now time.Time, w *worker) bool {
	if !c.exited(w) {
		return true
	}
	if w.epochAccepted {
		return !c.active || !w.leaseExpired(now)
	}
	return c.earlierEndedAt.IsZero()
}

// askEarlierHoldersIfDue begins to ask whether the earlier holders have ended; the caller holds
// mu.
func (r *Runner) askEarlierHoldersIfDue(ctx context.Context) {
	if r.EarlierHolders == nil || r.askingEarlierHolders || !r.Cell.AwaitsEarlierHolders(r.Clock.Now()) {
		return
	}
	r.askingEarlierHolders = true
	r.runAsync(func() { r.askEarlierHolders(ctx) })
}

// askEarlierHolders asks once whether the earlier holders have ended.
func (r *Runner) askEarlierHolders(ctx context.Context) {
	end, ended := r.EarlierHolders.Ended(ctx, r.earlierRecords)
	if !ended {
		r.sleep(ctx, earlierHoldersRetryDelay)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askingEarlierHolders = false
	switch {
	case !ended:
		return
	case end.LeasesExpired:
		r.Cell.EarlierHoldersExpired(end.At)
	default:
		r.Cell.EarlierHoldersEnded(end.At)
	}
	signal(r.wake)
}

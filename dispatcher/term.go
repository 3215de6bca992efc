package dispatcher

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"
)

// vouches reports whether the worker's acceptance of the epoch shows that no newer holder
// has it. A restart makes a worker forget a newer epoch, so that its acceptance shows this
// only once the store has been asked since.
func (c *Cell) vouches(w *worker) bool {
	return w.epochAccepted && !w.bootedAt.After(c.termCheckedAt)
}

// termCheckInterval separates questions to the store about the term while no majority of the
// workers confirms the holder.
const termCheckInterval = time.Second

// storeConfirms reports whether the store has recently confirmed that the holder's term is the
// newest. A holder of a newer term waits for MaxConfirmationAge before it takes this one for ended, and for
// the leases that this one granted before it takes its runs for ended.
func (c *Cell) storeConfirms(now time.Time) bool {
	return c.termCheckedAt.After(c.resumedAt) && now.Sub(c.termCheckedAt) < c.Limits.MaxConfirmationAge
}

// mayAct reports whether no other holder can have become active for longer than this one's
// orders are allowed for: a majority of the workers or the store has recently confirmed it.
func (c *Cell) mayAct(now time.Time) bool {
	return c.active && !c.superseded && !c.isolated(now) && (c.Confirmed(now) || c.storeConfirms(now))
}

// fullLeaseCheckAge is the age of the newest confirmation at which the store is asked, so that leases
// keep their full duration where workers rarely answer.
const fullLeaseCheckAge = 300 * time.Millisecond

// TermCheckDue reports whether the store has to be asked whether the holder's term is still the
// newest: a restarted worker counts only after that, or the workers haven't confirmed the holder recently.
func (c *Cell) TermCheckDue(now time.Time) bool {
	if now.Sub(c.termCheckedAt) >= termCheckInterval && !c.Confirmed(now) && (c.active || !c.earlierEndedAt.IsZero()) {
		return true
	}
	if c.active && now.Sub(c.termCheckedAt) >= fullLeaseCheckAge && now.Sub(c.confirmedAt(now)) >= fullLeaseCheckAge {
		return true
	}
	for _, w := range c.workers {
		if w.epochAccepted && w.bootedAt.After(c.termCheckedAt) {
			return true
		}
	}
	return false
}

// TermChecked records that no newer term had begun when a check of the store began.
func (c *Cell) TermChecked(began time.Time) {
	if began.After(c.termCheckedAt) {
		c.termCheckedAt = began
	}
}

// TermEnded records that another holder's term has begun.
func (c *Cell) TermEnded() { c.superseded = true }

// checkTermIfDue begins a check of the term; the caller holds mu.
func (r *Runner) checkTermIfDue(ctx context.Context) {
	now := r.Clock.Now()
	if r.checkingTerm || !r.Cell.TermCheckDue(now) && !r.Cell.HeartbeatDue(now) {
		return
	}
	r.checkingTerm = true
	r.runAsync(func() { r.checkTerm(ctx) })
}

// checkTerm asks the store once whether the holder's term is still the newest.
func (r *Runner) checkTerm(ctx context.Context) {
	began := r.Clock.Now()
	r.mu.Lock()
	heartbeat := r.Cell.HeartbeatDue(began)
	r.mu.Unlock()
	check := r.Archive.CheckTerm
	if heartbeat {
		check = r.Archive.Heartbeat
	}
	err := check(ctx)
	if unconfirmed := err != nil; unconfirmed != r.termUnconfirmed {
		klog.InfoS("Check of the term changed", "cell", r.Cell.Name, "confirmed", !unconfirmed, "err", err)
		r.termUnconfirmed = unconfirmed
	}
	if err != nil && !errors.Is(err, ErrSuperseded) {
		r.sleep(ctx, storeRetryDelay)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkingTerm = false
	switch {
	case err == nil && heartbeat:
		r.Cell.Renewed(began)
		r.Cell.RevisionProven(r.Archive.ProvenRevision())
		r.Cell.TermChecked(began)
	case err == nil:
		r.Cell.TermChecked(began)
	case errors.Is(err, ErrSuperseded):
		r.Cell.TermEnded()
	}
	signal(r.wake)
}

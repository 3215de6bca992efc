package claimer

import (
	"time"

	"k8s.io/klog/v2"
)

// waitReason is what the claim of a cell of this process's own failure domain waits for.
type waitReason string

const (
	// waitRegistration: the holder doesn't answer, but its registration is still stored, or this process hasn't
	// read yet that it isn't.
	waitRegistration waitReason = "registration"
	// waitIneligible: this process may not hold a cell now.
	waitIneligible waitReason = "not_eligible"
	// waitDelay: other candidates, or the last holder, may come first.
	waitDelay waitReason = "delay"
	// waitClaim: the last holder is asked, and the claim is being stored.
	waitClaim waitReason = "claim"
	// waitLastHolder: the last holder has answered that it acts.
	waitLastHolder waitReason = "last_holder_acts"
	// waitStore: the store doesn't answer.
	waitStore waitReason = "store"
	// waitRefused: the store has refused the claim.
	waitRefused waitReason = "claim_refused"
)

// claimWait is what logs tell of the time until a free cell is claimed. The zero value is none. It decides
// nothing.
type claimWait struct {
	// freeSince is since when the cell is free, silentSince since when its holder was known not to
	// answer.
	freeSince, silentSince time.Time
	// reason is what the claim waits for since a time, logged is the reason that was logged last.
	reason, logged waitReason
	since          time.Time
	// spent is how long the claim has waited for other reasons before, questions how long the last holder
	// was asked in all.
	spent     map[waitReason]time.Duration
	questions time.Duration
}

// change ends the wait for one reason and begins that for another one.
func (w *claimWait) change(now time.Time, reason waitReason) {
	if w.spent == nil {
		w.spent = map[waitReason]time.Duration{}
	}
	if w.reason != "" {
		w.spent[w.reason] += now.Sub(w.since)
	}
	w.reason, w.since = reason, now
}

// beginWait notes that the cell has become free; the caller holds mu.
func (k *candidacy) beginWait() {
	if k.outside {
		return
	}
	k.wait = claimWait{freeSince: k.freeSince, silentSince: k.holderSilentSince}
	k.wait.change(k.freeSince, waitClaim)
	k.holderSilentSince = time.Time{}
}

// waitFor notes what the claim of a free cell waits for, at most until a time that is zero if there is no bound,
// and logs it if it is new; the caller holds mu.
func (k *candidacy) waitFor(reason waitReason, until time.Time, err error) {
	w := &k.wait
	if w.freeSince.IsZero() || w.reason == reason {
		return
	}
	now := k.Clock.Now()
	w.change(now, reason)
	if reason != w.logged {
		w.logged = reason
		k.logWait(reason, w.freeSince, until, err)
	}
}

// logWait logs what the claim of the cell waits for; the caller holds mu.
func (k *candidacy) logWait(reason waitReason, since, until time.Time, err error) {
	now := k.Clock.Now()
	left := "no bound"
	if !until.IsZero() {
		left = rounded(max(until.Sub(now), 0)).String()
	}
	klog.InfoS("Claim of a cell waits", "cell", k.cell, "reason", reason, "for", rounded(now.Sub(since)), "left", left,
		"lastHolder", k.lastHolders[k.cell].Process, "err", err)
}

// delayOver notes that nothing but the claim itself is left to wait for, unless an earlier one has failed; the
// caller holds mu.
func (k *candidacy) delayOver() {
	if w := &k.wait; w.reason == waitDelay || w.reason == waitIneligible {
		w.change(k.Clock.Now(), waitClaim)
	}
}

// waitForStore notes how the store has answered a claim.
func (k *candidacy) waitForStore(reason waitReason, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waitFor(reason, time.Time{}, err)
}

// noteQuestion notes that the last holder was asked since a time, and, if it acts, that the cell is left to it until
// the end of returnGrace.
func (k *candidacy) noteQuestion(since time.Time, acts bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wait.questions += k.Clock.Now().Sub(since)
	switch {
	case acts:
		k.waitFor(waitLastHolder, k.graceSince.Add(returnGrace), nil)
	case k.wait.reason == waitLastHolder:
		k.wait.change(k.Clock.Now(), waitClaim)
	}
}

// endWait forgets the wait, as another process holds the cell; the caller holds mu.
func (k *candidacy) endWait() {
	if holder := k.holders[k.cell]; holder.Incarnation != k.Self.Incarnation {
		k.wait = claimWait{}
	}
}

// reportClaim logs how long the cell that this process has claimed was free, and for what it waited.
func (k *candidacy) reportClaim(epoch int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := &k.wait
	if w.freeSince.IsZero() {
		return
	}
	now := k.Clock.Now()
	w.change(now, "")
	silent := time.Duration(0)
	if !w.silentSince.IsZero() {
		silent = w.freeSince.Sub(w.silentSince)
	}
	spent := func(reason waitReason) time.Duration { return rounded(w.spent[reason]) }
	klog.InfoS("Free cell claimed", "cell", k.cell, "epoch", epoch, "free", rounded(now.Sub(w.freeSince)), "silentBefore", rounded(silent),
		"delay", spent(waitDelay), "claim", spent(waitClaim), "questions", rounded(w.questions), "lastHolderActs", spent(waitLastHolder),
		"store", spent(waitStore), "refused", spent(waitRefused), "notEligible", spent(waitIneligible))
	k.wait = claimWait{}
}

// rounded shortens a duration for logs.
func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// minUnansweredCalls is how many calls in a row the holder of a cell hasn't answered when that is logged.
const minUnansweredCalls = 2

// noteHolder notes whether the registered holder of the cell answers the calls that this process makes anyway,
// so that a registration that outlives its holder is logged; the caller holds mu.
func (k *candidacy) noteHolder(holder Holder) {
	if k.outside || k.Unanswered == nil || holder.Process == k.Self.Process {
		return
	}
	switch silent := k.Unanswered(holder) >= minUnansweredCalls; {
	case !silent:
		k.holderSilentSince = time.Time{}
	case k.holderSilentSince.IsZero():
		k.holderSilentSince = k.Clock.Now()
		k.logWait(waitRegistration, k.holderSilentSince, time.Time{}, nil)
	}
}

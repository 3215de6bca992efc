package claimer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// candidacy is the state of this process as a candidate for one cell.
type candidacy struct {
	*Claimer
	cell string
	// outside is true if the cell is that of another failure domain.
	outside bool
	// freeSince is when this process first saw the cell without a holder, or, in its own failure
	// domain, with one of another. It is zero while the cell is occupied.
	freeSince time.Time
	// graceSince is the start of returnGrace: the first answer of the store after the
	// cell became free, or after the store was unavailable. It is zero before.
	graceSince time.Time
	// wasHolder is set if this process held the cell before it became free.
	wasHolder bool
	// claiming is true while this process claims the cell.
	claiming bool
	// abandonedSince is when the cell of another failure domain was first seen to be abandoned.
	abandonedSince time.Time
	// wait is what logs tell of the wait for the claim. holderSilentSince is since when the registered holder
	// is known not to answer, zero if it isn't.
	wait              claimWait
	holderSilentSince time.Time
}

// updateFree updates since when the cell is free; the caller holds mu.
func (k *candidacy) updateFree() {
	switch {
	case k.occupied():
		k.freeSince = time.Time{}
		k.abandonedSince = time.Time{}
		k.wasHolder = k.holders[k.cell].Incarnation == k.Self.Incarnation
		k.endWait()
	case k.freeSince.IsZero():
		k.freeSince = k.Clock.Now()
		k.graceSince = time.Time{}
		k.beginWait()
	}
}

// occupied reports whether the cell has a registered holder that this process leaves it to. A
// process takes its own failure domain's cell back from one of another; the caller holds mu.
func (k *candidacy) occupied() bool {
	holder, held := k.holders[k.cell]
	if !held || holder.Process == "" {
		return false
	}
	return k.outside || !holder.outside(k.Self.FailureDomain)
}

// run claims the cell whenever it is free, until ctx ends.
func (k *candidacy) run(ctx context.Context) {
	for ctx.Err() == nil {
		expected, free := k.claimable()
		failed := free && !k.leftToOthers(ctx) && !k.claim(ctx, expected)
		k.setClaiming(false)
		if failed {
			k.backOff(ctx)
			continue
		}
		k.awaitChange(ctx)
	}
}

// leftToOthers reports whether a free cell is left to its last holder or, if it is that of another
// failure domain, to the processes there.
func (k *candidacy) leftToOthers(ctx context.Context) bool {
	if k.outside {
		return !k.abandoned(ctx)
	}
	return k.leftToLastHolder(ctx)
}

// backOff waits after a failed claim, so that a store in trouble receives few
// requests.
func (c *Claimer) backOff(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.Clock.After(minClaimRetryDelay + rand.N(minClaimRetryDelay)):
	}
}

// awaitChange waits for a change of the claims, at most for as long as it takes until the cell
// may become claimable.
func (k *candidacy) awaitChange(ctx context.Context) {
	k.mu.Lock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	changed := k.changed
	free := !k.freeSince.IsZero()
	k.mu.Unlock()
	var timeout <-chan time.Time
	switch {
	case k.outside && free:
		timeout = k.Clock.After(outsidePollInterval)
	case k.outside:
	case free:
		timeout = k.Clock.After(rankDelay / 2)
	default:
		timeout = k.Clock.After(claimPollInterval)
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timeout:
	}
}

// claimable returns the revision of the claim that this process would replace, and
// reports whether it may claim the cell now.
func (k *candidacy) claimable() (int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.synced || !k.Eligible() {
		k.waitFor(waitIneligible, time.Time{}, nil)
		return 0, false
	}
	holder, held := k.holders[k.cell]
	if held && !k.outside && holder.Process == k.Self.Process && holder.Incarnation != k.Self.Incarnation {
		k.claiming = true
		return holder.revision, true
	}
	if k.occupied() {
		k.noteHolder(holder.Holder)
		return 0, false
	}
	if k.freeSince.IsZero() {
		return 0, false
	}
	pause := k.claimDelay()
	if !held && !k.wasHolder {
		pause += expiredClaimDelay
	}
	k.claiming = k.Clock.Now().Sub(k.freeSince) >= pause
	if k.claiming {
		k.delayOver()
	} else {
		k.waitFor(waitDelay, k.freeSince.Add(pause), nil)
	}
	return holder.revision, k.claiming
}

func (k *candidacy) setClaiming(claiming bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.claiming = claiming
}

// leftToLastHolder reports whether the cell is left to its last holder, whose registration has
// expired while it kept its workers.
func (k *candidacy) leftToLastHolder(ctx context.Context) bool {
	k.mu.Lock()
	_, held := k.holders[k.cell]
	inGrace := !k.graceSince.IsZero() && k.Clock.Now().Sub(k.graceSince) < returnGrace
	k.mu.Unlock()
	if held || !inGrace {
		return false
	}
	asked := k.Clock.Now()
	acts := k.lastHolderActs(ctx)
	k.noteQuestion(asked, acts)
	return acts
}

// lastHolderActs reports whether the last holder, another process, answers that it still holds
// the cell.
func (k *candidacy) lastHolderActs(ctx context.Context) bool {
	k.mu.Lock()
	last, found := k.lastHolders[k.cell]
	k.mu.Unlock()
	if !found || last.Process == k.Self.Process {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, holdsTimeout)
	defer cancel()
	return k.Holds(ctx, last, k.cell)
}

// claimDelay returns how long this process waits, by its rank and its processors, for other
// candidates to claim the cell first.
func (k *candidacy) claimDelay() time.Duration {
	if k.wasHolder {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(k.Self.Process + k.cell))
	rank := time.Duration(hash.Sum32() % rankCount)
	if k.outside {
		return k.takeoverPause() + rank*outsideRankDelay + k.weaknessDelay()
	}
	return rank*rankDelay + k.weaknessDelay() + time.Duration(k.heldHomeCells())*heldCellDelay
}

// heldHomeCells returns how many other cells of its own failure domain this process holds or is
// claiming; the caller holds mu.
func (k *candidacy) heldHomeCells() int {
	held := 0
	for _, other := range k.candidacies {
		if other != k && !other.outside && (other.claiming || k.holders[other.cell].Incarnation == k.Self.Incarnation) {
			held++
		}
	}
	return held
}

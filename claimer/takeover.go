package claimer

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	// takeoverDelay is how long a cell is left to the processes of its own failure domain. It
	// covers an ordinary restart.
	takeoverDelay = 3 * time.Second
	// abandonmentPeriod is for how long a cell whose holder hasn't released it must look
	// abandoned. Registrations of a failure domain that was cut off may be back before its
	// holder's.
	abandonmentPeriod = 2 * time.Second
	// lostDomainDelay is for how long a cell without registered workers is left to its last holder. By then most
	// partitions of a failure domain are over, and the authority of a holder that doesn't answer soon ends.
	lostDomainDelay = 5500 * time.Millisecond
	// outsideRankDelay separates the claims of processes of other failure domains,
	// secondCellDelay delays that of one that already holds a cell.
	outsideRankDelay = 200 * time.Millisecond
	secondCellDelay  = 400 * time.Millisecond
	// outsidePollInterval is how often a process checks a free cell of another failure domain.
	outsidePollInterval = 500 * time.Millisecond
)

// takeoverPause returns how long this process leaves a cell of another failure domain to others;
// the caller holds mu.
func (k *candidacy) takeoverPause() time.Duration {
	for _, holder := range k.holders {
		if holder.Incarnation == k.Self.Incarnation {
			return takeoverDelay + secondCellDelay
		}
	}
	return takeoverDelay
}

// abandoned reports whether no process of the cell's failure domain holds a free cell or is going
// to. A cell that was released has no holder that acts. Otherwise the last holder may be cut off from the
// store or from this process: then its workers aren't registered, or it answers that it still
// has them. If it doesn't answer, its failure domain counts as lost after lostDomainDelay.
func (k *candidacy) abandoned(ctx context.Context) bool {
	if k.released() {
		return true
	}
	if k.lastHolderActs(ctx) {
		k.setAbandoned(time.Time{})
		return false
	}
	if !k.HasWorkers(ctx, k.cell) {
		k.setAbandoned(time.Time{})
		return k.domainLost()
	}
	return k.abandonedFor() >= abandonmentPeriod
}

// domainLost reports whether the failure domain of a free cell is to be taken for lost. The cell is left to a last holder
// whose authority doesn't end by itself: no next one could act.
func (k *candidacy) domainLost() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if last, found := k.lastHolders[k.cell]; found && last.MaxIsolation == 0 || k.freeSince.IsZero() {
		return false
	}
	free := k.Clock.Now().Sub(k.freeSince)
	if free < lostDomainDelay+k.claimDelay()-takeoverDelay {
		return false
	}
	klog.InfoS("Cell of an unresponsive failure domain has no holder", "cell", k.cell, "for", free)
	return true
}

// released reports whether the last holder has released the cell.
func (k *candidacy) released() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	holder, held := k.holders[k.cell]
	return held && holder.Process == ""
}

// abandonedFor returns for how long the cell has looked abandoned.
func (k *candidacy) abandonedFor() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Clock.Now()
	if k.abandonedSince.IsZero() {
		k.abandonedSince = now
		klog.InfoS("Cell of another failure domain has no holder", "cell", k.cell, "for", now.Sub(k.freeSince))
	}
	return now.Sub(k.abandonedSince)
}

func (k *candidacy) setAbandoned(since time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.abandonedSince = since
}

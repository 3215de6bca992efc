package claimer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/platform"
)

// claim tries to claim the cell and holds it until it is lost. It reports whether
// the cell was claimed.
func (k *candidacy) claim(ctx context.Context, expected int64) bool {
	previous, err := k.Store.Get(ctx, k.TermPrefix+k.cell)
	if err != nil {
		klog.ErrorS(err, "Failed to read the term of the cell", "cell", k.cell)
		k.waitForStore(waitStore, err)
	}
	if first := k.recordStoreResult(err); err != nil || first && k.leftToLastHolder(ctx) {
		return false
	}
	lease, _, err := k.Store.Grant(ctx, leaseTTL)
	if err != nil {
		klog.ErrorS(err, "Failed to get a store lease for the claim", "cell", k.cell)
		k.waitForStore(waitStore, err)
		return false
	}
	term := k.nextTerm(previous, expected)
	term.Epoch, err = k.beginTerm(ctx, lease, expected, previous.Revision, term)
	if err != nil {
		klog.InfoS("Failed to claim the cell", "cell", k.cell, "expected", expected, "err", err)
		k.waitForStore(waitRefused, err)
		k.releaseLease(ctx, lease)
		return false
	}
	klog.InfoS("Cell claimed", "cell", k.cell, "epoch", term.Epoch, "earlierHolders", len(term.Earlier), "unknownHolders", term.EarlierUnknown)
	k.reportClaim(term.Epoch)
	k.hold(ctx, lease, term)
	return true
}

// recordStoreResult records the result of a store call. It reports whether this is the
// first answer of the store since the cell became free or the store was unavailable.
// From that answer on, the last holder has returnGrace to re-register.
func (k *candidacy) recordStoreResult(err error) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.graceSince = time.Time{}
		return false
	}
	first := k.graceSince.IsZero()
	if first {
		k.graceSince = k.Clock.Now()
	}
	return first
}

// beginTerm stores this process as the holder under a new term and returns the epoch.
// If the answer of the store is lost, beginTerm reads the term back to find out
// whether it was stored.
func (k *candidacy) beginTerm(ctx context.Context, lease, expected, previous int64, term Term) (int64, error) {
	item, err := k.holderItem(lease)
	if err != nil {
		return 0, err
	}
	termKey := k.TermPrefix + k.cell
	content, err := encodeTerm(k.Self, term)
	if err != nil {
		return 0, err
	}
	epoch, err := k.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: item.Key, Revision: expected}, {Key: termKey, Revision: previous}},
		Writes: []platform.Item{item, {Key: termKey, Value: content}},
	})
	var unclear *platform.UnclearError
	if !errors.As(err, &unclear) {
		return epoch, err
	}
	stored, readErr := k.Store.Get(ctx, termKey)
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	if bytes.Equal(stored.Value, content) {
		return stored.Revision, nil
	}
	return 0, err
}

// holderItem returns the key and value that register this process as the holder.
func (k *candidacy) holderItem(lease int64) (platform.Item, error) {
	content, err := json.Marshal(newHolderMessage(k.Self))
	return platform.Item{Key: k.Prefix + k.cell, Value: content, Lease: lease}, err
}

// releaseItem returns the key and value that release the cell.
func (k *candidacy) releaseItem() (platform.Item, error) {
	var leases Leases
	if k.Leases != nil {
		leases = k.Leases(k.cell)
	}
	content, err := json.Marshal(newReleaseMessage(leases))
	return platform.Item{Key: k.Prefix + k.cell, Value: content}, err
}

func (k *candidacy) releaseLease(ctx context.Context, lease int64) {
	if err := k.Store.Release(ctx, lease); err != nil {
		klog.V(1).InfoS("Failed to release the store lease; it will expire", "lease", lease, "err", err)
	}
}

// hold runs the cell until another process has begun a term or ctx ends. When ctx
// ends, it releases the cell so that other processes can claim it at once.
func (k *candidacy) hold(ctx context.Context, lease int64, term Term) {
	holding, stop := context.WithCancel(ctx)
	defer stop()
	k.mu.Lock()
	k.recordSelf(term.Epoch)
	k.mu.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- k.Hold(holding, k.cell, term) }()
	lease = k.maintain(holding, lease, term.Epoch, ended)
	stop()
	if err := <-ended; err != nil {
		klog.InfoS("Cell lost", "cell", k.cell, "epoch", term.Epoch, "err", err)
	}
	if ctx.Err() != nil {
		k.releaseCell(lease, term.Epoch)
		return
	}
	k.mu.Lock()
	k.wasHolder = false
	k.mu.Unlock()
}

// recordSelf records that this process was registered as the holder at a revision; the
// caller holds mu.
func (k *candidacy) recordSelf(revision int64) {
	if k.holders == nil {
		k.holders = map[string]claim{}
	}
	if k.holders[k.cell].revision < revision {
		k.holders[k.cell] = claim{Holder: k.Self, revision: revision}
		k.notifyChange()
	}
}

// releaseCell releases the cell, unless another process holds it or has begun a term since.
func (k *candidacy) releaseCell(lease, epoch int64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := k.storeRelease(ctx, epoch); err != nil {
		klog.InfoS("Failed to release the cell; the claim will expire", "cell", k.cell, "err", err)
	}
	k.releaseLease(ctx, lease)
}

func (k *candidacy) storeRelease(ctx context.Context, epoch int64) error {
	k.mu.Lock()
	current, held := k.holders[k.cell]
	k.mu.Unlock()
	if held && current.Incarnation != k.Self.Incarnation {
		klog.InfoS("Cell not released, as another process holds it", "cell", k.cell, "epoch", epoch, "holder", current.Process)
		return nil
	}
	item, err := k.releaseItem()
	if err != nil {
		return err
	}
	_, err = k.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: item.Key, Revision: current.revision}, {Key: k.TermPrefix + k.cell, Revision: epoch}},
		Writes: []platform.Item{item},
	})
	if err == nil {
		klog.InfoS("Cell released", "cell", k.cell, "epoch", epoch)
	}
	return err
}

// maintain renews the lease, or re-registers this process if its registration is gone,
// until another process has begun a term, ctx ends or the cell has ended. It returns
// the lease in use, and puts an error of the cell back into ended.
func (k *candidacy) maintain(ctx context.Context, lease, epoch int64, ended chan error) int64 {
	next := k.Clock.After(renewInterval)
	for {
		k.mu.Lock()
		holder, held := k.holders[k.cell]
		changed := k.changed
		k.mu.Unlock()
		if held && holder.Incarnation != k.Self.Incarnation {
			klog.InfoS("Another process holds the cell", "cell", k.cell, "epoch", epoch, "holder", holder.Process)
			return lease
		}
		if !held {
			registered := false
			if lease, registered = k.reregister(ctx, lease, epoch); !registered {
				k.backOff(ctx)
				if ctx.Err() == nil && len(ended) == 0 {
					continue
				}
			}
		}
		select {
		case <-ctx.Done():
			return lease
		case err := <-ended:
			ended <- err
			return lease
		case <-changed:
		case <-next:
			if k.renew(ctx, lease) {
				next = k.Clock.After(renewInterval)
			} else {
				next = k.Clock.After(renewRetryInterval)
			}
		}
	}
}

// renew renews the lease and reports whether the store answered.
func (k *candidacy) renew(ctx context.Context, lease int64) bool {
	limited, cancel := clockwork.WithTimeout(ctx, k.Clock, renewTimeout)
	err := k.Store.Renew(limited, lease)
	cancel()
	if errors.Is(err, platform.ErrLeaseEnded) {
		klog.InfoS("Store lease of the claim has expired", "cell", k.cell)
		k.mu.Lock()
		delete(k.holders, k.cell)
		k.notifyChange()
		k.mu.Unlock()
	} else if err != nil {
		klog.V(1).InfoS("Failed to renew the store lease", "cell", k.cell, "err", err)
		return false
	}
	return true
}

// reregister registers this process again as the holder under the term that it has. It
// returns the lease in use, and whether the process was registered.
func (k *candidacy) reregister(ctx context.Context, old, epoch int64) (int64, bool) {
	lease, _, err := k.Store.Grant(ctx, leaseTTL)
	if err != nil {
		klog.V(1).InfoS("Failed to get a store lease for the claim", "cell", k.cell, "err", err)
		return old, false
	}
	item, err := k.holderItem(lease)
	if err != nil {
		klog.ErrorS(err, "Failed to re-register the holder of the cell", "cell", k.cell)
		return old, false
	}
	revision, err := k.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: item.Key}, {Key: k.TermPrefix + k.cell, Revision: epoch}},
		Writes: []platform.Item{item},
	})
	if err != nil {
		klog.InfoS("Failed to re-register the holder of the cell", "cell", k.cell, "err", err)
		k.releaseLease(ctx, lease)
		return old, false
	}
	klog.InfoS("Re-registered the holder of the cell", "cell", k.cell, "epoch", epoch)
	k.mu.Lock()
	k.recordSelf(revision)
	k.mu.Unlock()
	return lease, true
}

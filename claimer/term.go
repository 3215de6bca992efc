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
func (c *Claimer) claim(ctx context.Context, expected int64) bool {
	previous, err := c.Store.Get(ctx, c.TermPrefix+c.Candidate)
	if err != nil {
		klog.ErrorS(err, "Failed to read the term of the cell", "cell", c.Candidate)
	}
	if first := c.recordStoreResult(err); err != nil || first && c.leftToLastHolder(ctx) {
		return false
	}
	lease, _, err := c.Store.Grant(ctx, leaseTTL)
	if err != nil {
		klog.ErrorS(err, "Failed to get a store lease for the claim", "cell", c.Candidate)
		return false
	}
	term := c.nextTerm(previous, expected)
	term.Epoch, err = c.beginTerm(ctx, lease, expected, previous.Revision, term)
	if err != nil {
		klog.InfoS("Failed to claim the cell", "cell", c.Candidate, "expected", expected, "err", err)
		c.releaseLease(ctx, lease)
		return false
	}
	klog.InfoS("Cell claimed", "cell", c.Candidate, "epoch", term.Epoch, "earlierHolders", len(term.Earlier), "unknownHolders", term.EarlierUnknown)
	c.hold(ctx, lease, term)
	return true
}

// recordStoreResult records the result of a store call. It reports whether this is the
// first answer of the store since the cell became free or the store was unavailable.
// From that answer on, the last holder has returnGrace to re-register.
func (c *Claimer) recordStoreResult(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.graceSince = time.Time{}
		return false
	}
	first := c.graceSince.IsZero()
	if first {
		c.graceSince = c.Clock.Now()
	}
	return first
}

// beginTerm stores this process as the holder under a new term and returns the epoch.
// If the answer of the store is lost, beginTerm reads the term back to find out
// whether it was stored.
func (c *Claimer) beginTerm(ctx context.Context, lease, expected, previous int64, term Term) (int64, error) {
	item, err := c.holderItem(c.Self, lease)
	if err != nil {
		return 0, err
	}
	termKey := c.TermPrefix + c.Candidate
	content, err := encodeTerm(c.Self, term)
	if err != nil {
		return 0, err
	}
	epoch, err := c.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: item.Key, Revision: expected}, {Key: termKey, Revision: previous}},
		Writes: []platform.Item{item, {Key: termKey, Value: content}},
	})
	var unclear *platform.UnclearError
	if !errors.As(err, &unclear) {
		return epoch, err
	}
	stored, readErr := c.Store.Get(ctx, termKey)
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	if bytes.Equal(stored.Value, content) {
		return stored.Revision, nil
	}
	return 0, err
}

// holderItem returns the key and value that register a holder.
func (c *Claimer) holderItem(holder Holder, lease int64) (platform.Item, error) {
	content, err := json.Marshal(holderMessage(holder))
	return platform.Item{Key: c.Prefix + c.Candidate, Value: content, Lease: lease}, err
}

func (c *Claimer) releaseLease(ctx context.Context, lease int64) {
	if err := c.Store.Release(ctx, lease); err != nil {
		klog.V(1).InfoS("Failed to release the store lease; it will expire", "lease", lease, "err", err)
	}
}

// hold runs the cell until another process has begun a term or ctx ends. When ctx
// ends, it releases the cell so that other processes can claim it at once.
func (c *Claimer) hold(ctx context.Context, lease int64, term Term) {
	holding, stop := context.WithCancel(ctx)
	defer stop()
	c.mu.Lock()
	c.recordSelf(term.Epoch)
	c.mu.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- c.Hold(holding, c.Candidate, term) }()
	lease = c.maintain(holding, lease, term.Epoch, ended)
	stop()
	if err := <-ended; err != nil {
		klog.InfoS("Cell lost", "cell", c.Candidate, "epoch", term.Epoch, "err", err)
	}
	if ctx.Err() != nil {
		c.releaseCell(lease)
		return
	}
	c.mu.Lock()
	c.wasHolder = false
	c.mu.Unlock()
}

// recordSelf records that this process was registered as the holder at a revision; the
// caller holds mu.
func (c *Claimer) recordSelf(revision int64) {
	if c.holders == nil {
		c.holders = map[string]claim{}
	}
	if c.holders[c.Candidate].revision < revision {
		c.holders[c.Candidate] = claim{Holder: c.Self, revision: revision}
		c.notifyChange()
	}
}

func (c *Claimer) releaseCell(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	c.mu.Lock()
	current := c.holders[c.Candidate]
	c.mu.Unlock()
	if item, err := c.holderItem(Holder{}, 0); err != nil {
		klog.ErrorS(err, "Failed to release the cell", "cell", c.Candidate)
	} else if _, err := c.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: item.Key, Revision: current.revision}},
		Writes: []platform.Item{item},
	}); err != nil {
		klog.InfoS("Failed to release the cell; the claim will expire", "cell", c.Candidate, "err", err)
	}
	c.releaseLease(ctx, lease)
}

// maintain renews the lease, or re-registers this process if its registration is gone,
// until another process has begun a term, ctx ends or the cell has ended. It returns
// the lease in use, and puts an error of the cell back into ended.
func (c *Claimer) maintain(ctx context.Context, lease, epoch int64, ended chan error) int64 {
	next := c.Clock.After(renewInterval)
	for {
		c.mu.Lock()
		holder, held := c.holders[c.Candidate]
		changed := c.changed
		c.mu.Unlock()
		if held && holder.Incarnation != c.Self.Incarnation {
			return lease
		}
		if !held {
			registered := false
			if lease, registered = c.reregister(ctx, lease, epoch); !registered {
				c.backOff(ctx)
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
			if c.renew(ctx, lease) {
				next = c.Clock.After(renewInterval)
			} else {
				next = c.Clock.After(renewRetryInterval)
			}
		}
	}
}

// renew renews the lease and reports whether the store answered.
func (c *Claimer) renew(ctx context.Context, lease int64) bool {
	limited, cancel := clockwork.WithTimeout(ctx, c.Clock, renewTimeout)
	err := c.Store.Renew(limited, lease)
	cancel()
	if errors.Is(err, platform.ErrLeaseEnded) {
		klog.InfoS("Store lease of the claim has expired", "cell", c.Candidate)
		c.mu.Lock()
		delete(c.holders, c.Candidate)
		c.notifyChange()
		c.mu.Unlock()
	} else if err != nil {
		klog.V(1).InfoS("Failed to renew the store lease", "cell", c.Candidate, "err", err)
		return false
	}
	return true
}

// reregister registers this process again as the holder under the term that it has. It
// returns the lease in use, and whether the process was registered.
func (c *Claimer) reregister(ctx context.Context, old, epoch int64) (int64, bool) {
	lease, _, err := c.Store.Grant(ctx, leaseTTL)
	if err != nil {
		klog.V(1).InfoS("Failed to get a store lease for the claim", "cell", c.Candidate, "err", err)
		return old, false
	}
	item, err := c.holderItem(c.Self, lease)
	if err != nil {
		klog.ErrorS(err, "Failed to re-register the holder of the cell", "cell", c.Candidate)
		return old, false
	}
	revision, err := c.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: item.Key}, {Key: c.TermPrefix + c.Candidate, Revision: epoch}},
		Writes: []platform.Item{item},
	})
	if err != nil {
		klog.InfoS("Failed to re-register the holder of the cell", "cell", c.Candidate, "err", err)
		c.releaseLease(ctx, lease)
		return old, false
	}
	klog.InfoS("Re-registered the holder of the cell", "cell", c.Candidate, "epoch", epoch)
	c.mu.Lock()
	c.recordSelf(revision)
	c.mu.Unlock()
	return lease, true
}

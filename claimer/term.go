package claimer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"zinniashore.example/platform"
)

// claim tries to claim the cell and holds it until it is lost. It reports whether
// the cell was claimed.
func (c *Claimer) claim(ctx context.Context, expected int64) bool {
	term, err := c.Store.Get(ctx, c.TermPrefix+c.Candidate)
	if err != nil {
		klog.ErrorS(err, "Term of the cell not read", "cell", c.Candidate)
	}
	if first := c.noteStore(err); err != nil || first && c.returns(ctx) {
		return false
	}
	lease, _, err := c.Store.Grant(ctx, leaseLength)
	if err != nil {
		klog.ErrorS(err, "No store lease for the claim", "cell", c.Candidate)
		return false
	}
	epoch, err := c.begin(ctx, lease, expected, term.Revision)
	if err != nil {
		klog.InfoS("Cell not claimed", "cell", c.Candidate, "expected", expected, "err", err)
		c.release(ctx, lease)
		return false
	}
	klog.InfoS("Cell claimed", "cell", c.Candidate, "epoch", epoch)
	c.hold(ctx, lease, epoch)
	return true
}

// noteStore notes the outcome of a call of the store. It reports whether this is
// its first answer since the cell got free or the store was away: from now on the
// last holder has time to return.
func (c *Claimer) noteStore(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.patientSince = time.Time{}
		return false
	}
	first := c.patientSince.IsZero()
	if first {
		c.patientSince = c.Clock.Now()
	}
	return first
}

// begin stores this process as the holder under a new term and returns the
// epoch. An answer that was lost is read back.
func (c *Claimer) begin(ctx context.Context, lease, expected, term int64) (int64, error) {
	name, err := c.name(c.Self, lease)
	if err != nil {
		return 0, err
	}
	termKey := c.TermPrefix + c.Candidate
	mark := []byte(uuid.NewString())
	epoch, err := c.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: name.Key, Revision: expected}, {Key: termKey, Revision: term}},
		Writes: []platform.Item{name, {Key: termKey, Value: mark}},
	})
	var unclear *platform.UnclearError
	if !errors.As(err, &unclear) {
		return epoch, err
	}
	item, readErr := c.Store.Get(ctx, termKey)
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	if bytes.Equal(item.Value, mark) {
		return item.Revision, nil
	}
	return 0, err
}

// name returns the key that names a holder.
func (c *Claimer) name(holder Holder, lease int64) (platform.Item, error) {
	content, err := json.Marshal(holderMessage(holder))
	return platform.Item{Key: c.Prefix + c.Candidate, Value: content, Lease: lease}, err
}

func (c *Claimer) release(ctx context.Context, lease int64) {
	if err := c.Store.Release(ctx, lease); err != nil {
		klog.V(1).InfoS("Store lease not released; it ends by itself", "lease", lease, "err", err)
	}
}

// hold runs the cell until another process has begun a term or ctx ends. A cell
// that is given up is left to the others at once.
func (c *Claimer) hold(ctx context.Context, lease, epoch int64) {
	holding, stop := context.WithCancel(ctx)
	defer stop()
	c.mu.Lock()
	c.notePresent(epoch)
	c.mu.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- c.Hold(holding, c.Candidate, epoch) }()
	lease = c.keep(holding, lease, epoch, ended)
	stop()
	if err := <-ended; err != nil {
		klog.InfoS("Cell lost", "cell", c.Candidate, "epoch", epoch, "err", err)
	}
	if ctx.Err() != nil {
		c.giveUp(lease)
		return
	}
	c.mu.Lock()
	c.heldLast = false
	c.mu.Unlock()
}

// notePresent notes that this process was named the holder at a revision; the
// caller holds mu.
func (c *Claimer) notePresent(revision int64) {
	if c.holders == nil {
		c.holders = map[string]claim{}
	}
	if c.holders[c.Candidate].revision < revision {
		c.holders[c.Candidate] = claim{Holder: c.Self, revision: revision}
		c.noteChange()
	}
}

func (c *Claimer) giveUp(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), giveUpLimit)
	defer cancel()
	c.mu.Lock()
	present := c.holders[c.Candidate]
	c.mu.Unlock()
	if name, err := c.name(Holder{}, 0); err != nil {
		klog.ErrorS(err, "Cell not given up", "cell", c.Candidate)
	} else if _, err := c.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: name.Key, Revision: present.revision}},
		Writes: []platform.Item{name},
	}); err != nil {
		klog.InfoS("Cell not given up; the claim ends by itself", "cell", c.Candidate, "err", err)
	}
	c.release(ctx, lease)
}

// keep renews the lease, or names this process again where its name has gone,
// until another has begun, ctx ends or the cell has ended. It returns the lease
// in use, and puts an error of the cell back into ended.
func (c *Claimer) keep(ctx context.Context, lease, epoch int64, ended chan error) int64 {
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
			named := false
			if lease, named = c.nameAgain(ctx, lease, epoch); !named {
				c.pause(ctx)
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
				next = c.Clock.After(renewRetry)
			}
		}
	}
}

// renew renews the lease and reports whether the store has answered.
func (c *Claimer) renew(ctx context.Context, lease int64) bool {
	err := c.Store.Renew(ctx, lease)
	if errors.Is(err, platform.ErrLeaseEnded) {
		klog.InfoS("Store lease of the claim has ended", "cell", c.Candidate)
		c.mu.Lock()
		delete(c.holders, c.Candidate)
		c.noteChange()
		c.mu.Unlock()
	} else if err != nil {
		klog.V(1).InfoS("Store lease not renewed", "cell", c.Candidate, "err", err)
		return false
	}
	return true
}

// nameAgain names this process the holder under the term that it has. It returns
// the lease in use, and whether the process was named.
func (c *Claimer) nameAgain(ctx context.Context, old, epoch int64) (int64, bool) {
	lease, _, err := c.Store.Grant(ctx, leaseLength)
	if err != nil {
		klog.V(1).InfoS("No store lease for the claim", "cell", c.Candidate, "err", err)
		return old, false
	}
	name, err := c.name(c.Self, lease)
	if err != nil {
		klog.ErrorS(err, "Cell not named again", "cell", c.Candidate)
		return old, false
	}
	revision, err := c.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: name.Key}, {Key: c.TermPrefix + c.Candidate, Revision: epoch}},
		Writes: []platform.Item{name},
	})
	if err != nil {
		klog.InfoS("Cell not named again", "cell", c.Candidate, "err", err)
		c.release(ctx, lease)
		return old, false
	}
	klog.InfoS("Cell named again", "cell", c.Candidate, "epoch", epoch)
	c.mu.Lock()
	c.notePresent(revision)
	c.mu.Unlock()
	return lease, true
}

package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/commander"
	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
)

const ownerFormat = 1

// errChanged aborts an update of a document that has changed since it was read.
var errChanged = errors.New("owner: document has changed since it was read")

type ownerMessage struct {
	Format int    `json:"format"`
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch"`
	// Sealed is the last epoch whose owner has sealed all segments of the journal.
	Sealed int64 `json:"sealed"`
}

func ownerKey(cell string) string { return "cells/" + cell + "/owner" }

func decodeOwner(document keeper.Document) (ownerMessage, error) {
	m := ownerMessage{Format: ownerFormat}
	if document.Body == nil {
		return m, nil
	}
	if err := json.Unmarshal(document.Body, &m); err != nil {
		return m, &keeper.FormatError{Key: document.Key, Err: err}
	}
	if m.Format != ownerFormat {
		return m, &keeper.FormatError{Key: document.Key, Err: fmt.Errorf("owner record has format %d, want %d", m.Format, ownerFormat)}
	}
	return m, nil
}

// tenure is the ownership of a cell during one unbroken session. It ends for good
// as soon as the session may have expired, even if the session is granted again:
// another process may have found the key of this process missing in between.
type tenure struct {
	owner *Owner
	epoch int64

	mu         sync.Mutex
	validUntil time.Time
	ended      bool
}

// valid reports whether no other process can have acquired the cell.
func (t *tenure) valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := t.owner.Session.ValidUntil()
	if t.ended || !t.owner.Session.Valid() || !t.owner.Clock.Now().Before(t.validUntil) {
		t.ended = true
		return false
	}
	t.validUntil = until
	return true
}

// expiry returns the time at which the tenure expires or expired.
func (t *tenure) expiry() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.validUntil
}

// acquire makes this process the owner of the cell if the cell has no live owner.
func (o *Owner) acquire(ctx context.Context, h *holderState) error {
	if !o.shouldRead(h) {
		return nil
	}
	document, err := o.Keeper.Read(ctx, ownerKey(h.spec.ID))
	if err != nil {
		return err
	}
	current, err := decodeOwner(document)
	if err != nil {
		return err
	}
	h.holder, h.checkedAt = current.Holder, o.Clock.Now()
	o.stopLost(h, current)
	vacant, err := o.mayAcquire(ctx, h, current.Holder)
	if err != nil || !vacant {
		return err
	}
	return o.swapOwner(ctx, h, document, current)
}

// stopLost stops the cell of h if another process has acquired it.
func (o *Owner) stopLost(h *holderState, current ownerMessage) {
	o.mu.Lock()
	c := h.cell
	if c != nil && (current.Holder != o.Process || current.Epoch != c.tenure.epoch) {
		h.cell = nil
	} else {
		c = nil
	}
	o.mu.Unlock()
	if c != nil {
		c.fence(current.Epoch)
		c.stop()
		h.previous = nil
	}
}

// shouldRead reports whether the owner record is to be read from the store. While
// the holder is alive, the record is read only every recheckPeriods periods, to limit
// the load of the store.
func (o *Owner) shouldRead(h *holderState) bool {
	if h.holder == "" || h.holder == o.Process {
		return true
	}
	if o.Clock.Since(h.checkedAt) >= recheckPeriods*o.Period {
		return true
	}
	return len(o.Mirror.Entries(aliveKey(h.holder))) == 0
}

// mayAcquire reports whether the cell may be acquired: holder certainly has no valid
// session, and the cell has been vacant for a wait that grows with the number of cells
// that this process owns, so that the process with the fewest cells acquires it.
func (o *Owner) mayAcquire(ctx context.Context, h *holderState, holder string) (bool, error) {
	if holder == o.Process {
		return true, nil
	}
	if holder != "" {
		alive, err := o.Keeper.Store.Get(ctx, aliveKey(holder))
		if err != nil {
			return false, err
		}
		if alive.Version != 0 {
			h.vacantSince = time.Time{}
			return false, nil
		}
	}
	now := o.Clock.Now()
	if h.vacantSince.IsZero() {
		h.vacantSince = now
	}
	return now.Sub(h.vacantSince) >= time.Duration(o.countOwned())*2*o.Period, nil
}

func (o *Owner) swapOwner(ctx context.Context, h *holderState, read keeper.Document, current ownerMessage) error {
	tenure := &tenure{owner: o, epoch: current.Epoch + 1, validUntil: o.Session.ValidUntil()}
	next := ownerMessage{Format: ownerFormat, Holder: o.Process, Epoch: tenure.epoch, Sealed: current.Sealed}
	_, err := o.Keeper.Update(ctx, ownerKey(h.spec.ID), func(document keeper.Document) ([]byte, error) {
		if document.Version != read.Version {
			return nil, errChanged
		}
		return json.Marshal(next)
	})
	if errors.Is(err, errChanged) {
		return nil
	}
	if err != nil {
		return err
	}
	unbroken := current.Holder == o.Process && current.Epoch == h.epoch
	h.epoch = tenure.epoch
	if !tenure.valid() {
		return nil
	}
	h.vacantSince = time.Time{}
	h.holder = o.Process
	return o.startCell(ctx, h, tenure, current, unbroken)
}

// startCell loads and starts a cell that was acquired. The cell that this process ran
// under an earlier epoch is stopped first; unbroken is true if no other process has
// owned the cell since.
func (o *Owner) startCell(ctx context.Context, h *holderState, t *tenure, before ownerMessage, unbroken bool) error {
	o.mu.Lock()
	if h.cell != nil {
		h.previous, h.cell = h.cell, nil
	}
	o.mu.Unlock()
	if h.previous != nil {
		h.previous.stop()
	}
	bound := o.Clock.Now().Add(o.inheritedLeaseBound(before.Holder))
	c, err := o.load(ctx, h.spec, t, bound, before.Sealed)
	if err != nil {
		return err
	}
	if err := o.markSealed(ctx, h.spec, t.epoch); err != nil {
		c.cancel()
		return err
	}
	if h.previous != nil && unbroken {
		c.inheritLeaseBounds(h.previous)
	}
	h.previous = nil
	if !o.setCell(h, c) {
		c.cancel()
		return nil
	}
	klog.InfoS("Acquired cell", "cell", h.spec.ID, "epoch", t.epoch, "before", before.Holder)
	o.record(recorder.Event{Kind: KindCellTaken, Cell: h.spec.ID, Epoch: t.epoch, Detail: before.Holder})
	c.start()
	return nil
}

// inheritedLeaseBound returns how long tasks may keep running on a worker that the
// new owner cannot reach. An earlier owner that lost the store renews leases for
// up to Outage, unless it has released the cell.
func (o *Owner) inheritedLeaseBound(before string) time.Duration {
	if before == "" {
		return commander.WithDrift(o.TaskLease)
	}
	return commander.WithDrift(o.Outage + o.TaskLease)
}

// markSealed records that this epoch has sealed all segments of the journal. It must
// be durable before the owner decides or starts anything under the epoch.
func (o *Owner) markSealed(ctx context.Context, spec Cell, epoch int64) error {
	return o.updateOwner(ctx, spec, epoch, func(m ownerMessage) ownerMessage {
		m.Sealed = epoch
		return m
	})
}

// release records that the cell has no owner.
func (o *Owner) release(ctx context.Context, c *cell) error {
	err := o.updateOwner(ctx, c.spec, c.tenure.epoch, func(m ownerMessage) ownerMessage {
		m.Holder = ""
		return m
	})
	if errors.Is(err, errChanged) {
		return nil
	}
	return err
}

// updateOwner updates the owner record of a cell that this process owns under epoch.
// It returns errChanged if the cell has another owner or epoch.
func (o *Owner) updateOwner(ctx context.Context, spec Cell, epoch int64, change func(ownerMessage) ownerMessage) error {
	_, err := o.Keeper.Update(ctx, ownerKey(spec.ID), func(document keeper.Document) ([]byte, error) {
		current, err := decodeOwner(document)
		if err != nil {
			return nil, err
		}
		if current.Holder != o.Process || current.Epoch != epoch {
			return nil, errChanged
		}
		return json.Marshal(change(current))
	})
	return err
}

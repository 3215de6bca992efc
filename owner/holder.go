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

// errChanged ends an update of a document that has changed since it was read.
var errChanged = errors.New("owner: document has changed")

type ownerMessage struct {
	Format int    `json:"format"`
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch"`
	// Sealed is the last epoch whose owner has sealed all segments.
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
		return m, &keeper.FormatError{Key: document.Key, Err: fmt.Errorf("owner format %d is not %d", m.Format, ownerFormat)}
	}
	return m, nil
}

// tenure is the ownership of a cell by one unbroken session. Once the session
// may have lapsed it is over for good, also if the session is granted anew:
// another process may have looked at the key of the process in between.
type tenure struct {
	owner *Owner
	epoch int64

	mu    sync.Mutex
	until time.Time
	over  bool
}

// valid reports whether no other process can have taken the cell.
func (t *tenure) valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := t.owner.Session.ValidUntil()
	if t.over || !t.owner.Session.Valid() || !t.owner.Clock.Now().Before(t.until) {
		t.over = true
		return false
	}
	t.until = until
	return true
}

// lapsed returns the end of validity.
func (t *tenure) lapsed() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.until
}

// take makes this process the owner of the cell if it has no live one.
func (o *Owner) take(ctx context.Context, h *holding) error {
	if !o.worthReading(h) {
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
	h.holder, h.checked = current.Holder, o.Clock.Now()
	o.dropLost(h, current)
	free, err := o.free(ctx, h, current.Holder)
	if err != nil || !free {
		return err
	}
	return o.swapOwner(ctx, h, document, current)
}

// dropLost stops a cell that another process has taken.
func (o *Owner) dropLost(h *holding, current ownerMessage) {
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
		h.last = nil
	}
}

// worthReading spares reads of the store for cells whose holder is alive.
func (o *Owner) worthReading(h *holding) bool {
	if h.holder == "" || h.holder == o.Process {
		return true
	}
	if o.Clock.Since(h.checked) >= recheckPeriods*o.Period {
		return true
	}
	return len(o.Mirror.Entries(aliveKey(h.holder))) == 0
}

// free reports whether the holder has certainly no valid session. A cell that
// becomes free goes to the process with the fewest cells, by a wait that grows
// with their number.
func (o *Owner) free(ctx context.Context, h *holding, holder string) (bool, error) {
	if holder == o.Process {
		return true, nil
	}
	if holder != "" {
		alive, err := o.Keeper.Store.Get(ctx, aliveKey(holder))
		if err != nil {
			return false, err
		}
		if alive.Version != 0 {
			h.freeFrom = time.Time{}
			return false, nil
		}
	}
	now := o.Clock.Now()
	if h.freeFrom.IsZero() {
		h.freeFrom = now
	}
	return now.Sub(h.freeFrom) >= time.Duration(o.owned())*2*o.Period, nil
}

func (o *Owner) swapOwner(ctx context.Context, h *holding, read keeper.Document, current ownerMessage) error {
	tenure := &tenure{owner: o, epoch: current.Epoch + 1, until: o.Session.ValidUntil()}
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
	h.freeFrom = time.Time{}
	h.holder = o.Process
	return o.install(ctx, h, tenure, current, unbroken)
}

// install runs a cell that was taken. An earlier run of it in this process is
// stopped first; unbroken tells that no other process had the cell since.
func (o *Owner) install(ctx context.Context, h *holding, t *tenure, before ownerMessage, unbroken bool) error {
	o.mu.Lock()
	if h.cell != nil {
		h.last, h.cell = h.cell, nil
	}
	o.mu.Unlock()
	if h.last != nil {
		h.last.stop()
	}
	bound := o.Clock.Now().Add(o.inheritedBound(before.Holder))
	c, err := o.load(ctx, h.spec, t, bound, before.Sealed)
	if err != nil {
		return err
	}
	if err := o.markSealed(ctx, h.spec, t.epoch); err != nil {
		c.cancel()
		return err
	}
	if h.last != nil && unbroken {
		c.inheritBounds(h.last)
	}
	h.last = nil
	if !o.adopt(h, c) {
		c.cancel()
		return nil
	}
	klog.InfoS("Cell taken", "cell", h.spec.ID, "epoch", t.epoch, "before", before.Holder)
	o.record(recorder.Event{Kind: KindCellTaken, Cell: h.spec.ID, Epoch: t.epoch, Detail: before.Holder})
	c.start()
	return nil
}

// inheritedBound returns how long the tasks of a worker that the new owner
// cannot reach may go on: an earlier owner without the store renews for the
// limit of an outage, unless it gave the cell up.
func (o *Owner) inheritedBound(before string) time.Duration {
	if before == "" {
		return commander.WithDrift(o.TaskLease)
	}
	return commander.WithDrift(o.Outage + o.TaskLease)
}

// markSealed records that this epoch has sealed all segments. It comes before
// the first act of the epoch.
func (o *Owner) markSealed(ctx context.Context, spec Cell, epoch int64) error {
	return o.changeOwner(ctx, spec, epoch, func(m ownerMessage) ownerMessage {
		m.Sealed = epoch
		return m
	})
}

// release records that the cell has no owner.
func (o *Owner) release(ctx context.Context, c *cell) error {
	err := o.changeOwner(ctx, c.spec, c.tenure.epoch, func(m ownerMessage) ownerMessage {
		m.Holder = ""
		return m
	})
	if errors.Is(err, errChanged) {
		return nil
	}
	return err
}

// changeOwner changes the record of a cell that this process owns.
func (o *Owner) changeOwner(ctx context.Context, spec Cell, epoch int64, change func(ownerMessage) ownerMessage) error {
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

package keeper

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"
)

// retryPause is the pause between attempts to resolve an unclear write.
const retryPause = 50 * time.Millisecond

// errForgotten tells that a document's history does not reach back far enough.
var errForgotten = errors.New("the history of the document no longer tells")

// Keeper reads and changes documents of the store. It resolves writes whose
// answer was lost by the writer marks that each document carries. It is safe
// for concurrent use.
type Keeper struct {
	// Store is the platform's key-value service.
	Store Store
	// Clock paces retries.
	Clock clockwork.Clock
	// Writer names this incarnation of the process. It is never used twice.
	Writer string

	sequence atomic.Int64
	turns    turns
}

// ChangeFunc computes the new body of a document. A nil body deletes it. An error
// ends the update with no effect.
type ChangeFunc func(current Document) (body []byte, err error)

// Read returns a document.
func (k *Keeper) Read(ctx context.Context, key string) (Document, error) {
	entry, err := k.Store.Get(ctx, key)
	if err != nil {
		return Document{}, err
	}
	return DecodeDocument(entry)
}

// Update changes a document by compare-and-swap, calling change again after
// each conflict. The document that change returned last is durable when Update
// returns nil. It returns an *UnclearError where the answer to a write was lost
// and its outcome could not be resolved: ctx ended, or the history of the
// document no longer tells.
func (k *Keeper) Update(ctx context.Context, key string, change ChangeFunc) (Document, error) {
	end, err := k.turns.take(ctx, key)
	if err != nil {
		return Document{}, &UnavailableError{Operation: "update", Err: err}
	}
	defer end()
	current, err := k.Read(ctx, key)
	if err != nil {
		return Document{}, err
	}
	return k.swapFrom(ctx, current, change)
}

// UpdateFrom is Update for a document that the caller knows already. It saves the
// read; change first sees the known document, and the stored one after a
// conflict.
func (k *Keeper) UpdateFrom(ctx context.Context, known Document, change ChangeFunc) (Document, error) {
	end, err := k.turns.take(ctx, known.Key)
	if err != nil {
		return Document{}, &UnavailableError{Operation: "update", Err: err}
	}
	defer end()
	return k.swapFrom(ctx, known, change)
}

func (k *Keeper) swapFrom(ctx context.Context, current Document, change ChangeFunc) (Document, error) {
	for {
		written, err := k.swap(ctx, current, change)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return written, err
		}
		current, err = DecodeDocument(conflict.Current)
		if err != nil {
			return Document{}, err
		}
	}
}

func (k *Keeper) swap(ctx context.Context, current Document, change ChangeFunc) (Document, error) {
	body, err := change(current)
	if err != nil || (body == nil && current.Version == 0) {
		return current, err
	}
	write := pendingWrite{
		mark: mark{writer: k.Writer, sequence: k.sequence.Add(1), base: current.Version},
	}
	write.document = current.with(write.mark, body)
	write.value, err = write.document.encode()
	if err != nil {
		return current, &FormatError{Key: current.Key, Err: err}
	}
	written, err := k.apply(ctx, write)
	if err == nil && body == nil {
		k.bury(ctx, written)
	}
	return written, err
}

// bury removes the tombstone of a deleted document. Its outcome does not matter:
// a tombstone that stays is read as absent.
func (k *Keeper) bury(ctx context.Context, tombstone Document) {
	if _, err := k.Store.Swap(ctx, tombstone.Key, tombstone.Version, nil, 0); err != nil {
		klog.V(1).InfoS("Tombstone not removed", "key", tombstone.Key, "err", err)
	}
}

// pendingWrite is one compare-and-swap whose outcome may still be unclear.
type pendingWrite struct {
	mark     mark
	document Document
	value    []byte
}

func (w pendingWrite) written(version int64) Document {
	document := w.document
	document.Version = version
	return document
}

// apply repeats the same swap until its outcome is known. Repeating it is safe
// because the version that it replaces lets it take effect at most once.
func (k *Keeper) apply(ctx context.Context, write pendingWrite) (Document, error) {
	unclear := false
	for {
		version, err := k.Store.Swap(ctx, write.document.Key, write.mark.base, write.value, 0)
		if err == nil {
			return write.written(version), nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) && unclear {
			return resolve(write, conflict)
		}
		var lost *UnclearError
		if errors.As(err, &lost) {
			unclear = true
		} else if !unclear {
			return Document{}, err
		}
		if !k.pause(ctx) {
			return Document{}, &UnclearError{Operation: "swap", Err: err}
		}
		if write.mark.base == 0 {
			return k.resolveCreation(ctx, write)
		}
	}
}

// resolveCreation reads back a creation whose answer was lost. It is not sent
// again, because a deletion in between would let it take effect twice.
func (k *Keeper) resolveCreation(ctx context.Context, write pendingWrite) (Document, error) {
	for {
		entry, err := k.Store.Get(ctx, write.document.Key)
		if err == nil {
			return resolve(write, &ConflictError{Current: entry})
		}
		if !k.pause(ctx) {
			return Document{}, &UnclearError{Operation: "swap", Err: err}
		}
	}
}

// resolve tells from a conflicting document what became of a write whose answer
// was lost.
func resolve(write pendingWrite, conflict *ConflictError) (Document, error) {
	current, err := DecodeDocument(conflict.Current)
	if err != nil {
		return Document{}, &UnclearError{Operation: "swap", Err: err}
	}
	became, version := current.effectOf(write.mark)
	switch became {
	case effectApplied:
		return write.written(version), nil
	case effectNone:
		return Document{}, conflict
	default:
		return Document{}, &UnclearError{Operation: "swap", Err: errForgotten}
	}
}

func (k *Keeper) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-k.Clock.After(retryPause):
		return true
	}
}

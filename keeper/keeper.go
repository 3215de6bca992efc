package keeper

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"
)

// retryPause is the delay between attempts to resolve an unclear write.
const retryPause = 50 * time.Millisecond

// errHistoryTooShort reports that the history of a document does not reach back to a
// write.
var errHistoryTooShort = errors.New("the history of the document no longer tells")

// Keeper reads and changes documents of the store. If the answer to a write is lost,
// it determines the outcome from the writer marks that each document carries. It is
// safe for concurrent use.
type Keeper struct {
	// Store is the platform's key-value service.
	Store Store
	// Clock times the retries.
	Clock clockwork.Clock
	// Writer identifies this incarnation of the process. It is never reused.
	Writer string

	sequence atomic.Int64
	locks    keyLocks
}

// ChangeFunc computes the new body of a document. A nil body deletes the document. An
// error ends the update without effect.
type ChangeFunc func(current Document) (body []byte, err error)

// Read returns a document.
func (k *Keeper) Read(ctx context.Context, key string) (Document, error) {
	entry, err := k.Store.Get(ctx, key)
	if err != nil {
		return Document{}, err
	}
	return DecodeDocument(entry)
}

// Update changes a document by compare-and-swap and calls change again after each
// conflict. When Update returns nil, the document that change returned last is
// durable. It returns an *UnclearError if the answer to a write was lost and its
// outcome could not be determined, because ctx ended or the history of the document
// does not reach back to the write.
func (k *Keeper) Update(ctx context.Context, key string, change ChangeFunc) (Document, error) {
	unlock, err := k.locks.lock(ctx, key)
	if err != nil {
		return Document{}, &UnavailableError{Operation: "update", Err: err}
	}
	defer unlock()
	current, err := k.Read(ctx, key)
	if err != nil {
		return Document{}, err
	}
	return k.swapFrom(ctx, current, change)
}

// UpdateFrom is Update for a document that the caller already knows, which saves the
// read. The function change first sees the known document, and the stored one after a
// conflict.
func (k *Keeper) UpdateFrom(ctx context.Context, known Document, change ChangeFunc) (Document, error) {
	unlock, err := k.locks.lock(ctx, known.Key)
	if err != nil {
		return Document{}, &UnavailableError{Operation: "update", Err: err}
	}
	defer unlock()
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
		mark: writeMark{writer: k.Writer, sequence: k.sequence.Add(1), base: current.Version},
	}
	write.document = current.with(write.mark, body)
	write.value, err = write.document.encode()
	if err != nil {
		return current, &FormatError{Key: current.Key, Err: err}
	}
	written, err := k.apply(ctx, write)
	if err == nil && body == nil {
		k.removeTombstone(ctx, written)
	}
	return written, err
}

// removeTombstone removes the tombstone of a deleted document. Its outcome does not
// matter: a tombstone that stays is read as an absent document.
func (k *Keeper) removeTombstone(ctx context.Context, tombstone Document) {
	if _, err := k.Store.Swap(ctx, tombstone.Key, tombstone.Version, nil, 0); err != nil {
		klog.V(1).InfoS("Failed to remove the tombstone", "key", tombstone.Key, "err", err)
	}
}

// pendingWrite is one compare-and-swap whose outcome may still be unclear.
type pendingWrite struct {
	mark     writeMark
	document Document
	value    []byte
}

func (w pendingWrite) written(version int64) Document {
	document := w.document
	document.Version = version
	return document
}

// apply repeats the same swap until its outcome is known. Repetition is safe because
// the version that the swap replaces lets it take effect at most once.
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
		var unclearErr *UnclearError
		if errors.As(err, &unclearErr) {
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

// resolveCreation determines by a read whether a creation whose answer was lost took
// effect. The creation is not sent again, because a deletion in between would let it
// take effect twice.
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

// resolve determines from a conflicting document what became of a write whose answer
// was lost.
func resolve(write pendingWrite, conflict *ConflictError) (Document, error) {
	current, err := DecodeDocument(conflict.Current)
	if err != nil {
		return Document{}, &UnclearError{Operation: "swap", Err: err}
	}
	writeEffect, version := current.effectOf(write.mark)
	switch writeEffect {
	case effectApplied:
		return write.written(version), nil
	case effectNone:
		return Document{}, conflict
	default:
		return Document{}, &UnclearError{Operation: "swap", Err: errHistoryTooShort}
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

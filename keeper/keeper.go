package keeper

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// retryPause is the pause between attempts to resolve an unclear write.
const retryPause = 50 * time.Millisecond

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
// returns nil. It returns an *UnclearError only where ctx ended before the
// outcome of a write could be resolved.
func (k *Keeper) Update(ctx context.Context, key string, change ChangeFunc) (Document, error) {
	return k.update(ctx, key, 0, change)
}

// UpdateWithLease is Update for a document that ends with the lease.
func (k *Keeper) UpdateWithLease(ctx context.Context, key string, lease LeaseID, change ChangeFunc) (Document, error) {
	return k.update(ctx, key, lease, change)
}

func (k *Keeper) update(ctx context.Context, key string, lease LeaseID, change ChangeFunc) (Document, error) {
	end, err := k.turns.take(ctx, key)
	if err != nil {
		return Document{}, &UnavailableError{Operation: "update", Err: err}
	}
	defer end()
	current, err := k.Read(ctx, key)
	if err != nil {
		return Document{}, err
	}
	for {
		written, err := k.swap(ctx, current, lease, change)
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

func (k *Keeper) swap(ctx context.Context, current Document, lease LeaseID, change ChangeFunc) (Document, error) {
	body, err := change(current)
	if err != nil {
		return current, err
	}
	write := pendingWrite{document: current, body: body, lease: lease, sequence: k.sequence.Add(1)}
	if body != nil {
		write.value, err = current.encode(k.Writer, write.sequence, body)
		if err != nil {
			return current, &FormatError{Key: current.Key, Err: err}
		}
	}
	return k.apply(ctx, write)
}

// pendingWrite is one compare-and-swap whose outcome may still be unclear.
type pendingWrite struct {
	document Document
	body     []byte
	value    []byte
	lease    LeaseID
	sequence int64
}

func (w pendingWrite) written(version int64, writer string) Document {
	marks := []writerMark{{writer: writer, sequence: w.sequence}}
	for _, mark := range w.document.writers {
		if mark.writer != writer {
			marks = append(marks, mark)
		}
	}
	return Document{Key: w.document.Key, Version: version, Body: w.body, writers: marks}
}

// apply repeats the same swap until its outcome is known. Repeating it is safe
// because the expected version lets it take effect at most once.
func (k *Keeper) apply(ctx context.Context, write pendingWrite) (Document, error) {
	unclear := false
	for {
		version, err := k.Store.Swap(ctx, write.document.Key, write.document.Version, write.value, write.lease)
		if err == nil {
			return write.written(version, k.Writer), nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return k.resolve(write, conflict, unclear)
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
	}
}

func (k *Keeper) resolve(write pendingWrite, conflict *ConflictError, unclear bool) (Document, error) {
	if !unclear {
		return Document{}, conflict
	}
	if write.value == nil && conflict.Current.Version == 0 {
		return Document{Key: write.document.Key}, nil
	}
	current, err := DecodeDocument(conflict.Current)
	if err != nil {
		return Document{}, err
	}
	if current.hasWrite(k.Writer, write.sequence) {
		return write.written(current.Version, k.Writer), nil
	}
	return Document{}, conflict
}

func (k *Keeper) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-k.Clock.After(retryPause):
		return true
	}
}

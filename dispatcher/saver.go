package dispatcher

import (
	"context"
	"errors"

	"k8s.io/klog/v2"
)

// save stores changes, one batch at a time, until ctx ends or the cell is superseded.
func (r *Runner) save(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.changed:
		}
		r.mu.Lock()
		_, urgent := r.Cell.Changed()
		r.mu.Unlock()
		if !urgent {
			r.awaitMoreChanges(ctx)
		}
		if err := r.saveAll(ctx); err != nil {
			return err
		}
	}
}

// awaitMoreChanges waits for saveDelay, so that a batch covers more changes. It
// returns early once a client may be waiting for one.
func (r *Runner) awaitMoreChanges(ctx context.Context) {
	limit := r.Clock.After(saveDelay)
	for {
		select {
		case <-ctx.Done():
			return
		case <-limit:
			return
		case <-r.changed:
		}
		r.mu.Lock()
		_, urgent := r.Cell.Changed()
		r.mu.Unlock()
		if urgent {
			return
		}
	}
}

// saveAll stores batches until no change is left, and retries a failed one.
func (r *Runner) saveAll(ctx context.Context) error {
	for ctx.Err() == nil {
		more, err := r.saveOnce(ctx)
		switch {
		case errors.Is(err, ErrSuperseded):
			return err
		case err != nil:
			klog.ErrorS(err, "Failed to store progress; retrying", "cell", r.Cell.Name)
			r.sleep(ctx, storeRetryDelay)
		case !more:
			return nil
		}
	}
	return nil
}

// saveOnce stores the next batch. It reports whether there was one.
func (r *Runner) saveOnce(ctx context.Context) (bool, error) {
	r.mu.Lock()
	batch := r.Cell.NextBatch(r.Clock.Now(), maxBatchJobs)
	r.mu.Unlock()
	if batch == nil {
		return false, nil
	}
	err := r.Archive.Save(ctx, batch)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.Cell.BatchStored(r.Clock.Now(), batch)
		r.Cell.RevisionProven(r.Archive.ProvenRevision())
	} else {
		r.Cell.BatchFailed(batch)
	}
	if errors.Is(err, ErrRelocationRefused) {
		r.Cell.RelocationRefused(r.Clock.Now(), batch)
	}
	if errors.Is(err, ErrPartRefused) {
		r.Cell.PartRefused(r.Clock.Now(), batch)
	}
	close(r.stored)
	r.stored = make(chan struct{})
	if err == nil && batch.Part != nil {
		r.runAsync(func() {
			r.OtherCells.Deliver(ctx, *batch.Part)
			signal(r.delivered)
		})
	}
	if err == nil && batch.Relocation != nil {
		r.runAsync(func() {
			r.OtherCells.Deliver(ctx, Part{Cell: batch.Relocation.Cell, Job: batch.Relocation.Job})
			signal(r.delivered)
		})
	}
	return true, err
}

// awaitStored waits, for at most maxAcknowledgementDelay, until the ends of a worker
// may be acknowledged. Polled earlier, the worker would list them again.
func (r *Runner) awaitStored(ctx context.Context, id string) {
	limit := r.Clock.After(maxAcknowledgementDelay)
	for {
		r.mu.Lock()
		w := r.Cell.workers[id]
		pending := w != nil && (w.lastEnd > w.acknowledgedEnd || len(w.heldEnds) > 0 || w.listedIncompletely)
		stored := r.stored
		r.mu.Unlock()
		if !pending {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-limit:
			return
		case <-stored:
		}
	}
}

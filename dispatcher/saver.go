package dispatcher

import (
	"context"
	"errors"

	"k8s.io/klog/v2"
)

// save stores what has changed, one batch at a time.
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
			r.gather(ctx)
		}
		if err := r.saveAll(ctx); err != nil {
			return err
		}
	}
}

// gather waits for more changes, until a client may be waiting for one.
func (r *Runner) gather(ctx context.Context) {
	limit := r.Clock.After(storeDelay)
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

func (r *Runner) saveAll(ctx context.Context) error {
	for ctx.Err() == nil {
		more, err := r.saveOnce(ctx)
		switch {
		case errors.Is(err, ErrSuperseded):
			return err
		case err != nil:
			klog.ErrorS(err, "Progress not stored, trying again", "cell", r.Cell.Name)
			r.sleep(ctx, storeRetry)
		case !more:
			return nil
		}
	}
	return nil
}

// saveOnce stores the next batch. It reports whether there was one.
func (r *Runner) saveOnce(ctx context.Context) (bool, error) {
	r.mu.Lock()
	batch := r.Cell.TakeBatch(r.Clock.Now(), batchLimit)
	r.mu.Unlock()
	if batch == nil {
		return false, nil
	}
	err := r.Archive.Save(ctx, batch)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.Cell.Stored(batch)
	} else {
		r.Cell.Unstored(batch)
	}
	close(r.stored)
	r.stored = make(chan struct{})
	if err == nil && batch.Part != nil {
		r.goOn(func() { r.Others.Deliver(ctx, *batch.Part) })
	}
	return true, err
}

// awaitStored waits until the ends of a worker may be acknowledged, so that it
// doesn't list them again at once.
func (r *Runner) awaitStored(ctx context.Context, id string) {
	limit := r.Clock.After(maxUnstored)
	for {
		r.mu.Lock()
		w := r.Cell.workers[id]
		open := w != nil && w.seen > w.acknowledged
		stored := r.stored
		r.mu.Unlock()
		if !open {
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

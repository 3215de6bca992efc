package dispatcher

import (
	"context"

	"k8s.io/klog/v2"
)

// look looks at a worker for as long as the cell knows it.
func (r *Runner) look(ctx context.Context, id string) {
	for ctx.Err() == nil {
		answer, known := r.lookOnce(ctx, id, true)
		if !known {
			return
		}
		if answer != AnswerTaken {
			r.sleep(ctx, lookRetry)
			continue
		}
		r.awaitStored(ctx, id)
	}
}

// lookOnce looks at a worker once; wait lets the worker wait for an end.
func (r *Runner) lookOnce(ctx context.Context, id string, wait bool) (StartAnswer, bool) {
	r.mu.Lock()
	sent := r.Clock.Now()
	order, known := r.Cell.Look(sent, id)
	if !known {
		delete(r.looks, id)
	}
	r.mu.Unlock()
	if !known {
		return "", false
	}
	if !wait {
		order.Wait = 0
	}
	listing, answer, err := r.Workers.Look(ctx, order)
	if err != nil {
		klog.V(1).InfoS("Look failed", "worker", id, "answer", answer, "err", err)
	}
	r.mu.Lock()
	r.Cell.Looked(r.Clock.Now(), sent, order, listing, answer)
	r.mu.Unlock()
	signal(r.wake)
	return answer, true
}

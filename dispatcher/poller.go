package dispatcher

import (
	"context"

	"k8s.io/klog/v2"
)

// pollWorker polls a worker until ctx ends or the cell no longer knows the worker.
func (r *Runner) pollWorker(ctx context.Context, id string) {
	for ctx.Err() == nil {
		answer, known := r.pollOnce(ctx, id, true)
		if !known {
			return
		}
		if answer != AnswerAccepted {
			r.sleep(ctx, pollRetryDelay)
			continue
		}
		r.awaitStored(ctx, id)
	}
}

// pollOnce polls a worker once. wait allows the worker to wait for a run to end before
// it answers. It returns the worker's answer and reports whether the worker is known.
func (r *Runner) pollOnce(ctx context.Context, id string, wait bool) (Answer, bool) {
	r.mu.Lock()
	r.detectSuspension()
	sent := r.Clock.Now()
	order, known := r.Cell.NextPoll(sent, id)
	if !known {
		delete(r.polled, id)
	}
	r.mu.Unlock()
	if !known {
		return "", false
	}
	if !wait {
		order.Wait = 0
	}
	listing, answer, err := r.Workers.Poll(ctx, order)
	if ctx.Err() != nil {
		return answer, true // that it has no answer tells nothing of the worker
	}
	if err != nil {
		klog.V(1).InfoS("Poll failed", "worker", id, "answer", answer, "err", err)
	}
	r.mu.Lock()
	r.Cell.HandlePollAnswer(r.Clock.Now(), sent, order, listing, answer)
	r.mu.Unlock()
	signal(r.wake)
	return answer, true
}

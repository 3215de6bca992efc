package dispatcher

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// pollWorker polls a worker until ctx ends or the cell no longer knows the worker.
func (r *Runner) pollWorker(ctx context.Context, id string) {
	pause := time.Duration(0)
	for ctx.Err() == nil {
		answer, known := r.pollOnce(ctx, id, true)
		if !known {
			return
		}
		if answer != AnswerAccepted {
			pause = r.pollPause(id, pause)
			r.sleep(ctx, pause)
			continue
		}
		pause = 0
		r.awaitStored(ctx, id)
	}
}

const (
	// MaxUrgentPolls is how many urgent polls of a worker are on their way at once, urgentPollDelay the time between them.
	MaxUrgentPolls  = 4
	urgentPollDelay = 25 * time.Millisecond
	// urgentRetryDelay is the pause after the first poll without an answer if the next one is urgent. It grows by an
	// urgentRetryShare each time, up to pollRetryDelay.
	urgentRetryDelay = 20 * time.Millisecond
	urgentRetryShare = 4
)

// pollPause returns the pause after a poll of a worker that wasn't answered, given the one before, 0 if the last poll was answered.
func (r *Runner) pollPause(id string, last time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.Cell.workers[id]; w == nil || !r.Clock.Now().Before(w.lateStartsUntil) {
		return pollRetryDelay
	}
	return min(max(urgentRetryDelay, last+last/urgentRetryShare), pollRetryDelay)
}

// pollReply is the outcome of a poll.
type pollReply struct {
	listing Listing
	answer  Answer
	err     error
}

// sendPoll sends a poll. It sends an urgent one again while there is no answer, and returns the first that accepts, or the last.
func (r *Runner) sendPoll(ctx context.Context, order PollOrder) (Listing, Answer, error) {
	if !order.Urgent {
		return r.Workers.Poll(ctx, order)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan pollReply, MaxUrgentPolls)
	send := func() {
		r.runAsync(func() {
			listing, answer, err := r.Workers.Poll(ctx, order)
			replies <- pollReply{listing, answer, err}
		})
	}
	send()
	for sent, answered := 1, 0; ; {
		var next <-chan time.Time
		if sent < MaxUrgentPolls {
			next = r.Clock.After(urgentPollDelay)
		}
		select {
		case reply := <-replies:
			answered++
			if reply.answer == AnswerAccepted || reply.answer != AnswerUnknown || answered == sent {
				return reply.listing, reply.answer, reply.err
			}
		case <-next:
			send()
			sent++
		}
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
	listing, answer, err := r.sendPoll(ctx, order)
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

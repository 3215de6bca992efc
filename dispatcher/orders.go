package dispatcher

import (
	"context"

	"k8s.io/klog/v2"
)

func (r *Runner) start(ctx context.Context, order StartOrder) {
	answer, err := r.Workers.Start(ctx, order)
	if err != nil {
		klog.V(1).InfoS("Start order failed", "task", order.Task, "run", order.Run, "worker", order.Worker.ID, "answer", answer, "err", err)
	}
	r.mu.Lock()
	r.Cell.HandleStartAnswer(r.Clock.Now(), order, answer)
	r.mu.Unlock()
	switch {
	case answer == AnswerUnknown:
		r.pollOnce(ctx, order.Worker.ID, false)
	case answer == AnswerAccepted && order.Trial && r.sleep(ctx, promptAge):
		r.pollOnce(ctx, order.Worker.ID, false)
	}
	if answer != AnswerAccepted {
		signal(r.wake)
	}
}

func (r *Runner) stop(ctx context.Context, order StopOrder) {
	answer, err := r.Workers.Stop(ctx, order)
	if err != nil {
		klog.V(1).InfoS("Stop order failed", "task", order.Task, "run", order.Run, "worker", order.Worker.ID, "answer", answer, "err", err)
	}
	r.mu.Lock()
	r.Cell.HandleStopAnswer(r.Clock.Now(), order, answer)
	r.mu.Unlock()
	if answer == AnswerAccepted {
		r.pollOnce(ctx, order.Worker.ID, false)
	}
	signal(r.wake)
}

func (r *Runner) throttle(ctx context.Context, order ThrottleOrder) {
	answer, err := r.Workers.Throttle(ctx, order)
	r.mu.Lock()
	r.Cell.HandleThrottleAnswer(order, answer)
	r.mu.Unlock()
	if answer != AnswerAccepted {
		klog.V(1).InfoS("Throttle order failed", "task", order.Task, "run", order.Run, "worker", order.Worker.ID, "answer", answer, "err", err)
	}
}

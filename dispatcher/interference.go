package dispatcher

import (
	"math"
	"slices"
	"time"

	"zinniashore.example/estimator"
)

const (
	// headroomMargin is the headroom that is kept free above 1, which is the headroom at
	// the latency target.
	headroomMargin = 0.3
	// minThrottleChange is the smallest change of a throttle level, in percentage
	// points, for which an order is sent.
	minThrottleChange = 15
	// throttleInterval separates computations of the throttle levels of a worker.
	throttleInterval = 300 * time.Millisecond
	// haltDelay is how long a task may exceed its latency target before all best-effort
	// tasks on its worker are halted.
	haltDelay = 1500 * time.Millisecond
	// migrationThrottle is the throttle level, in percent, below which a best-effort
	// task moves to another worker if possible, after migrationDelay.
	migrationThrottle = 40
	migrationDelay    = time.Second
	// returnDelay is how long a task isn't placed on the worker that it was moved from.
	returnDelay = 3 * time.Second
)

// processorShare returns the share of the worker's processors that a size takes.
func (w *worker) processorShare(size Size) float64 {
	return float64(size.MilliProcessors) / float64(max(w.registration.Capacity.MilliProcessors, 1))
}

// bestEffortLoads returns the load of each best-effort image on the worker at the
// current throttle levels, as a share of the worker's processors.
func (w *worker) bestEffortLoads() map[string]float64 {
	loads := map[string]float64{}
	for _, r := range w.runs {
		step := r.task.step.step
		if step.BestEffort {
			loads[step.Image] += w.processorShare(step.Size) * float64(r.throttle) / fullPercent
		}
	}
	return loads
}

// reportedLoads returns the load of each best-effort image on the worker according to
// the processor usage that its runs last reported.
func (w *worker) reportedLoads() []estimator.ColocatedLoad {
	var loads []estimator.ColocatedLoad
	for _, r := range w.sortedRuns() {
		step := r.task.step.step
		if !step.BestEffort || r.usage <= 0 {
			continue
		}
		load := w.processorShare(Size{MilliProcessors: r.usage})
		i := slices.IndexFunc(loads, func(n estimator.ColocatedLoad) bool { return n.Name == step.Image })
		if i >= 0 {
			loads[i].Load += load
		} else {
			loads = append(loads, estimator.ColocatedLoad{Name: step.Image, Load: load})
		}
	}
	return loads
}

// observeTails passes the tail latencies that a poll of a worker returned to the
// headroom estimator.
func (c *Cell) observeTails(now time.Time, w *worker) {
	if w.servingRuns == 0 {
		return
	}
	loads := w.reportedLoads()
	for _, r := range w.sortedRuns() {
		step := r.task.step.step
		if step.TailTarget == 0 || r.percent < fullPercent || r.usage <= 0 {
			continue
		}
		c.headrooms.Observe(now, estimator.TailReport{
			Job: r.task.id.Job, Image: step.Image,
			Tail: time.Duration(r.usage) * time.Millisecond, Target: step.TailTarget, Colocated: loads,
		})
		r.updateOverTarget(now)
	}
}

// updateOverTarget updates overTargetSince from the reported tail latency.
func (r *run) updateOverTarget(now time.Time) {
	switch {
	case time.Duration(r.usage)*time.Millisecond <= r.task.step.step.TailTarget:
		r.overTargetSince = time.Time{}
	case r.overTargetSince.IsZero():
		r.overTargetSince = now
	}
}

// remainingHeadroom returns the headroom of a long-running task that is left beside
// the given loads on its worker.
func (c *Cell) remainingHeadroom(r *run, loads map[string]float64) float64 {
	remaining := c.headrooms.Baseline(r.task.id.Job) - 1 - headroomMargin
	for image, load := range loads {
		remaining -= load * c.headrooms.Effect(r.task.step.step.Image, image)
	}
	return remaining
}

// maxInterference is the greatest share of a long-running task's remaining headroom
// that one best-effort task may take. It is below 1 because the headroom shrinks when
// the task's own load rises.
const maxInterference = 0.7

// minEffect is the effect on the headroom up to which a best-effort task is ignored.
const minEffect = 0.05

// planThrottles returns the orders that throttle the best-effort tasks because of which
// long-running tasks exceed their latency targets, and the orders that raise the
// throttle levels again once there is headroom.
func (c *Cell) planThrottles(now time.Time) []ThrottleOrder {
	var orders []ThrottleOrder
	for _, w := range c.workers {
		if w.bestEffortRuns == 0 || now.Sub(w.throttledAt) < throttleInterval {
			continue
		}
		w.throttledAt = now
		levels := c.throttleLevels(now, w)
		for _, r := range w.sortedRuns() {
			throttle, bestEffort := levels[r]
			if !bestEffort || r.phase != phaseConfirmed {
				continue
			}
			if r.needsThrottleOrder(throttle) {
				r.setThrottle(now, throttle)
				orders = append(orders, ThrottleOrder{
					Worker: w.registration, Task: r.task.id, Run: r.number, Percent: throttle, Epoch: w.fence.Token(),
				})
			}
			c.migrateThrottled(now, r)
		}
	}
	return orders
}

// needsThrottleOrder reports whether a throttle level differs enough from the current
// one to send an order, or the last order wasn't accepted.
func (r *run) needsThrottleOrder(throttle int) bool {
	change := max(throttle-r.throttle, r.throttle-throttle)
	return !r.throttleAccepted || change >= minThrottleChange || change > 0 && (throttle == 0 || throttle == fullPercent)
}

// HandleThrottleAnswer applies a worker's answer to a throttle order. An order that
// wasn't accepted is sent again.
func (c *Cell) HandleThrottleAnswer(order ThrottleOrder, answer Answer) {
	w, known := c.workers[order.Worker.ID]
	if !known {
		return
	}
	if r := w.runs[runKey{task: order.Task, run: order.Run}]; r != nil && r.throttle == order.Percent {
		r.throttleAccepted = answer == AnswerAccepted
	}
}

func (r *run) setThrottle(now time.Time, throttle int) {
	r.throttleAccepted = true
	if throttle < migrationThrottle && r.throttle >= migrationThrottle {
		r.throttledSince = now
	}
	r.throttle = throttle
}

// migrateThrottled stops a best-effort task that has been strongly throttled for
// migrationDelay, if it has checkpoints and another worker can run it.
func (c *Cell) migrateThrottled(now time.Time, r *run) {
	if r.throttle >= migrationThrottle || now.Sub(r.throttledSince) < migrationDelay || !r.task.step.step.Checkpoints {
		return
	}
	if w := c.selectWorker(now, r.task); w != nil && w != r.worker {
		r.task.movedFrom, r.task.movedAt = r.worker.registration.ID, now
		c.stop(r)
	}
}

// throttleLevels returns the throttle level of each best-effort run on a worker at
// which the worker's long-running tasks are expected to meet their latency targets.
func (c *Cell) throttleLevels(now time.Time, w *worker) map[*run]int {
	levels := map[*run]int{}
	loads := map[string]float64{}
	for _, r := range w.runs {
		if step := r.task.step.step; step.BestEffort {
			levels[r] = fullPercent
			loads[step.Image] += w.processorShare(step.Size)
		}
	}
	for _, serving := range w.sortedRuns() {
		if serving.task.step.step.TailTarget == 0 || serving.percent < fullPercent {
			continue
		}
		if !serving.overTargetSince.IsZero() && now.Sub(serving.overTargetSince) > haltDelay {
			for r := range levels {
				levels[r] = 0
			}
			return levels
		}
		c.throttleFor(serving, levels, loads)
	}
	return levels
}

// throttleFor lowers throttle levels until a long-running task is expected to meet its
// latency target. Runs with the greatest effect on the task are throttled first.
func (c *Cell) throttleFor(serving *run, levels map[*run]int, loads map[string]float64) {
	excess := -c.remainingHeadroom(serving, loads)
	if excess <= 0 {
		return
	}
	image, w := serving.task.step.step.Image, serving.worker
	effect := func(r *run) float64 {
		step := r.task.step.step
		return w.processorShare(step.Size) * c.headrooms.Effect(image, step.Image)
	}
	runs := make([]*run, 0, len(levels))
	for r := range levels {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if ea, eb := effect(a), effect(b); ea != eb {
			if ea > eb {
				return -1
			}
			return 1
		}
		return int(a.number - b.number)
	})
	for _, r := range runs {
		full := effect(r)
		if excess <= 0 || full < minEffect {
			return
		}
		current := full * float64(levels[r]) / fullPercent
		kept := math.Max(0, current-excess)
		throttle := int(kept / full * fullPercent)
		if throttle < minThrottle {
			throttle = 0
		}
		step := r.task.step.step
		loads[step.Image] -= w.processorShare(step.Size) * float64(levels[r]-throttle) / fullPercent
		excess -= full * float64(levels[r]-throttle) / fullPercent
		levels[r] = throttle
	}
}

// minThrottle is the throttle level, in percent, below which a best-effort task is
// halted.
const minThrottle = 10

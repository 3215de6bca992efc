package placer

import "time"

// Parameters of throttling.
const (
	// minThrottle is the lowest throttle. A task that still interferes at it is evicted.
	minThrottle = 0.25
	// throttleStepFactor is the factor by which one step lowers a throttle. A step that
	// lifts it divides by the same factor.
	throttleStepFactor = 0.5
	// reportLag is the time after which reports reflect an action on a worker.
	reportLag = 20 * time.Second
	// liftInterval is the minimum time between a change of a throttle and the step that
	// lifts it.
	liftInterval = time.Minute
)

// protectAdjuster keeps the measured slowdown of services below a limit. It throttles the
// co-located task that interferes most, then evicts it, and lifts throttles once the
// services are no longer slowed down.
type protectAdjuster struct{}

// Adjust implements Adjuster.
func (a protectAdjuster) Adjust(builder *PlanBuilder) {
	if builder.ledger.snapshot.Estimates == nil {
		return
	}
	for _, info := range builder.ledger.workers {
		worst, slowdown := worstService(builder.ledger, info)
		switch {
		case worst == nil:
			a.lift(builder, info, 1)
		case slowdown > throttleThreshold:
			a.throttleOrEvict(builder, info, worst)
		default:
			a.lift(builder, info, slowdown)
		}
	}
}

func worstService(l *ledger, info *workerInfo) (*allocation, float64) {
	var worst *allocation
	slowdown := 0.0
	for _, alloc := range info.services {
		if measured := l.measuredSlowdown(alloc); !alloc.evicting && measured > slowdown {
			worst, slowdown = alloc, measured
		}
	}
	return worst, slowdown
}

// reportsSettled reports whether the last action on a worker is reflected in the reports.
func reportsSettled(l *ledger, info *workerInfo) bool {
	now := l.snapshot.Now
	for _, alloc := range info.allocations {
		if alloc.evicting || now.Sub(alloc.task.ThrottledAt) < reportLag {
			return false
		}
	}
	return true
}

func (protectAdjuster) throttleOrEvict(builder *PlanBuilder, info *workerInfo, service *allocation) {
	if !reportsSettled(builder.ledger, info) {
		return
	}
	alloc := mostInterfering(builder.ledger, info, service)
	if alloc == nil {
		return
	}
	throttle := throttleOf(alloc.task)
	if throttle > minThrottle {
		builder.throttle(info, alloc, clampThrottle(throttle*throttleStepFactor), "slows down "+service.task.ID)
		return
	}
	if builder.ledger.evictions < builder.budget {
		builder.evict(info, alloc, "slows down "+service.task.ID)
	}
}

// similarInterference is the share of the greatest interference at or above which the
// interference of another task counts as similar.
const similarInterference = 0.5

// mostInterfering returns, among the batch tasks that interfere most with a service, the
// one with the most slack.
func mostInterfering(l *ledger, info *workerInfo, service *allocation) *allocation {
	candidates := batchAllocations(info)
	highest := 0.0
	for _, alloc := range candidates {
		highest = max(highest, l.interference(service, alloc))
	}
	var chosen *allocation
	for _, alloc := range candidates {
		similar := l.interference(service, alloc) >= similarInterference*highest
		if similar && (chosen == nil || l.hasMoreSlack(alloc, chosen)) {
			chosen = alloc
		}
	}
	return chosen
}

// interference returns the excess slowdown that an allocation is expected to cause a
// service at its current throttle.
func (l *ledger) interference(service, alloc *allocation) float64 {
	return l.pairExcess(service.template, alloc.template) * throttleOf(alloc.task)
}

// hasMoreSlack reports whether a has more slack than b. A task without a deadline has
// more slack than any other.
func (l *ledger) hasMoreSlack(a, b *allocation) bool {
	slackA, limitedA := l.allocationSlack(a)
	slackB, limitedB := l.allocationSlack(b)
	if limitedA != limitedB {
		return limitedB
	}
	return slackA > slackB
}

// lift raises one throttle of a worker by a step if the expected increase of slowdown is
// acceptable to its services.
func (protectAdjuster) lift(builder *PlanBuilder, info *workerInfo, slowdown float64) {
	if !reportsSettled(builder.ledger, info) {
		return
	}
	alloc := mostUrgentThrottled(builder.ledger, info)
	if alloc == nil {
		return
	}
	throttle := throttleOf(alloc.task)
	raised := clampThrottle(throttle / throttleStepFactor)
	if slowdown+(raised-throttle)*maxPairExcess(builder.ledger, info, alloc) < liftThreshold {
		builder.throttle(info, alloc, raised, "the services beside it are well")
	}
}

// mostUrgentThrottled returns the throttled batch task with the least slack, among those
// whose throttle has not changed for liftInterval.
func mostUrgentThrottled(l *ledger, info *workerInfo) *allocation {
	var chosen *allocation
	for _, alloc := range batchAllocations(info) {
		stable := l.snapshot.Now.Sub(alloc.task.ThrottledAt) >= liftInterval
		if throttleOf(alloc.task) < 1 && stable && (chosen == nil || l.hasMoreSlack(chosen, alloc)) {
			chosen = alloc
		}
	}
	return chosen
}

// maxPairExcess returns the greatest excess slowdown that an allocation is expected to
// cause any service of its worker.
func maxPairExcess(l *ledger, info *workerInfo, alloc *allocation) float64 {
	worst := 0.0
	for _, service := range info.services {
		worst = max(worst, l.pairExcess(service.template, alloc.template))
	}
	return worst
}

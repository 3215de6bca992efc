package placer

import "time"

// Steps of throttling.
const (
	minThrottle    = 0.25
	throttleFactor = 0.5
	// settleTime is how long an action on a worker takes to show in reports.
	settleTime = 20 * time.Second
	// calmTime is how long a throttle stays before it is lifted by a step.
	calmTime = time.Minute
)

// protectReaction keeps the measured slowdown of services below a limit: it
// throttles the neighbour that disturbs most, then evicts it, and lifts
// throttles once the services are well.
type protectReaction struct{}

// React implements Reaction.
func (x protectReaction) React(r *Reactor) {
	if r.ledger.snapshot.Estimates == nil {
		return
	}
	for _, place := range r.ledger.rooms {
		worst, slowdown := worstService(r.ledger, place)
		switch {
		case worst == nil:
			x.lift(r, place, 1)
		case slowdown > measuredHigh:
			x.restrain(r, place, worst)
		default:
			x.lift(r, place, slowdown)
		}
	}
}

func worstService(l *ledger, place *room) (*tenant, float64) {
	var worst *tenant
	slowdown := 0.0
	for _, t := range place.services {
		if measured := l.measured(t); !t.leaving && measured > slowdown {
			worst, slowdown = t, measured
		}
	}
	return worst, slowdown
}

// settled reports whether the last action on a room shows in the reports.
func settled(l *ledger, place *room) bool {
	now := l.snapshot.Now
	for _, t := range place.tenants {
		if t.leaving || now.Sub(t.task.ThrottledAt) < settleTime {
			return false
		}
	}
	return true
}

func (protectReaction) restrain(r *Reactor, place *room, service *tenant) {
	if !settled(r.ledger, place) {
		return
	}
	t := mostDisturbing(r.ledger, place, service)
	if t == nil {
		return
	}
	throttle := throttleOf(t.task)
	if throttle > minThrottle {
		r.throttle(place, t, clampThrottle(throttle*throttleFactor), "slows down "+service.task.ID)
		return
	}
	if r.ledger.evictions < r.budget {
		r.evict(place, t, "slows down "+service.task.ID)
	}
}

// similarPart is the part of the greatest disturbance from which another counts as
// similar.
const similarPart = 0.5

// mostDisturbing returns, of the batch neighbours that cost a service most, the
// one that can best wait.
func mostDisturbing(l *ledger, place *room, service *tenant) *tenant {
	neighbours := batchTenants(place)
	highest := 0.0
	for _, t := range neighbours {
		highest = max(highest, l.disturbance(service, t))
	}
	var chosen *tenant
	for _, t := range neighbours {
		similar := l.disturbance(service, t) >= similarPart*highest
		if similar && (chosen == nil || l.waitsBetter(t, chosen)) {
			chosen = t
		}
	}
	return chosen
}

// disturbance is what a tenant costs a service at its present throttle.
func (l *ledger) disturbance(service, t *tenant) float64 {
	return l.pair(service.template, t.template) * throttleOf(t.task)
}

// waitsBetter reports whether a has more time to spare than b.
func (l *ledger) waitsBetter(a, b *tenant) bool {
	slackA, limitedA := l.tenantSlack(a)
	slackB, limitedB := l.tenantSlack(b)
	if limitedA != limitedB {
		return limitedB
	}
	return slackA > slackB
}

// lift raises one throttle of a room by a step, if the services bear what that is
// expected to add to their slowdown.
func (protectReaction) lift(r *Reactor, place *room, slowdown float64) {
	if !settled(r.ledger, place) {
		return
	}
	t := mostHeldBack(r.ledger, place)
	if t == nil {
		return
	}
	throttle := throttleOf(t.task)
	raised := clampThrottle(throttle / throttleFactor)
	if slowdown+(raised-throttle)*worstPair(r.ledger, place, t) < measuredLow {
		r.throttle(place, t, raised, "the services beside it are well")
	}
}

// mostHeldBack returns the throttled tenant with the least time to spare, of those
// whose throttle has not changed lately.
func mostHeldBack(l *ledger, place *room) *tenant {
	var chosen *tenant
	for _, t := range batchTenants(place) {
		calm := l.snapshot.Now.Sub(t.task.ThrottledAt) >= calmTime
		if throttleOf(t.task) < 1 && calm && (chosen == nil || l.waitsBetter(chosen, t)) {
			chosen = t
		}
	}
	return chosen
}

// worstPair is the greatest slowdown above 1 that a tenant is expected to cause a
// service of its room.
func worstPair(l *ledger, place *room, t *tenant) float64 {
	worst := 0.0
	for _, service := range place.services {
		worst = max(worst, l.pair(service.template, t.template))
	}
	return worst
}

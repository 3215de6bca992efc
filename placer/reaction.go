package placer

import (
	"cmp"
	"slices"
	"time"
)

// PlacementPriority is the priority at which waiting tasks are served. Reactions of
// a lower number act before that, the others after it.
const PlacementPriority = 1000

// Reaction acts on tasks that are placed.
type Reaction interface {
	// React plans actions through the reactor.
	React(r *Reactor)
}

// DefaultReactions returns the reactions that a Placer uses when it has none set.
func DefaultReactions() []Prioritized[Reaction] {
	return []Prioritized[Reaction]{
		{Value: vacateReaction{}, Priority: 100},
		{Value: resizeReaction{}, Priority: 200},
		{Value: protectReaction{}, Priority: 300},
		{Value: growReaction{}, Priority: PlacementPriority + 100},
		{Value: gatherReaction{}, Priority: PlacementPriority + 200},
	}
}

// Reactor is what a Reaction sees of a decision and acts through.
type Reactor struct {
	ledger *ledger
	plan   *Plan
	budget int
}

func (r *Reactor) evict(place *room, t *tenant, reason string) {
	r.ledger.release(place, t)
	r.plan.evict(Action{
		Task:   t.task.ID,
		Worker: place.worker.ID,
		Reason: reason,
	})
}

// vacateReaction moves tasks off workers that are leaving.
type vacateReaction struct{}

// serviceShare is the part of the instances of a group that may be evicted from
// leaving workers at once.
const serviceShare = 4

// React implements Reaction.
func (vacateReaction) React(r *Reactor) {
	allowance := groupAllowance(r.ledger)
	for _, place := range r.ledger.rooms {
		if place.worker.State != WorkerLeaving {
			continue
		}
		for _, t := range place.tenants {
			if t.leaving || t.task.State != TaskPlaced {
				continue
			}
			if t.task.Class == ClassService {
				if allowance[t.task.Group] <= 0 {
					continue
				}
				allowance[t.task.Group]--
			}
			r.evict(place, t, "its worker is leaving")
		}
	}
}

// groupAllowance counts how many instances of each group may still be evicted.
func groupAllowance(l *ledger) map[string]int {
	instances := map[string]int{}
	missing := map[string]int{}
	for i := range l.snapshot.Tasks {
		task := &l.snapshot.Tasks[i]
		if task.Class != ClassService {
			continue
		}
		instances[task.Group]++
		if task.State != TaskPlaced {
			missing[task.Group]++
		}
	}
	allowance := map[string]int{}
	for group, count := range instances {
		allowance[group] = max(1, count/serviceShare) - missing[group]
	}
	return allowance
}

// resizeReaction follows what was learned of the sizes of placed tasks, and
// evicts where a worker is promised more than it has.
type resizeReaction struct{}

// resizeStep is the relative difference from which a reservation is changed.
const resizeStep = 0.1

// React implements Reaction.
func (x resizeReaction) React(r *Reactor) {
	if r.ledger.snapshot.Estimates == nil {
		return
	}
	for _, place := range r.ledger.rooms {
		for _, t := range place.tenants {
			if resizable(r.ledger, t) {
				x.resize(r, place, t)
			}
		}
		x.relieve(r, place)
	}
}

// resize plans a new reservation. Growth counts at once, and what shrinking
// frees counts from the next snapshot on. Processors do not grow here. Memory that
// does not fit counts all the same, so that relieve makes room, and is recorded
// once it fits.
func (resizeReaction) resize(r *Reactor, place *room, t *tenant) {
	wanted := r.ledger.sizeFor(t.task)
	wanted.Processors = min(wanted.Processors, t.held.Processors)
	if differs(wanted, t.held) {
		r.resize(place, t, wanted)
	}
}

// resize counts the growth of a tenant and plans its new reservation if that fits.
func (r *Reactor) resize(place *room, t *tenant, wanted Size) {
	grown := wanted.Max(t.held)
	growth := grown.Minus(t.held)
	fits := growth.Within(place.free.Max(Size{}))
	place.free = place.free.Minus(growth)
	t.held = grown
	t.resized = true
	r.ledger.use[t.task.Organisation] = r.ledger.use[t.task.Organisation].Plus(growth)
	if !fits {
		return
	}
	r.plan.Actions = append(r.plan.Actions, Action{
		Kind:     ActionResize,
		Task:     t.task.ID,
		Worker:   place.worker.ID,
		Reserved: wanted,
	})
}

// growReaction gives placed tasks the processors that they were learned to use,
// out of what the waiting tasks have left.
type growReaction struct{}

// React implements Reaction.
func (growReaction) React(r *Reactor) {
	if r.ledger.snapshot.Estimates == nil {
		return
	}
	for _, place := range r.ledger.rooms {
		for _, t := range place.tenants {
			if !resizable(r.ledger, t) || t.resized {
				continue
			}
			wanted := t.held
			wanted.Processors = max(t.held.Processors, r.ledger.sizeFor(t.task).Processors)
			if differs(wanted, t.held) && wanted.Minus(t.held).Within(place.free.Max(Size{})) {
				r.resize(place, t, wanted)
			}
		}
	}
}

// resizable reports whether a tenant runs in one place with a reservation on record,
// and its size is learned.
func resizable(l *ledger, t *tenant) bool {
	single := t.task.State == TaskPlaced && len(t.task.Workers) == 1
	recorded := t.task.Reserved != Size{}
	return single && recorded && !t.leaving && l.learned(t.task.Template)
}

func differs(a, b Size) bool {
	return differsBy(a.Processors, b.Processors) || differsBy(a.Memory, b.Memory)
}

func differsBy(a, b int64) bool {
	difference := float64(max(a-b, b-a))
	return difference > resizeStep*float64(max(a, b))
}

// relieve evicts batch tasks, cheapest first, until the memory that is needed
// fits the worker.
func (resizeReaction) relieve(r *Reactor, place *room) {
	if place.expected().Memory >= 0 {
		return
	}
	candidates := batchTenants(place)
	slices.SortStableFunc(candidates, func(a, b *tenant) int {
		return cmp.Compare(evictionCost(r.ledger, a), evictionCost(r.ledger, b))
	})
	for _, t := range candidates {
		if place.expected().Memory >= 0 {
			return
		}
		r.evict(place, t, "its worker lacks memory")
	}
}

func batchTenants(place *room) []*tenant {
	var found []*tenant
	for _, t := range place.tenants {
		if !t.leaving && t.task.State == TaskPlaced && t.task.Class == ClassBatch {
			found = append(found, t)
		}
	}
	return found
}

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

func throttleOf(task *Task) float64 {
	if task.Throttle == 0 {
		return 1
	}
	return task.Throttle
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

func (r *Reactor) throttle(place *room, t *tenant, throttle float64, reason string) {
	r.plan.Actions = append(r.plan.Actions, Action{
		Kind:     ActionThrottle,
		Task:     t.task.ID,
		Worker:   place.worker.ID,
		Throttle: throttle,
		Reason:   reason,
	})
}

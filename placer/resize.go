package placer

import (
	"cmp"
	"slices"
)

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

package placer

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Claim lets a waiting task that finds no room have others evicted.
type Claim interface {
	// Entitles reports whether the task may evict at all.
	Entitles(w *Waiter) bool
	// Yields reports whether the placed task has to make room for the waiter.
	Yields(w *Waiter, placed Placed) bool
	// Budgeted reports whether the evictions count against the budget.
	Budgeted() bool
}

// Placed is a placed task as the claims see it.
type Placed struct {
	// Task is the task.
	Task *Task
	// Over tells that its organisation exceeds its quota.
	Over bool
	// Slack is the time that it can still wait and end by its deadline. It is
	// negative if it will be late, and meaningless without a deadline.
	Slack time.Duration
}

// yieldable reports whether a placed task is batch work that is not urgent.
func (p Placed) yieldable() bool {
	return p.Task.Class == ClassBatch && !p.Task.Urgent
}

// DefaultClaims returns the claims that a Placer uses when it has none set.
func DefaultClaims() []Prioritized[Claim] {
	return []Prioritized[Claim]{
		{Value: urgentClaim{}, Priority: 100},
		{Value: serviceClaim{}, Priority: 200},
		{Value: quotaClaim{}, Priority: 300},
		{Value: deadlineClaim{}, Priority: 400},
	}
}

// urgentClaim lets urgent work evict batch work that is not urgent.
type urgentClaim struct{}

// Entitles implements Claim.
func (urgentClaim) Entitles(w *Waiter) bool {
	return w.Task.Urgent
}

// Yields implements Claim.
func (urgentClaim) Yields(_ *Waiter, placed Placed) bool {
	return placed.yieldable()
}

// Budgeted implements Claim.
func (urgentClaim) Budgeted() bool {
	return false
}

// serviceClaim lets services evict batch work.
type serviceClaim struct{}

// Entitles implements Claim.
func (serviceClaim) Entitles(w *Waiter) bool {
	return w.Task.Class == ClassService
}

// Yields implements Claim.
func (serviceClaim) Yields(_ *Waiter, placed Placed) bool {
	return placed.yieldable()
}

// Budgeted implements Claim.
func (serviceClaim) Budgeted() bool {
	return false
}

// quotaClaim lets work within its organisation's quota reclaim what others have
// borrowed.
type quotaClaim struct{}

// Entitles implements Claim.
func (quotaClaim) Entitles(w *Waiter) bool {
	return !w.Borrowing && w.Reclaimable
}

// Yields implements Claim.
func (quotaClaim) Yields(w *Waiter, placed Placed) bool {
	return placed.yieldable() && placed.Over && placed.Task.Organisation != w.Task.Organisation
}

// Budgeted implements Claim.
func (quotaClaim) Budgeted() bool {
	return true
}

// criticalSlack is the slack below which a task is about to miss its deadline.
const criticalSlack = 10 * time.Minute

// deadlineClaim lets work evict work of a lower priority that can wait until it
// has ended, once the time left to its deadline is less than twice what it is
// expected to need.
type deadlineClaim struct{}

// Entitles implements Claim.
func (deadlineClaim) Entitles(w *Waiter) bool {
	return w.slackRank == 0 && !w.Borrowing && w.slack < max(criticalSlack, w.remaining)
}

// Yields implements Claim.
func (deadlineClaim) Yields(w *Waiter, placed Placed) bool {
	if !placed.yieldable() || placed.Task.Priority >= w.Task.Priority {
		return false
	}
	if placed.Task.Deadline.IsZero() {
		return true
	}
	return placed.Task.Deadline.After(w.Task.Deadline) && placed.Slack > w.remaining+criticalSlack
}

// maxEvictions is the number of evictions after which a task no longer yields to
// budgeted claims.
const maxEvictions = 3

// Budgeted implements Claim.
func (deadlineClaim) Budgeted() bool {
	return true
}

// victims is a set of tenants of one room whose eviction makes room.
type victims struct {
	room    *room
	tenants []*tenant
	cost    float64
}

// claimRoom finds the cheapest evictions that make room for a waiter, plans them
// and keeps the room. It reports whether room is coming.
func (p *Placer) claimRoom(l *ledger, plan *Plan, w *Waiter) (string, bool) {
	if r := p.comingRoom(l, w); r != nil {
		l.hold(r, w.Size)
		return fmt.Sprintf("waits until evicted tasks have left %s", r.worker.ID), true
	}
	for _, claim := range sorted(p.Claims) {
		if !claim.Entitles(w) {
			continue
		}
		if claim.Budgeted() && l.evictions >= p.EvictionBudget {
			continue
		}
		best := p.cheapestVictims(l, w, claim)
		if best.room == nil {
			continue
		}
		p.evictFor(l, plan, w, best)
		return fmt.Sprintf("waits until %d evicted tasks have left %s", len(best.tenants), best.room.worker.ID), true
	}
	return "", false
}

// comingRoom finds a room where evictions under way already make room.
func (p *Placer) comingRoom(l *ledger, w *Waiter) *room {
	for _, r := range l.rooms {
		if r.coming == (Size{}) || !w.Size.Within(r.expected()) {
			continue
		}
		if p.admitsAfter(l, w, r, nil) {
			return r
		}
	}
	return nil
}

// admitsAfter reports whether the filters admit a waiter to a room once the
// tenants that leave and the given victims are gone.
func (p *Placer) admitsAfter(l *ledger, w *Waiter, r *room, gone []*tenant) bool {
	after := &room{worker: r.worker, free: r.expected()}
	for _, t := range r.tenants {
		if t.leaving {
			continue
		}
		if slices.Contains(gone, t) {
			after.free = after.free.Plus(t.held)
			continue
		}
		after.tenants = append(after.tenants, t)
		if t.task.Class == ClassService {
			kept := *t
			after.services = append(after.services, &kept)
		}
	}
	if !w.Size.Within(after.free) {
		return false
	}
	for _, service := range after.services {
		service.excess = l.excessBeside(service, after)
	}
	c := l.candidate(w.Task, w.Size, after)
	_, admitted := p.admits(&c)
	return admitted
}

func (p *Placer) cheapestVictims(l *ledger, w *Waiter, claim Claim) victims {
	var best victims
	for _, r := range l.rooms {
		if r.worker.State != WorkerReady || !allowed(w.Task, r.worker) {
			continue
		}
		found, enough := p.chooseVictims(l, w, claim, r)
		if enough && (best.room == nil || found.cost < best.cost) {
			best = found
		}
	}
	return best
}

// chooseVictims takes the tenants of a room that have to yield, cheapest first,
// until the waiter is admitted, and leaves out those that turn out not to be
// needed.
func (p *Placer) chooseVictims(l *ledger, w *Waiter, claim Claim, r *room) (victims, bool) {
	yielding := yieldingTenants(l, w, claim, r)
	if len(yielding) == 0 || !p.admitsAfter(l, w, r, yielding) {
		return victims{}, false
	}
	chosen := victims{room: r}
	for _, t := range yielding {
		chosen.tenants = append(chosen.tenants, t)
		if p.admitsAfter(l, w, r, chosen.tenants) {
			break
		}
	}
	for i := len(chosen.tenants) - 1; i >= 0; i-- {
		fewer := slices.Delete(slices.Clone(chosen.tenants), i, i+1)
		if p.admitsAfter(l, w, r, fewer) {
			chosen.tenants = fewer
		}
	}
	for _, t := range chosen.tenants {
		chosen.cost += evictionCost(l, t)
	}
	return chosen, true
}

// yieldingTenants returns the tenants of a room that have to yield together,
// cheapest first. An organisation yields no more than it exceeds its quota by.
func yieldingTenants(l *ledger, w *Waiter, claim Claim, r *room) []*tenant {
	var yielding []*tenant
	taken := map[string]Size{}
	for _, t := range byEvictionCost(l, eachYields(l, w, claim, r)) {
		organisation := t.task.Organisation
		if claim.Yields(w, l.placed(t, taken[organisation])) {
			yielding = append(yielding, t)
			taken[organisation] = taken[organisation].Plus(t.held)
		}
	}
	return yielding
}

// eachYields returns the tenants of a room that would have to yield alone.
func eachYields(l *ledger, w *Waiter, claim Claim, r *room) []*tenant {
	var yielding []*tenant
	for _, t := range r.tenants {
		spared := claim.Budgeted() && t.task.Evictions >= maxEvictions
		if spared || t.leaving || t.task.State != TaskPlaced {
			continue
		}
		if claim.Yields(w, l.placed(t, Size{})) {
			yielding = append(yielding, t)
		}
	}
	return yielding
}

// placed returns a tenant as the claims see it, after a size has been taken from
// its organisation.
func (l *ledger) placed(t *tenant, taken Size) Placed {
	slack, _ := l.tenantSlack(t)
	over := l.borrows(t.task.Organisation, Size{}.Minus(taken))
	return Placed{Task: t.task, Over: over, Slack: slack}
}

// byEvictionCost sorts tenants, cheapest to evict first.
func byEvictionCost(l *ledger, tenants []*tenant) []*tenant {
	slices.SortStableFunc(tenants, func(a, b *tenant) int {
		return cmp.Compare(evictionCost(l, a), evictionCost(l, b))
	})
	return tenants
}

// Weights of the cost of an eviction.
const (
	// evictionBase is the cost of any eviction.
	evictionBase = 1.0
	// priorityCost is the cost of a priority.
	priorityCost = 4.0
	// quotaCost is the cost of evicting work within its quota.
	quotaCost = 2.0
	// repeatCost is the cost of each earlier eviction of the same task.
	repeatCost = 2.0
	// hurryCost is the cost of evicting work that is close to its deadline.
	hurryCost = 16.0
	// lostHour is the cost of an hour of a processor that may be lost.
	lostHour = 0.5
)

// evictionCost weighs what an eviction loses.
func evictionCost(l *ledger, t *tenant) float64 {
	cost := evictionBase + priorityCost*float64(t.task.Priority) + repeatCost*float64(t.task.Evictions)
	if !l.borrows(t.task.Organisation, Size{}) {
		cost += quotaCost
	}
	if left, limited := l.tenantSlack(t); limited && left < 2*criticalSlack {
		cost += hurryCost
	}
	if !t.task.Since.IsZero() {
		ran := l.snapshot.Now.Sub(t.task.Since).Hours()
		cost += lostHour * ran * float64(t.held.Processors) / milliPerProcessor
	}
	return cost
}

// urgentCheckpoint limits the checkpoint of a task that yields to urgent work.
const urgentCheckpoint = time.Second

func (p *Placer) evictFor(l *ledger, plan *Plan, w *Waiter, chosen victims) {
	var within time.Duration
	if w.Task.Urgent {
		within = urgentCheckpoint
	}
	for _, t := range chosen.tenants {
		l.release(chosen.room, t)
		plan.evict(Action{
			Task:   t.task.ID,
			Worker: chosen.room.worker.ID,
			Within: within,
			Reason: "makes room for " + w.Task.ID,
		})
	}
	l.hold(chosen.room, w.Size)
}

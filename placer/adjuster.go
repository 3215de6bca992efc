package placer

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

func (r *Reactor) throttle(place *room, t *tenant, throttle float64, reason string) {
	r.plan.Actions = append(r.plan.Actions, Action{
		Kind:     ActionThrottle,
		Task:     t.task.ID,
		Worker:   place.worker.ID,
		Throttle: throttle,
		Reason:   reason,
	})
}

// batchTenants returns the placed batch tasks of a room.
func batchTenants(place *room) []*tenant {
	var found []*tenant
	for _, t := range place.tenants {
		if !t.leaving && t.task.State == TaskPlaced && t.task.Class == ClassBatch {
			found = append(found, t)
		}
	}
	return found
}

// throttleOf is the throttle of a task, 1 if it has none.
func throttleOf(task *Task) float64 {
	if task.Throttle == 0 {
		return 1
	}
	return task.Throttle
}

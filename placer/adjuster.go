package placer

// PlacementPriority is the priority at which waiting tasks are placed. Adjusters with a
// lower number run before that, the others after it.
const PlacementPriority = 1000

// Adjuster evicts, throttles or resizes placed tasks.
type Adjuster interface {
	// Adjust adds actions to the plan through the builder.
	Adjust(builder *PlanBuilder)
}

// DefaultAdjusters returns the adjusters that a Placer uses if none are set.
func DefaultAdjusters() []Prioritized[Adjuster] {
	return []Prioritized[Adjuster]{
		{Value: drainAdjuster{}, Priority: 100},
		{Value: resizeAdjuster{}, Priority: 200},
		{Value: protectAdjuster{}, Priority: 300},
		{Value: growAdjuster{}, Priority: PlacementPriority + 100},
		{Value: consolidateAdjuster{}, Priority: PlacementPriority + 200},
	}
}

// PlanBuilder gives an Adjuster access to the state of a decision and adds its actions to
// the plan.
type PlanBuilder struct {
	ledger *ledger
	plan   *Plan
	budget int
}

func (b *PlanBuilder) evict(info *workerInfo, alloc *allocation, reason string) {
	b.ledger.markEvicting(info, alloc)
	b.plan.evict(Action{
		Task:   alloc.task.ID,
		Worker: info.worker.ID,
		Reason: reason,
	})
}

func (b *PlanBuilder) throttle(info *workerInfo, alloc *allocation, throttle float64, reason string) {
	b.plan.Actions = append(b.plan.Actions, Action{
		Kind:     ActionThrottle,
		Task:     alloc.task.ID,
		Worker:   info.worker.ID,
		Throttle: throttle,
		Reason:   reason,
	})
}

// batchAllocations returns the allocations of placed batch tasks on a worker.
func batchAllocations(info *workerInfo) []*allocation {
	var found []*allocation
	for _, alloc := range info.allocations {
		if !alloc.evicting && alloc.task.State == TaskPlaced && alloc.task.Class == ClassBatch {
			found = append(found, alloc)
		}
	}
	return found
}

// throttleOf returns the throttle of a task, 1 if none is set.
func throttleOf(task *Task) float64 {
	if task.Throttle == 0 {
		return 1
	}
	return task.Throttle
}

package placer

import (
	"cmp"
	"slices"
)

// resizeAdjuster adapts the reservations of placed tasks to their learned sizes, and
// evicts batch tasks from workers whose memory is overcommitted.
type resizeAdjuster struct{}

// resizeThreshold is the relative difference above which a reservation is changed.
const resizeThreshold = 0.1

// Adjust implements Adjuster.
func (a resizeAdjuster) Adjust(builder *PlanBuilder) {
	if builder.ledger.snapshot.Estimates == nil {
		return
	}
	for _, info := range builder.ledger.workers {
		for _, alloc := range info.allocations {
			if resizable(builder.ledger, alloc) {
				a.resize(builder, info, alloc)
			}
		}
		a.evictForMemory(builder, info)
	}
}

// resize plans a new reservation of an allocation. Growth takes effect in the ledger at
// once; the size that shrinking frees is available from the next snapshot on. Processors
// do not grow here. Growth of memory that does not fit is subtracted all the same, so
// that evictForMemory frees memory, and is planned once it fits.
func (resizeAdjuster) resize(builder *PlanBuilder, info *workerInfo, alloc *allocation) {
	wanted := builder.ledger.sizeFor(alloc.task)
	wanted.Processors = min(wanted.Processors, alloc.reserved.Processors)
	if differs(wanted, alloc.reserved) {
		builder.resize(info, alloc, wanted)
	}
}

// resize subtracts the growth of an allocation and plans its new reservation if the
// growth fits.
func (b *PlanBuilder) resize(info *workerInfo, alloc *allocation, wanted Size) {
	grown := wanted.Max(alloc.reserved)
	growth := grown.Minus(alloc.reserved)
	fits := growth.Within(info.free.Max(Size{}))
	info.free = info.free.Minus(growth)
	alloc.reserved = grown
	alloc.resized = true
	b.ledger.usage[alloc.task.Organisation] = b.ledger.usage[alloc.task.Organisation].Plus(growth)
	if !fits {
		return
	}
	b.plan.Actions = append(b.plan.Actions, Action{
		Kind:     ActionResize,
		Task:     alloc.task.ID,
		Worker:   info.worker.ID,
		Reserved: wanted,
	})
}

// growAdjuster grows the processors of placed tasks to their learned size, from the
// capacity that the waiting tasks leave free.
type growAdjuster struct{}

// Adjust implements Adjuster.
func (growAdjuster) Adjust(builder *PlanBuilder) {
	if builder.ledger.snapshot.Estimates == nil {
		return
	}
	for _, info := range builder.ledger.workers {
		for _, alloc := range info.allocations {
			if !resizable(builder.ledger, alloc) || alloc.resized {
				continue
			}
			wanted := alloc.reserved
			wanted.Processors = max(alloc.reserved.Processors, builder.ledger.sizeFor(alloc.task).Processors)
			if differs(wanted, alloc.reserved) && wanted.Minus(alloc.reserved).Within(info.free.Max(Size{})) {
				builder.resize(info, alloc, wanted)
			}
		}
	}
}

// resizable reports whether an allocation is placed on exactly one worker with a recorded
// reservation, and its size is learned.
func resizable(l *ledger, alloc *allocation) bool {
	single := alloc.task.State == TaskPlaced && len(alloc.task.Workers) == 1
	recorded := alloc.task.Reserved != Size{}
	return single && recorded && !alloc.evicting && l.learned(alloc.task.Template)
}

func differs(a, b Size) bool {
	return differsBy(a.Processors, b.Processors) || differsBy(a.Memory, b.Memory)
}

func differsBy(a, b int64) bool {
	difference := float64(max(a-b, b-a))
	return difference > resizeThreshold*float64(max(a, b))
}

// evictForMemory evicts batch tasks, cheapest first, until the reserved memory fits the
// worker.
func (resizeAdjuster) evictForMemory(builder *PlanBuilder, info *workerInfo) {
	if info.futureFree().Memory >= 0 {
		return
	}
	candidates := batchAllocations(info)
	slices.SortStableFunc(candidates, func(a, b *allocation) int {
		return cmp.Compare(evictionCost(builder.ledger, a), evictionCost(builder.ledger, b))
	})
	for _, alloc := range candidates {
		if info.futureFree().Memory >= 0 {
			return
		}
		builder.evict(info, alloc, "its worker lacks memory")
	}
}

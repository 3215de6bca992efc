package placer

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// PreemptionPolicy decides which placed tasks a waiting task may evict if no worker has
// enough free capacity for it.
type PreemptionPolicy interface {
	// MayPreempt reports whether the waiting task may evict others under this policy.
	MayPreempt(queued *QueuedTask) bool
	// Evicts reports whether the waiting task may evict the placed task.
	Evicts(queued *QueuedTask, placed PlacedTask) bool
	// Budgeted reports whether the evictions count against the eviction budget.
	Budgeted() bool
}

// PlacedTask is a placed task as a PreemptionPolicy sees it.
type PlacedTask struct {
	// Task is the task.
	Task *Task
	// OverQuota is true if the task's organisation exceeds its quota.
	OverQuota bool
	// Slack is the time for which the task can still wait and end by its deadline. It is
	// negative if the task will be late, and undefined without a deadline.
	Slack time.Duration
}

// preemptible reports whether the task is batch work that is not urgent.
func (p PlacedTask) preemptible() bool {
	return p.Task.Class == ClassBatch && !p.Task.Urgent
}

// DefaultPreemptionPolicies returns the policies that a Placer uses if none are set.
func DefaultPreemptionPolicies() []Prioritized[PreemptionPolicy] {
	return []Prioritized[PreemptionPolicy]{
		{Value: urgentPreemption{}, Priority: 100},
		{Value: servicePreemption{}, Priority: 200},
		{Value: quotaPreemption{}, Priority: 300},
		{Value: deadlinePreemption{}, Priority: 400},
	}
}

// urgentPreemption lets urgent tasks evict batch tasks that are not urgent.
type urgentPreemption struct{}

// MayPreempt implements PreemptionPolicy.
func (urgentPreemption) MayPreempt(queued *QueuedTask) bool {
	return queued.Task.Urgent
}

// Evicts implements PreemptionPolicy.
func (urgentPreemption) Evicts(_ *QueuedTask, placed PlacedTask) bool {
	return placed.preemptible()
}

// Budgeted implements PreemptionPolicy.
func (urgentPreemption) Budgeted() bool {
	return false
}

// servicePreemption lets services evict batch tasks that are not urgent.
type servicePreemption struct{}

// MayPreempt implements PreemptionPolicy.
func (servicePreemption) MayPreempt(queued *QueuedTask) bool {
	return queued.Task.Class == ClassService
}

// Evicts implements PreemptionPolicy.
func (servicePreemption) Evicts(_ *QueuedTask, placed PlacedTask) bool {
	return placed.preemptible()
}

// Budgeted implements PreemptionPolicy.
func (servicePreemption) Budgeted() bool {
	return false
}

// quotaPreemption lets tasks within their organisation's quota reclaim what other
// organisations have borrowed.
type quotaPreemption struct{}

// MayPreempt implements PreemptionPolicy.
func (quotaPreemption) MayPreempt(queued *QueuedTask) bool {
	return !queued.Borrowing && queued.Reclaimable
}

// Evicts implements PreemptionPolicy.
func (quotaPreemption) Evicts(queued *QueuedTask, placed PlacedTask) bool {
	return placed.preemptible() && placed.OverQuota && placed.Task.Organisation != queued.Task.Organisation
}

// Budgeted implements PreemptionPolicy.
func (quotaPreemption) Budgeted() bool {
	return true
}

// criticalSlack is the slack below which a task is about to miss its deadline.
const criticalSlack = 10 * time.Minute

// deadlinePreemption lets a task evict tasks of a lower priority that can wait until it
// has ended. It applies once the slack of the task is below its remaining run time, or
// below criticalSlack.
type deadlinePreemption struct{}

// MayPreempt implements PreemptionPolicy.
func (deadlinePreemption) MayPreempt(queued *QueuedTask) bool {
	return queued.slackRank == 0 && !queued.Borrowing && queued.slack < max(criticalSlack, queued.remaining)
}

// Evicts implements PreemptionPolicy.
func (deadlinePreemption) Evicts(queued *QueuedTask, placed PlacedTask) bool {
	if !placed.preemptible() || placed.Task.Priority >= queued.Task.Priority {
		return false
	}
	if placed.Task.Deadline.IsZero() {
		return true
	}
	return placed.Task.Deadline.After(queued.Task.Deadline) && placed.Slack > queued.remaining+criticalSlack
}

// maxEvictions is the number of evictions from which a task is no longer evicted under
// budgeted policies.
const maxEvictions = 3

// Budgeted implements PreemptionPolicy.
func (deadlinePreemption) Budgeted() bool {
	return true
}

// victims is a set of allocations of one worker whose eviction lets a waiting task be
// placed there.
type victims struct {
	info        *workerInfo
	allocations []*allocation
	cost        float64
}

// preempt finds the cheapest evictions that free enough capacity for a waiting task,
// plans them and reserves the capacity. It reports whether capacity is being freed, and
// the detail of the wait.
func (p *Placer) preempt(l *ledger, plan *Plan, queued *QueuedTask) (string, bool) {
	if info := p.releasingWorker(l, queued); info != nil {
		l.reserve(info, queued.Size)
		return fmt.Sprintf("waits until evicted tasks have left %s", info.worker.ID), true
	}
	for _, policy := range sorted(p.PreemptionPolicies) {
		if !policy.MayPreempt(queued) {
			continue
		}
		if policy.Budgeted() && l.evictions >= p.EvictionBudget {
			continue
		}
		best := p.cheapestVictims(l, queued, policy)
		if best.info == nil {
			continue
		}
		p.evictVictims(l, plan, queued, best)
		return fmt.Sprintf("waits until %d evicted tasks have left %s", len(best.allocations), best.info.worker.ID), true
	}
	return "", false
}

// releasingWorker returns a worker on which the evictions in progress free enough
// capacity, or nil.
func (p *Placer) releasingWorker(l *ledger, queued *QueuedTask) *workerInfo {
	for _, info := range l.workers {
		if info.releasing == (Size{}) || !queued.Size.Within(info.futureFree()) {
			continue
		}
		if p.admitsWithout(l, queued, info, nil) {
			return info
		}
	}
	return nil
}

// admitsWithout reports whether the filters admit a waiting task to a worker once the
// allocations that are being evicted and the given ones are gone.
func (p *Placer) admitsWithout(l *ledger, queued *QueuedTask, info *workerInfo, removed []*allocation) bool {
	after := &workerInfo{worker: info.worker, free: info.futureFree()}
	for _, alloc := range info.allocations {
		if alloc.evicting {
			continue
		}
		if slices.Contains(removed, alloc) {
			after.free = after.free.Plus(alloc.reserved)
			continue
		}
		after.allocations = append(after.allocations, alloc)
		if alloc.task.Class == ClassService {
			kept := *alloc
			after.services = append(after.services, &kept)
		}
	}
	if !queued.Size.Within(after.free) {
		return false
	}
	for _, service := range after.services {
		service.excess = l.totalExcess(service, after)
	}
	c := l.candidate(queued.Task, queued.Size, after)
	_, admitted := p.admits(&c)
	return admitted
}

func (p *Placer) cheapestVictims(l *ledger, queued *QueuedTask, policy PreemptionPolicy) victims {
	var best victims
	for _, info := range l.workers {
		if info.worker.State != WorkerReady || !allowed(queued.Task, info.worker) {
			continue
		}
		found, enough := p.selectVictims(l, queued, policy, info)
		if enough && (best.info == nil || found.cost < best.cost) {
			best = found
		}
	}
	return best
}

// selectVictims selects evictable allocations of a worker, cheapest first, until the
// waiting task is admitted, and then drops those that turn out not to be needed.
func (p *Placer) selectVictims(l *ledger, queued *QueuedTask, policy PreemptionPolicy, info *workerInfo) (victims, bool) {
	preemptible := preemptibleTogether(l, queued, policy, info)
	if len(preemptible) == 0 || !p.admitsWithout(l, queued, info, preemptible) {
		return victims{}, false
	}
	chosen := victims{info: info}
	for _, alloc := range preemptible {
		chosen.allocations = append(chosen.allocations, alloc)
		if p.admitsWithout(l, queued, info, chosen.allocations) {
			break
		}
	}
	for i := len(chosen.allocations) - 1; i >= 0; i-- {
		fewer := slices.Delete(slices.Clone(chosen.allocations), i, i+1)
		if p.admitsWithout(l, queued, info, fewer) {
			chosen.allocations = fewer
		}
	}
	for _, alloc := range chosen.allocations {
		chosen.cost += evictionCost(l, alloc)
	}
	return chosen, true
}

// preemptibleTogether returns the allocations of a worker that may be evicted together,
// cheapest first. Under a policy that depends on quotas, an organisation loses tasks only
// while it exceeds its quota.
func preemptibleTogether(l *ledger, queued *QueuedTask, policy PreemptionPolicy, info *workerInfo) []*allocation {
	var preemptible []*allocation
	taken := map[string]Size{}
	for _, alloc := range sortByEvictionCost(l, preemptibleAlone(l, queued, policy, info)) {
		organisation := alloc.task.Organisation
		if policy.Evicts(queued, l.placedTask(alloc, taken[organisation])) {
			preemptible = append(preemptible, alloc)
			taken[organisation] = taken[organisation].Plus(alloc.reserved)
		}
	}
	return preemptible
}

// preemptibleAlone returns the allocations of a worker that may be evicted if no other
// one is.
func preemptibleAlone(l *ledger, queued *QueuedTask, policy PreemptionPolicy, info *workerInfo) []*allocation {
	var preemptible []*allocation
	for _, alloc := range info.allocations {
		spared := policy.Budgeted() && alloc.task.Evictions >= maxEvictions
		if spared || alloc.evicting || alloc.task.State != TaskPlaced {
			continue
		}
		if policy.Evicts(queued, l.placedTask(alloc, Size{})) {
			preemptible = append(preemptible, alloc)
		}
	}
	return preemptible
}

// placedTask returns an allocation as the policies see it, after a size has been
// subtracted from the usage of its organisation.
func (l *ledger) placedTask(alloc *allocation, taken Size) PlacedTask {
	slack, _ := l.allocationSlack(alloc)
	over := l.borrows(alloc.task.Organisation, Size{}.Minus(taken))
	return PlacedTask{Task: alloc.task, OverQuota: over, Slack: slack}
}

// sortByEvictionCost sorts allocations by the cost of their eviction, cheapest first.
func sortByEvictionCost(l *ledger, allocations []*allocation) []*allocation {
	slices.SortStableFunc(allocations, func(a, b *allocation) int {
		return cmp.Compare(evictionCost(l, a), evictionCost(l, b))
	})
	return allocations
}

// Weights of the cost of an eviction.
const (
	// evictionBaseCost is the cost of any eviction.
	evictionBaseCost = 1.0
	// priorityCost is the cost for each level of priority.
	priorityCost = 4.0
	// quotaCost is the cost of evicting a task of an organisation within its quota.
	quotaCost = 2.0
	// repeatCost is the cost for each earlier eviction of the same task.
	repeatCost = 2.0
	// deadlineCost is the cost of evicting a task that is close to its deadline.
	deadlineCost = 16.0
	// lostHourCost is the cost of a processor hour of work that may be lost.
	lostHourCost = 0.5
)

// evictionCost returns the cost of evicting an allocation.
func evictionCost(l *ledger, alloc *allocation) float64 {
	cost := evictionBaseCost + priorityCost*float64(alloc.task.Priority) + repeatCost*float64(alloc.task.Evictions)
	if !l.borrows(alloc.task.Organisation, Size{}) {
		cost += quotaCost
	}
	if left, limited := l.allocationSlack(alloc); limited && left < 2*criticalSlack {
		cost += deadlineCost
	}
	if !alloc.task.Since.IsZero() {
		ran := l.snapshot.Now.Sub(alloc.task.Since).Hours()
		cost += lostHourCost * ran * float64(alloc.reserved.Processors) / milliPerProcessor
	}
	return cost
}

// urgentCheckpointLimit limits the checkpoint of a task that is evicted for an urgent
// one.
const urgentCheckpointLimit = time.Second

func (p *Placer) evictVictims(l *ledger, plan *Plan, queued *QueuedTask, chosen victims) {
	var within time.Duration
	if queued.Task.Urgent {
		within = urgentCheckpointLimit
	}
	for _, alloc := range chosen.allocations {
		l.markEvicting(chosen.info, alloc)
		plan.evict(Action{
			Task:   alloc.task.ID,
			Worker: chosen.info.worker.ID,
			Within: within,
			Reason: "makes room for " + queued.Task.ID,
		})
	}
	l.reserve(chosen.info, queued.Size)
}

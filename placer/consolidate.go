package placer

import (
	"cmp"
	"slices"
)

// consolidateAdjuster moves the instances of services together, one at a time, while
// batch tasks wait for workers without services.
type consolidateAdjuster struct{}

// Adjust implements Adjuster.
func (a consolidateAdjuster) Adjust(builder *PlanBuilder) {
	blocked := false
	for _, waiting := range builder.plan.Waiting {
		blocked = blocked || waiting.Code == ReasonInterference
	}
	if !blocked {
		return
	}
	unsettled := unsettledGroups(builder.ledger)
	for _, info := range workersByServices(builder.ledger) {
		alloc := info.services[0]
		settled := alloc.task.State == TaskPlaced && !alloc.evicting && !unsettled[alloc.task.Group]
		if !settled || alloc.task.Evictions >= maxEvictions {
			continue
		}
		if a.fitsElsewhere(builder.ledger, info, alloc) {
			builder.evict(info, alloc, "joins other services")
			return
		}
	}
}

// workersByServices returns the ready workers that run services, sorted by their number
// of services.
func workersByServices(l *ledger) []*workerInfo {
	var found []*workerInfo
	for _, info := range l.workers {
		if len(info.services) > 0 && info.worker.State == WorkerReady {
			found = append(found, info)
		}
	}
	slices.SortStableFunc(found, func(a, b *workerInfo) int {
		return cmp.Compare(len(a.services), len(b.services))
	})
	return found
}

// unsettledGroups returns the groups with an instance that is not placed, or that was
// evicted and placed again so recently that reports do not cover it yet.
func unsettledGroups(l *ledger) map[string]bool {
	unsettled := map[string]bool{}
	for i := range l.snapshot.Tasks {
		task := &l.snapshot.Tasks[i]
		if task.Class != ClassService {
			continue
		}
		recent := task.Evictions > 0 && l.snapshot.Now.Sub(task.Since) < reportLag
		if task.State != TaskPlaced || recent {
			unsettled[task.Group] = true
		}
	}
	return unsettled
}

// fitsElsewhere reports whether an instance fits on another worker of its rack that runs
// at least as many services.
func (consolidateAdjuster) fitsElsewhere(l *ledger, from *workerInfo, alloc *allocation) bool {
	size := l.sizeFor(alloc.task)
	for _, to := range l.workers {
		if to == from || len(to.services) < len(from.services) || !sameRack(from.worker, to.worker) {
			continue
		}
		c := l.candidate(alloc.task, size, to)
		if _, admitted := admitsAll(sorted(DefaultFilters()), &c); !admitted {
			continue
		}
		if l.belowInstanceLimit(&c) {
			return true
		}
	}
	return false
}

// sameRack reports whether two workers are in the same rack.
func sameRack(a, b *Worker) bool {
	return a.FailureDomain == b.FailureDomain && a.Rack == b.Rack
}

// belowInstanceLimit reports whether a worker may run one more instance of the
// candidate's group.
func (l *ledger) belowInstanceLimit(c *Candidate) bool {
	places := placesOf(c.Task.Group, c.Worker)
	limit := max(1, l.groupSizes[c.Task.Group]/workerInstancesDivisor)
	return l.spread[places[2]] < limit
}

package placer

// drainAdjuster evicts tasks from workers that are leaving.
type drainAdjuster struct{}

// drainShareDivisor limits the instances of a group that may be missing while workers are
// drained: one in drainShareDivisor of them, and at least one.
const drainShareDivisor = 4

// Adjust implements Adjuster.
func (drainAdjuster) Adjust(builder *PlanBuilder) {
	allowance := groupAllowance(builder.ledger)
	for _, info := range builder.ledger.workers {
		if info.worker.State != WorkerLeaving {
			continue
		}
		for _, alloc := range info.allocations {
			if alloc.evicting || alloc.task.State != TaskPlaced {
				continue
			}
			if alloc.task.Class == ClassService {
				if allowance[alloc.task.Group] <= 0 {
					continue
				}
				allowance[alloc.task.Group]--
			}
			builder.evict(info, alloc, "its worker is leaving")
		}
	}
}

// groupAllowance returns the number of instances of each group that may still be evicted.
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
		allowance[group] = max(1, count/drainShareDivisor) - missing[group]
	}
	return allowance
}

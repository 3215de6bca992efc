package placer

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

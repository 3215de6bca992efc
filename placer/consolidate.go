package placer

import (
	"cmp"
	"slices"
)

// gatherReaction moves the instances of services together, one at a time, while
// batch work waits for workers without services.
type gatherReaction struct{}

// React implements Reaction.
func (g gatherReaction) React(r *Reactor) {
	held := false
	for _, waiting := range r.plan.Waiting {
		held = held || waiting.Code == ReasonInterference
	}
	if !held {
		return
	}
	moving := movingGroups(r.ledger)
	for _, place := range byServices(r.ledger) {
		t := place.services[0]
		settled := t.task.State == TaskPlaced && !t.leaving && !moving[t.task.Group]
		if !settled || t.task.Evictions >= maxEvictions {
			continue
		}
		if g.betterRoom(r.ledger, place, t) {
			r.evict(place, t, "joins other services")
			return
		}
	}
}

// byServices returns the ready rooms that run services, those with the fewest
// first.
func byServices(l *ledger) []*room {
	var found []*room
	for _, r := range l.rooms {
		if len(r.services) > 0 && r.worker.State == WorkerReady {
			found = append(found, r)
		}
	}
	slices.SortStableFunc(found, func(a, b *room) int {
		return cmp.Compare(len(a.services), len(b.services))
	})
	return found
}

// movingGroups returns the groups with an instance that is not placed, or that was
// placed again so lately that reports do not show it.
func movingGroups(l *ledger) map[string]bool {
	moving := map[string]bool{}
	for i := range l.snapshot.Tasks {
		task := &l.snapshot.Tasks[i]
		if task.Class != ClassService {
			continue
		}
		lately := task.Evictions > 0 && l.snapshot.Now.Sub(task.Since) < settleTime
		if task.State != TaskPlaced || lately {
			moving[task.Group] = true
		}
	}
	return moving
}

// betterRoom reports whether an instance fits beside other services without a
// worse spread.
func (gatherReaction) betterRoom(l *ledger, from *room, t *tenant) bool {
	size := l.sizeFor(t.task)
	for _, to := range l.rooms {
		if to == from || len(to.services) < len(from.services) || !sameSpread(from.worker, to.worker) {
			continue
		}
		c := l.candidate(t.task, size, to)
		if _, admitted := admitsAll(sorted(DefaultFilters()), &c); !admitted {
			continue
		}
		if l.belowWorkerPart(&c) {
			return true
		}
	}
	return false
}

// sameSpread reports whether two workers are in one rack.
func sameSpread(a, b *Worker) bool {
	return a.FailureDomain == b.FailureDomain && a.Rack == b.Rack
}

// belowWorkerPart reports whether a worker may run one more instance of a group.
func (l *ledger) belowWorkerPart(c *Candidate) bool {
	places := placesOf(c.Task.Group, c.Worker)
	limit := max(1, l.groups[c.Task.Group]/workerPart)
	return l.spread[places[2]] < limit
}

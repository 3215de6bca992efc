package dispatcher

import "time"

const (
	// roomPatience is how long a task waits that has no room in the cell before its job is offered to other cells.
	roomPatience = time.Second
	// maxRoomSilence is how long a registered worker that doesn't answer counts as one that may have room.
	maxRoomSilence = 10 * time.Second
)

// need is what a waiting task needs to start. Tasks with the same need have room in the same cells.
type need struct {
	service, label string
	size           Size
	// bestEffort is true for tasks that take the processors which others leave unused.
	bestEffort bool
	// members is the number of tasks that have to start together, workerLimit how many of them one worker may
	// run, 0 for any number.
	members, workerLimit int
}

// needOf returns what a waiting task needs, with the other members of its gang.
func needOf(t *task) need {
	step := t.step.step
	n := need{
		service: t.job().job.Queue.Service, label: step.Label, size: step.Size, bestEffort: step.BestEffort, members: 1,
		workerLimit: step.WorkerLimit,
	}
	if step.Gang {
		n.members = t.step.openTasks
	}
	return n
}

// includes reports whether workers that hold this need also hold another one.
func (n need) includes(other need) bool {
	return n.service == other.service && n.label == other.label && n.size.Holds(other.size) && n.members >= other.members
}

// suits reports whether a worker may run tasks with a need, whatever its capacity is. Nobody knows when an evacuated
// failure domain is taken back.
func (c *Cell) suits(w *worker, n need) bool {
	return w.registration.Phase != PhaseDraining && !c.evacuated.Contains(w.registration.FailureDomain) &&
		w.registration.Service == n.service && w.hasLabel(n.label)
}

// holds reports whether workers with the given capacities hold all members of a need. A worker that may register again
// counts as able to, as its capacity may not be known.
func (c *Cell) holds(n need, capacityOf func(w *worker) Size) bool {
	places := 0
	for _, w := range c.workers {
		switch {
		case !c.suits(w, n):
		case w.registered:
			places += n.placesIn(capacityOf(w))
		case !c.gone(w):
			return true
		}
		if places >= n.members {
			return true
		}
	}
	return false
}

// placesIn returns how many of the members a capacity holds.
func (n need) placesIn(remaining Size) int {
	limit := n.members
	if n.workerLimit > 0 {
		limit = min(limit, n.workerLimit)
	}
	count := 0
	for count < limit && remaining.Holds(n.size) {
		remaining = remaining.Minus(n.size)
		count++
	}
	return count
}

// capable reports whether the workers of the cell could run a task, with its gang, if all of their capacity were
// free.
func (c *Cell) capable(t *task) bool {
	return c.holds(needOf(t), func(w *worker) Size { return w.registration.Capacity })
}

// hasRoom reports whether a task, with its gang, has room in the cell: the workers could run it beside the long-running
// tasks, which don't end by themselves, once all others have ended.
func (c *Cell) hasRoom(now time.Time, n need) bool {
	if n.bestEffort {
		n.size.MilliProcessors = 0
	}
	return c.holds(n, func(w *worker) Size {
		if c.silentFor(now, w) > maxRoomSilence {
			return Size{}
		}
		return w.besideLongRunning()
	})
}

// silentFor returns for how long a worker hasn't answered this holder since it became active.
func (c *Cell) silentFor(now time.Time, w *worker) time.Duration {
	return now.Sub(latest(c.activeAt, w.answeredAt))
}

// besideLongRunning returns the capacity that long-running tasks leave on the worker.
func (w *worker) besideLongRunning() Size {
	remaining := w.registration.Capacity
	for _, r := range w.runs {
		if step := r.task.step.step; step.LongRunning && !step.BestEffort {
			remaining = remaining.Minus(step.Size)
		}
	}
	return remaining
}

// roomless collects which needs have no room in the cell at a time.
type roomless struct {
	cell  *Cell
	now   time.Time
	known map[need]bool
}

func (c *Cell) newRoomless(now time.Time) *roomless {
	return &roomless{cell: c, now: now, known: map[need]bool{}}
}

// has reports whether a task that has waited for roomPatience has no room in the cell.
func (r *roomless) has(t *task) bool {
	if r.now.Sub(t.readyAt) < roomPatience {
		return false
	}
	n := needOf(t)
	lacks, known := r.known[n]
	if !known {
		lacks = !r.cell.hasRoom(r.now, n)
		r.known[n] = lacks
	}
	return lacks
}

// PlacesToMove returns how many places another cell must have for a task that may be relocated, and whether places will
// do that are free only later: no worker of this cell could ever run it.
func (c *Cell) PlacesToMove(now time.Time, id TaskID) (places int, later bool) {
	t := c.task(now, id)
	if t == nil {
		return 1, false
	}
	return needOf(t).members, !c.capable(t)
}

package dispatcher

import (
	"context"
	"time"
)

const (
	// delegationInterval is how often a cell checks for tasks that it can't place.
	delegationInterval = 150 * time.Millisecond
	// maxOffersPerRound is how many tasks are offered to other cells in a row.
	maxOffersPerRound = 16
	// deliveryTimeout is how long the next offer waits until a delegated part, or a relocated job, is stored and
	// the other cell has it. Until then that cell's free capacity includes what it takes.
	deliveryTimeout = 500 * time.Millisecond
)

// delegateTasks delegates long-running tasks that can't be placed to other cells, and
// stops running tasks that have to move to another cell.
func (r *Runner) delegateTasks(ctx context.Context) {
	for r.sleep(ctx, delegationInterval) {
		for range maxOffersPerRound {
			if !r.delegateOnce(ctx) {
				break
			}
		}
	}
}

// delegateOnce offers the next task that has to be delegated or moved to the other
// cells, with the tasks of its step that wait as well. It reports whether there was such a
// task.
func (r *Runner) delegateOnce(ctx context.Context) bool {
	r.mu.Lock()
	now := r.Clock.Now()
	id, job, delegates := r.Cell.NextToDelegate(now)
	moves := false
	if !delegates {
		id, job, moves = r.Cell.NextToMove(now)
	}
	later := delegates && !r.Cell.WillHavePlace(now, id) || moves && !r.Cell.Capable(now, id)
	r.mu.Unlock()
	if !delegates && !moves {
		return r.relocateOnce(ctx)
	}
	cell, places := r.OtherCells.FindCell(ctx, []string{r.Cell.Name}, job.Queue.Service, id.stepID(), job.Steps[id.Step], later)
	delegated := false
	r.mu.Lock()
	switch now = r.Clock.Now(); {
	case places == 0:
		r.Cell.DelegationRefused(now, id)
	case delegates:
		delegated = r.Cell.Delegate(now, id, cell, shareOfPlaces(places))
	default:
		r.Cell.StopToMove(now, id)
	}
	r.mu.Unlock()
	signal(r.wake)
	if delegated {
		r.awaitDelivery(ctx)
	}
	return true
}

// relocateOnce offers the next job that doesn't fit in the cell to the other cells. It reports
// whether there was one.
func (r *Runner) relocateOnce(ctx context.Context) bool {
	r.mu.Lock()
	now := r.Clock.Now()
	id, job, found := r.Cell.NextToRelocate(now)
	needed, later := r.Cell.PlacesToRelocate(now, id)
	r.mu.Unlock()
	if !found {
		return r.returnOnce() || r.returnTasksOnce(ctx)
	}
	cell, places := r.OtherCells.FindCell(ctx, []string{r.Cell.Name}, job.Queue.Service, id.stepID(), job.Steps[id.Step], later)
	relocated := false
	r.mu.Lock()
	if places < needed {
		r.Cell.RelocationUnplaced(r.Clock.Now(), id)
	} else {
		relocated = r.Cell.Relocate(r.Clock.Now(), id, cell)
	}
	r.mu.Unlock()
	signal(r.changed)
	if relocated {
		r.awaitDelivery(ctx)
	}
	return true
}

// returnOnce gives the next part back that no worker of the cell can run. It reports whether there
// was one.
func (r *Runner) returnOnce() bool {
	r.mu.Lock()
	id, found := r.Cell.NextToReturn(r.Clock.Now())
	if found {
		r.Cell.ReturnPart(id)
	}
	r.mu.Unlock()
	if found {
		signal(r.changed)
	}
	return found
}

// returnTasksOnce gives back the next task of a part that has no place here, if another cell has one, with the waiting tasks
// of its step. It reports whether there was such a task.
func (r *Runner) returnTasksOnce(ctx context.Context) bool {
	r.mu.Lock()
	id, job, found := r.Cell.NextTaskToReturn(r.Clock.Now())
	r.mu.Unlock()
	if !found {
		return false
	}
	_, places := r.OtherCells.FindCell(ctx, []string{r.Cell.Name}, job.Queue.Service, id.stepID(), job.Steps[id.Step], false)
	r.mu.Lock()
	if places == 0 {
		r.Cell.DelegationRefused(r.Clock.Now(), id)
	} else {
		r.Cell.ReturnTasks(r.Clock.Now(), id, shareOfPlaces(places))
	}
	r.mu.Unlock()
	signal(r.changed)
	return true
}

// FailPart fails a job of which another cell has given up a delegated part, for a cause that logs tell. It
// reports whether the cell knows the job.
func (r *Runner) FailPart(id, cell, cause string) bool {
	r.mu.Lock()
	known := r.Cell.FailPart(r.Clock.Now(), id, cell, cause)
	r.outdateLookup(id)
	r.mu.Unlock()
	signal(r.wake)
	return known
}

// shareOfPlaces returns how many of the places of another cell may be taken at once. The
// third cell may find the same places.
func shareOfPlaces(places int) int { return (places + 1) / 2 }

// awaitDelivery waits until the delegated part, or the relocated job, has been sent to its cell, for at most
// deliveryTimeout.
func (r *Runner) awaitDelivery(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.Clock.After(deliveryTimeout):
	case <-r.delivered:
	}
}

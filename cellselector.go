package zinniashore

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/relayer"
)

const (
	// homePatience and otherPatience are how long a submission waits for the free capacity of a home
	// cell, and then for that of all cells. Together they take a small part of the shortest objective of
	// a queue; a holder that takes longer is behind, and another cell serves the job better.
	homePatience  = 40 * time.Millisecond
	otherPatience = 50 * time.Millisecond
	// delegationPatience is how long a holder waits for the free capacity of the other cells.
	delegationPatience = 150 * time.Millisecond
	// homeLoadMargin is how much higher the load of the home cell may be before a job
	// moves to another cell that fits as many of its tasks.
	homeLoadMargin = 0.15
)

// cellSelector selects cells for jobs by the free capacity of the cells.
type cellSelector struct {
	failureDomain string
	partition     *sharedPartition
	claimer       *claimer.Claimer
	heldCells     cellRunners
	peers         *relayer.Client
	capacities    *capacityQueries
}

// homeCell returns one of the cells of the process's own failure domain, a different one for
// each of many jobs.
func (s *cellSelector) homeCell() string {
	cells := s.partition.cells(s.failureDomain)
	return cells[rand.IntN(len(cells))]
}

// FindCell implements dispatcher.OtherCells.
func (s *cellSelector) FindCell(ctx context.Context, leftOut []string, service string, id dispatcher.StepID, step dispatcher.Step, later bool) (string, int) {
	step.Count = 1
	found := s.capacities.askAll(ctx, delegationPatience, service, id, step)
	for _, cell := range leftOut {
		delete(found, cell)
	}
	best, places := mostPlaces(found, func(free dispatcher.FreeCapacity) int { return free.Places })
	if places == 0 && later {
		return mostPlaces(found, func(free dispatcher.FreeCapacity) int { return free.LaterPlaces })
	}
	return best, places
}

// mostPlaces returns the cell with the most places, and their number; 0 if there is none.
func mostPlaces(found map[string]dispatcher.FreeCapacity, count func(dispatcher.FreeCapacity) int) (best string, places int) {
	for cell, free := range found {
		if count(free) > places {
			best, places = cell, count(free)
		}
	}
	return best, places
}

// Deliver implements dispatcher.OtherCells. If the call to the holder of the cell fails,
// the holder reads the part from the store.
func (s *cellSelector) Deliver(ctx context.Context, part dispatcher.Part) {
	if runner := s.heldCells.Runner(part.Cell); runner != nil {
		runner.Add(part.Job, true)
		return
	}
	holder, held := s.claimer.Holder(part.Cell)
	if !held {
		return
	}
	record, err := dispatcher.EncodeJob(part.Job)
	if err != nil {
		klog.ErrorS(err, "Encoding a delegated part failed; the holder of its cell reads it from the store", "job", part.Job.ID, "cell", part.Cell)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := s.peers.Deliver(ctx, holder.Address, part.Cell, [][]byte{record}); err != nil {
		klog.InfoS("Delivering a delegated part failed; the holder of its cell reads it from the store", "job", part.Job.ID, "cell", part.Cell, "err", err)
	}
}

// cellFor returns the cell for a new job. A long-running job is assigned to a cell where
// its tasks fit, weighted by the capacity that remains free. Any other job is assigned
// to a cell of this process's failure domain if its first step fits there, and otherwise to the
// cell that fits most of the tasks of that step.
func (s *cellSelector) cellFor(ctx context.Context, job *dispatcher.Job) string {
	step := firstStep(job)
	if step.LongRunning {
		return s.cellForLongRunning(ctx, job.Queue.Service, step)
	}
	home := s.homeCell()
	if s.fits(ctx, home, job.Queue.Service, step) {
		return home
	}
	found := s.capacities.askAll(ctx, otherPatience, job.Queue.Service, dispatcher.StepID{}, step)
	best, known := home, found[home]
	_, answered := found[home]
	for cell, free := range found {
		if !answered || betterFit(free, known, step.Count) {
			best, known, answered = cell, free, true
		}
	}
	return best
}

// firstStep returns the largest step of a job that depends on no other step.
func firstStep(job *dispatcher.Job) dispatcher.Step {
	first := job.Steps[0]
	for _, step := range job.Steps {
		if len(step.After) == 0 && step.Count > first.Count {
			first = step
		}
	}
	return first
}

// fits reports whether all tasks of a step fit in a cell.
func (s *cellSelector) fits(ctx context.Context, cell, service string, step dispatcher.Step) bool {
	holder, held := s.claimer.Holder(cell)
	if !held {
		return false
	}
	found := s.capacities.ask(ctx, map[string]claimer.Holder{cell: holder}, homePatience, service, dispatcher.StepID{}, step)
	free, answered := found[cell]
	return answered && free.Places >= step.Count
}

// betterFit reports whether the candidate cell fits more tasks of a step than the
// current one, or as many at a load that is lower by more than homeLoadMargin.
func betterFit(candidate, current dispatcher.FreeCapacity, count int) bool {
	if fits, currentFits := min(candidate.Places, count), min(current.Places, count); fits != currentFits {
		return fits > currentFits
	}
	return candidate.Load < current.Load-homeLoadMargin
}

// cellForLongRunning selects a cell at random, weighted by free capacity: jobs that
// arrive together see the same free capacity and would otherwise all be assigned to the
// same cell.
func (s *cellSelector) cellForLongRunning(ctx context.Context, service string, step dispatcher.Step) string {
	found := s.capacities.askAll(ctx, homePatience+otherPatience, service, dispatcher.StepID{}, step)
	total := 0
	for _, free := range found {
		total += weight(free, step.Count)
	}
	if total == 0 {
		return s.homeCell()
	}
	draw := rand.IntN(total)
	for cell, free := range found {
		if draw -= weight(free, step.Count); draw < 0 {
			return cell
		}
	}
	return s.homeCell()
}

// weight returns the weight of a cell in the random selection: the places that remain if
// the whole step fits, or else, at a much lower weight, the places that are free.
func weight(free dispatcher.FreeCapacity, count int) int {
	const fullFitWeight = 100
	if free.Places >= count {
		return fullFitWeight * (free.Places - count + 1)
	}
	return free.Places
}

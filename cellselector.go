package zinniashore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/relayer"
)

const (
	// roomTimeout bounds the question for room to a cell.
	roomTimeout = 150 * time.Millisecond
	// homeAdvantage is how much more load the home cell may have than another
	// one that takes its job.
	homeAdvantage = 0.15
)

// rooms knows how much room the cells have.
type rooms struct {
	home    string
	claimer *claimer.Claimer
	holding *holding
	peers   *relayer.Client
}

// ask returns the room of all cells that answer.
func (r *rooms) ask(ctx context.Context, service string, step dispatcher.Step) map[string]dispatcher.FreeCapacity {
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	var mu sync.Mutex
	var waiting sync.WaitGroup
	found := map[string]dispatcher.FreeCapacity{}
	for cell, holder := range r.claimer.Cells() {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			room, err := r.askOne(ctx, cell, holder, service, step)
			if err != nil {
				klog.V(1).InfoS("Room of a cell not known", "cell", cell, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found[cell] = room
		}()
	}
	waiting.Wait()
	return found
}

func (r *rooms) askOne(ctx context.Context, cell string, holder claimer.Holder, service string, step dispatcher.Step) (dispatcher.FreeCapacity, error) {
	if runner := r.holding.Runner(cell); runner != nil {
		return runner.FreeCapacity(service, step), nil
	}
	return r.peers.FreeCapacity(ctx, holder.Address, cell, service, step)
}

// FindCell implements dispatcher.OtherCells.
func (r *rooms) FindCell(ctx context.Context, cell, service string, step dispatcher.Step) (string, bool) {
	step.Count = 1
	best, found := "", false
	places := 0
	for other, room := range r.ask(ctx, service, step) {
		if other != cell && room.Places > places {
			best, found, places = other, true, room.Places
		}
	}
	return best, found
}

// Deliver implements dispatcher.OtherCells. A cell that can't be reached finds the part
// in the store.
func (r *rooms) Deliver(ctx context.Context, part dispatcher.Part) {
	if runner := r.holding.Runner(part.Cell); runner != nil {
		runner.Add(part.Job, true)
		return
	}
	holder, named := r.claimer.Holder(part.Cell)
	if !named {
		return
	}
	record, err := dispatcher.EncodeJob(part.Job)
	if err != nil {
		klog.ErrorS(err, "Part not delivered; its cell finds it in the store", "job", part.Job.ID, "cell", part.Cell)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := r.peers.Deliver(ctx, holder.Address, part.Cell, [][]byte{record}); err != nil {
		klog.InfoS("Part not delivered; its cell finds it in the store", "job", part.Job.ID, "cell", part.Cell, "err", err)
	}
}

// cellFor returns the cell that a new job goes to: a lasting one goes where its
// tasks fit and most is left, any other home if its first tasks fit there, and
// else where most of them do.
func (r *rooms) cellFor(ctx context.Context, job *dispatcher.Job) string {
	step := firstStep(job)
	if step.LongRunning {
		return r.cellForLasting(ctx, job.Queue.Service, step)
	}
	if r.fitsHome(ctx, job.Queue.Service, step) {
		return r.home
	}
	found := r.ask(ctx, job.Queue.Service, step)
	best, known := r.home, found[r.home]
	_, answered := found[r.home]
	for cell, room := range found {
		if !answered || betterRoom(room, known, step.Count) {
			best, known, answered = cell, room, true
		}
	}
	return best
}

// firstStep returns the largest step of a job that waits for no other.
func firstStep(job *dispatcher.Job) dispatcher.Step {
	first := job.Steps[0]
	for _, step := range job.Steps {
		if len(step.After) == 0 && step.Count > first.Count {
			first = step
		}
	}
	return first
}

// fitsHome reports whether the home cell has a place for each task of a step.
func (r *rooms) fitsHome(ctx context.Context, service string, step dispatcher.Step) bool {
	holder, named := r.claimer.Holder(r.home)
	if !named {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	room, err := r.askOne(ctx, r.home, holder, service, step)
	return err == nil && room.Places >= step.Count
}

// betterRoom reports whether a room takes more of a step's tasks than another
// one, or as many beside much less load.
func betterRoom(room, than dispatcher.FreeCapacity, count int) bool {
	if taken, before := min(room.Places, count), min(than.Places, count); taken != before {
		return taken > before
	}
	return room.Load < than.Load-homeAdvantage
}

// cellForLasting draws a cell by the places that it has: jobs that come together
// see the same places, and would all go to the same cell otherwise.
func (r *rooms) cellForLasting(ctx context.Context, service string, step dispatcher.Step) string {
	found := r.ask(ctx, service, step)
	total := 0
	for _, room := range found {
		total += weight(room, step.Count)
	}
	if total == 0 {
		return r.home
	}
	draw := rand.IntN(total)
	for cell, room := range found {
		if draw -= weight(room, step.Count); draw < 0 {
			return cell
		}
	}
	return r.home
}

// weight returns the weight of a cell's room in a draw: what is left beside all
// tasks of the step, or else the places there are.
func weight(room dispatcher.FreeCapacity, count int) int {
	const whole = 100
	if room.Places >= count {
		return whole * (room.Places - count + 1)
	}
	return room.Places
}

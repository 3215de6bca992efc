package dispatcher_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/dispatcher"
)

// offerInterval is how often a holder looks for tasks that have to leave its cell.
const offerInterval = 150 * time.Millisecond

// newNetworkPair returns two cells with one store.
func newNetworkPair(workers, otherWorkers int, seed uint64) *network {
	n, other := emptyNetwork("graz-a", seed), emptyNetwork("graz-b", seed+1)
	n.other, other.other = other, n
	other.trace, other.homes, other.jobs, other.starts = n.trace, n.homes, n.jobs, n.starts
	other.noted, other.failures, other.crashes = n.noted, n.failures, n.crashes
	other.cancelAsked, other.cancelled, other.cancelledAt = n.cancelAsked, n.cancelled, n.cancelledAt
	// No epoch, and with it no number of a run, is used by both cells.
	other.archive.epoch = 1000
	n.populate(workers)
	other.populate(otherWorkers)
	return n
}

// load restores the stored state to a new holder.
func (n *network) load(h *remoteHolder) {
	n.archive.load(h.cell, h.now())
	for id, returned := range n.returned {
		h.cell.AddReturned(h.now(), id, returned)
	}
	for id := range n.toCancel {
		h.cell.Cancel(h.now(), id)
	}
}

// errNotStored is the error of a batch that the store has refused.
var errNotStored = errors.New("not stored")

// store applies a batch as the store does. Its error says what of the batch will never be stored.
func (h *remoteHolder) store(batch *dispatcher.Batch) error {
	n := h.n
	changes := *batch
	if r := batch.Return; r != nil {
		item, found := n.archive.jobs[r.Job]
		_, given := n.other.returned[r.Job]
		switch {
		case !found || slices.ContainsFunc(r.Part, func(id dispatcher.TaskID) bool { return !slices.Contains(item.Part, id) }):
			changes.Return = nil
		case len(item.Part) != len(r.Part)+len(r.Rest) || given || n.toCancel[r.Job]:
			return dispatcher.ErrRelocationRefused
		}
	}
	if r := batch.Relocation; r != nil {
		home := n.homes[r.Job.ID]
		if _, tried := h.relocatedFrom[r]; !tried {
			h.relocatedFrom[r] = home.revision
		}
		switch {
		case home.cell != n.name || home.revision != h.relocatedFrom[r]:
			changes.Relocation = nil
		case n.toCancel[r.Job.ID]:
			return dispatcher.ErrRelocationRefused
		}
	}
	if p := batch.Part; p != nil {
		switch {
		case n.toCancel[p.Job.ID]:
			return dispatcher.ErrPartRefused
		case n.returned[p.Job.ID].Revision != 0:
			return errNotStored
		}
	}
	if !n.archive.save(h.cell, &changes) {
		return errNotStored
	}
	if n.other != nil {
		n.passOn(&changes)
	}
	return nil
}

// passOn stores what a batch means for the other cell.
func (n *network) passOn(b *dispatcher.Batch) {
	other := n.other
	if p := b.Part; p != nil && p.Cell == other.name {
		job := p.Job
		job.Home = n.name
		n.logf("%s: part %v", job.ID, job.Part)
		other.storeJob(job)
	}
	if r := b.Relocation; r != nil {
		n.logf("%s moves", r.Job.ID)
		n.homes[r.Job.ID] = homeRecord{cell: other.name, revision: n.homes[r.Job.ID].revision + 1}
		other.storeJob(r.Job)
	}
	if r := b.Return; r != nil {
		n.logf("%s: part %v given back, %d tasks stay", r.Job, r.Part, len(r.Rest))
		n.homes["returns"] = homeRecord{revision: n.homes["returns"].revision + 1}
		content, err := dispatcher.EncodeReturn(r)
		if err != nil {
			panic(err)
		}
		returned, err := dispatcher.DecodeReturn(r.Job, n.name, content)
		if err != nil {
			panic(err)
		}
		returned.Revision = n.homes["returns"].revision
		other.returned[r.Job] = returned
		other.tell(func(h *remoteHolder) { h.cell.AddReturned(h.now(), r.Job, returned) })
	}
	for _, j := range b.Jobs {
		n.passOnJob(j)
	}
}

// passOnJob stores what a changed job means for the other cell.
func (n *network) passOnJob(j dispatcher.BatchJob) {
	other := n.other
	for _, taken := range j.TakenBack {
		if n.returned[j.ID].Revision == taken.Revision {
			delete(n.returned, j.ID)
		}
	}
	if len(j.CancelIn) > 0 {
		other.storeCancellation(j.ID)
	}
	if j.Progress.State == dispatcher.StateFailed && !j.Own {
		other.archive.failedIn[j.ID] = n.name
		other.tell(func(h *remoteHolder) { h.cell.FailPart(h.now(), j.ID, n.name, "") })
	}
}

// storeCancellation stores the cancellation of a job for this cell. Its holders learn of it after the job
// itself, as a watch keeps the order of changes.
func (n *network) storeCancellation(id string) {
	n.toCancel[id] = true
	job, live := n.archive.jobs[id]
	n.tell(func(h *remoteHolder) {
		if live {
			h.cell.AddJob(h.now(), job, nil, true)
		}
		h.cell.Cancel(h.now(), id)
	})
}

// cancelInStore cancels a job as a process does that can't reach the holder of the job's home cell.
func (n *network) cancelInStore(id string) {
	home := n.homeOf(id)
	progress := home.archive.progress[id]
	if home.storeOut || progress.State.Final() {
		return
	}
	n.logf("%s is cancelled through the store", id)
	n.cancelAsked[id] = true
	home.storeCancellation(id)
	if len(progress.PartCells()) > 0 {
		home.other.storeCancellation(id)
	}
	n.acknowledgeCancelled(id)
}

// cancelSome cancels some jobs of both cells through the store.
func (n *network) cancelSome(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(n.jobs)) {
		if rapid.IntRange(0, 2).Draw(t, "cancelled") == 0 {
			n.cancelInStore(id)
		}
	}
}

// offer looks for a task that has to leave the cell, and asks the other one for places.
func (h *remoteHolder) offer() {
	n := h.n
	if n.other == nil || h.offering || n.now.Before(h.nextOffer) {
		return
	}
	h.nextOffer = n.now.Add(offerInterval)
	now := h.now()
	id, _, found := h.cell.NextToDelegate(now)
	apply := func(places int) { h.delegate(id, places) }
	if !found {
		id, _, found = h.cell.NextToMove(now)
		apply = func(places int) { h.move(id, places) }
	}
	if !found {
		id, _, found = h.cell.NextToRelocate(now)
		apply = func(places int) { h.relocate(id, places) }
	}
	if !found {
		h.giveBack()
		id, _, found = h.cell.NextTaskToReturn(now)
		apply = func(places int) { h.giveTasksBack(id, places) }
	}
	if !found {
		return
	}
	h.offering = true
	n.after(n.delay()/3, func() {
		places := 0
		if n.other.serving() > 0 {
			places = 1 + n.random.IntN(3)
		}
		n.after(n.delay()/3, func() {
			h.receive(func() {
				h.offering = false
				apply(places)
			})
		})
	})
}

func (h *remoteHolder) delegate(id dispatcher.TaskID, places int) {
	if places == 0 {
		h.cell.DelegationRefused(h.now(), id)
		return
	}
	h.cell.Delegate(h.now(), id, h.n.other.name, places)
}

func (h *remoteHolder) move(id dispatcher.TaskID, places int) {
	if places == 0 {
		h.cell.DelegationRefused(h.now(), id)
		return
	}
	h.cell.StopToMove(h.now(), id)
}

func (h *remoteHolder) relocate(id dispatcher.TaskID, places int) {
	if places == 0 {
		h.cell.RelocationUnplaced(h.now(), id)
		return
	}
	h.cell.Relocate(h.now(), id, h.n.other.name)
}

func (h *remoteHolder) giveTasksBack(id dispatcher.TaskID, places int) {
	if places == 0 {
		h.cell.DelegationRefused(h.now(), id)
		return
	}
	h.cell.ReturnTasks(h.now(), id, places)
}

// giveBack gives a part back that no worker of the cell can run.
func (h *remoteHolder) giveBack() {
	if id, found := h.cell.NextToReturn(h.now()); found {
		h.cell.ReturnPart(id)
	}
}

// advancePair lets a time pass in both cells.
func (n *network) advancePair(span time.Duration) {
	for passed := time.Duration(0); passed < span; passed += networkTick {
		n.tick()
		n.other.tick()
	}
}

// movePair makes a random change in one of the cells, or submits a job that may not fit into its cell.
func (n *network) movePair(t *rapid.T, number int) {
	in := n
	if rapid.Bool().Draw(t, "other cell") {
		in = n.other
	}
	switch rapid.SampledFrom([]string{"any", "any", "large", "leave all", "store", "cancel in store"}).Draw(t, "pair move") {
	case "any":
		in.move(t, number)
	case "large":
		in.submit(longRunningJob(fmt.Sprintf("%016x", 0xa00+number), rapid.IntRange(1, 2).Draw(t, "count"), int64(rapid.IntRange(10, 30).Draw(t, "processors")*100)))
	case "leave all":
		for _, w := range in.workers {
			w.leave(drawSpan(t, "drain", 20, 50), drawSpan(t, "linger", 0, 40), rapid.Bool().Draw(t, "successor"))
		}
	case "cancel in store":
		n.cancelSome(t)
	case "store":
		if !n.storeOut && !n.other.storeOut {
			span := drawSpan(t, "outage", 60, 350)
			n.startOutage(span, rapid.Bool().Draw(t, "drops"))
			n.other.startOutage(span, rapid.Bool().Draw(t, "drops"))
		}
	}
}

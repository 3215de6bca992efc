package dispatcher_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"zinniashore.example/dispatcher"
)

const (
	// networkTick is the step of a network's clock.
	networkTick = 20 * time.Millisecond
	// orderTimeout is how long a holder waits for the answer to an order, and how much longer
	// than the poll's wait for the answer to a poll.
	orderTimeout = time.Second
	// maxLapseDelay is how late a worker ends the runs whose lease has expired.
	maxLapseDelay = 25 * time.Millisecond
	// maxReturn is how soon a worker whose entry has expired is registered again.
	maxReturn = 1900 * time.Millisecond
	// memberTimeout is how long a member of a gang waits for the others.
	memberTimeout = 2 * time.Second
)

// delivery is what happens at a time.
type delivery struct {
	at   time.Time
	call func()
}

// doneEnd is the end of a run as done.
type doneEnd struct {
	at time.Time
	// lapsed is true once the worker's lease has expired since.
	lapsed bool
}

// network holds workers, a store and holders, between which every request and every answer has
// a delay of its own. It collects violations of the scheduler's guarantees.
type network struct {
	now     time.Time
	random  *rand.Rand
	archive *archive
	events  *events
	jobs    map[string]dispatcher.Job
	// workers are all workers that ever were, entries the registry.
	workers  []*remoteWorker
	entries  map[string]dispatcher.Registration
	holders  []*remoteHolder
	queue    []delivery
	storeOut bool
	// slow is how much of the delays that are possible is used, from 0 to 1.
	slow float64
	// calm is true once nothing fails any more.
	calm     bool
	starts   map[string][]time.Time
	noted    map[string]bool
	failures map[string]int
	crashes  map[string]int
	// cancelAsked are the jobs whose cancellation was asked for, cancelled those of which that is stored, and
	// cancelledAt says when that was acknowledged.
	cancelAsked, cancelled map[string]bool
	cancelledAt            map[string]time.Time
	violations             []string
	// trace are the events so far, for reports.
	trace *[]string
	// name is the name of the cell, other the network of another cell with the same store, or nil.
	name  string
	other *network
	// homes are the cells of the jobs in the store.
	homes map[string]homeRecord
	// returned are the parts that the other cell has given back, with the revisions of these records;
	// toCancel are the jobs whose cancellation is stored for this cell, by the other one or by a process that
	// couldn't reach the holder.
	returned map[string]dispatcher.ReturnedPart
	toCancel map[string]bool
}

// homeRecord is the stored cell of a job.
type homeRecord struct {
	cell     string
	revision int64
}

func newNetwork(workers int, seed uint64) *network {
	n := emptyNetwork("graz-a", seed)
	n.populate(workers)
	return n
}

// populate adds workers and a holder.
func (n *network) populate(workers int) {
	for range workers {
		n.addWorker("")
	}
	n.addHolder()
}

func emptyNetwork(name string, seed uint64) *network {
	return &network{
		name: name, trace: &[]string{}, homes: map[string]homeRecord{}, returned: map[string]dispatcher.ReturnedPart{}, toCancel: map[string]bool{},
		now: time.UnixMilli(1_000_000), random: rand.New(rand.NewPCG(seed, 1)), archive: newArchive(), events: &events{},
		jobs: map[string]dispatcher.Job{}, entries: map[string]dispatcher.Registration{},
		starts: map[string][]time.Time{}, noted: map[string]bool{}, failures: map[string]int{}, crashes: map[string]int{}, cancelAsked: map[string]bool{}, cancelled: map[string]bool{},
		cancelledAt: map[string]time.Time{},
	}
}

func (n *network) logf(format string, arguments ...any) {
	event := fmt.Sprintf("%8.2f %s ", n.now.Sub(time.UnixMilli(1_000_000)).Seconds(), n.name) + fmt.Sprintf(format, arguments...)
	*n.trace = append(*n.trace, event)
}

func (n *network) violation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	n.logf("VIOLATION %s", text)
	n.violations = append(n.violations, text)
}

// after has a call made after a delay.
func (n *network) after(delay time.Duration, call func()) {
	n.queue = append(n.queue, delivery{at: n.now.Add(delay), call: call})
}

// upTo returns a random time below a limit.
func (n *network) upTo(limit time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(limit) + 1))
}

// delay returns the random delay of a message.
func (n *network) delay() time.Duration {
	base := n.upTo(10 * time.Millisecond)
	if n.calm || n.random.Float64() > n.slow {
		return base
	}
	switch n.random.IntN(6) {
	case 0:
		return n.upTo(3 * time.Second)
	case 1, 2:
		return n.upTo(800 * time.Millisecond)
	}
	return n.upTo(100 * time.Millisecond)
}

// advance lets a time pass.
func (n *network) advance(span time.Duration) {
	for passed := time.Duration(0); passed < span; passed += networkTick {
		n.tick()
	}
}

func (n *network) tick() {
	n.now = n.now.Add(networkTick)
	for _, w := range n.workers {
		w.tick()
	}
	n.deliver()
	n.tickRegistry()
	for _, h := range n.holders {
		h.tick()
	}
	n.deliver()
}

// deliver makes the calls that are due, in a random order.
func (n *network) deliver() {
	var due []delivery
	n.queue = slices.DeleteFunc(n.queue, func(d delivery) bool {
		if n.now.Before(d.at) {
			return false
		}
		due = append(due, d)
		return true
	})
	n.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, d := range due {
		d.call()
	}
}

// tickRegistry registers the workers whose entry is missing, and drops the silent ones.
func (n *network) tickRegistry() {
	if n.storeOut {
		return
	}
	for _, w := range n.workers {
		entry, listed := n.entries[w.registration.ID]
		silent := w.ended || w.frozen() || w.cutFromStore
		switch {
		case !silent:
			w.reportedAt = n.now
			if listed && entry.Boot != w.registration.Boot {
				n.entries[w.registration.ID] = w.registration
			}
		case listed && n.now.Sub(w.reportedAt) > registryTimeout:
			delete(n.entries, w.registration.ID)
			n.logf("registry drops %s", w.registration.ID)
		}
		if silent || w.deregistered || listed || w.returning {
			continue
		}
		w.returning = true
		n.after(n.upTo(maxReturn), func() {
			w.returning = false
			if !w.ended && !w.deregistered && !n.storeOut {
				n.entries[w.registration.ID] = w.registration
				n.logf("%s registers", w.registration.ID)
			}
		})
	}
}

// startOutage makes the store unavailable for a time, in which it may drop some entries.
func (n *network) startOutage(span time.Duration, drops bool) {
	n.storeOut = true
	n.logf("store out for %v", span)
	if drops {
		for _, id := range slices.Sorted(maps.Keys(n.entries)) {
			if n.random.IntN(2) == 0 {
				n.after(n.upTo(span), func() { delete(n.entries, id) })
			}
		}
	}
	n.after(span, func() {
		n.storeOut = false
		n.logf("store back")
	})
}

// listener returns the worker that listens at an address, or nil.
func (n *network) listener(address string) *remoteWorker {
	for _, w := range n.workers {
		if w.registration.Address == address && !w.closed && !w.ended {
			return w
		}
	}
	return nil
}

// vanished reports whether the VM of the worker that had an address is gone, so that nothing answers there.
func (n *network) vanished(address string) bool {
	return slices.ContainsFunc(n.workers, func(w *remoteWorker) bool { return w.vanished && w.registration.Address == address })
}

// process returns the worker's process that may still have connections although its address is
// closed, or nil.
func (n *network) process(id string) *remoteWorker {
	for _, w := range n.workers {
		if w.registration.ID == id && !w.ended {
			return w
		}
	}
	return nil
}

// key names what a done end stands for: a task, or a gang.
func (n *network) key(task dispatcher.TaskID) string {
	if n.jobs[task.Job].Steps[task.Step].Gang {
		task.Index = 0
	}
	return task.String()
}

// submit has a job accepted and delivered to the holders.
func (n *network) submit(job dispatcher.Job) {
	if n.storeOut {
		return
	}
	job.Queue.Service = testService
	job.Occurrences = 1
	job.Accepted = n.now
	n.jobs[job.ID] = job
	n.homes[job.ID] = homeRecord{cell: n.name, revision: 1}
	n.storeJob(job)
}

// storeJob stores a job, or a part of one, for this cell and delivers it to the holders.
func (n *network) storeJob(job dispatcher.Job) {
	n.archive.jobs[job.ID] = job
	n.tell(func(h *remoteHolder) { h.cell.AddJob(h.now(), job, nil, true) })
}

// tell has each holder learn of a change in the store.
func (n *network) tell(learn func(h *remoteHolder)) {
	for _, h := range n.holders {
		n.after(n.delay()/2, func() {
			h.receive(func() { learn(h) })
		})
	}
}

// cancel has the newest holder cancel a job. It counts as cancelled once that is stored.
func (n *network) cancel(id string) {
	h := n.homeOf(id).holder()
	n.cancelAsked[id] = true
	h.receive(func() {
		known, stored := h.cell.Cancel(h.now(), id)
		if state, _ := h.cell.State(id); !known || state == dispatcher.StateCompleted {
			return
		}
		n.logf("%s is cancelled", id)
		n.awaitCancelled(h, id, stored)
	})
}

func (n *network) awaitCancelled(h *remoteHolder, id string, stored <-chan struct{}) {
	select {
	case <-stored:
		if state, _ := h.cell.State(id); state == dispatcher.StateCancelled {
			n.acknowledgeCancelled(id)
		}
	default:
		if stored != nil && !h.ended {
			n.after(100*time.Millisecond, func() { n.awaitCancelled(h, id, stored) })
		}
	}
}

// acknowledgeCancelled notes that the cancellation of a job is acknowledged.
func (n *network) acknowledgeCancelled(id string) {
	if !n.cancelled[id] {
		n.cancelled[id], n.cancelledAt[id] = true, n.now
	}
}

// settle ends all faults.
func (n *network) settle() {
	n.calm, n.storeOut = true, false
	for _, w := range n.workers {
		w.heal()
		w.frozenUntil = time.Time{}
	}
	for _, h := range n.holders {
		h.storeRefuses = false
		if h.pausedUntil.After(n.now) {
			h.pausedUntil = n.now
		}
	}
	for n.serving() < 3 {
		n.addWorker("")
	}
	if n.holder().ended {
		n.addHolder()
	}
}

// oldHoldersEnded reports whether all holders but the newest are known to have ended.
func (n *network) oldHoldersEnded() bool {
	return !slices.ContainsFunc(n.holders[:len(n.holders)-1], func(h *remoteHolder) bool { return !h.ended || h.lost })
}

// serving counts the workers that are ready.
func (n *network) serving() int {
	count := 0
	for _, w := range n.workers {
		if !w.ended && !w.deregistered && w.registration.Phase == dispatcher.PhaseReady {
			count++
		}
	}
	return count
}

// holder returns the newest holder.
func (n *network) holder() *remoteHolder { return n.holders[len(n.holders)-1] }

// unfinished returns the jobs that should have ended, or, for long-running ones, run.
func (n *network) unfinished() []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(n.jobs)) {
		state, known := n.homeOf(id).holder().cell.State(id)
		switch job := n.jobs[id]; {
		case state == dispatcher.StateCompleted:
		case n.cancelAsked[id] && state == dispatcher.StateCancelled:
		case state == dispatcher.StateFailed && n.mayFail(id):
		case n.cancelled[id]:
			ids = append(ids, fmt.Sprintf("%s is %q (known %v) though cancelled", id, state, known))
		case job.Steps[0].LongRunning && !state.Final() && n.allRun(job):
		default:
			ids = append(ids, fmt.Sprintf("%s is %q (known %v)", id, state, known))
		}
	}
	return ids
}

// homeOf returns the network of the cell to which a job belongs.
func (n *network) homeOf(id string) *network {
	if n.other != nil && n.homes[id].cell == n.other.name {
		return n.other
	}
	return n
}

// mayFail reports whether a job may be given up.
func (n *network) mayFail(id string) bool {
	job := n.jobs[id]
	return n.failures[id] >= job.Queue.Attempts || n.crashes[id] >= 2
}

// allRun reports whether all tasks of a job's first step run.
func (n *network) allRun(job dispatcher.Job) bool {
	for index := range job.Steps[0].Count {
		if len(n.active(dispatcher.TaskID{Job: job.ID, Index: index})) == 0 {
			return false
		}
	}
	return true
}

// active returns the workers on which a task runs.
func (n *network) active(task dispatcher.TaskID) []*remoteWorker {
	var on []*remoteWorker
	workers := n.workers
	if n.other != nil {
		workers = slices.Concat(n.workers, n.other.workers)
	}
	for _, w := range workers {
		if !w.ended && w.running[task] != nil {
			on = append(on, w)
		}
	}
	return on
}

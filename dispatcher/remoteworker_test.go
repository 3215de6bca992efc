package dispatcher_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"zinniashore.example/dispatcher"
)

// remoteRun is a run on a remote worker.
type remoteRun struct {
	task   dispatcher.TaskID
	number int64
	endsAt time.Time
	ending dispatcher.Ending
	// stopping is true once the run was told to stop.
	stopping bool
}

// waitingPoll is a poll that waits for an end.
type waitingPoll struct {
	until        time.Time
	acknowledged int64
	respond      func(reply)
}

// remoteWorker follows the platform's rules for workers.
type remoteWorker struct {
	n            *network
	registration dispatcher.Registration
	bootedAt     time.Time
	clockRate    float64
	lapseDelay   time.Duration
	epoch        int64
	leaseEnd     time.Duration
	running      map[dispatcher.TaskID]*remoteRun
	highestRun   map[dispatcher.TaskID]int64
	endRows      []dispatcher.EndedRow
	dones        map[int64]*doneEnd
	endCount     int64
	waiting      []waitingPoll
	reportedAt   time.Time
	frozenUntil  time.Time
	// closed makes the address refuse connections. keepsConnections lets those that are open work on.
	closed, keepsConnections bool
	// ended is true once the process has ended, vanished once its VM is gone as well.
	ended, vanished                          bool
	cut, cutFromStore, deregistered, leaving bool
	returning                                bool
	// mute loses all answers.
	mute bool
	// maxListed is the number of ends that a listing contains at most.
	maxListed int
	// bootStep is how far the time of day was off at the boot.
	bootStep time.Duration
}

// addWorker adds a worker at an address, or at a new one if that is empty.
func (n *network) addWorker(address string) *remoteWorker {
	number := len(n.workers)
	if address == "" {
		address = fmt.Sprintf("127.0.0.1:%d", 7000+number)
	}
	w := &remoteWorker{
		n: n, clockRate: 1 - 0.01*float64(n.random.IntN(3)), lapseDelay: n.upTo(maxLapseDelay), maxListed: 500,
		registration: dispatcher.Registration{
			ID: fmt.Sprintf("w%d", number), Address: address, Service: testService, Phase: dispatcher.PhaseReady, Capacity: fullCapacity,
		},
	}
	n.workers = append(n.workers, w)
	w.boot()
	if !n.storeOut {
		n.entries[w.registration.ID] = w.registration
	}
	return w
}

// boot starts the worker's process.
func (w *remoteWorker) boot() {
	w.bootedAt = w.n.now
	w.epoch, w.leaseEnd, w.endCount = 0, 0, 0
	w.running, w.highestRun = map[dispatcher.TaskID]*remoteRun{}, map[dispatcher.TaskID]int64{}
	w.endRows, w.waiting, w.dones = nil, nil, map[int64]*doneEnd{}
	w.registration.Boot = w.bootID()
	w.registration.Phase = dispatcher.PhaseReady
	w.ended, w.closed, w.frozenUntil, w.reportedAt = false, false, time.Time{}, w.n.now
}

func (w *remoteWorker) bootID() int64 { return w.bootedAt.Add(w.bootStep).UnixMilli() }

// heal ends what keeps requests and answers away.
func (w *remoteWorker) heal() {
	w.cut, w.cutFromStore, w.mute = false, false, false
	if !w.deregistered && !w.ended {
		w.closed = false
	}
}

// refuse makes the address refuse connections for a time although the worker lives.
func (w *remoteWorker) refuse(span time.Duration) {
	if w.ended || w.leaving {
		return
	}
	w.closed = true
	w.n.logf("%s refuses connections", w.registration.ID)
	w.n.after(span, func() {
		if !w.ended && !w.deregistered {
			w.closed = false
		}
	})
}

// exit ends the worker's process with all its runs.
func (w *remoteWorker) exit() {
	if w.ended {
		return
	}
	w.n.logf("%s exits with %d runs", w.registration.ID, len(w.running))
	w.ended, w.closed = true, true
	for _, task := range slices.SortedFunc(maps.Keys(w.running), compareIDs) {
		w.n.crashes[task.Job]++
		w.breakGang(w.running[task])
	}
	clear(w.running)
}

// vanish ends the worker's process and its VM, after which nothing answers at its address.
func (w *remoteWorker) vanish() {
	w.exit()
	w.deregistered, w.vanished = true, true
}

// restart ends the process and starts it again under its id after a time. Its time of day may
// have been set back, its address may be another one.
func (w *remoteWorker) restart(away time.Duration) {
	if w.ended || w.leaving {
		return
	}
	w.exit()
	w.n.after(away, func() {
		if w.n.random.IntN(4) == 0 {
			w.bootStep -= w.n.upTo(20 * time.Second)
		}
		if w.n.random.IntN(4) == 0 {
			w.registration.Address += "1"
		}
		w.boot()
		w.n.logf("%s boots", w.registration.ID)
		if _, listed := w.n.entries[w.registration.ID]; listed && !w.n.storeOut {
			w.n.entries[w.registration.ID] = w.registration
		}
	})
}

// leave drains the worker, which then takes its registration back, closes its address, and ends
// after a time in which its runs last.
func (w *remoteWorker) leave(drain, linger time.Duration, successor bool) {
	if w.ended || w.leaving || w.n.storeOut {
		return
	}
	w.leaving = true
	w.registration.Phase, w.registration.Remaining = dispatcher.PhaseDraining, drain
	w.n.entries[w.registration.ID] = w.registration
	w.n.logf("%s drains", w.registration.ID)
	w.n.after(drain, func() {
		if w.ended {
			return
		}
		w.deregistered, w.closed = true, true
		w.keepsConnections = w.n.random.IntN(4) == 0
		if !w.n.storeOut {
			delete(w.n.entries, w.registration.ID)
		}
		w.n.logf("%s closes its address, with %d runs", w.registration.ID, len(w.running))
		if successor {
			w.n.addWorker(w.registration.Address)
		}
		w.n.after(linger, w.exit)
	})
}

func (w *remoteWorker) frozen() bool { return w.n.now.Before(w.frozenUntil) }

func (w *remoteWorker) clock() time.Duration {
	return time.Duration(float64(w.n.now.Sub(w.bootedAt)) * w.clockRate)
}

// tick ends the runs that are due or whose lease has expired, and answers polls.
func (w *remoteWorker) tick() {
	if w.ended {
		return
	}
	lapsed := w.clock() > w.leaseEnd
	if lapsed {
		for _, done := range w.dones {
			done.lapsed = true
		}
	}
	for _, task := range slices.SortedFunc(maps.Keys(w.running), compareIDs) {
		r := w.running[task]
		switch {
		case r == nil: // ended with its gang
		case w.clock() > w.leaseEnd+w.lapseDelay:
			w.end(r, dispatcher.EndingExpired)
		case !w.n.now.Before(r.endsAt):
			w.end(r, r.ending)
		}
	}
	w.answerWaiting()
}

func (w *remoteWorker) answerWaiting() {
	if w.frozen() {
		return
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(p waitingPoll) bool {
		if w.n.now.Before(p.until) && w.endCount <= p.acknowledged {
			return false
		}
		p.respond(reply{answer: dispatcher.AnswerAccepted, listing: w.list()})
		return true
	})
}

// end ends a run, and with it its gang.
func (w *remoteWorker) end(r *remoteRun, ending dispatcher.Ending) {
	w.note(r, ending)
	switch {
	case ending == dispatcher.EndingDone && w.n.step(r.task).Gang:
		for _, member := range w.n.members(r) {
			member.worker.note(member.run, dispatcher.EndingDone)
		}
	case ending != dispatcher.EndingDone:
		w.breakGang(r)
	}
}

// note lists the end of a run.
func (w *remoteWorker) note(r *remoteRun, ending dispatcher.Ending) {
	delete(w.running, r.task)
	w.highestRun[r.task] = max(w.highestRun[r.task], r.number)
	w.endCount++
	w.endRows = append(w.endRows, dispatcher.EndedRow{Number: w.endCount, Task: r.task, Run: r.number, Ending: ending})
	w.n.logf("%s: %s run %d ends as %s", w.registration.ID, r.task, r.number, ending)
	switch ending {
	case dispatcher.EndingDone:
		w.dones[w.endCount] = &doneEnd{at: w.n.now}
	case dispatcher.EndingFailed:
		w.n.failures[r.task.Job]++
	}
}

// breakGang ends the other members of a run's gang.
func (w *remoteWorker) breakGang(r *remoteRun) {
	if !w.n.step(r.task).Gang {
		return
	}
	for _, member := range w.n.members(r) {
		member.worker.note(member.run, dispatcher.EndingBroken)
	}
}

// member is a run of a gang.
type member struct {
	worker *remoteWorker
	run    *remoteRun
}

// members returns the active runs with a run's number of its step.
func (n *network) members(r *remoteRun) []member {
	var members []member
	for _, w := range n.workers {
		if w.ended {
			continue
		}
		for _, task := range slices.SortedFunc(maps.Keys(w.running), compareIDs) {
			if other := w.running[task]; task.Job == r.task.Job && task.Step == r.task.Step && other.number == r.number {
				members = append(members, member{worker: w, run: other})
			}
		}
	}
	return members
}

func (n *network) step(task dispatcher.TaskID) dispatcher.Step {
	return n.jobs[task.Job].Steps[task.Step]
}

func (w *remoteWorker) extendLease(end time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(end, w.clock()+maxGrant))
}

// start executes a start.
func (w *remoteWorker) start(o dispatcher.StartOrder) dispatcher.Answer {
	if o.Epoch < w.epoch {
		return dispatcher.AnswerFenced
	}
	w.epoch = o.Epoch
	w.extendLease(o.LeaseEnd)
	switch r := w.running[o.Task]; {
	case r != nil && r.number == o.Run:
		return dispatcher.AnswerAccepted
	case r != nil || o.Run <= w.highestRun[o.Task]:
		return dispatcher.AnswerStaleRun
	case o.LeaseEnd < w.clock():
		return dispatcher.AnswerLate
	}
	w.checkStart(o)
	r := &remoteRun{task: o.Task, number: o.Run, endsAt: w.n.now.Add(w.n.length(o.Task)), ending: dispatcher.EndingDone}
	if w.n.fails(o.Task) {
		r.ending = dispatcher.EndingFailed
	}
	w.running[o.Task] = r
	if step := w.n.step(o.Task); step.Gang {
		w.gather(r, step)
	}
	return dispatcher.AnswerAccepted
}

// gather lets a gang work once all its members are present.
func (w *remoteWorker) gather(r *remoteRun, step dispatcher.Step) {
	members := w.n.members(r)
	if len(members) < step.Count {
		r.endsAt, r.ending = w.n.now.Add(memberTimeout), dispatcher.EndingAlone
		return
	}
	for _, m := range members {
		if !m.run.stopping {
			m.run.endsAt, m.run.ending = w.n.now.Add(step.Estimate), dispatcher.EndingDone
		}
	}
}

// checkStart records a violation if a task may not start now.
func (w *remoteWorker) checkStart(o dispatcher.StartOrder) {
	n := w.n
	n.logf("%s: %s run %d starts (epoch %d)", w.registration.ID, o.Task, o.Run, o.Epoch)
	for _, other := range n.active(o.Task) {
		n.violation("%s runs more than once at a time: run %d on %s beside run %d on %s", o.Task, o.Run, w.registration.ID, other.running[o.Task].number, other.registration.ID)
	}
	if n.noted[n.key(o.Task)] {
		n.violation("%s starts on %s after its end as done was taken note of", o.Task, w.registration.ID)
	}
	n.starts[n.key(o.Task)] = append(n.starts[n.key(o.Task)], n.now)
}

// length returns how long a run of a task lasts.
func (n *network) length(task dispatcher.TaskID) time.Duration {
	if n.step(task).LongRunning {
		return time.Hour
	}
	return n.step(task).Estimate
}

// fails reports whether a run of a task is to fail: those of failing jobs do at times.
func (n *network) fails(task dispatcher.TaskID) bool {
	return n.jobs[task.Job].Spec == failingSpec && n.random.IntN(4) == 0
}

// failingSpec marks jobs whose tasks fail at times.
const failingSpec = "fails at times"

// stop executes a stop.
func (w *remoteWorker) stop(o dispatcher.StopOrder) dispatcher.Answer {
	if o.Epoch < w.epoch {
		return dispatcher.AnswerFenced
	}
	w.epoch = o.Epoch
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number == o.Run && !r.stopping {
		r.stopping, r.ending = true, dispatcher.EndingStopped
		r.endsAt = w.n.now.Add(w.n.upTo(900 * time.Millisecond))
	}
	return dispatcher.AnswerAccepted
}

// poll executes a poll, which may wait for an end.
func (w *remoteWorker) poll(o dispatcher.PollOrder, respond func(reply)) {
	if o.Epoch < w.epoch {
		respond(reply{answer: dispatcher.AnswerFenced})
		return
	}
	w.epoch = o.Epoch
	w.extendLease(o.LeaseEnd)
	w.endRows = slices.DeleteFunc(w.endRows, func(row dispatcher.EndedRow) bool {
		if row.Number > o.Acknowledged {
			return false
		}
		w.acknowledged(row)
		return true
	})
	w.waiting = append(w.waiting, waitingPoll{until: w.n.now.Add(o.Wait), acknowledged: o.Acknowledged, respond: respond})
	w.answerWaiting()
}

// acknowledged takes note of an end.
func (w *remoteWorker) acknowledged(row dispatcher.EndedRow) {
	done := w.dones[row.Number]
	delete(w.dones, row.Number)
	if done == nil || done.lapsed {
		return
	}
	key := w.n.key(row.Task)
	w.n.noted[key] = true
	for _, at := range w.n.starts[key] {
		if at.After(done.at) {
			w.n.violation("%s had started after its run %d on %s was done, of which note is taken", row.Task, row.Run, w.registration.ID)
		}
	}
}

// list returns what the worker lists.
func (w *remoteWorker) list() dispatcher.Listing {
	listing := dispatcher.Listing{Clock: w.clock(), Boot: w.bootID(), Ended: slices.Clone(w.endRows)}
	if len(listing.Ended) >= w.maxListed {
		listing.Ended, listing.MoreEnds = listing.Ended[:w.maxListed], true
	}
	for _, task := range slices.SortedFunc(maps.Keys(w.running), compareIDs) {
		listing.Running = append(listing.Running, dispatcher.RunningRow{Task: task, Run: w.running[task].number})
	}
	return listing
}

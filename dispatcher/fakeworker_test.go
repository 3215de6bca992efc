package dispatcher_test

import (
	"maps"
	"slices"
	"time"

	"zinniashore.example/dispatcher"
)

func (w *fakeWorker) clock() time.Duration {
	return time.Duration(float64(w.simulation.now.Sub(w.bootedAt)) * w.clockRate)
}

// endDueRuns ends the runs that are due or whose lease has expired.
func (w *fakeWorker) endDueRuns() {
	for _, id := range slices.SortedFunc(maps.Keys(w.running), compareIDs) {
		r := w.running[id]
		switch {
		case w.clock() > w.leaseEnd:
			w.end(r, dispatcher.EndingExpired)
		case !w.simulation.now.Before(r.endsAt):
			w.end(r, r.ending)
		}
	}
}

func compareIDs(a, b dispatcher.TaskID) int {
	switch {
	case a.String() < b.String():
		return -1
	case a.String() > b.String():
		return 1
	}
	return 0
}

func (w *fakeWorker) start(o dispatcher.StartOrder) dispatcher.Answer {
	return w.startWithin(o, w.registration.Capacity)
}

// startWithin executes a start that must not bring the worker over a capacity. The worker
// itself doesn't check it.
func (w *fakeWorker) startWithin(o dispatcher.StartOrder, capacity dispatcher.Size) dispatcher.Answer {
	w.endDueRuns()
	if o.Epoch < w.epoch {
		return dispatcher.AnswerFenced
	}
	w.epoch = o.Epoch
	w.extendLease(o.LeaseEnd)
	switch r := w.running[o.Task]; {
	case o.LeaseEnd < w.clock():
		return dispatcher.AnswerLate
	case r != nil && r.number == o.Run:
		return dispatcher.AnswerAccepted
	case r != nil || o.Run <= w.highestRun[o.Task]:
		return dispatcher.AnswerStaleRun
	}
	ending, length := dispatcher.EndingDone, w.simulation.runTimeOn(w, o.Task)
	if w.fails {
		ending = dispatcher.EndingFailed
	}
	if w.failsAfter > 0 {
		ending, length = dispatcher.EndingFailed, w.failsAfter
	}
	r := &fakeRun{task: o.Task, number: o.Run, startedAt: w.simulation.now, endsAt: w.simulation.now.Add(length), ending: ending}
	w.setWork(r, length, o.Checkpoint)
	w.simulation.runStarted(w, r)
	w.simulation.checkCapacity(w, r, capacity)
	w.running[o.Task] = r
	if w.simulation.crashing[o.Task] && w.failsAfter == 0 {
		w.simulation.crash(w)
	}
	return dispatcher.AnswerAccepted
}

func (w *fakeWorker) stop(o dispatcher.StopOrder) dispatcher.Answer {
	w.endDueRuns()
	if o.Epoch < w.epoch {
		return dispatcher.AnswerFenced
	}
	w.epoch = o.Epoch
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number == o.Run && !r.stopping {
		r.stopping = true
		r.ending = dispatcher.EndingStopped
		r.endsAt = w.simulation.now.Add(stopTime)
	}
	return dispatcher.AnswerAccepted
}

func (w *fakeWorker) poll(o dispatcher.PollOrder) (dispatcher.Listing, dispatcher.Answer) {
	w.endDueRuns()
	if o.Epoch < w.epoch {
		return dispatcher.Listing{}, dispatcher.AnswerFenced
	}
	w.epoch = o.Epoch
	w.extendLease(o.LeaseEnd)
	w.ended = slices.DeleteFunc(w.ended, func(row dispatcher.EndedRow) bool {
		if row.Number <= o.Acknowledged {
			w.simulation.acknowledged(row)
			return true
		}
		return false
	})
	listing := dispatcher.Listing{Clock: w.clock(), Boot: w.reportedBoot(), Ended: slices.Clone(w.ended)}
	if w.maxListedEnds > 0 && len(listing.Ended) >= w.maxListedEnds {
		listing.Ended = listing.Ended[:w.maxListedEnds]
		listing.MoreEnds = true
	}
	for _, row := range listing.Ended {
		w.listedEnd = max(w.listedEnd, row.Number)
	}
	for _, id := range slices.SortedFunc(maps.Keys(w.running), compareIDs) {
		listing.Running = append(listing.Running, w.progressRow(dispatcher.RunningRow{Task: id, Run: w.running[id].number}))
	}
	return listing, dispatcher.AnswerAccepted
}

// listsDone reports whether the worker lists an end of a task as done.
func (w *fakeWorker) listsDone(task dispatcher.TaskID) bool {
	return slices.ContainsFunc(w.ended, func(row dispatcher.EndedRow) bool {
		return row.Task == task && row.Ending == dispatcher.EndingDone
	})
}

// reboot restarts the worker under the same id.
func (w *fakeWorker) reboot() {
	for _, r := range w.running {
		w.simulation.runRemoved(r)
		w.simulation.crashes[r.task]++
	}
	w.loseEnds()
	w.bootedAt = w.simulation.now
	w.epoch, w.leaseEnd, w.endCount, w.listedEnd = 0, 0, 0, 0
	w.running = map[dispatcher.TaskID]*fakeRun{}
	w.highestRun = map[dispatcher.TaskID]int64{}
	w.ended = nil
	w.registration.Boot = w.reportedBoot()
}

// loseEnds counts the ends that nobody has read before the worker restarts.
func (w *fakeWorker) loseEnds() {
	for _, row := range w.ended {
		if w.simulation.lostEnds != nil && row.Number > w.listedEnd {
			w.simulation.lostEnds[row.Task]++
		}
	}
}

// reportedBoot returns the boot time that the worker reports, in Unix milliseconds; 0 if it reports none.
func (w *fakeWorker) reportedBoot() int64 {
	if w.hidesBoot {
		return 0
	}
	return w.bootedAt.Add(w.bootStep).UnixMilli()
}

// extendLease extends the lease, for at most maxGrant from now if that is set.
func (w *fakeWorker) extendLease(end time.Duration) {
	if w.maxGrant > 0 {
		end = min(end, w.clock()+w.maxGrant)
	}
	w.leaseEnd = max(w.leaseEnd, end)
}

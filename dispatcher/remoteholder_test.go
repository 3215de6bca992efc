package dispatcher_test

import (
	"errors"
	"slices"
	"time"

	"zinniashore.example/dispatcher"
)

// maxCancellationDelay is how long after the acknowledgement of a cancellation tasks of the job may start.
const maxCancellationDelay = 3 * time.Second

// reply is the outcome of a request to a worker.
type reply struct {
	answer  dispatcher.Answer
	listing dispatcher.Listing
}

// remoteHolder runs a cell as a Runner does, over a network.
type remoteHolder struct {
	n    *network
	cell *dispatcher.Cell
	// behind is for how long the holder has been suspended, which its clock doesn't count.
	behind      time.Duration
	resumed     bool
	pausedUntil time.Time
	// inbox are the answers that arrived during a pause, outbox the calls that a pause keeps back.
	inbox, outbox []func()
	ended         bool
	// lost is true if the holder has ended without a trace, so that no other one knows that it has.
	lost bool
	// relocatedFrom are the revisions of the homes of jobs at the first attempts to relocate them.
	relocatedFrom map[*dispatcher.Relocation]int64
	// offering is true while another cell is asked for places, nextOffer when that is due again.
	offering  bool
	nextOffer time.Time
	// storeRefuses makes the store refuse this holder alone.
	storeRefuses bool
	// disturbedAt is when the holder was last paused or without the store.
	disturbedAt time.Time
	// polled are the workers that a loop of polls covers.
	polled                        map[string]bool
	known                         map[string]dispatcher.Registration
	reading, saving, checkingTerm bool
}

// addHolder begins a new term.
func (n *network) addHolder() {
	n.archive.epoch++
	h := &remoteHolder{n: n, relocatedFrom: map[*dispatcher.Relocation]int64{}, polled: map[string]bool{}, known: map[string]dispatcher.Registration{}}
	h.cell = dispatcher.NewCell(n.name, n.archive.term(), limits, n.events)
	n.load(h)
	h.cell.TermChecked(h.now())
	n.holders = append(n.holders, h)
	n.logf("holder of epoch %d", n.archive.epoch)
}

func (h *remoteHolder) now() time.Time { return h.n.now.Add(-h.behind) }

// storeOut reports whether the holder gets no answer of the store.
func (h *remoteHolder) storeOut() bool { return h.n.storeOut || h.storeRefuses }

func (h *remoteHolder) paused() bool { return h.n.now.Before(h.pausedUntil) }

// receive handles an answer, after the holder's pause if there is one.
func (h *remoteHolder) receive(handle func()) {
	switch {
	case h.ended:
	case h.paused():
		h.inbox = append(h.inbox, handle)
	default:
		handle()
	}
}

// emit sends a request, after the holder's pause if there is one.
func (h *remoteHolder) emit(send func()) {
	if h.paused() {
		h.outbox = append(h.outbox, send)
		return
	}
	send()
}

// pause stops the holder for a time after it has planned, before its orders are sent. A
// suspended one doesn't count that time.
func (h *remoteHolder) pause(span time.Duration, suspended bool) {
	if h.ended || h.paused() {
		return
	}
	h.n.logf("holder of epoch %d paused for %v, suspended %v", h.cell.Epoch, span, suspended)
	orders := h.cell.Plan(h.now())
	polls := h.cell.Workers()
	h.pausedUntil = h.n.now.Add(span)
	h.send(orders)
	for _, id := range polls {
		if h.n.random.IntN(2) == 0 {
			h.pollOnce(id, false, nil)
		}
	}
	if suspended {
		h.n.after(span, func() { h.behind, h.resumed = h.behind+span, true })
	}
}

// wake handles what a pause has kept back, in a random order.
func (h *remoteHolder) wake() {
	calls := slices.Concat(h.inbox, h.outbox)
	h.inbox, h.outbox = nil, nil
	h.n.random.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
	for _, call := range calls {
		call()
	}
}

func (h *remoteHolder) tick() {
	if h.paused() || h.storeOut() {
		h.disturbedAt = h.n.now
	}
	if h.ended || h.paused() {
		return
	}
	h.wake()
	h.readRegistry()
	h.findJobs()
	h.checkTerm()
	h.offer()
	if h.n.random.IntN(2) == 0 {
		h.plan()
	}
	h.save()
}

// plan sends the orders that are due and begins to poll new workers.
func (h *remoteHolder) plan() {
	if h.resumed {
		h.resumed = false
		h.cell.Resumed(h.now())
	}
	if h.n.holder() == h && h.n.oldHoldersEnded() {
		h.cell.EarlierHoldersEnded(h.now())
	}
	h.send(h.cell.Plan(h.now()))
	if h.cell.Superseded() {
		h.end()
		return
	}
	for _, id := range h.cell.Workers() {
		if !h.polled[id] {
			h.polled[id] = true
			h.pollLoop(id)
		}
	}
}

func (h *remoteHolder) end() {
	if !h.ended {
		h.n.logf("holder of epoch %d ends", h.cell.Epoch)
	}
	h.ended = true
}

// pollLoop polls a worker again and again while it is known.
func (h *remoteHolder) pollLoop(id string) {
	h.pollOnce(id, true, func(answer dispatcher.Answer, known bool) {
		pause := h.n.upTo(20 * time.Millisecond)
		switch {
		case !known:
			delete(h.polled, id)
			return
		case answer != dispatcher.AnswerAccepted:
			pause = 200*time.Millisecond + h.n.upTo(100*time.Millisecond)
		}
		h.n.after(pause, func() { h.receive(func() { h.pollLoop(id) }) })
	})
}

// pollOnce polls a worker. then, if set, is called with the answer.
func (h *remoteHolder) pollOnce(id string, wait bool, then func(dispatcher.Answer, bool)) {
	if then == nil {
		then = func(dispatcher.Answer, bool) {}
	}
	sent := h.now()
	order, known := h.cell.NextPoll(sent, id)
	if !known {
		then("", false)
		return
	}
	if !wait {
		order.Wait = 0
	}
	h.emit(func() {
		h.request(request{
			worker: order.Worker, boot: order.Boot, refused: dispatcher.AnswerConnectionRefused, otherBoot: dispatcher.AnswerUnsent,
			timeout: order.Wait + orderTimeout,
			execute: func(w *remoteWorker, respond func(reply)) { w.poll(order, respond) },
			handle: func(r reply) {
				h.cell.HandlePollAnswer(h.now(), sent, order, r.listing, r.answer)
				then(r.answer, true)
			},
		})
	})
}

// send sends orders to workers.
func (h *remoteHolder) send(orders dispatcher.Orders) {
	for _, o := range orders.Starts {
		h.checkCancelled(o)
		h.emit(func() { h.sendStart(o) })
	}
	for _, o := range orders.Stops {
		h.emit(func() { h.sendStop(o) })
	}
	for _, o := range orders.Throttles {
		h.cell.HandleThrottleAnswer(o, dispatcher.AnswerAccepted)
	}
}

// checkCancelled records a violation if an undisturbed holder starts a task of a job too long after its
// cancellation was acknowledged.
func (h *remoteHolder) checkCancelled(o dispatcher.StartOrder) {
	at, cancelled := h.n.cancelledAt[o.Task.Job]
	if cancelled && h.n.now.Sub(at) > maxCancellationDelay && h.n.now.Sub(h.disturbedAt) > maxCancellationDelay {
		h.n.violation("%s starts under epoch %d, %v after the cancellation was acknowledged", o.Task, o.Epoch, h.n.now.Sub(at))
	}
}

func (h *remoteHolder) sendStart(o dispatcher.StartOrder) {
	h.request(request{
		worker: o.Worker, boot: o.Boot, refused: dispatcher.AnswerUnsent, otherBoot: dispatcher.AnswerRestarted, timeout: orderTimeout,
		execute: func(w *remoteWorker, respond func(reply)) { respond(reply{answer: w.start(o)}) },
		handle: func(r reply) {
			h.cell.HandleStartAnswer(h.now(), o, r.answer)
			if r.answer == dispatcher.AnswerUnknown || r.answer == dispatcher.AnswerAccepted && o.Trial {
				h.pollOnce(o.Worker.ID, false, nil)
			}
		},
	})
}

func (h *remoteHolder) sendStop(o dispatcher.StopOrder) {
	h.request(request{
		worker: o.Worker, refused: dispatcher.AnswerUnsent, otherBoot: dispatcher.AnswerRestarted, timeout: orderTimeout,
		execute: func(w *remoteWorker, respond func(reply)) { respond(reply{answer: w.stop(o)}) },
		handle: func(r reply) {
			h.cell.HandleStopAnswer(h.now(), o, r.answer)
			if r.answer == dispatcher.AnswerAccepted {
				h.pollOnce(o.Worker.ID, false, nil)
			}
		},
	})
}

// request is a request to a worker.
type request struct {
	worker dispatcher.Registration
	// boot is the boot that the request is for, 0 for any.
	boot               int64
	refused, otherBoot dispatcher.Answer
	timeout            time.Duration
	execute            func(w *remoteWorker, respond func(reply))
	handle             func(reply)
}

// request sends a request over a connection to the boot that listens now.
func (h *remoteHolder) request(q request) {
	n := h.n
	answered := false
	conclude := func(r reply) {
		h.receive(func() {
			if !answered {
				answered = true
				q.handle(r)
			}
		})
	}
	n.after(q.timeout, func() { conclude(reply{answer: dispatcher.AnswerUnknown}) })
	if n.vanished(q.worker.Address) {
		return
	}
	w := n.listener(q.worker.Address)
	if w == nil {
		if w = n.process(q.worker.ID); w == nil || !w.keepsConnections {
			n.after(n.delay(), func() { conclude(reply{answer: q.refused}) })
			return
		}
	}
	switch {
	case w.cut:
		return
	case w.registration.ID != q.worker.ID:
		n.after(n.delay(), func() { conclude(reply{answer: dispatcher.AnswerRestarted}) })
		return
	case q.boot != 0 && q.boot != w.bootID():
		n.after(n.delay(), func() { conclude(reply{answer: q.otherBoot}) })
		return
	}
	boot := w.bootID()
	respond := func(r reply) {
		if !w.cut && !w.mute {
			n.after(n.delay(), func() { conclude(r) })
		}
	}
	n.after(n.wayThere(), func() { h.arrive(q, w, boot, respond) })
}

// wayThere returns the delay of a request: some are executed long after they were given up.
func (n *network) wayThere() time.Duration {
	if !n.calm && n.random.IntN(25) == 0 && n.random.Float64() < n.slow {
		return n.upTo(6 * time.Second)
	}
	return n.delay()
}

// arrive executes a request that has arrived at the boot it was sent to.
func (h *remoteHolder) arrive(q request, w *remoteWorker, boot int64, respond func(reply)) {
	n := h.n
	switch {
	case w.ended || w.bootID() != boot:
	case w.cut:
		if n.random.IntN(2) == 0 {
			n.after(n.upTo(2*time.Second), func() { h.arrive(q, w, boot, respond) })
		}
	case w.frozen():
		n.after(w.frozenUntil.Sub(n.now), func() { h.arrive(q, w, boot, respond) })
	default:
		q.execute(w, respond)
	}
}

// readRegistry reads the registry, and applies what it read a little later.
func (h *remoteHolder) readRegistry() {
	n := h.n
	if h.reading || h.storeOut() {
		return
	}
	h.reading = true
	read := h.now()
	entries := map[string]dispatcher.Registration{}
	for id, entry := range n.entries {
		entries[id] = entry
	}
	n.after(n.upTo(50*time.Millisecond)+n.delay()/2, func() {
		h.receive(func() {
			h.reading = false
			h.applyRegistry(entries, read)
		})
	})
}

func (h *remoteHolder) applyRegistry(entries map[string]dispatcher.Registration, read time.Time) {
	for id, entry := range entries {
		if before, known := h.known[id]; !known || before.Boot != entry.Boot || before.Phase != entry.Phase || before.Address != entry.Address {
			h.known[id] = entry
			h.cell.SetWorker(h.now(), entry)
		}
	}
	for id := range h.known {
		if _, listed := entries[id]; !listed {
			delete(h.known, id)
			h.cell.RemoveWorker(h.now(), id)
		}
	}
	for _, id := range h.cell.Workers() {
		if _, listed := entries[id]; !listed {
			h.cell.RemoveWorker(h.now(), id)
		}
	}
	h.cell.RegistryRead(read)
}

// findJobs looks up the jobs that the cell doesn't know.
func (h *remoteHolder) findJobs() {
	if h.storeOut() {
		return
	}
	for _, id := range h.cell.UnknownJobs(h.now()) {
		job, live := h.n.archive.jobs[id]
		progress, begun := h.n.archive.progress[id]
		switch {
		case live && begun:
			h.cell.AddFound(h.now(), job, &progress)
		case live:
			h.cell.AddFound(h.now(), job, nil)
		default:
			h.cell.SetAbsent(h.now(), id)
		}
		if live && h.n.toCancel[id] {
			h.cell.Cancel(h.now(), id)
		}
	}
}

// checkTerm asks the store whether the holder's term is the newest, if that is due.
func (h *remoteHolder) checkTerm() {
	n := h.n
	if h.checkingTerm || h.storeOut() || !h.cell.TermCheckDue(h.now()) {
		return
	}
	h.checkingTerm = true
	began := h.now()
	n.after(n.delay()/2, func() {
		newest := n.archive.term() == h.cell.Epoch
		n.after(n.delay()/2, func() {
			h.receive(func() {
				h.checkingTerm = false
				if newest {
					h.cell.TermChecked(began)
				} else {
					h.cell.TermEnded()
				}
			})
		})
	})
}

// save stores the next batch. Its answer may be lost.
func (h *remoteHolder) save() {
	n := h.n
	if h.saving {
		return
	}
	batch := h.cell.NextBatch(h.now(), 4)
	if batch == nil {
		return
	}
	h.saving = true
	n.after(n.delay()/2, func() {
		out, newest := h.storeOut(), n.archive.term() == h.cell.Epoch
		err := errNotStored
		if !out && newest {
			err = h.store(batch)
		}
		lost := !n.calm && n.random.IntN(12) == 0
		n.after(n.delay()/2, func() {
			h.receive(func() {
				h.saved(batch, err == nil && !lost)
				switch {
				case errors.Is(err, dispatcher.ErrRelocationRefused):
					h.cell.RelocationRefused(h.now(), batch)
				case errors.Is(err, dispatcher.ErrPartRefused):
					h.cell.PartRefused(h.now(), batch)
				}
				if !out && !newest {
					h.end()
				}
			})
		})
	})
}

func (h *remoteHolder) saved(batch *dispatcher.Batch, stored bool) {
	if stored {
		h.cell.BatchStored(h.now(), batch)
		h.saving = false
		return
	}
	h.cell.BatchFailed(batch)
	h.n.after(300*time.Millisecond, func() { h.saving = false })
}

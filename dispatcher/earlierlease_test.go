package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// isolatedHolder is an earlier holder that reaches a single worker, which the new one doesn't reach. It extends the
// worker's lease and starts tasks there for as long as it may.
type isolatedHolder struct {
	s      *simulation
	cell   *dispatcher.Cell
	worker *fakeWorker
	random *rand.Rand
	// late is how late orders arrive at most. Every other one is on time.
	late   time.Duration
	orders int
	queue  []delivery
	// pausedUntil is when its pause ends, outbox what the pause keeps back.
	pausedUntil time.Time
	outbox      []func()
	// behind is for how long it has been suspended, resumed is true until it notices that.
	behind  time.Duration
	resumed bool
	// extended and started count what it did after the new holder had become active.
	extended, started int
}

func (h *isolatedHolder) now() time.Time { return h.s.now.Add(-h.behind) }

// step makes the holder act once.
func (h *isolatedHolder) step() {
	due := h.queue
	h.queue = nil
	for _, d := range due {
		if h.s.now.Before(d.at) {
			h.queue = append(h.queue, d)
			continue
		}
		d.call()
	}
	if h.s.now.Before(h.pausedUntil) {
		return
	}
	h.wake()
	h.order()
}

// wake sends what a pause has kept back, and notices a suspension.
func (h *isolatedHolder) wake() {
	for _, send := range h.outbox {
		send()
	}
	h.outbox = nil
	if h.resumed {
		h.resumed = false
		h.cell.Resumed(h.now())
	}
}

// order computes and sends the poll of the worker, and the orders that are due.
func (h *isolatedHolder) order() {
	sent := h.now()
	poll, _ := h.cell.NextPoll(sent, h.worker.registration.ID)
	if poll.LeaseEnd > 0 {
		h.extended++
	}
	h.send(func() {
		listing, answer := h.worker.poll(poll)
		h.cell.HandlePollAnswer(h.now(), sent, poll, listing, answer)
	})
	orders := h.cell.Plan(sent)
	for _, o := range orders.Stops {
		h.cell.HandleStopAnswer(sent, o, dispatcher.AnswerUnknown)
	}
	for _, o := range orders.Starts {
		if o.Worker.ID != h.worker.registration.ID {
			h.cell.HandleStartAnswer(sent, o, dispatcher.AnswerUnknown)
			continue
		}
		h.started++
		h.send(func() { h.cell.HandleStartAnswer(h.now(), o, h.worker.start(o)) })
	}
}

// send sends an order now, late, or after the holder's pause.
func (h *isolatedHolder) send(order func()) {
	h.orders++
	switch {
	case h.s.now.Before(h.pausedUntil):
		h.outbox = append(h.outbox, order)
	case h.late > 0 && h.orders%2 == 0:
		h.queue = append(h.queue, delivery{at: h.s.now.Add(time.Duration(h.random.Int64N(int64(h.late)))), call: order})
	default:
		order()
	}
}

// confirmLate polls workers whose answers arrive late.
func (h *isolatedHolder) confirmLate(workers []*fakeWorker, delay time.Duration) {
	h.s.now = h.s.now.Add(10 * time.Millisecond)
	sent := h.now()
	for _, f := range workers {
		order, _ := h.cell.NextPoll(sent, f.registration.ID)
		listing, answer := f.poll(order)
		h.queue = append(h.queue, delivery{at: h.s.now.Add(delay), call: func() {
			h.cell.HandlePollAnswer(h.now(), sent, order, listing, answer)
		}})
	}
}

// pause stops the holder after it has computed its orders. A suspended one doesn't count that time.
func (h *isolatedHolder) pause(span time.Duration, suspended bool) {
	h.pausedUntil = h.s.now.Add(span)
	h.order()
	if suspended {
		h.behind, h.resumed = h.behind+span, true
	}
}

// earlierLeaseTest is a case of TestLeasesOfIsolatedHolder.
type earlierLeaseTest struct {
	// byStore is true if the store has confirmed the earlier holder last, and not most of the workers.
	byStore bool
	// late is how late orders arrive at most, answerDelay how late the answers of the workers that have confirmed it.
	late, answerDelay time.Duration
	// pauseAt is when the earlier holder pauses after the new one has become active, for pause.
	pauseAt, pause time.Duration
	suspended      bool
	// earlierBuild is true if the earlier holder's leases don't count from its confirmation.
	earlierBuild bool
}

var earlierLeaseTests = map[string]earlierLeaseTest{
	"most workers have confirmed it":             {},
	"the store has confirmed it":                 {byStore: true},
	"most workers' answers arrive late":          {answerDelay: 900 * time.Millisecond},
	"its orders arrive late":                     {late: 4 * time.Second},
	"it is paused as a lease is longest":         {pauseAt: 480 * time.Millisecond, pause: 1800 * time.Millisecond},
	"it is paused while its leases shorten":      {pauseAt: 1500 * time.Millisecond, pause: 2500 * time.Millisecond},
	"it is paused as it may act no longer":       {pauseAt: 2480 * time.Millisecond, pause: time.Second},
	"its VM is suspended":                        {pauseAt: 20 * time.Millisecond, pause: 3 * time.Second, suspended: true},
	"its VM is suspended while its leases count": {pauseAt: 700 * time.Millisecond, pause: 1200 * time.Millisecond, suspended: true},
	"it is of an earlier build":                  {earlierBuild: true},
	"it is of an earlier build, late orders":     {earlierBuild: true, late: 4 * time.Second, byStore: true},
}

// TestLeasesOfIsolatedHolder guards against two runs of a task: a new holder takes the leases of an earlier one that
// lives and reaches one worker for expired too early.
func TestLeasesOfIsolatedHolder(t *testing.T) {
	for name, test := range earlierLeaseTests {
		t.Run(name, func(t *testing.T) { test.run(t, 0.98, true) })
		t.Run(name+", exact clock", func(t *testing.T) { test.run(t, 1, true) })
		t.Run(name+", tasks that end", func(t *testing.T) { test.run(t, 0.98, false) })
	}
}

func (l earlierLeaseTest) run(t *testing.T, clockRate float64, longRunning bool) {
	s := newSimulation(5)
	cut := s.workers[0]
	cut.clockRate = clockRate
	s.changeHolder(s.workers...)
	if l.earlierBuild {
		s.cell.Limits.FullLeaseAge = limits.MaxConfirmationAge
	}
	s.runFor(200 * time.Millisecond)
	s.submit(isolatedJob(jobID, 10, longRunning))
	s.runFor(time.Second)
	if len(cut.running) == 0 {
		t.Fatal("nothing runs on the worker that is cut off")
	}
	h := l.isolate(s)
	l.act(h, longRunning)
	if h.extended == 0 || h.started == 0 {
		t.Errorf("the earlier holder extends %d leases and starts %d tasks, want some of each", h.extended, h.started)
	}
	for id, job := range s.jobs {
		for index := range job.Steps[0].Count {
			if task := (dispatcher.TaskID{Job: id, Index: index}); longRunning && s.running[task] != 1 {
				t.Errorf("%s has %d runs, want 1", task, s.running[task])
			}
		}
	}
	requireNoViolations(t, s)
}

func isolatedJob(id string, count int, longRunning bool) dispatcher.Job {
	job := plainJob(id, count, 20*time.Second, 1)
	if longRunning {
		job = longRunningJob(id, count, 0)
	}
	job.Steps[0].Size = dispatcher.Size{MilliProcessors: 50, Megabytes: 10}
	return job
}

// isolate changes the holder. The earlier one is confirmed just before the new one becomes active.
func (l earlierLeaseTest) isolate(s *simulation) *isolatedHolder {
	cut, others := s.workers[0], s.workers[1:]
	h := &isolatedHolder{s: s, cell: s.cell, worker: cut, late: l.late, random: rand.New(rand.NewPCG(1, 1))}
	s.storeDown = true
	for _, f := range others {
		f.reachable = !l.byStore
	}
	s.runFor(limits.MaxConfirmationAge - time.Second)
	for _, f := range others {
		f.reachable = true
		f.registration.Phase = dispatcher.PhaseDraining
		h.cell.SetWorker(s.now, f.registration) // so that the earlier holder starts tasks on the other worker only
		f.registration.Phase = dispatcher.PhaseReady
	}
	s.storeDown = false
	if l.byStore {
		h.cell.TermChecked(s.now)
	}
	if l.answerDelay > 0 {
		h.confirmLate(others, l.answerDelay)
	}
	cut.reachable = false
	s.changeHolder(others...)
	if l.earlierBuild {
		s.cell.EarlierFullLeaseAge = limits.MaxConfirmationAge
	}
	s.step(0)
	return h
}

// act lets both holders act until all leases of the earlier one have expired, and gives both of them new jobs.
func (l earlierLeaseTest) act(h *isolatedHolder, longRunning bool) {
	const tick = 20 * time.Millisecond
	s := h.s
	for passed := time.Duration(0); passed < 9*time.Second; passed += tick {
		if l.pause > 0 && passed == l.pauseAt {
			h.pause(l.pause, l.suspended)
		}
		if passed%(200*time.Millisecond) == 0 && passed < 2*limits.MaxConfirmationAge {
			id := fmt.Sprintf("%016x", 0xb00+int64(passed/tick))
			s.add(isolatedJob(id, 1, longRunning), true)
			h.cell.AddJob(h.now(), s.jobs[id], nil, false)
		}
		h.step()
		s.step(tick)
	}
}

package dispatcher_test

import (
	"fmt"
	"slices"
	"time"

	"zinniashore.example/dispatcher"
	"zinniashore.example/recorder"
)

// limits are the limits of the simulated cells.
var limits = dispatcher.Limits{
	LeaseDuration:      4 * time.Second,
	MaxLeaseDuration:   maxGrant,
	PollWait:           time.Second,
	MaxConfirmationAge: 2500 * time.Millisecond,
	FullLeaseAge:       500 * time.Millisecond,
	StateRetention:     10 * time.Minute,
}

const (
	testService = "shop"
	stopTime    = 300 * time.Millisecond
)

// events collects the events that a cell records.
type events struct{ recorded []recorder.Event }

func (e *events) Record(event recorder.Event) recorder.Timestamp {
	e.recorded = append(e.recorded, event)
	return recorder.Timestamp{}
}

// fakeRun is a run on a fake worker.
type fakeRun struct {
	task      dispatcher.TaskID
	number    int64
	startedAt time.Time
	endsAt    time.Time
	ending    dispatcher.Ending
	stopping  bool
	progress  fakeProgress
}

// fakeWorker follows the platform's rules for workers.
type fakeWorker struct {
	simulation   *simulation
	registration dispatcher.Registration
	bootedAt     time.Time
	clockRate    float64
	epoch        int64
	leaseEnd     time.Duration
	running      map[dispatcher.TaskID]*fakeRun
	highestRun   map[dispatcher.TaskID]int64
	ended        []dispatcher.EndedRow
	endCount     int64
	// listedEnd is the number of the newest end that the worker has listed.
	listedEnd int64
	reachable bool
	// maxListedEnds is the number of ends that a listing contains at most; 0 is no limit.
	maxListedEnds int
	// maxGrant is the longest lease that the worker accepts; 0 is no limit.
	maxGrant time.Duration
	// bootStep is how far the worker's time of day was off when it booted.
	bootStep time.Duration
	// hidesBoot leaves the boot out of what the worker reports.
	hidesBoot bool
	// answersLost makes the worker execute polls whose answers are lost.
	answersLost bool
	// answerDelay is how long after a poll its answer is handled. lateAnswer handles the
	// answer that is on its way, at lateAnswerAt.
	answerDelay  time.Duration
	lateAnswer   func()
	lateAnswerAt time.Time
	// closed makes the worker's address refuse connections.
	closed bool
	// replaced makes another worker answer at the worker's address.
	replaced bool
	// fails makes each run fail at its end. failsAfter, if set, is how soon each run fails.
	fails      bool
	failsAfter time.Duration
	// slowdown is how much longer runs take on the worker; 0 is 1.
	slowdown float64
}

func (w *fakeWorker) end(r *fakeRun, ending dispatcher.Ending) {
	delete(w.running, r.task)
	w.highestRun[r.task] = max(w.highestRun[r.task], r.number)
	w.endCount++
	w.ended = append(w.ended, dispatcher.EndedRow{Number: w.endCount, Task: r.task, Run: r.number, Ending: ending, Checkpoint: w.checkpoint(r)})
	w.simulation.runEnded(w, r, ending)
}

// simulation holds workers, a store and a holder, with a simulated clock. It collects
// violations of the scheduler's guarantees.
type simulation struct {
	now              time.Time
	archive          *archive
	workers          []*fakeWorker
	cell             *dispatcher.Cell
	events           *events
	jobs             map[string]dispatcher.Job
	running          map[dispatcher.TaskID]int
	done             map[dispatcher.TaskID]bool
	acknowledgedDone map[dispatcher.TaskID]bool
	failures         map[dispatcher.TaskID]int
	violations       []string
	// lateStarts are starts that got no answer and are executed later.
	lateStarts []lateStart
	// lateCalls are other calls of workers that got no answer and are executed later, by the boot that is up then.
	lateCalls []lateCall
	// grant is the longest lease that the workers accept, of which the holder knows; 0 is maxGrant.
	grant time.Duration
	// nextFate returns the fate of the next start.
	nextFate  func() startFate
	storeDown bool
	// registered are the workers that the registry lists.
	registered map[*fakeWorker]bool
	// registryUnread is true while the holder gets no answer of the registry.
	registryUnread bool
	// lateAfterRestart delivers late starts also to workers that have restarted since.
	lateAfterRestart bool
	// startsReachAnyBoot delivers all starts also to other boots than the one they name.
	startsReachAnyBoot bool
	// throttles are the throttle levels that were last sent to workers.
	throttles map[dispatcher.TaskID]int
	// crashing are the tasks that crash each worker that starts them, crashes counts the
	// workers that have crashed under a task.
	crashing map[dispatcher.TaskID]bool
	crashes  map[dispatcher.TaskID]int
	// lostEnds counts the ends of a task that its workers lost as they restarted, unless it is nil. Nobody can
	// tell such a run from one under which the worker has crashed.
	lostEnds map[dispatcher.TaskID]int
	// comesBack is how long a crashed worker is away, without a sign if silent is set. backAt is when the workers that have
	// crashed are back, dropAt when the registry drops them.
	comesBack      time.Duration
	silent         bool
	backAt, dropAt map[*fakeWorker]time.Time
	// gangTimeout is how long the members of a gang wait for one whose worker has crashed; 0
	// if they end at once.
	gangTimeout time.Duration
	// stopsLost loses the stops of runs whose start is on its way.
	stopsLost bool
	// startAnswerDelay is how long after a start its answer is handled. lateAnswers are the
	// answers that are on their way.
	startAnswerDelay time.Duration
	// remoteFactor is how many times as long a task takes outside the rack of its data; 0 is unknown to
	// the holder. runTimeRatio is the ratio of the actual to the estimated run time; 0 is 1.
	remoteFactor, runTimeRatio float64
	lateAnswers                []lateAnswer
	// speeds makes runs progress at the speed of their workers; nil lists no progress.
	speeds *speeds
}

// startFate is what happens to a start order.
type startFate string

const (
	fateAccepted   startFate = "taken"
	fateLost       startFate = "lost"
	fateLate       startFate = "late"
	fateAnswerLost startFate = "answer_lost"
)

type lateStart struct {
	at     time.Time
	worker *fakeWorker
	order  dispatcher.StartOrder
	// capacity is that of the worker when the start was sent.
	capacity dispatcher.Size
}

// lateCall is a call of a worker that is executed at a time.
type lateCall struct {
	at      time.Time
	execute func()
}

func newSimulation(workers int) *simulation {
	s := &simulation{
		now: time.UnixMilli(1_000_000), archive: newArchive(), events: &events{},
		jobs: map[string]dispatcher.Job{}, running: map[dispatcher.TaskID]int{}, done: map[dispatcher.TaskID]bool{},
		acknowledgedDone: map[dispatcher.TaskID]bool{}, failures: map[dispatcher.TaskID]int{},
		nextFate:   func() startFate { return fateAccepted },
		registered: map[*fakeWorker]bool{},
		throttles:  map[dispatcher.TaskID]int{},
		crashing:   map[dispatcher.TaskID]bool{}, crashes: map[dispatcher.TaskID]int{},
		backAt: map[*fakeWorker]time.Time{}, dropAt: map[*fakeWorker]time.Time{},
	}
	for i := range workers {
		f := &fakeWorker{
			simulation: s, bootedAt: s.now.Add(-time.Duration(i) * time.Second), clockRate: 1 - 0.02*float64(i%2), reachable: true,
			running: map[dispatcher.TaskID]*fakeRun{}, highestRun: map[dispatcher.TaskID]int64{},
			registration: dispatcher.Registration{
				ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 7000+i), Service: testService,
				Phase: dispatcher.PhaseReady, Capacity: fullCapacity,
			},
		}
		f.registration.Boot = f.bootedAt.UnixMilli()
		s.workers = append(s.workers, f)
	}
	return s
}

func (s *simulation) runTime(task dispatcher.TaskID) time.Duration {
	step := s.jobs[task.Job].Steps[task.Step]
	if step.LongRunning {
		return time.Hour
	}
	return step.Estimate
}

func (s *simulation) violation(format string, arguments ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, arguments...))
}

func (s *simulation) runStarted(f *fakeWorker, r *fakeRun) {
	job := s.jobs[r.task.Job]
	if s.running[r.task] > 0 {
		s.violation("%s runs more than once at a time: run %d on %s", r.task, r.number, f.registration.ID)
	}
	if s.acknowledgedDone[r.task] {
		s.violation("%s starts again after its end was acknowledged", r.task)
	}
	for f := range s.registered {
		if f.listsDone(r.task) {
			s.violation("%s starts again although %s, which is registered, lists that it is done", r.task, f.registration.ID)
		}
	}
	if s.failures[r.task] >= job.Queue.Attempts && !job.Steps[r.task.Step].LongRunning {
		s.violation("%s starts after %d failures, although its attempts are used up", r.task, s.failures[r.task])
	}
	for _, before := range job.Steps[r.task.Step].After {
		for index := range job.Steps[before].Count {
			if id := (dispatcher.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: before, Index: index}); !s.done[id] {
				s.violation("%s starts before %s is done", r.task, id)
			}
		}
	}
	s.running[r.task]++
}

func (s *simulation) runEnded(_ *fakeWorker, r *fakeRun, ending dispatcher.Ending) {
	s.runRemoved(r)
	switch ending {
	case dispatcher.EndingDone:
		s.done[r.task] = true
	case dispatcher.EndingFailed:
		s.failures[r.task]++
	}
}

func (s *simulation) runRemoved(r *fakeRun) { s.running[r.task]-- }

func (s *simulation) acknowledged(row dispatcher.EndedRow) {
	if row.Ending == dispatcher.EndingDone {
		s.acknowledgedDone[row.Task] = true
	}
}

// changeHolder starts a new holder with the given registered workers.
func (s *simulation) changeHolder(listed ...*fakeWorker) {
	s.archive.epoch++
	held := limits
	held.RemoteFactor = s.remoteFactor
	if s.grant > 0 {
		held.MaxLeaseDuration = s.grant
	}
	s.cell = dispatcher.NewCell("graz-a", s.archive.term(), held, s.events)
	s.cell.TermChecked(s.now)
	s.archive.load(s.cell, s.now)
	clear(s.registered)
	for _, f := range listed {
		s.register(f)
	}
}

// register applies the registration of a worker.
func (s *simulation) register(f *fakeWorker) {
	s.registered[f] = true
	s.cell.SetWorker(s.now, f.registration)
}

// unregister removes a worker from the registry.
func (s *simulation) unregister(f *fakeWorker) {
	delete(s.registered, f)
	s.cell.RemoveWorker(s.now, f.registration.ID)
}

// submit adds an accepted job that no earlier holder can have started.
func (s *simulation) submit(job dispatcher.Job) { s.add(job, false) }

// add adds an accepted job. restored is true if an earlier holder may have started it.
func (s *simulation) add(job dispatcher.Job, restored bool) {
	job.Queue.Service = testService
	job.Occurrences = max(job.Occurrences, 1)
	job.Accepted = s.now
	s.jobs[job.ID] = job
	s.archive.jobs[job.ID] = job
	s.cell.AddJob(s.now, job, nil, restored)
}

// pollAll polls every reachable worker.
func (s *simulation) pollAll() {
	for _, f := range s.workers {
		if f.lateAnswer != nil {
			if s.now.Before(f.lateAnswerAt) {
				continue
			}
			f.lateAnswer()
			f.lateAnswer = nil
		}
		order, known := s.cell.NextPoll(s.now, f.registration.ID)
		if !known {
			continue
		}
		if !f.reachable {
			s.cell.HandlePollAnswer(s.now, s.now, order, dispatcher.Listing{}, dispatcher.AnswerUnknown)
			continue
		}
		if f.closed {
			s.cell.HandlePollAnswer(s.now, s.now, order, dispatcher.Listing{}, dispatcher.AnswerConnectionRefused)
			continue
		}
		if f.replaced {
			s.cell.HandlePollAnswer(s.now, s.now, order, dispatcher.Listing{}, dispatcher.AnswerRestarted)
			continue
		}
		if order.Boot != 0 && order.Boot != f.reportedBoot() {
			s.cell.HandlePollAnswer(s.now, s.now, order, dispatcher.Listing{}, dispatcher.AnswerUnsent)
			continue
		}
		listing, answer := f.poll(order)
		if f.answersLost {
			s.cell.HandlePollAnswer(s.now, s.now, order, dispatcher.Listing{}, dispatcher.AnswerUnknown)
			continue
		}
		if f.answerDelay > 0 {
			sent := s.now
			f.lateAnswerAt = sent.Add(f.answerDelay)
			f.lateAnswer = func() { s.cell.HandlePollAnswer(s.now, sent, order, listing, answer) }
			continue
		}
		s.cell.HandlePollAnswer(s.now, s.now, order, listing, answer)
	}
}

// step advances the clock and executes the holder's orders.
func (s *simulation) step(length time.Duration) {
	s.now = s.now.Add(length)
	for _, f := range s.workers {
		f.endDueRuns()
	}
	s.runLate()
	if s.cell == nil {
		return
	}
	s.save()
	if !s.registryUnread {
		s.cell.RegistryRead(s.now)
	}
	if !s.storeDown {
		s.cell.JobsRead(s.now)
	}
	s.answerStarts()
	s.pollAll()
	s.findJobs()
	s.checkTerm()
	s.execute(s.cell.Plan(s.now))
	s.save()
}

// checkTerm asks the store whether the holder's term is still the newest, if that is due.
func (s *simulation) checkTerm() {
	heartbeat := s.cell.HeartbeatDue(s.now)
	switch {
	case s.storeDown || !s.cell.TermCheckDue(s.now) && !heartbeat:
	case s.archive.term() == s.cell.Epoch:
		s.cell.TermChecked(s.now)
		if heartbeat {
			s.cell.Renewed(s.now)
			revision, _ := s.archive.write(s.cell.Epoch)
			s.cell.RevisionProven(revision)
		}
	default:
		s.cell.TermEnded()
	}
}

// findJobs looks up the jobs that the cell doesn't know.
func (s *simulation) findJobs() {
	if s.storeDown {
		return
	}
	for _, id := range s.cell.UnknownJobs(s.now) {
		job, live := s.archive.jobs[id]
		progress, begun := s.archive.progress[id]
		switch {
		case live && begun:
			s.cell.AddFound(s.now, job, &progress)
		case live:
			s.cell.AddFound(s.now, job, nil)
		default:
			s.cell.SetAbsent(s.now, id)
		}
	}
}

func (s *simulation) save() {
	if s.storeDown {
		return
	}
	for batch := s.cell.NextBatch(s.now, 4); batch != nil; batch = s.cell.NextBatch(s.now, 4) {
		if !s.archive.save(s.cell, batch) {
			s.cell.BatchFailed(batch)
			return
		}
		s.cell.BatchStored(s.now, batch)
	}
}

func (s *simulation) workerByID(id string) *fakeWorker {
	for _, f := range s.workers {
		if f.registration.ID == id {
			return f
		}
	}
	return nil
}

func (s *simulation) execute(orders dispatcher.Orders) {
	for _, o := range orders.Stops {
		if f := s.workerByID(o.Worker.ID); f.reachable && !f.closed && !(s.stopsLost && s.startOnItsWay(o.Task)) {
			s.cell.HandleStopAnswer(s.now, o, f.stop(o))
		} else {
			s.cell.HandleStopAnswer(s.now, o, dispatcher.AnswerUnknown)
		}
	}
	for _, o := range orders.Throttles {
		s.throttles[o.Task] = o.Percent
		s.cell.HandleThrottleAnswer(o, dispatcher.AnswerAccepted)
	}
	for _, o := range orders.Starts {
		f := s.workerByID(o.Worker.ID)
		fate := s.nextFate()
		switch {
		case f.closed:
			s.cell.HandleStartAnswer(s.now, o, dispatcher.AnswerConnectionRefused)
		case f.reachable && !s.startsReachAnyBoot && o.Boot != 0 && o.Boot != f.reportedBoot():
			s.cell.HandleStartAnswer(s.now, o, dispatcher.AnswerRestarted)
		case !f.reachable || fate == fateLost:
			s.cell.HandleStartAnswer(s.now, o, dispatcher.AnswerUnknown)
		case fate == fateLate:
			s.lateStarts = append(s.lateStarts, lateStart{at: s.now.Add(3 * time.Second), worker: f, order: o, capacity: f.registration.Capacity})
			s.cell.HandleStartAnswer(s.now, o, dispatcher.AnswerUnknown)
		case fate == fateAnswerLost:
			f.start(o)
			s.lateAnswers = append(s.lateAnswers, lateAnswer{at: s.now.Add(s.startAnswerDelay), order: o, answer: dispatcher.AnswerUnknown})
			s.answerStarts()
		default:
			s.cell.HandleStartAnswer(s.now, o, f.start(o))
		}
	}
}

func (s *simulation) runLate() {
	s.lateStarts = slices.DeleteFunc(s.lateStarts, func(l lateStart) bool {
		if s.now.Before(l.at) {
			return false
		}
		if !s.lateAfterRestart && l.order.Worker.Boot != l.worker.bootedAt.UnixMilli() {
			return true
		}
		l.worker.startWithin(l.order, l.capacity)
		return true
	})
	s.lateCalls = slices.DeleteFunc(s.lateCalls, func(l lateCall) bool {
		if s.now.Before(l.at) {
			return false
		}
		l.execute()
		return true
	})
}

// runFor advances the simulation by span in steps of 50 ms.
func (s *simulation) runFor(span time.Duration) {
	const tick = 50 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += tick {
		s.step(tick)
	}
}

// pauseHolder advances the simulation by span while the holder is paused.
func (s *simulation) pauseHolder(span time.Duration) {
	const tick = 50 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += tick {
		s.now = s.now.Add(tick)
		for _, f := range s.workers {
			f.endDueRuns()
		}
	}
}

func plainJob(id string, count int, length time.Duration, steps int) dispatcher.Job {
	job := dispatcher.Job{ID: id, Queue: dispatcher.Queue{Name: "quotes", Attempts: 3, Stretch: 2, Target: time.Second}}
	for i := range steps {
		step := dispatcher.Step{Count: count, Estimate: length, Size: dispatcher.Size{MilliProcessors: 1000, Megabytes: 500}}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

package dispatcher_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"zinniashore.example/dispatcher"
	"zinniashore.example/recorder"
)

// limits are those of the tests.
var limits = dispatcher.Limits{
	Grant:          4 * time.Second,
	LookWait:       time.Second,
	Confirmation:   2500 * time.Millisecond,
	StateRetention: time.Minute,
}

const (
	testService = "shop"
	stopTime    = 300 * time.Millisecond
)

// events counts what a cell records.
type events struct{ seen []recorder.Event }

func (e *events) Record(event recorder.Event) recorder.Timestamp {
	e.seen = append(e.seen, event)
	return recorder.Timestamp{}
}

// archive is what the store holds of a cell.
type archive struct {
	epoch    int64
	jobs     map[string]dispatcher.Job
	progress map[string]dispatcher.Progress
	workers  []dispatcher.Registration
	parts    []dispatcher.Part
}

func newArchive() *archive {
	return &archive{jobs: map[string]dispatcher.Job{}, progress: map[string]dispatcher.Progress{}}
}

// save applies a batch as the store would; it refuses an older holder.
func (a *archive) save(epoch int64, b *dispatcher.Batch) bool {
	if epoch != a.epoch {
		return false
	}
	for _, j := range b.Jobs {
		content, err := dispatcher.EncodeProgress(j.Progress)
		if err != nil {
			panic(err)
		}
		progress, err := dispatcher.DecodeProgress(j.ID, content)
		if err != nil {
			panic(err)
		}
		a.progress[j.ID] = progress
		if progress.State.Final() {
			delete(a.jobs, j.ID)
		}
	}
	for _, id := range b.Expired {
		delete(a.progress, id)
	}
	if b.Workers != nil {
		a.workers = b.Workers
	}
	if b.Part != nil {
		a.parts = append(a.parts, *b.Part)
	}
	return true
}

// load gives a new holder what the store holds.
func (a *archive) load(c *dispatcher.Cell, now time.Time) {
	for _, w := range a.workers {
		c.RestoreWorker(w)
	}
	ids := map[string]bool{}
	for id := range a.jobs {
		ids[id] = true
	}
	for id := range a.progress {
		ids[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		job, live := a.jobs[id]
		progress, begun := a.progress[id]
		if !live && !progress.State.Final() {
			continue
		}
		job.ID = id
		if begun {
			c.AddJob(now, job, &progress, true)
		} else {
			c.AddJob(now, job, nil, true)
		}
	}
}

// fakeRun is a run on a fake worker.
type fakeRun struct {
	task     dispatcher.TaskID
	number   int64
	begun    time.Time
	ends     time.Time
	how      dispatcher.Ending
	stopping bool
}

// fakeWorker keeps the platform's rules of a worker.
type fakeWorker struct {
	world        *world
	registration dispatcher.Registration
	booted       time.Time
	rate         float64
	epoch        int64
	grant        time.Duration
	running      map[dispatcher.TaskID]*fakeRun
	highest      map[dispatcher.TaskID]int64
	ended        []dispatcher.EndedRow
	count        int64
	reachable    bool
	// closed makes nothing listen at the worker's address.
	closed bool
	// fails makes each run fail.
	fails bool
}

func (w *fakeWorker) end(r *fakeRun, how dispatcher.Ending) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.count++
	w.ended = append(w.ended, dispatcher.EndedRow{Number: w.count, Task: r.task, Run: r.number, Ending: how})
	w.world.ended(w, r, how)
}

// world is workers, a store and a holder, with a clock of its own. It notes
// each broken promise.
type world struct {
	now      time.Time
	archive  *archive
	workers  []*fakeWorker
	cell     *dispatcher.Cell
	events   *events
	jobs     map[string]dispatcher.Job
	running  map[dispatcher.TaskID]int
	done     map[dispatcher.TaskID]bool
	noted    map[dispatcher.TaskID]bool
	failures map[dispatcher.TaskID]int
	problems []string
	// late are starts that got no answer and are carried out later.
	late []lateStart
	// loseStart decides what becomes of a start.
	loseStart func() startFate
	storeDown bool
	// lateToNewLife lets a late start reach a worker that has started anew.
	lateToNewLife bool
	// paces are the paces that workers were last told.
	paces map[dispatcher.TaskID]int
}

// startFate is what becomes of a start.
type startFate string

const (
	fateTaken  startFate = "taken"
	fateLost   startFate = "lost"
	fateLate   startFate = "late"
	fateAnswer startFate = "answer_lost"
)

type lateStart struct {
	at     time.Time
	worker *fakeWorker
	order  dispatcher.StartOrder
}

func newWorld(workers int) *world {
	w := &world{
		now: time.UnixMilli(1_000_000), archive: newArchive(), events: &events{},
		jobs: map[string]dispatcher.Job{}, running: map[dispatcher.TaskID]int{}, done: map[dispatcher.TaskID]bool{},
		noted: map[dispatcher.TaskID]bool{}, failures: map[dispatcher.TaskID]int{},
		loseStart: func() startFate { return fateTaken },
		paces:     map[dispatcher.TaskID]int{},
	}
	for i := range workers {
		f := &fakeWorker{
			world: w, booted: w.now.Add(-time.Duration(i) * time.Second), rate: 1 - 0.02*float64(i%2), reachable: true,
			running: map[dispatcher.TaskID]*fakeRun{}, highest: map[dispatcher.TaskID]int64{},
			registration: dispatcher.Registration{
				ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 7000+i), Service: testService,
				Phase: dispatcher.PhaseReady, Capacity: dispatcher.Size{MilliProcessors: 4000, Megabytes: 4000},
			},
		}
		f.registration.Boot = f.booted.UnixMilli()
		w.workers = append(w.workers, f)
	}
	return w
}

func (w *world) length(task dispatcher.TaskID) time.Duration {
	step := w.jobs[task.Job].Steps[task.Step]
	if step.Lasting {
		return time.Hour
	}
	return step.Estimate
}

func (w *world) problem(format string, arguments ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, arguments...))
}

func (w *world) began(f *fakeWorker, r *fakeRun) {
	job := w.jobs[r.task.Job]
	if w.running[r.task] > 0 {
		w.problem("%s runs twice: run %d on %s", r.task, r.number, f.registration.ID)
	}
	if w.noted[r.task] {
		w.problem("%s starts again after its end was acknowledged", r.task)
	}
	if w.failures[r.task] >= job.Queue.Attempts && !job.Steps[r.task.Step].Lasting {
		w.problem("%s starts after %d failures", r.task, w.failures[r.task])
	}
	for _, before := range job.Steps[r.task.Step].After {
		for index := range job.Steps[before].Count {
			if id := (dispatcher.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: before, Index: index}); !w.done[id] {
				w.problem("%s starts before %s is done", r.task, id)
			}
		}
	}
	w.running[r.task]++
}

func (w *world) ended(_ *fakeWorker, r *fakeRun, how dispatcher.Ending) {
	w.gone(r)
	switch how {
	case dispatcher.EndingDone:
		w.done[r.task] = true
	case dispatcher.EndingFailed:
		w.failures[r.task]++
	}
}

func (w *world) gone(r *fakeRun) { w.running[r.task]-- }

func (w *world) acknowledged(row dispatcher.EndedRow) {
	if row.Ending == dispatcher.EndingDone {
		w.noted[row.Task] = true
	}
}

// take makes a new holder begin, with the workers that the registry lists.
func (w *world) take(listed ...*fakeWorker) {
	w.archive.epoch++
	w.cell = dispatcher.NewCell("graz-a", w.archive.epoch, limits, w.events)
	w.archive.load(w.cell, w.now)
	for _, f := range listed {
		w.cell.SetWorker(w.now, f.registration)
	}
}

// submit accepts a job.
func (w *world) submit(job dispatcher.Job) {
	job.Queue.Service = testService
	job.Occurrences = max(job.Occurrences, 1)
	job.Accepted = w.now
	w.jobs[job.ID] = job
	w.archive.jobs[job.ID] = job
	w.cell.AddJob(w.now, job, nil, false)
}

// lookAll looks at every worker that answers.
func (w *world) lookAll() {
	for _, f := range w.workers {
		order, known := w.cell.Look(w.now, f.registration.ID)
		if !known || !f.reachable {
			continue
		}
		if f.closed {
			w.cell.Looked(w.now, w.now, order, dispatcher.Listing{}, dispatcher.AnswerClosed)
			continue
		}
		listing, answer := f.look(order)
		w.cell.Looked(w.now, w.now, order, listing, answer)
	}
}

// step lets a moment pass and carries out what the holder wants.
func (w *world) step(length time.Duration) {
	w.now = w.now.Add(length)
	for _, f := range w.workers {
		f.settle()
	}
	w.runLate()
	if w.cell == nil {
		return
	}
	w.save()
	w.lookAll()
	w.carryOut(w.cell.Plan(w.now))
	w.save()
}

func (w *world) save() {
	if w.storeDown {
		return
	}
	for batch := w.cell.TakeBatch(w.now, 4); batch != nil; batch = w.cell.TakeBatch(w.now, 4) {
		if !w.archive.save(w.cell.Epoch, batch) {
			w.cell.Unstored(batch)
			return
		}
		w.cell.Stored(batch)
	}
}

func (w *world) worker(id string) *fakeWorker {
	for _, f := range w.workers {
		if f.registration.ID == id {
			return f
		}
	}
	return nil
}

func (w *world) carryOut(orders dispatcher.Orders) {
	for _, o := range orders.Stops {
		if f := w.worker(o.Worker.ID); f.reachable {
			w.cell.Stopped(w.now, o, f.stop(o))
		} else {
			w.cell.Stopped(w.now, o, dispatcher.AnswerUnclear)
		}
	}
	for _, o := range orders.Paces {
		w.paces[o.Task] = o.Percent
		w.cell.Paced(o, dispatcher.AnswerTaken)
	}
	for _, o := range orders.Starts {
		f := w.worker(o.Worker.ID)
		fate := w.loseStart()
		switch {
		case !f.reachable || fate == fateLost:
			w.cell.Started(w.now, o, dispatcher.AnswerUnclear)
		case fate == fateLate:
			w.late = append(w.late, lateStart{at: w.now.Add(3 * time.Second), worker: f, order: o})
			w.cell.Started(w.now, o, dispatcher.AnswerUnclear)
		case fate == fateAnswer:
			f.start(o)
			w.cell.Started(w.now, o, dispatcher.AnswerUnclear)
		default:
			w.cell.Started(w.now, o, f.start(o))
		}
	}
}

func (w *world) runLate() {
	w.late = slices.DeleteFunc(w.late, func(l lateStart) bool {
		if w.now.Before(l.at) {
			return false
		}
		if !w.lateToNewLife && l.order.Worker.Boot != l.worker.booted.UnixMilli() {
			return true
		}
		l.worker.start(l.order)
		return true
	})
}

// runFor lets time pass.
func (w *world) runFor(span time.Duration) {
	const tick = 50 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += tick {
		w.step(tick)
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

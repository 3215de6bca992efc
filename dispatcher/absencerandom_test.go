package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/dispatcher"
)

// absence is how a worker is away.
type absence struct {
	kind absenceKind
	// at is when the absence begins, length how long it lasts. A worker that is cut off may restart
	// in between, after a share of that time in percent.
	at       time.Time
	length   time.Duration
	restarts int
}

type absenceKind string

const (
	absenceNone    absenceKind = "none"
	absenceRefuses absenceKind = "refuses connections"
	absenceCut     absenceKind = "cut off from all"
	absenceRestart absenceKind = "restarts while it is cut off"
	absenceLeaves  absenceKind = "drains, leaves and starts anew"
	absenceSilent  absenceKind = "registered but unreachable"
)

// maxRefusal is how long a worker that runs on refuses connections at most.
const maxRefusal = 12 * time.Second

// absences are workers of a simulation that its holder can't reach for a while, and that mostly run on.
type absences struct {
	*simulation
	// restartAt is when a worker restarts while it is cut off, leaveAt when one that drains exits, and
	// returnAt when each is back.
	restartAt, leaveAt, returnAt map[*fakeWorker]time.Time
	// afterStart returns the absence of a worker that gets a start, or none. goneAt is when it begins, read
	// is the number of recorded events that have been looked at.
	afterStart func() absence
	goneAt     map[*fakeWorker]absence
	read       int
}

// TestRandomAbsences guards against jobs that are given up because workers were away that ran on, against
// tasks that crash workers beyond their budget at the same time, and against long-running tasks that don't
// run again.
func TestRandomAbsences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &absences{
			simulation: newActiveSimulation(rapid.IntRange(4, 10).Draw(t, "workers")),
			restartAt:  map[*fakeWorker]time.Time{}, leaveAt: map[*fakeWorker]time.Time{},
			returnAt: map[*fakeWorker]time.Time{}, goneAt: map[*fakeWorker]absence{},
		}
		a.lostEnds = map[dispatcher.TaskID]int{}
		fates := rapid.SampledFrom([]startFate{fateAccepted, fateAccepted, fateAccepted, fateAccepted, fateLost, fateLate, fateAnswerLost})
		a.nextFate = func() startFate { return fates.Draw(t, "fate") }
		kinds := drawKinds(t)
		a.afterStart = func() absence { return a.draw(t, kinds.Draw(t, "absence")) }
		a.silent = rapid.Bool().Draw(t, "crashes are silent")
		a.comesBack = time.Duration(rapid.IntRange(1, 24).Draw(t, "comes back")) * 500 * time.Millisecond
		a.startAnswerDelay = time.Duration(rapid.IntRange(0, 10).Draw(t, "answer delay")) * 100 * time.Millisecond
		for i := range rapid.IntRange(3, 20).Draw(t, "moves") {
			a.move(t, i)
			a.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * 50 * time.Millisecond)
		}
		a.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "last faults")) * time.Second)
		a.nextFate = func() startFate { return fateAccepted }
		a.afterStart = func() absence { return absence{kind: absenceNone} }
		clear(a.goneAt)
		a.advance(15 * time.Second)
		a.recover()
		a.advance(120 * time.Second)
		a.checkBudget(t)
		a.checkLongRunning(t)
	})
}

// drawKinds draws which absences follow starts, and how often.
func drawKinds(t *rapid.T) *rapid.Generator[absenceKind] {
	kinds := []absenceKind{absenceRefuses, absenceCut, absenceCut, absenceRestart, absenceLeaves, absenceSilent}
	for range rapid.SampledFrom([]int{0, 2, 6, 60}).Draw(t, "starts without an absence") {
		kinds = append(kinds, absenceNone)
	}
	return rapid.SampledFrom(kinds)
}

// draw draws when an absence of a kind begins after a start, and how long it lasts.
func (a *absences) draw(t *rapid.T, kind absenceKind) absence {
	if kind == absenceNone {
		return absence{kind: kind}
	}
	return absence{
		kind: kind, at: a.now.Add(time.Duration(rapid.IntRange(0, 24).Draw(t, "begins after")) * 50 * time.Millisecond),
		length: time.Duration(rapid.IntRange(10, 150).Draw(t, "lasts")) * 100 * time.Millisecond, restarts: rapid.IntRange(0, 100).Draw(t, "restarts"),
	}
}

// present reports whether nothing keeps the holder from a worker.
func (a *absences) present(f *fakeWorker) bool {
	_, away := a.returnAt[f]
	return !away && !a.down(f) && f.reachable && f.registration.Phase == dispatcher.PhaseReady
}

// move makes a random change.
func (a *absences) move(t *rapid.T, number int) {
	present := slices.DeleteFunc(slices.Clone(a.workers), func(f *fakeWorker) bool { return !a.present(f) })
	if len(present) == 0 {
		return
	}
	anyWorker := rapid.SampledFrom(present)
	kinds := []absenceKind{absenceNone, absenceNone, absenceNone, absenceRefuses, absenceCut, absenceRestart, absenceLeaves, absenceSilent}
	if drawn := a.draw(t, rapid.SampledFrom(kinds).Draw(t, "absence of any worker")); drawn.kind != absenceNone {
		a.begin(anyWorker.Draw(t, "absent worker"), drawn)
		return
	}
	a.crashMove(t, number, anyWorker)
}

// begin begins the absence of a worker.
func (a *absences) begin(f *fakeWorker, drawn absence) {
	back := a.now.Add(drawn.length)
	switch drawn.kind {
	case absenceRefuses:
		f.closed = true
		back = a.now.Add(min(drawn.length, maxRefusal))
	case absenceCut:
		f.reachable = false
		a.dropAt[f] = a.now.Add(registryTimeout)
	case absenceRestart:
		f.reachable = false
		a.dropAt[f] = a.now.Add(registryTimeout)
		a.restartAt[f] = a.now.Add(time.Duration(drawn.restarts) * drawn.length / 100)
	case absenceLeaves:
		f.registration.Phase = dispatcher.PhaseDraining
		a.register(f)
		a.leaveAt[f] = a.now.Add(minDrain)
		back = back.Add(minDrain)
	case absenceSilent:
		f.reachable = false
	}
	a.returnAt[f] = back
}

// watchStarts draws absences of the workers that have got starts since it was last called.
func (a *absences) watchStarts() {
	for ; a.read < len(a.events.recorded); a.read++ {
		event := a.events.recorded[a.read]
		if event.Kind != dispatcher.KindStart {
			continue
		}
		if drawn := a.afterStart(); drawn.kind != absenceNone {
			a.goneAt[a.workerByID(event.VM)] = drawn
		}
	}
}

// advance runs the simulation while workers are away and come back.
func (a *absences) advance(span time.Duration) {
	const tick = 50 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += tick {
		a.simulation.advance(tick)
		a.watchStarts()
		for _, f := range a.workers {
			a.change(f)
		}
	}
}

// change changes a worker whose absence begins, ends or is overtaken by a crash.
func (a *absences) change(f *fakeWorker) {
	if a.down(f) {
		a.forget(f)
		return
	}
	if drawn, due := a.goneAt[f]; due && !a.now.Before(drawn.at) {
		delete(a.goneAt, f)
		if a.present(f) {
			a.begin(f, drawn)
		}
	}
	if at, due := a.leaveAt[f]; due && !a.now.Before(at) {
		delete(a.leaveAt, f)
		a.leave(f)
	}
	if at, due := a.restartAt[f]; due && !a.now.Before(at) {
		delete(a.restartAt, f)
		a.unregister(f)
		f.reboot()
	}
	if at, due := a.returnAt[f]; due && !a.now.Before(at) {
		a.forget(f)
		delete(a.dropAt, f)
		f.closed, f.reachable = false, true
		f.registration.Phase = dispatcher.PhaseReady
		a.register(f)
	}
}

// forget forgets the absence of a worker.
func (a *absences) forget(f *fakeWorker) {
	delete(a.leaveAt, f)
	delete(a.restartAt, f)
	delete(a.returnAt, f)
}

// leave ends the process of a worker that has drained, as planned: no task has crashed it.
func (a *absences) leave(f *fakeWorker) {
	for id, r := range f.running {
		a.runRemoved(r)
		delete(f.running, id)
	}
	f.ended = nil
	a.unregister(f)
	f.reboot()
	f.closed = true
}

// recover ends all absences, those of workers that have left too.
func (a *absences) recover() {
	for _, f := range a.workers {
		a.forget(f)
	}
	a.simulation.recover()
}

// checkLongRunning fails unless each task of a long-running job that hasn't failed runs.
func (a *absences) checkLongRunning(t *rapid.T) {
	for id, job := range a.jobs {
		if state, _ := a.cell.State(id); !job.Steps[0].LongRunning || state == dispatcher.StateFailed {
			continue
		}
		for index := range job.Steps[0].Count {
			task := dispatcher.TaskID{Job: id, Index: index}
			if a.workerOf(task) == nil {
				t.Fatalf("no worker runs %s after the faults", task)
			}
		}
	}
}

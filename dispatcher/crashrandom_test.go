package dispatcher_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/dispatcher"
)

// crashBudget is how many workers may crash under a task that crashes each of them: three, and
// one for each of the two starts that are allowed after that.
const crashBudget = 5

// maxRandomHolders is the number of changes of the holder. Each may lose the crash before it.
const maxRandomHolders = 2

// TestRandomCrashes guards against tasks that crash workers and are started beyond their
// budget, and against jobs that are given up with fewer than two crashes, while workers crash
// for reasons of their own, are unreachable or drain, and the holder or the store is away.
func TestRandomCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newActiveSimulation(rapid.IntRange(4, 10).Draw(t, "workers"))
		anyWorker := rapid.SampledFrom(s.workers)
		fates := rapid.SampledFrom([]startFate{fateAccepted, fateAccepted, fateAccepted, fateAccepted, fateLost, fateAnswerLost})
		s.nextFate = func() startFate { return fates.Draw(t, "fate") }
		s.comesBack = time.Duration(rapid.IntRange(1, 8).Draw(t, "comes back")) * 500 * time.Millisecond
		s.startAnswerDelay = time.Duration(rapid.IntRange(0, 10).Draw(t, "answer delay")) * 100 * time.Millisecond
		for i := range rapid.IntRange(3, 20).Draw(t, "moves") {
			s.crashMove(t, i, anyWorker)
			s.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * 50 * time.Millisecond)
		}
		s.recover()
		s.advance(120 * time.Second)
		s.checkBudget(t)
	})
}

// crashMove makes a random change.
func (s *simulation) crashMove(t *rapid.T, number int, anyWorker *rapid.Generator[*fakeWorker]) {
	id := fmt.Sprintf("%016x", 0xb0+number)
	switch rapid.SampledFrom([]string{"deadly", "deadly", "plain", "plain", "gang", "long-running", "crash", "crash third", "take", "cut", "drain", "heal", "store"}).Draw(t, "move") {
	case "deadly", "plain", "gang":
		job := plainJob(id, rapid.IntRange(1, 4).Draw(t, "count"), time.Duration(rapid.IntRange(1, 40).Draw(t, "length"))*100*time.Millisecond, 1)
		job.Steps[0].Gang = rapid.Bool().Draw(t, "gang")
		if rapid.Bool().Draw(t, "crashes") {
			s.crashing[dispatcher.TaskID{Job: id}] = true
		}
		s.submit(job)
	case "long-running":
		s.submit(longRunningJob(id, 2, 1000))
	case "crash":
		s.crash(anyWorker.Draw(t, "worker"))
	case "crash third":
		for i := number % 3; i < len(s.workers); i += 3 {
			s.crash(s.workers[i])
		}
	case "take":
		if s.archive.epoch > maxRandomHolders {
			return
		}
		s.storeDown = false
		s.changeHolder(slices.DeleteFunc(s.registeredWorkers(), s.down)...)
	case "cut":
		anyWorker.Draw(t, "worker").reachable = false
	case "drain":
		f := anyWorker.Draw(t, "worker")
		f.registration.Phase = dispatcher.PhaseDraining
		s.register(f)
	case "heal":
		s.recover()
	case "store":
		s.storeDown = !s.storeDown
	}
}

// recover ends what keeps workers and the store away.
func (s *simulation) recover() {
	s.storeDown = false
	for _, f := range s.workers {
		f.registration.Phase = dispatcher.PhaseReady
		if !s.down(f) {
			f.reachable, f.closed = true, false
			s.register(f)
		}
	}
}

// down reports whether a worker has crashed and isn't back yet.
func (s *simulation) down(f *fakeWorker) bool {
	_, down := s.backAt[f]
	return down
}

// checkBudget fails unless each task that crashes workers has kept its budget, and each other
// job is done or may be given up.
func (s *simulation) checkBudget(t *rapid.T) {
	for id := range s.crashing {
		if s.crashes[id] > crashBudget {
			t.Fatalf("%d workers have crashed under %s, want at most %d", s.crashes[id], id, crashBudget)
		}
	}
	for id, job := range s.jobs {
		state, known := s.cell.State(id)
		switch {
		case job.Steps[0].LongRunning && state == dispatcher.StateRunning:
		case state == dispatcher.StateFailed && s.mayGiveUp(id):
		case s.crashing[dispatcher.TaskID{Job: id}] && !state.Final():
			t.Fatalf("job %s is %q (known %v), want it given up", id, state, known)
		case state != dispatcher.StateCompleted:
			t.Fatalf("state of job %s after the faults = %q (known %v), want completed; newest task given up: %s", id, state, known, s.events.detail(dispatcher.KindGivenUp))
		}
	}
	for _, problem := range s.violations {
		t.Fatal(problem)
	}
}

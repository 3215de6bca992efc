package dispatcher_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/dispatcher"
)

// minDrain is for how long a worker serves at least after it has registered that it drains.
const minDrain = 2 * time.Second

// ampleCapacity is the capacity of a worker that can run all tasks of TestRandomExits.
var ampleCapacity = dispatcher.Size{MilliProcessors: 400_000, Megabytes: 400_000}

// exits are the workers of a simulation that shut down, with the time since when they drain.
type exits struct {
	*simulation
	drains map[*fakeWorker]time.Time
}

// TestRandomExits guards against two runs of a task, and starts after a run was done, under workers that shut
// down slowly, also with a successor under their id, tasks that last long, and changes of the holder.
func TestRandomExits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &exits{simulation: newSimulation(rapid.IntRange(2, 6).Draw(t, "workers")), drains: map[*fakeWorker]time.Time{}}
		listed := rapid.IntRange(0, 4).Draw(t, "ends in a listing")
		for _, f := range s.workers {
			f.maxListedEnds, f.registration.Capacity = listed, ampleCapacity
		}
		s.changeHolder(s.workers...)
		s.runFor(200 * time.Millisecond)
		fates := rapid.SampledFrom([]startFate{fateAccepted, fateAccepted, fateAccepted, fateLost, fateLate, fateAnswerLost})
		s.nextFate = func() startFate { return fates.Draw(t, "fate") }
		for i := range rapid.IntRange(3, 16).Draw(t, "moves") {
			s.move(t, i)
			s.runFor(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * 50 * time.Millisecond)
		}
		s.heal()
		s.runFor(60 * time.Second)
		for _, problem := range s.violations {
			t.Fatal(problem)
		}
		for id := range s.jobs {
			if state, _ := s.cell.State(id); state != dispatcher.StateCompleted && !s.jobs[id].Steps[0].LongRunning {
				t.Fatalf("state of job %s after the exits = %q, want completed", id, state)
			}
		}
	})
}

// move makes a random change.
func (s *exits) move(t *rapid.T, number int) {
	id := fmt.Sprintf("%016x", 0xe0+number)
	f := rapid.SampledFrom(s.present()).Draw(t, "worker")
	switch rapid.SampledFrom([]string{"job", "job", "long-running", "drain", "drain", "exit", "exit", "crash", "mute", "slow", "pause", "take", "store", "hear"}).Draw(t, "move") {
	case "job":
		s.submit(plainJob(id, rapid.IntRange(1, 8).Draw(t, "count"), time.Duration(rapid.IntRange(1, 150).Draw(t, "length"))*100*time.Millisecond, rapid.IntRange(1, 2).Draw(t, "steps")))
	case "long-running":
		s.submit(longRunningJob(id, rapid.IntRange(1, 3).Draw(t, "count"), 1000))
	case "drain":
		s.startDrain(f)
	case "exit":
		s.exit(t, f)
	case "crash":
		s.crash(f)
	case "mute":
		f.answersLost = true
	case "slow":
		f.answerDelay = time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * 100 * time.Millisecond
	case "pause":
		s.pauseHolder(time.Duration(rapid.IntRange(1, 100).Draw(t, "holder pause")) * 50 * time.Millisecond)
	case "take":
		s.take(rapid.SampledFrom([]string{"lost", "ended", "released"}).Draw(t, "earlier holder"))
	case "store":
		s.storeDown = !s.storeDown
	case "hear":
		s.hear()
	}
}

// present returns the workers that have no successor.
func (s *exits) present() []*fakeWorker {
	return slices.DeleteFunc(slices.Clone(s.workers), func(f *fakeWorker) bool { return strings.HasSuffix(f.registration.ID, earlierSuffix) })
}

// crash restarts a worker that is registered.
func (s *exits) crash(f *fakeWorker) {
	if !s.registered[f] {
		return
	}
	delete(s.drains, f)
	f.registration.Phase = dispatcher.PhaseReady
	f.reboot()
	s.register(f)
}

func (s *exits) startDrain(f *fakeWorker) {
	if _, drains := s.drains[f]; drains || !s.registered[f] {
		return
	}
	s.drain(f)
	s.drains[f] = s.now
}

// exit makes a worker that has drained take its registration back, while its runs last.
func (s *exits) exit(t *rapid.T, f *fakeWorker) {
	if since, drains := s.drains[f]; !drains || s.now.Sub(since) < minDrain {
		return
	}
	delete(s.drains, f)
	f.answersLost, f.lateAnswer, f.answerDelay = false, nil, 0
	s.unregister(f)
	switch rapid.SampledFrom([]string{"closed", "replaced", "silent", "succeeded", "succeeded later"}).Draw(t, "exit") {
	case "closed":
		f.closed = true
	case "replaced":
		f.replaced = true
	case "silent":
		f.reachable = false
	case "succeeded":
		s.register(s.succeed(f))
	case "succeeded later":
		next := s.succeed(f)
		s.runFor(time.Duration(rapid.IntRange(1, 20).Draw(t, "registered after")) * 50 * time.Millisecond)
		s.register(next)
	}
}

// take changes the holder. The earlier one is lost, has ended and tells nothing, as an earlier build does, or has
// released the cell.
func (s *exits) take(earlier string) {
	for _, f := range s.workers {
		f.lateAnswer = nil
	}
	s.storeDown = false
	listed := slices.DeleteFunc(s.present(), func(f *fakeWorker) bool { return !s.registered[f] })
	if earlier == "released" {
		s.release(listed...)
		return
	}
	s.changeHolder(listed...)
	if earlier == "ended" {
		s.cell.EarlierHoldersEnded(s.now)
	}
}

// hear ends what keeps the answers of workers away.
func (s *exits) hear() {
	for _, f := range s.present() {
		f.answersLost, f.answerDelay = false, 0
	}
}

// heal ends all faults. Workers that shut down have ended, and start again.
func (s *exits) heal() {
	s.storeDown = false
	s.nextFate = func() startFate { return fateAccepted }
	s.hear()
	for _, f := range s.present() {
		_, drains := s.drains[f]
		if drains || !s.registered[f] {
			s.runFor(10 * time.Second)
			f.registration.Phase, f.reachable, f.closed, f.replaced = dispatcher.PhaseReady, true, false, false
			f.reboot()
		}
		s.register(f)
	}
}

package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/dispatcher"
)

const (
	// maxShortWait is the wait of short tasks from which on the deployment counted as unfair.
	maxShortWait = 10 * time.Second
	// maxHeldBack is how long a long-running task may wait while there is a place for it: 1 s, and
	// what polls and plans take.
	maxHeldBack = 1200 * time.Millisecond
	// fragments is the share of the processors that long-running tasks leave on the day that was
	// measured.
	fragments = 0.04
)

func smallSize(size int64) bool { return size <= 5000 }

// TestShareOfSmallTasks guards against short tasks that find no place beside long-running tasks
// that wait for all processors of the cell.
func TestShareOfSmallTasks(t *testing.T) {
	for _, factor := range []float64{1, 2, 4} {
		t.Run(fmt.Sprintf("%v times the room left", factor), func(t *testing.T) {
			s := newFullCell(sharedWorkers)
			load := factor * fragments * sharedWorkers * sharedMilliCapacity
			s.flow(20*time.Second, load)
			from := s.now
			s.flow(40*time.Second, load)
			until := s.now
			s.flow(maxShortWait, load)
			waits := s.waits(from, until, smallSize)
			if longest := waits[len(waits)-1]; longest > maxShortWait {
				t.Errorf("a task of at most 5 processors of %d waited %v, want %v at most", len(waits), longest, maxShortWait)
			}
			if long := s.countRunning(true); long*longRunningProcessors < sharedWorkers*sharedMilliCapacity/2 {
				t.Errorf("%d long-running tasks run, which is less than half of the processors", long)
			}
			if s.longestFree > maxHeldBack {
				t.Errorf("room for a long-running task was free for %v while some waited, want %v at most", s.longestFree, maxHeldBack)
			}
			s.requireNoViolations(t)
		})
	}
}

// TestRoomForAll guards against a division of the processors in a cell that has room for all.
func TestRoomForAll(t *testing.T) {
	tests := map[string]struct{ longRunning, short int }{
		"no short tasks": {longRunning: 200}, "no long-running tasks": {short: 200}, "room for both": {longRunning: 20, short: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSharedCell(8)
			for range test.longRunning {
				s.addLongRunning()
			}
			for range test.short {
				s.addShort(5000, 3*time.Second)
			}
			s.runTicks(5 * time.Second)
			if set := s.countEvents(dispatcher.KindSetAside); set > 0 {
				t.Errorf("%d workers were set aside", set)
			}
		})
	}
}

// newSetAsideCell returns a cell whose workers are full of long-running tasks, and some set aside
// for short tasks that wait.
func newSetAsideCell(t *testing.T) (s *sharedCell, short []string) {
	s = newSharedCell(4)
	for range 4 * sharedMilliCapacity / longRunningProcessors {
		s.addLongRunning()
	}
	s.runTicks(time.Second)
	for range 3 {
		short = append(short, s.addShort(12000, time.Minute))
	}
	s.runTicks(time.Second)
	if len(s.setAside()) == 0 {
		t.Fatal("no worker is set aside")
	}
	return s, short
}

// empty ends the load of short tasks, and all long-running tasks of a worker.
func (s *sharedCell) empty(f *fakeWorker, short []string) {
	for _, id := range short {
		s.cell.Cancel(s.now, id)
	}
	for id := range f.running {
		s.cell.Cancel(s.now, id.Job)
	}
	s.runTicks(stopTime + 2*sharedTick)
}

// TestPlacesOfSetAsideWorkers guards against long-running tasks of other cells that are sent to
// workers that are set aside, and against such tasks that wait for long beside unused room.
func TestPlacesOfSetAsideWorkers(t *testing.T) {
	s, short := newSetAsideCell(t)
	s.empty(s.setAside()[0], short)
	step := longRunningJob(jobID, 1, longRunningProcessors).Steps[0]
	if free := s.cell.FreeCapacity(s.now, testService, &step); free.Places > 0 || free.LaterPlaces > 0 {
		t.Errorf("%d places, %d later, of a worker that has just been emptied, want none", free.Places, free.LaterPlaces)
	}
	s.runTicks(maxHeldBack + 300*time.Millisecond)
	if free := s.cell.FreeCapacity(s.now, testService, &step); free.Places != 5 || free.LaterPlaces != 5 {
		t.Errorf("%d places, %d later, of a worker that has been free for a second, want 5", free.Places, free.LaterPlaces)
	}
}

// TestHeldBackTasks guards against long-running tasks that wait for long while a worker that is set
// aside has room for them, and against short tasks that don't get that room first.
func TestHeldBackTasks(t *testing.T) {
	tests := map[string]func(*dispatcher.Job){
		"a task of the cell": func(*dispatcher.Job) {},
		"a delegated task": func(job *dispatcher.Job) {
			job.Home = "graz-b"
			job.Part = []dispatcher.TaskID{{Job: job.ID}, {Job: job.ID, Index: 1}, {Job: job.ID, Index: 2}}
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			s, short := newSetAsideCell(t)
			s.empty(s.setAside()[0], short)
			s.runTicks(500 * time.Millisecond)
			job := longRunningJob(jobID, 3, longRunningProcessors)
			change(&job)
			before := s.countRunning(true)
			s.submit(job)
			s.runTicks(300 * time.Millisecond)
			if s.countRunning(true) > before {
				t.Errorf("a task started at once on a worker that is set aside")
			}
			s.runTicks(maxHeldBack - 300*time.Millisecond)
			if running := s.countRunning(true) - before; running != 3 || s.countEvents(dispatcher.KindHeldBack) != 3 {
				t.Errorf("%d tasks run, %d of them recorded as held back, want 3", running, s.countEvents(dispatcher.KindHeldBack))
			}
		})
	}
}

// TestSiblingsHeldBack guards against tasks of a step that are held back one after the other.
func TestSiblingsHeldBack(t *testing.T) {
	s, short := newSetAsideCell(t)
	s.submit(longRunningJob(jobID, 3, longRunningProcessors))
	s.runTicks(500 * time.Millisecond)
	before := s.countRunning(true)
	s.empty(s.setAside()[0], short)
	s.runTicks(time.Second)
	if running := s.countRunning(true) - (before - 5); running != 3 {
		t.Errorf("%d tasks of the step run 1 s after there was room, want 3", running)
	}
}

// TestShortTaskBesideHeldBackTasks guards against a short task that isn't tried on a worker that is
// set aside because a long-running task of its size is held back there.
func TestShortTaskBesideHeldBackTasks(t *testing.T) {
	s, short := newSetAsideCell(t)
	s.empty(s.setAside()[0], short)
	job := longRunningJob(jobID, 3, longRunningProcessors)
	job.Steps[0].TailTarget = 0
	s.submit(job)
	s.tick()
	id := s.addShort(12000, time.Second)
	s.runTicks(2 * sharedTick)
	if s.startedAt[id].IsZero() {
		t.Error("the short task doesn't start on the worker that is set aside")
	}
}

// TestDrainToSetAsideWorker guards against long-running tasks that stay on a draining worker although
// one that is set aside has had room for them for a second.
func TestDrainToSetAsideWorker(t *testing.T) {
	s, short := newSetAsideCell(t)
	set := s.setAside()
	s.empty(set[0], short)
	for _, f := range s.workers {
		if f != set[0] {
			f.registration.Phase = dispatcher.PhaseDraining
			s.register(f)
		}
	}
	s.runTicks(1800 * time.Millisecond)
	if len(set[0].running) == 0 {
		t.Error("no task has moved to the worker that is set aside")
	}
	s.requireNoViolations(t)
}

// TestNoStopForShare guards against long-running tasks that are stopped to make room for a
// delegated one that is held back.
func TestNoStopForShare(t *testing.T) {
	s, _ := newSetAsideCell(t)
	job := longRunningJob(jobID, 1, longRunningProcessors)
	job.Home, job.Part = "graz-b", []dispatcher.TaskID{{Job: job.ID}}
	s.submit(job)
	s.cell.Cancel(s.now, s.longRunning[0])
	for range 40 {
		s.tick()
		if id, _, moves := s.cell.NextToMove(s.now); moves && s.countFree() > 0 {
			t.Fatalf("%s has to move although there is room on a worker", id)
		}
	}
}

// countFree returns the number of workers with room for a long-running task.
func (s *sharedCell) countFree() int {
	count := 0
	for _, f := range s.workers {
		if s.freeProcessors(f) >= longRunningProcessors {
			count++
		}
	}
	return count
}

// TestLoadEnds guards against workers that stay set aside after the load, and long-running tasks
// that don't get their room within 3 s.
func TestLoadEnds(t *testing.T) {
	s := newFullCell(sharedWorkers)
	s.flow(20*time.Second, 4*fragments*sharedWorkers*sharedMilliCapacity)
	for id := range s.readyAt {
		s.cell.Cancel(s.now, id)
	}
	s.runTicks(3 * time.Second)
	if free := s.countFree(); free > 0 {
		t.Errorf("%d workers have room for long-running tasks that wait, 3 s after the load", free)
	}
	s.runTicks(20 * time.Second)
	if set := s.setAside(); len(set) > 0 {
		t.Errorf("%d workers are set aside 23 s after the load", len(set))
	}
	s.requireNoViolations(t)
}

// TestSetAsideAfterFaults guards against a set of workers that outlives its holder or its workers.
func TestSetAsideAfterFaults(t *testing.T) {
	tests := map[string]func(*sharedCell, *fakeWorker){
		"the worker drains": func(s *sharedCell, f *fakeWorker) {
			f.registration.Phase = dispatcher.PhaseDraining
			s.register(f)
		},
		"the worker goes silent": func(_ *sharedCell, f *fakeWorker) { f.reachable = false },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := newSetAsideCell(t)
			f := s.setAside()[0]
			fault(s, f)
			s.runTicks(4 * time.Second)
			set := s.setAside()
			if len(set) == 0 {
				t.Errorf("no other worker is set aside")
			}
			for _, other := range set {
				if other == f {
					t.Errorf("the worker is still set aside")
				}
			}
			s.requireNoViolations(t)
		})
	}
	t.Run("the holder changes", func(t *testing.T) {
		s, short := newSetAsideCell(t)
		f := s.setAside()[0]
		s.empty(f, short)
		s.events.recorded = nil
		s.changeHolder(s.workers...)
		s.addLongRunning()
		s.runTicks(2 * time.Second)
		if set := s.countEvents(dispatcher.KindSetAside); set > 0 {
			t.Errorf("the new holder has set %d workers aside", set)
		}
		if want := 4*sharedMilliCapacity/longRunningProcessors - 5 + 1; s.countRunning(true) != want {
			t.Errorf("%d long-running tasks run, want %d", s.countRunning(true), want)
		}
		s.requireNoViolations(t)
	})
}

// TestRandomShares checks with random loads and faults that no capacity is over-used, that no
// long-running task waits for longer than the limit while there is a place, and that all short
// tasks end.
func TestRandomShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSharedCell(rapid.IntRange(2, 6).Draw(t, "workers"))
		for range rapid.IntRange(5, 50).Draw(t, "long-running tasks") {
			s.addLongRunning()
		}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			s.drawChange(t)
			s.runTicks(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * sharedTick)
		}
		s.runTicks(time.Second)
		s.checkNoRoomUnused(t)
		for i := 0; i < 600 && len(s.unstarted()) > 0; i++ {
			s.endLongRunning()
			s.runTicks(500 * time.Millisecond)
		}
		if left := s.unstarted(); len(left) > 0 {
			t.Fatalf("short tasks never start: %v", left)
		}
		if len(s.violations) > 0 {
			t.Fatal(s.violations[0])
		}
	})
}

// drawChange changes the load, the holder or a worker.
func (s *sharedCell) drawChange(t *rapid.T) {
	switch rapid.SampledFrom([]string{"short", "short", "long-running", "end", "holder", "silent"}).Draw(t, "change") {
	case "short":
		for range rapid.IntRange(1, 8).Draw(t, "short tasks") {
			s.addShort(int64(rapid.IntRange(3, 12).Draw(t, "processors"))*1000, time.Duration(rapid.IntRange(2, 30).Draw(t, "run time"))*100*time.Millisecond)
		}
	case "long-running":
		s.addLongRunning()
	case "end":
		s.endLongRunning()
	case "holder":
		s.changeHolder(s.workers...)
		s.runTicks(time.Second)
	case "silent":
		f := s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(t, "worker")]
		f.reachable = false
		s.runTicks(time.Second)
		f.reachable = true
	}
}

// unstarted returns the short tasks that haven't started.
func (s *sharedCell) unstarted() []string {
	var left []string
	for id := range s.readyAt {
		if s.startedAt[id].IsZero() {
			left = append(left, id)
		}
	}
	return left
}

// checkNoRoomUnused runs the cell and checks that no worker has room for a long-running task for
// longer than the limit while one waits.
func (s *sharedCell) checkNoRoomUnused(t *rapid.T) {
	clear(s.freeSince)
	s.longestFree = 0
	for range 4 * time.Second / sharedTick {
		s.tick()
		if s.countRunning(true) == len(s.longRunning) {
			return
		}
	}
	if s.longestFree > maxHeldBack {
		t.Fatalf("room for a long-running task was free for %v while one waited", s.longestFree)
	}
}

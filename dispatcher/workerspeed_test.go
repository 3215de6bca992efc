package dispatcher_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// The load of slow workers: a fifth of them is slowWorkerFactor times slower for slowSpan.
const (
	speedWorkers     = 20
	slowWorkers      = speedWorkers / 5
	slowWorkerFactor = 5
	slowSpan         = 20 * time.Second
)

// speedSimulation is a simulation in which runs progress at the speed of their workers, with a
// stream of jobs.
type speedSimulation struct {
	*simulation
	submitted int
	// job returns the job of a number.
	job func(number int) dispatcher.Job
	// startsOn counts the starts on each worker.
	startsOn map[string]int
	seen     int
}

func newSpeedSimulation(workers int) *speedSimulation {
	s := &speedSimulation{simulation: newSimulation(workers), startsOn: map[string]int{}}
	s.speeds = &speeds{checkpointInterval: time.Second, restoreTime: 200 * time.Millisecond, startup: 400 * time.Millisecond, tail: 9 * time.Millisecond}
	s.job = func(number int) dispatcher.Job { return shortJob(number, 5, time.Second) }
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	return s
}

// shortJob returns a job of a stream, which takes a quarter of a worker for each task.
func shortJob(number, count int, length time.Duration) dispatcher.Job {
	job := plainJob(fmt.Sprintf("%016x", 0x1000+number), count, length, 1)
	job.Steps[0].Image = "sorter"
	return job
}

// stream submits a job in each interval for a time, and counts the starts.
func (s *speedSimulation) stream(span, interval time.Duration) {
	s.countStarts()
	clear(s.startsOn)
	for end := s.now.Add(span); s.now.Before(end); {
		s.submit(s.job(s.submitted))
		s.submitted++
		s.runFor(interval)
	}
	s.countStarts()
}

// countStarts counts the starts since the last call.
func (s *speedSimulation) countStarts() {
	for _, event := range s.events.recorded[s.seen:] {
		if event.Kind == dispatcher.KindStart {
			s.startsOn[event.VM]++
		}
	}
	s.seen = len(s.events.recorded)
}

// busiest returns the fifth of the workers whose ids come first, which get work first.
func (s *speedSimulation) busiest() []*fakeWorker {
	return s.byID()[:slowWorkers]
}

func (s *speedSimulation) byID() []*fakeWorker {
	return slices.SortedFunc(slices.Values(s.workers), func(a, b *fakeWorker) int {
		return strings.Compare(a.registration.ID, b.registration.ID)
	})
}

func (s *speedSimulation) slow(workers []*fakeWorker, factor float64) {
	for _, f := range workers {
		f.setSlowdown(factor)
	}
}

// startsOnSlow returns the starts on the first workers and on all.
func (s *speedSimulation) startsOnSlow() (slow, all int) {
	for _, f := range s.workers {
		count := s.startsOn[f.registration.ID]
		all += count
		if f.slowdown > 1 {
			slow += count
		}
	}
	return slow, all
}

// foundSlow returns how often a worker was found slow.
func (s *simulation) foundSlow() int {
	count := 0
	for _, event := range s.events.recorded {
		if event.Kind == dispatcher.KindWorkerSlow {
			count++
		}
	}
	return count
}

// TestWorkAvoidsSlowWorkers guards against new short tasks on the fifth of the workers that is five
// times slower for 20 s, and against work that doesn't return to them afterwards.
func TestWorkAvoidsSlowWorkers(t *testing.T) {
	s := newSpeedSimulation(speedWorkers)
	s.job = func(number int) dispatcher.Job { return shortJob(number, 1+number%5, time.Second) }
	const interval = 50 * time.Millisecond // 60 of the 80 places are taken
	s.stream(5*time.Second, interval)
	s.slow(s.busiest(), slowWorkerFactor)
	s.stream(3*time.Second, interval)
	if s.foundSlow() < slowWorkers {
		t.Fatalf("%d workers found slow after 3 s, want %d", s.foundSlow(), slowWorkers)
	}
	s.stream(slowSpan-3*time.Second, interval)
	slow, all := s.startsOnSlow()
	// A worker without work is probed about once in 5 s: 4 s until that, 1 s for the probe.
	if most := slowWorkers * 2 * int(slowSpan/(5*time.Second)); slow > most {
		t.Errorf("%d of %d tasks started on slow workers, want at most %d probes", slow, all, most)
	}
	s.slow(s.busiest(), 1)
	s.runFor(5 * time.Second)
	s.stream(20*time.Second, interval)
	for _, f := range s.busiest() {
		if got, usual := s.startsOn[f.registration.ID], s.startsOn["w19"]; got < usual/2 {
			t.Errorf("%d tasks started on %s after it was normal again, %d on another worker", got, f.registration.ID, usual)
		}
	}
	requireNoViolations(t, s.simulation)
}

// TestSlowWorkersGetWorkLast guards against slow workers that are given up: they get work once no
// other worker has room.
func TestSlowWorkersGetWorkLast(t *testing.T) {
	s := newSpeedSimulation(5)
	s.stream(4*time.Second, 200*time.Millisecond)
	s.slow(s.workers[:1], slowWorkerFactor)
	s.stream(4*time.Second, 200*time.Millisecond)
	s.submit(shortJob(5000, 40, time.Second))
	s.runFor(500 * time.Millisecond)
	if got := len(s.workers[0].running); got != 4 {
		t.Errorf("%d runs on the slow worker of a full cell, want 4", got)
	}
	requireNoViolations(t, s.simulation)
}

// TestEqualSpeedsChangeNothing guards against workers that are found slow, and runs that are stopped,
// although no worker is slower than others.
func TestEqualSpeedsChangeNothing(t *testing.T) {
	tests := map[string]func(s *speedSimulation){
		"normal workers":   func(*speedSimulation) {},
		"all workers slow": func(s *speedSimulation) { s.slow(s.workers, slowWorkerFactor) },
		"unequal sizes":    func(s *speedSimulation) { s.growSome() },
		"wrong estimates":  func(s *speedSimulation) { s.speeds.actual = wrongEstimate },
		"all workers then slow": func(s *speedSimulation) {
			s.stream(5*time.Second, 200*time.Millisecond)
			s.slow(s.workers, slowWorkerFactor)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSpeedSimulation(speedWorkers)
			s.job = func(number int) dispatcher.Job {
				job := shortJob(number, 1+number%7, time.Duration(1+number%3)*time.Second)
				job.Queue.Name = fmt.Sprint("queue-", number%4)
				job.Steps[0].Checkpoints = true
				return job
			}
			change(s)
			s.stream(20*time.Second, 200*time.Millisecond)
			if count := s.foundSlow(); count > 0 {
				t.Errorf("%d workers found slow, want none", count)
			}
			for _, event := range s.events.recorded {
				if event.Kind == dispatcher.KindStop {
					t.Errorf("%s was stopped on %s", event.Task, event.VM)
				}
			}
			requireNoViolations(t, s.simulation)
		})
	}
}

// growSome doubles the capacity of every second worker.
func (s *speedSimulation) growSome() {
	for i, f := range s.workers {
		if i%2 == 0 {
			s.setCapacity(f, fullCapacity.Plus(fullCapacity))
		}
	}
}

// wrongEstimate returns a run time that is off by a factor of each queue and of each job.
func wrongEstimate(id dispatcher.TaskID) time.Duration {
	number := int(id.Job[len(id.Job)-1]) + int(id.Job[len(id.Job)-2])
	return time.Duration(float64(time.Second) * (0.3 + float64(number%7)/2))
}

// TestColdWorkers guards against work on a worker that has registered as cold while others have
// room, and against a change of the store for each registration of it.
func TestColdWorkers(t *testing.T) {
	s := newSpeedSimulation(5)
	s.stream(time.Second, 200*time.Millisecond)
	cold := s.workers[0]
	cold.registration.Cold = 5 * time.Second
	s.runFor(1500 * time.Millisecond)
	s.register(cold)
	s.runFor(300 * time.Millisecond)
	s.stream(4*time.Second, 400*time.Millisecond)
	if count := s.startsOn[cold.registration.ID]; count > 0 {
		t.Errorf("%d tasks started on the cold worker", count)
	}
	cold.registration.Cold = 0
	s.register(cold)
	s.runFor(300 * time.Millisecond)
	if batch := s.cell.NextBatch(s.now, 4); batch != nil {
		t.Error("a registration that differs only in how long the worker is cold is stored")
	}
	s.stream(3*time.Second, 200*time.Millisecond)
	if s.startsOn[cold.registration.ID] == 0 {
		t.Error("no task started on the worker once it was warm")
	}
	requireNoViolations(t, s.simulation)
}

// TestThrottledRunsTellNothing guards against workers that are found slow because their best-effort
// tasks are throttled.
func TestThrottledRunsTellNothing(t *testing.T) {
	s := newSpeedSimulation(8)
	job := bestEffortJob(jobID, 16, dispatcher.Size{MilliProcessors: 1500, Megabytes: 200})
	job.Steps[0].Estimate = 20 * time.Second
	s.submit(job)
	s.runFor(500 * time.Millisecond)
	s.submit(longRunningJob(otherID, 1, 1000))
	s.speeds.tail = 40 * time.Millisecond // above the target, so that the best-effort tasks are throttled
	throttled := 0
	for range 200 {
		s.runFor(50 * time.Millisecond)
		for _, f := range s.workers {
			switch throttles := f.hasThrottledRun(); {
			case throttles:
				throttled++
				f.setSlowdown(10)
			case f.slowdown > 1:
				f.setSlowdown(1)
			}
		}
	}
	if throttled == 0 {
		t.Error("no run was throttled")
	}
	if count := s.foundSlow(); count > 0 {
		t.Errorf("%d workers found slow, want none", count)
	}
}

// hasThrottledRun reports whether a run on the worker is throttled.
func (w *fakeWorker) hasThrottledRun() bool {
	for id := range w.running {
		if level, told := w.simulation.throttles[id]; told && level < 100 {
			return true
		}
	}
	return false
}

// TestHolderChangeLearnsAnew guards against a new holder that takes workers for slow because it
// doesn't know when the runs that it finds have started.
func TestHolderChangeLearnsAnew(t *testing.T) {
	s := newSpeedSimulation(speedWorkers)
	s.job = func(number int) dispatcher.Job { return shortJob(number, 1+number%5, 4*time.Second) }
	s.stream(6*time.Second, 200*time.Millisecond)
	for range 4 {
		s.changeHolder(s.workers...)
		s.stream(2*time.Second, 200*time.Millisecond)
	}
	if count := s.foundSlow(); count > 0 {
		t.Errorf("%d workers found slow, want none", count)
	}
	s.slow(s.busiest(), slowWorkerFactor)
	s.changeHolder(s.workers...)
	s.stream(4*time.Second, 200*time.Millisecond)
	if count := s.foundSlow(); count < slowWorkers {
		t.Errorf("%d workers found slow by the new holder, want %d", count, slowWorkers)
	}
	s.slow(s.busiest(), 1)
	s.runFor(20 * time.Second)
	for id := range s.jobs {
		requireState(t, s.simulation, id, dispatcher.StateCompleted)
	}
	requireNoViolations(t, s.simulation)
}

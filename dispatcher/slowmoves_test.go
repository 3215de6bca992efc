package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/dispatcher"
)

// moves are the moves off slow workers that a simulation has recorded.
func (s *simulation) slowMoves() []string {
	var tasks []string
	for _, event := range s.events.recorded {
		if event.Kind == dispatcher.KindSlowMove {
			tasks = append(tasks, event.Task)
		}
	}
	return tasks
}

// checkpointedJob returns a job whose tasks have checkpoints and take a quarter of a worker each.
func checkpointedJob(number, count int, length time.Duration) dispatcher.Job {
	job := shortJob(number, count, length)
	job.Steps[0].Checkpoints = true
	return job
}

// TestRunsWithCheckpointsMove guards against runs that stay on the fifth of the workers that is five
// times slower for 20 s although other workers have room, and against moves that cost more than they gain.
func TestRunsWithCheckpointsMove(t *testing.T) {
	tests := map[string]struct {
		job   func(number int) dispatcher.Job
		moves bool
	}{
		"with checkpoints":                     {job: func(n int) dispatcher.Job { return checkpointedJob(n, 6, 20*time.Second) }, moves: true},
		"without checkpoints":                  {job: func(n int) dispatcher.Job { return shortJob(n, 6, 20*time.Second) }},
		"too short to gain":                    {job: func(n int) dispatcher.Job { return checkpointedJob(n, 6, 400*time.Millisecond) }},
		"one gang, whose members would wait":   {job: func(n int) dispatcher.Job { return gangOf(checkpointedJob(n, 6, 20*time.Second)) }},
		"best-effort tasks, none is throttled": {job: func(n int) dispatcher.Job { return bestEffortOf(checkpointedJob(n, 6, 20*time.Second)) }, moves: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSpeedSimulation(speedWorkers)
			for number := range 9 { // 54 of the 80 places are taken
				s.submit(test.job(number))
			}
			s.runFor(4 * time.Second)
			s.slow(s.busiest(), slowWorkerFactor)
			s.runFor(10 * time.Second)
			if moved := len(s.slowMoves()); moved > 0 != test.moves {
				t.Errorf("%d runs moved, want some: %t", moved, test.moves)
			}
			if left := s.runsOn(s.busiest()); test.moves && left > 0 {
				t.Errorf("%d runs are still on slow workers after 10 s", left)
			}
			s.runFor(10 * time.Second)
			s.slow(s.busiest(), 1)
			s.runFor(60 * time.Second)
			for id := range s.jobs {
				requireState(t, s.simulation, id, dispatcher.StateCompleted)
			}
			requireNoViolations(t, s.simulation)
		})
	}
}

func gangOf(job dispatcher.Job) dispatcher.Job {
	job.Steps[0].Gang = true
	return job
}

func bestEffortOf(job dispatcher.Job) dispatcher.Job {
	job.Steps[0].BestEffort = true
	return job
}

func (s *simulation) runsOn(workers []*fakeWorker) int {
	count := 0
	for _, f := range workers {
		count += len(f.running)
	}
	return count
}

// TestNoMovesWithoutNormalWorkers guards against moves that gain nothing: most workers look slow, all are
// slow, or no normal one has room.
func TestNoMovesWithoutNormalWorkers(t *testing.T) {
	tests := map[string]func(s *speedSimulation){
		"all workers slow":  func(s *speedSimulation) { s.slow(s.workers, slowWorkerFactor) },
		"most workers slow": func(s *speedSimulation) { s.slow(s.byID()[:12], slowWorkerFactor) },
		"half cold, a fifth slow": func(s *speedSimulation) {
			s.slow(s.busiest(), slowWorkerFactor)
			for _, f := range s.workers[:10] {
				f.registration.Cold = time.Minute
				s.register(f)
			}
		},
		"no room": func(s *speedSimulation) {
			s.submit(checkpointedJob(100, 40, time.Minute))
			s.runFor(time.Second)
			s.slow(s.busiest(), slowWorkerFactor)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSpeedSimulation(speedWorkers)
			for number := range 9 {
				s.submit(checkpointedJob(number, 6, time.Minute))
			}
			s.runFor(3 * time.Second)
			change(s)
			s.runFor(20 * time.Second)
			if moves := s.slowMoves(); len(moves) > 0 {
				t.Errorf("moves of %v, want none", moves)
			}
			requireNoViolations(t, s.simulation)
		})
	}
}

// servingJob returns a job of long-running tasks of which at most maxUnavailable may be unavailable.
func servingJob(number, count, maxUnavailable int) dispatcher.Job {
	job := longRunningJob(fmt.Sprintf("%016x", 0x2000+number), count, 1000)
	job.Steps[0].MaxUnavailable = maxUnavailable
	return job
}

// unavailable returns how many other tasks of a job don't serve.
func (s *simulation) unavailable(id dispatcher.TaskID) int {
	unavailable := 0
	for index := range s.jobs[id.Job].Steps[0].Count {
		other := id
		other.Index = index
		if other != id && !s.serves(other) {
			unavailable++
		}
	}
	return unavailable
}

// serves reports whether a long-running task is fully started and isn't being stopped.
func (s *simulation) serves(id dispatcher.TaskID) bool {
	for _, f := range s.workers {
		if r := f.running[id]; r != nil {
			return !r.stopping && s.now.Sub(r.startedAt) >= f.slowed(s.speeds.startup)
		}
	}
	return false
}

// checkAway records a violation if a task of a long-running job was moved off a slow worker in the last
// step while as many others as allowed were unavailable.
func (s *speedSimulation) checkAway() {
	for _, event := range s.events.recorded[s.seen:] {
		job := s.jobs[event.Key]
		if event.Kind != dispatcher.KindSlowMove || !job.Steps[0].LongRunning {
			continue
		}
		id := dispatcher.TaskID{Job: event.Key}
		for index := range job.Steps[0].Count {
			if id.Index = index; id.String() == event.Task {
				break
			}
		}
		if unavailable := s.unavailable(id); unavailable >= max(job.Steps[0].MaxUnavailable, 1) {
			s.violation("%s moves while %d others are unavailable", event.Task, unavailable)
		}
	}
	s.seen = len(s.events.recorded)
}

// runChecked advances the simulation and checks each step.
func (s *speedSimulation) runChecked(span time.Duration) {
	for end := s.now.Add(span); s.now.Before(end); {
		s.step(50 * time.Millisecond)
		s.checkAway()
	}
}

// TestServingTasksLeaveSlowWorkers guards against long-running tasks that stay over their target on
// workers that become slow, and against more of them unavailable than allowed.
func TestServingTasksLeaveSlowWorkers(t *testing.T) {
	for _, maxUnavailable := range []int{0, 1, 2} {
		t.Run(fmt.Sprint("at most ", maxUnavailable), func(t *testing.T) {
			s := newSpeedSimulation(speedWorkers)
			s.submit(servingJob(1, 24, maxUnavailable))
			s.submit(servingJob(2, 24, maxUnavailable))
			s.runChecked(15 * time.Second)
			s.slow(s.busiest(), slowWorkerFactor)
			before := s.runsOn(s.busiest())
			s.runChecked(slowSpan)
			if after := s.runsOn(s.busiest()); before == 0 || after > 0 {
				t.Errorf("%d of %d long-running tasks are still on slow workers after %v", after, before, slowSpan)
			}
			s.slow(s.busiest(), 1)
			s.runChecked(5 * time.Second)
			requireNoViolations(t, s.simulation)
		})
	}
}

// TestServingTasksStay guards against moves of long-running tasks that are over their target for another
// reason than their worker, or while another task of their step is unavailable.
func TestServingTasksStay(t *testing.T) {
	tests := map[string]struct {
		slowed func(s *speedSimulation)
		job    dispatcher.Job
	}{
		"all are over their target": {
			job:    servingJob(1, 30, 1),
			slowed: func(s *speedSimulation) { s.speeds.tail = 60 * time.Millisecond },
		},
		"other tasks are on a worker that doesn't answer": {
			job: servingJob(1, 30, 1),
			slowed: func(s *speedSimulation) {
				s.slow(s.busiest(), slowWorkerFactor)
				s.workers[19].reachable = false
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSpeedSimulation(speedWorkers)
			test.job.Steps[0].WorkerLimit = 2
			s.submit(test.job)
			s.runChecked(15 * time.Second)
			test.slowed(s)
			s.runChecked(4 * time.Second) // then the leases of a worker that doesn't answer expire
			for _, task := range s.slowMoves() {
				if task[:16] == test.job.ID {
					t.Errorf("%s moved", task)
				}
			}
			requireNoViolations(t, s.simulation)
		})
	}
}

// TestMovesAreFinished guards against tasks that are left without a run, or with two, when something fails
// in the middle of moves.
func TestMovesAreFinished(t *testing.T) {
	tests := map[string]func(s *speedSimulation){
		"the holder changes": func(s *speedSimulation) { s.changeHolder(s.workers...) },
		"the stops are lost": func(s *speedSimulation) {
			s.setReachable(s.busiest(), false)
			s.runFor(2 * time.Second)
			s.setReachable(s.busiest(), true)
		},
		"the slow workers are cut off until their leases have expired": func(s *speedSimulation) {
			s.setReachable(s.busiest(), false)
			s.runFor(8 * time.Second)
			s.setReachable(s.busiest(), true)
		},
		"the starts are lost": func(s *speedSimulation) {
			s.nextFate = func() startFate { return fateLost }
			s.runFor(2 * time.Second)
			s.nextFate = func() startFate { return fateAccepted }
		},
		"the workers are normal again": func(s *speedSimulation) { s.slow(s.busiest(), 1) },
		"the slow workers restart": func(s *speedSimulation) {
			for _, f := range s.busiest() {
				f.reboot()
			}
		},
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSpeedSimulation(speedWorkers)
			for number := range 9 {
				s.submit(checkpointedJob(number, 6, 20*time.Second))
			}
			s.submit(servingJob(1, 6, 1))
			s.runFor(12 * time.Second)
			s.slow(s.busiest(), slowWorkerFactor)
			for range 100 {
				if s.step(50 * time.Millisecond); len(s.slowMoves()) > 0 {
					break
				}
			}
			if len(s.slowMoves()) == 0 {
				t.Fatal("no moves in 5 s")
			}
			fail(s)
			s.runFor(10 * time.Second)
			s.slow(s.busiest(), 1)
			s.runFor(60 * time.Second)
			for id, job := range s.jobs {
				if !job.Steps[0].LongRunning {
					requireState(t, s.simulation, id, dispatcher.StateCompleted)
				} else if unavailable := s.unavailable(dispatcher.TaskID{Job: id}); unavailable > 0 || !s.serves(dispatcher.TaskID{Job: id}) {
					t.Error("not all long-running tasks serve")
				}
			}
			requireNoViolations(t, s.simulation)
		})
	}
}

func (s *simulation) setReachable(workers []*fakeWorker, reachable bool) {
	for _, f := range workers {
		f.reachable = reachable
	}
}

// TestMoveBudget guards against a cell that is busy with moves: at most a few a second, one at a time on
// each worker, and a task at most twice in 10 s.
func TestMoveBudget(t *testing.T) {
	s := newSpeedSimulation(speedWorkers)
	for number := range 9 {
		s.submit(checkpointedJob(number, 6, time.Minute))
	}
	s.runFor(3 * time.Second)
	moved := map[string][]time.Time{}
	seen := 0
	for round := range 60 {
		// Another fifth of the workers is slow every 4 s.
		for i, f := range s.workers {
			f.setSlowdown(1 + float64((slowWorkerFactor-1)*boolCount(i%5 == round/4%5)))
		}
		for range 20 {
			s.step(50 * time.Millisecond)
			for _, event := range s.events.recorded[seen:] {
				if event.Kind == dispatcher.KindSlowMove {
					moved[event.Task] = append(moved[event.Task], s.now)
					moved["all"] = append(moved["all"], s.now)
				}
			}
			seen = len(s.events.recorded)
		}
	}
	for task, times := range moved {
		most, period := 2, 10*time.Second
		if task == "all" {
			most, period = 4, time.Second
		}
		for i := most; i < len(times); i++ {
			if times[i].Sub(times[i-most]) < period {
				t.Errorf("%s: more than %d moves in %v", task, most, period)
			}
		}
	}
	if len(moved["all"]) == 0 {
		t.Error("no moves")
	}
	requireNoViolations(t, s.simulation)
}

func boolCount(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestRandomSlowWorkers guards against two runs of a task, capacity that is used twice, and more
// long-running tasks unavailable than allowed, while workers become slow and normal, orders are lost or late,
// workers are cut off for a time, the store is unavailable and holders change.
func TestRandomSlowWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSpeedSimulation(rapid.IntRange(5, 12).Draw(t, "workers"))
		s.nextFate = func() startFate {
			return rapid.SampledFrom([]startFate{fateAccepted, fateAccepted, fateAccepted, fateLost, fateLate, fateAnswerLost}).Draw(t, "fate")
		}
		s.submit(servingJob(1, rapid.IntRange(2, 8).Draw(t, "tasks"), rapid.IntRange(0, 2).Draw(t, "unavailable")))
		s.runChecked(12 * time.Second)
		for i := range rapid.IntRange(4, 16).Draw(t, "changes") {
			f := s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(t, "worker")]
			switch rapid.SampledFrom([]string{"slow", "slow", "slow", "normal", "job", "job", "cut", "holder", "store"}).Draw(t, "change") {
			case "slow":
				f.setSlowdown(rapid.Float64Range(2, 8).Draw(t, "factor"))
			case "normal":
				f.setSlowdown(1)
			case "job":
				s.submit(checkpointedJob(i, rapid.IntRange(1, 10).Draw(t, "count"), drawSpan(t, "length", 5, 200)))
			case "cut":
				f.reachable = !f.reachable
			case "holder":
				s.save()
				s.changeHolder(s.workers...)
			case "store":
				s.storeDown = !s.storeDown
			}
			s.runChecked(drawSpan(t, "pause", 1, 60))
		}
		for _, problem := range s.violations {
			t.Fatal(problem)
		}
	})
}

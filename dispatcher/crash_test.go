package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// maxCrashes is how many workers may crash under a task that crashes each worker. The
// platform takes five; one more may be missed for each change of the holder.
const maxCrashes = 4

// deadly makes a task crash each worker that starts it. A crashed worker is back after
// comesBack, under the id that it had.
func (s *simulation) deadly(id dispatcher.TaskID, comesBack time.Duration) {
	s.crashing[id] = true
	s.comesBack = comesBack
}

// crash ends a worker that closes its address until it is back.
func (s *simulation) crash(f *fakeWorker) {
	for id, r := range f.running {
		if s.jobs[id.Job].Steps[id.Step].Gang {
			s.breakGang(f, r)
		}
	}
	f.reboot()
	f.closed, f.reachable = !s.silent, !s.silent
	s.backAt[f] = s.now.Add(s.comesBack)
	s.dropAt[f] = s.now.Add(registryTimeout)
}

// breakGang ends the members of a gang on other workers than the one that has crashed, after
// gangTimeout if that is set.
func (s *simulation) breakGang(crashed *fakeWorker, lost *fakeRun) {
	for _, f := range s.workers {
		for _, r := range f.running {
			switch {
			case f == crashed || r.number != lost.number:
			case s.gangTimeout > 0:
				r.endsAt, r.ending = s.now.Add(s.gangTimeout), dispatcher.EndingAlone
			default:
				f.end(r, dispatcher.EndingBroken)
			}
		}
	}
}

// lateAnswer is the answer to a start that is handled later.
type lateAnswer struct {
	at     time.Time
	order  dispatcher.StartOrder
	answer dispatcher.Answer
}

// startOnItsWay reports whether a start of a task is executed later.
func (s *simulation) startOnItsWay(id dispatcher.TaskID) bool {
	return slices.ContainsFunc(s.lateStarts, func(l lateStart) bool { return l.order.Task == id })
}

// answerStarts handles the answers to starts that are due.
func (s *simulation) answerStarts() {
	s.lateAnswers = slices.DeleteFunc(s.lateAnswers, func(l lateAnswer) bool {
		if s.now.Before(l.at) {
			return false
		}
		s.cell.HandleStartAnswer(s.now, l.order, l.answer)
		return true
	})
}

// registryTimeout is how long after its last report the registry drops a worker.
const registryTimeout = 1500 * time.Millisecond

// advance runs the simulation while crashed workers leave the registry and come back.
func (s *simulation) advance(span time.Duration) {
	const tick = 50 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += tick {
		s.step(tick)
		for _, f := range s.workers {
			if at, crashed := s.dropAt[f]; crashed && !s.now.Before(at) {
				delete(s.dropAt, f)
				s.unregister(f)
			}
			if at, crashed := s.backAt[f]; crashed && !s.now.Before(at) {
				delete(s.backAt, f)
				delete(s.dropAt, f)
				f.reboot()
				f.closed, f.reachable = false, true
				s.register(f)
			}
		}
	}
}

// TestCrashingTask guards against a task that crashes each worker that starts it and is
// started without end.
func TestCrashingTask(t *testing.T) {
	deadlyTask := dispatcher.TaskID{Job: jobID, Index: 2}
	gang := plainJob(jobID, 3, time.Second, 1)
	gang.Steps[0].Gang = true
	tests := map[string]struct {
		job       dispatcher.Job
		comesBack time.Duration
		fate      startFate
	}{
		"short task":                           {job: plainJob(jobID, 3, time.Second, 1), comesBack: 3 * time.Second},
		"worker restarts before it is dropped": {job: plainJob(jobID, 3, time.Second, 1), comesBack: time.Second},
		"worker doesn't come back":             {job: plainJob(jobID, 3, time.Second, 1), comesBack: time.Hour},
		"answers of starts are lost":           {job: plainJob(jobID, 3, time.Second, 1), comesBack: 3 * time.Second, fate: fateAnswerLost},
		"long-running task":                    {job: longRunningJob(jobID, 3, 1000), comesBack: 3 * time.Second},
		"long-running, restarts at once":       {job: longRunningJob(jobID, 3, 1000), comesBack: 500 * time.Millisecond},
		"gang":                                 {job: gang, comesBack: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(12)
			if test.fate != "" {
				s.nextFate = func() startFate { return test.fate }
			}
			s.deadly(deadlyTask, test.comesBack)
			s.submit(test.job)
			s.submit(plainJob(otherID, 6, 2*time.Second, 4))
			s.advance(90 * time.Second)
			s.requireGivenUp(t, deadlyTask)
			requireState(t, s, otherID, dispatcher.StateCompleted)
			requireNoViolations(t, s)
		})
	}
}

// mayGiveUp reports whether a job has a task under which two workers have crashed, as far as can be known.
func (s *simulation) mayGiveUp(job string) bool {
	for _, counted := range []map[dispatcher.TaskID]int{s.crashes, s.lostEnds} {
		for id := range counted {
			if id.Job == job && s.crashes[id]+s.lostEnds[id] >= 2 {
				return true
			}
		}
	}
	return false
}

// requireGivenUp fails unless the job of a task has failed, for a recorded reason, after a
// bounded number of crashes.
func (s *simulation) requireGivenUp(t *testing.T, id dispatcher.TaskID) {
	t.Helper()
	requireState(t, s, id.Job, dispatcher.StateFailed)
	if got := s.crashes[id]; got < 2 || got > maxCrashes {
		t.Errorf("%d workers have crashed under %s, want 2 to %d", got, id, maxCrashes)
	}
	if !slices.ContainsFunc(s.events.of("task_given_up"), func(task string) bool { return task == id.String() }) {
		t.Errorf("no event tells that %s was given up", id)
	}
}

// of returns the tasks of the events of a kind.
func (e *events) of(kind string) []string {
	var tasks []string
	for _, event := range e.recorded {
		if string(event.Kind) == kind {
			tasks = append(tasks, event.Task)
		}
	}
	return tasks
}

// TestCrashesOutliveTheHolder guards against a task that crashes workers and is started
// without end because the count of its crashes is lost with each holder.
func TestCrashesOutliveTheHolder(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID, Index: 1}
	s := newActiveSimulation(12)
	s.deadly(id, 3*time.Second)
	s.submit(plainJob(jobID, 3, time.Second, 1))
	for range 8 {
		s.advance(7500 * time.Millisecond)
		s.changeHolder(slices.DeleteFunc(slices.Clone(s.workers), func(f *fakeWorker) bool { return f.closed })...)
	}
	s.advance(20 * time.Second)
	s.requireGivenUp(t, id)
	requireNoViolations(t, s)
}

// TestCrashesAreStoredBeforeTheNextStart guards against a task that is started again
// while the store doesn't know of its crashes, and again by the next holder.
func TestCrashesAreStoredBeforeTheNextStart(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID, Index: 1}
	s := newActiveSimulation(12)
	s.deadly(id, 3*time.Second)
	s.submit(plainJob(jobID, 3, time.Second, 1))
	s.storeDown = true
	s.advance(60 * time.Second)
	if got := s.crashes[id]; got > 1 {
		t.Errorf("%d workers have crashed under %s while the store was down, want at most 1", got, id)
	}
	s.storeDown = false
	s.advance(30 * time.Second)
	s.requireGivenUp(t, id)
}

// TestManyCrashingTasks guards against jobs that fail because they stood beside tasks that
// crash workers, and against crashing tasks that hide behind one another.
func TestManyCrashingTasks(t *testing.T) {
	s := newActiveSimulation(16)
	for i := range 24 {
		id := "0000000000000c" + string(rune('a'+i/10)) + string(rune('a'+i%10))
		if i%6 == 0 {
			s.deadly(dispatcher.TaskID{Job: id}, 3*time.Second)
		}
		s.submit(plainJob(id, 4, 1500*time.Millisecond, 3))
		s.advance(300 * time.Millisecond)
	}
	s.advance(120 * time.Second)
	for id := range s.jobs {
		first := dispatcher.TaskID{Job: id}
		if s.crashing[first] {
			s.requireGivenUp(t, first)
			continue
		}
		requireState(t, s, id, dispatcher.StateCompleted)
	}
	requireNoViolations(t, s)
}

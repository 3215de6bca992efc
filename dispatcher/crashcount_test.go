package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestCrashesOfWaitingGang guards against a gang with a task that crashes workers and is
// started without end: its other members wait for it on workers that live on.
func TestCrashesOfWaitingGang(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID, Index: 2}
	s := newActiveSimulation(12)
	s.gangTimeout = 3 * time.Second
	job := plainJob(jobID, 3, 5*time.Second, 1)
	job.Steps[0].Gang = true
	s.deadly(id, 3*time.Second)
	s.submit(job)
	s.advance(120 * time.Second)
	s.requireGivenUp(t, id)
	requireNoViolations(t, s)
}

// TestCrashesOfFailingTask guards against a task that crashes workers and is started more
// often than its crashes allow: its runs fail at once on workers that fail whatever they start.
func TestCrashesOfFailingTask(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID}
	s := newActiveSimulation(12)
	s.deadly(id, 3*time.Second)
	job := plainJob(jobID, 1, time.Second, 1)
	job.Queue.Attempts = 10
	s.submit(job)
	crashes := 0
	for range 2400 {
		s.advance(50 * time.Millisecond)
		failsAfter := time.Duration(0)
		if len(s.events.of("task_crash"))-crashes >= 2 {
			failsAfter = 50 * time.Millisecond
		}
		if s.failures[id] > 0 {
			crashes, s.failures[id] = len(s.events.of("task_crash")), 0
		}
		for _, f := range s.workers {
			f.failsAfter = failsAfter
		}
	}
	s.requireGivenUp(t, id)
}

// TestCrashAfterLateStart guards against a task that crashes workers and is started without
// end: each start is executed late, after a poll that didn't list it.
func TestCrashAfterLateStart(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID}
	s := newActiveSimulation(12)
	s.archive.unproven = true // else a poll with a higher fencing token excludes the late start
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	s.deadly(id, 3*time.Second)
	s.nextFate = func() startFate { return fateLate }
	s.stopsLost = true
	s.submit(plainJob(jobID, 1, time.Second, 1))
	s.advance(120 * time.Second)
	s.requireGivenUp(t, id)
	requireNoViolations(t, s)
}

// TestCrashBeforeLateAnswer guards against a task that crashes workers and is started without
// end: the worker has restarted, and lists nothing, before the start has an answer.
func TestCrashBeforeLateAnswer(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID}
	s := newActiveSimulation(12)
	s.deadly(id, 300*time.Millisecond)
	s.nextFate = func() startFate { return fateAnswerLost }
	s.startAnswerDelay = time.Second
	s.submit(plainJob(jobID, 1, time.Second, 1))
	s.advance(60 * time.Second)
	s.requireGivenUp(t, id)
	requireNoViolations(t, s)
}

// TestCrashBeforeLateListing guards against a task that crashes workers and is started without
// end: a listing of the young run is handled late, as if the run had lived until then.
func TestCrashBeforeLateListing(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID}
	s := newActiveSimulation(12)
	s.comesBack = 3 * time.Second
	s.submit(plainJob(jobID, 1, 5*time.Second, 1))
	for range 8 {
		var f *fakeWorker
		for range 400 {
			if f = s.workerOf(id); f != nil {
				break
			}
			s.advance(50 * time.Millisecond)
		}
		if f == nil {
			break
		}
		f.answerDelay = 2 * time.Second
		s.advance(50 * time.Millisecond)
		f.answerDelay = 0
		s.crash(f)
		s.advance(3 * time.Second)
	}
	s.advance(20 * time.Second)
	s.requireGivenUp(t, id)
	requireNoViolations(t, s)
}

// workerOf returns the worker that runs a task, or nil.
func (s *simulation) workerOf(id dispatcher.TaskID) *fakeWorker {
	for _, f := range s.workers {
		if f.running[id] != nil {
			return f
		}
	}
	return nil
}

// TestHolderDiesSoonAfterEachCrash guards against a task that crashes workers and is started
// without end: its holder ends half a second after each crash, before the lease of the worker.
func TestHolderDiesSoonAfterEachCrash(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID, Index: 1}
	s := newActiveSimulation(12)
	s.deadly(id, 3*time.Second)
	s.submit(plainJob(jobID, 3, time.Second, 1))
	crashes := 0
	for range 1800 {
		s.advance(50 * time.Millisecond)
		if s.crashes[id] == crashes {
			continue
		}
		crashes = s.crashes[id]
		s.advance(500 * time.Millisecond)
		s.changeHolder(slices.DeleteFunc(slices.Clone(s.workers), func(f *fakeWorker) bool { return f.closed })...)
	}
	s.requireGivenUp(t, id)
	requireNoViolations(t, s)
}

// TestSilentCrash guards against a task that crashes workers and is started without end: its
// workers lose power, so that they refuse no connection, and are away for long.
func TestSilentCrash(t *testing.T) { checkSilentCrash(t, plainJob(jobID, 3, time.Second, 1)) }

// TestSilentCrashOfLongRunningTask guards against the same for a task that starts elsewhere
// before the registry has dropped the worker for long enough.
func TestSilentCrashOfLongRunningTask(t *testing.T) {
	job := longRunningJob(jobID, 3, 1000)
	job.Steps[0].WorkerLimit = 1
	checkSilentCrash(t, job)
}

// TestSilentCrashBesideSiblings guards against the same if all tasks of the job stand on one
// worker each time, so that they can't be told apart before the job may be given up.
func TestSilentCrashBesideSiblings(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID, Index: 1}
	s := newActiveSimulation(12)
	s.silent = true
	s.deadly(id, 15*time.Second)
	s.submit(longRunningJob(jobID, 3, 1000))
	s.advance(120 * time.Second)
	requireState(t, s, jobID, dispatcher.StateFailed)
	if got := s.crashes[id]; got < 2 || got > maxCrashes {
		t.Errorf("%d workers have crashed under %s, want 2 to %d", got, id, maxCrashes)
	}
	for index := range 3 {
		sibling := dispatcher.TaskID{Job: jobID, Index: index}
		if slices.Contains(s.events.of("task_given_up"), sibling.String()) && s.crashes[sibling] < 2 {
			t.Errorf("%s was given up after %d crashes, want 2 at least", sibling, s.crashes[sibling])
		}
	}
	requireNoViolations(t, s)
}

func checkSilentCrash(t *testing.T, job dispatcher.Job) {
	id := dispatcher.TaskID{Job: jobID, Index: 1}
	s := newActiveSimulation(12)
	s.silent = true
	s.deadly(id, 15*time.Second)
	s.submit(job)
	s.advance(120 * time.Second)
	s.requireGivenUp(t, id)
	requireNoViolations(t, s)
}

// TestLateCrash guards against a task that crashes each worker 1.5 s after its start and is
// started without end.
func TestLateCrash(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID}
	s := newActiveSimulation(12)
	s.comesBack = 3 * time.Second
	s.submit(plainJob(jobID, 1, 5*time.Second, 1))
	for range 10 {
		s.advance(1500 * time.Millisecond)
		if f := s.workerOf(id); f != nil {
			s.crash(f)
		}
		s.advance(6500 * time.Millisecond)
	}
	s.requireGivenUp(t, id)
	requireNoViolations(t, s)
}

// TestGangOnCrashingWorkers guards against a gang that is given up although under none of its
// tasks two workers have crashed: each time another member's worker crashes.
func TestGangOnCrashingWorkers(t *testing.T) {
	s := newActiveSimulation(12)
	s.comesBack = 3 * time.Second
	job := plainJob(jobID, 5, time.Second, 1)
	job.Steps[0].Gang = true
	job.Steps[0].WorkerLimit = 1
	s.submit(job)
	for index := range 5 {
		f := s.awaitRun(t, dispatcher.TaskID{Job: jobID, Index: index})
		s.crash(f)
		s.advance(500 * time.Millisecond)
	}
	s.advance(60 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

// awaitRun advances the simulation until a worker runs a task.
func (s *simulation) awaitRun(t *testing.T, id dispatcher.TaskID) *fakeWorker {
	t.Helper()
	for range 600 {
		if f := s.workerOf(id); f != nil {
			return f
		}
		s.advance(50 * time.Millisecond)
	}
	t.Fatalf("%s doesn't start", id)
	return nil
}

package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// awayWorkers are workers of a simulation that the holder can't reach for a while, and that run on.
type awayWorkers struct {
	*simulation
	// silent is true if the workers are silent, and missing from the registry, rather than refusing
	// connections.
	silent bool
	// after is how long after a start its worker is away, and for how long.
	after, away time.Duration
	// backAt is when each of the workers is back, goesAt when the next ones go.
	backAt, goesAt map[*fakeWorker]time.Time
}

// advance runs the simulation, in which each worker that starts a task goes away soon after if faults is true.
func (a *awayWorkers) advance(span time.Duration, faults bool) {
	const tick = 50 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += tick {
		starts := len(a.events.of("task_start"))
		a.simulation.advance(tick)
		for _, event := range a.events.recorded {
			if event.Kind != dispatcher.KindStart {
				continue
			}
			if starts--; starts < 0 && faults {
				f := a.workerByID(event.VM)
				a.goesAt[f] = a.now.Add(a.after)
			}
		}
		a.change()
	}
}

// change takes the workers away and back that are due.
func (a *awayWorkers) change() {
	for _, f := range a.workers {
		if at, due := a.goesAt[f]; due && !a.now.Before(at) {
			delete(a.goesAt, f)
			a.backAt[f] = a.now.Add(a.away)
			f.closed, f.reachable = !a.silent, !a.silent
			if a.silent {
				a.unregister(f)
			}
		}
		if at, due := a.backAt[f]; due && !a.now.Before(at) {
			delete(a.backAt, f)
			f.closed, f.reachable = false, true
			a.register(f)
		}
	}
}

// TestCrashesThatWereNone guards against a job that fails because workers were taken for crashed under its
// task which ran on: they answered later, under the boot that they had.
func TestCrashesThatWereNone(t *testing.T) {
	short := plainJob(jobID, 1, 8*time.Second, 1)
	tests := map[string]struct {
		job         dispatcher.Job
		silent      bool
		startsLost  bool
		after, away time.Duration
		// holders is how often the holder changes.
		holders int
	}{
		"starts are lost, workers refuse connections":       {job: short, startsLost: true, away: 7 * time.Second},
		"the same, for longer":                              {job: short, startsLost: true, away: 18 * time.Second},
		"the same, long-running":                            {job: longRunningJob(jobID, 1, 1000), startsLost: true, away: 18 * time.Second},
		"workers refuse connections soon after a start":     {job: short, after: 50 * time.Millisecond, away: 18 * time.Second},
		"the same, long-running, later":                     {job: longRunningJob(jobID, 1, 1000), after: 500 * time.Millisecond, away: 18 * time.Second},
		"the same, the holder changes":                      {job: short, after: 50 * time.Millisecond, away: 9 * time.Second, holders: 4},
		"workers are cut off from all soon after a start":   {job: short, silent: true, after: 50 * time.Millisecond, away: 7 * time.Second},
		"a long-running task is cut off from all":           {job: longRunningJob(jobID, 1, 1000), silent: true, after: 50 * time.Millisecond, away: 7 * time.Second},
		"starts are lost, and workers are cut off from all": {job: longRunningJob(jobID, 1, 1000), silent: true, startsLost: true, away: 7 * time.Second},
		"starts are lost, cut off, and the holder changes":  {job: short, silent: true, startsLost: true, away: 7 * time.Second, holders: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(9)
			a := &awayWorkers{
				simulation: s, silent: test.silent, after: test.after, away: test.away,
				backAt: map[*fakeWorker]time.Time{}, goesAt: map[*fakeWorker]time.Time{},
			}
			if test.startsLost {
				s.nextFate = func() startFate { return fateLost }
			}
			s.submit(test.job)
			for range 4 {
				a.advance(12*time.Second, true)
				if test.holders > 0 {
					test.holders--
					s.changeHolder(a.registeredWorkers()...)
				}
			}
			s.nextFate = func() startFate { return fateAccepted }
			a.advance(60*time.Second, false)
			want := dispatcher.StateCompleted
			if test.job.Steps[0].LongRunning {
				want = dispatcher.StateRunning
			}
			requireState(t, s, jobID, want)
			if test.job.Steps[0].LongRunning && s.workerOf(dispatcher.TaskID{Job: jobID}) == nil {
				t.Error("no worker runs the long-running task after the faults")
			}
			requireNoViolations(t, s)
		})
	}
}

// registeredWorkers returns the workers that the registry lists.
func (s *simulation) registeredWorkers() []*fakeWorker {
	var listed []*fakeWorker
	for _, f := range s.workers {
		if s.registered[f] {
			listed = append(listed, f)
		}
	}
	return listed
}

// TestCutOffAfterOneCrash guards against a job that fails after one worker has crashed under its task: two more
// were cut off, and their crashes counted as soon as the cell had forgotten them.
func TestCutOffAfterOneCrash(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID}
	for name, away := range map[string]time.Duration{"for 13 s": 13 * time.Second, "for 15 s": 15 * time.Second} {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(9)
			s.comesBack = time.Second
			s.submit(plainJob(jobID, 1, 8*time.Second, 1))
			s.crash(s.awaitRun(t, id))
			a := &awayWorkers{simulation: s, silent: true, away: away, backAt: map[*fakeWorker]time.Time{}, goesAt: map[*fakeWorker]time.Time{}}
			for range 2 {
				f := s.awaitRun(t, id)
				a.goesAt[f] = s.now
				a.change()
				for s.workerOf(id) == f {
					a.advance(50*time.Millisecond, false)
				}
			}
			a.advance(60*time.Second, false)
			requireState(t, s, jobID, dispatcher.StateCompleted)
			requireNoViolations(t, s)
		})
	}
}

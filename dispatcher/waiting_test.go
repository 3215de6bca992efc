package dispatcher_test

import (
	"strings"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
	"zinniashore.example/recorder"
)

// waitKindPrefix begins the kinds of the events that report waits.
const waitKindPrefix = "tasks_wait"

// waits returns the reports of a cause, or of all if it is empty.
func (e *events) waits(cause dispatcher.WaitCause) []recorder.Event {
	var found []recorder.Event
	for _, event := range e.recorded {
		if kind := string(event.Kind); strings.HasPrefix(kind, waitKindPrefix) && (cause == "" || kind == waitKindPrefix+"_"+string(cause)) {
			found = append(found, event)
		}
	}
	return found
}

// loseWorker makes a worker exit without a trace, and another process hold the cell.
func loseWorker(s *simulation) {
	s.submit(longRunningJob(jobID, 3, 1000))
	s.runFor(500 * time.Millisecond)
	s.unregister(s.workers[0])
	s.workers[0].reachable = false
	s.changeHolder(s.workers[1:]...)
	s.cell.EarlierTerms = []string{"edge-2 (epoch 1)"}
}

// waitTests are the cases of TestWaitsAreReported: what happens, and what the first report of a cause tells.
var waitTests = map[string]struct {
	cause  dispatcher.WaitCause
	happen func(s *simulation)
	want   []string
}{
	"a worker of an earlier holder is lost": {
		dispatcher.WaitEarlierLeases, loseWorker,
		[]string{" (long-running: " + jobID + ".0.0.0", "no run under this holder, which has loaded the job 1", "1 workers: w0 (hasn't answered this holder", "unregistered for 1", "edge-2 (epoch 1), not known to have ended", "time left: "},
	},
	"all earlier holders have ended": {
		dispatcher.WaitEarlierLeases,
		func(s *simulation) { loseWorker(s); s.cell.EarlierHoldersEnded(s.now) },
		[]string{"edge-2 (epoch 1), ended 1", "time left: "},
	},
	"short tasks, after a release that tells of the runs on a lost worker": {
		dispatcher.WaitEarlierLeases,
		func(s *simulation) {
			s.submit(plainJob(jobID, 3, time.Hour, 1))
			s.runFor(500 * time.Millisecond)
			s.unregister(s.workers[0])
			s.workers[0].reachable = false
			s.release(s.workers[1:]...)
		},
		[]string{"0 long-running tasks, 3 others", "1 workers: w0 (hasn't answered this holder, may run 3 reported tasks only", "time left: "},
	},
	"a worker that may list ends": {
		dispatcher.WaitUnlistedEnds,
		func(s *simulation) {
			s.submit(plainJob(jobID, 3, time.Hour, 1))
			s.runFor(500 * time.Millisecond)
			s.workers[0].reachable = false
			s.changeHolder(s.workers...)
		},
		[]string{"1 workers: w0 (worker: ready", "no bound"},
	},
	"a silent worker": {
		dispatcher.WaitRun,
		func(s *simulation) {
			s.submit(longRunningJob(jobID, 1, 1000))
			s.runFor(500 * time.Millisecond)
			s.workerOf(dispatcher.TaskID{Job: jobID}).reachable = false
		},
		[]string{"1 long-running tasks, 0 others", " (long-running: " + jobID + ".0.0.0, of which " + jobID + ".0.0.0 for ", "s): run 104", "(confirmed, last listed", "silent, last answered poll: 2.4s", "time left: 1.8s"},
	},
	"no majority": {
		dispatcher.WaitHolder,
		func(s *simulation) {
			s.workers[0].reachable, s.workers[1].reachable, s.storeDown = false, false, true
			s.runFor(3 * time.Second)
			s.submit(plainJob(jobID, 1, time.Second, 1))
		},
		[]string{"0 long-running tasks, 1 others", "1 of 3 workers confirm it", "no bound"},
	},
	"runs that fail": {
		dispatcher.WaitBackoff,
		func(s *simulation) {
			for _, f := range s.workers {
				f.fails, f.failsAfter = true, 100*time.Millisecond
			}
			s.submit(longRunningJob(jobID, 1, 1000))
			s.runFor(time.Minute)
		},
		[]string{"runs have failed, the last one run 104", "time left: 1"},
	},
	"a crash that can't be stored": {
		dispatcher.WaitCrashStore,
		func(s *simulation) {
			s.submit(longRunningJob(jobID, 1, 1000))
			s.runFor(100 * time.Millisecond)
			s.storeDown = true
			s.crash(s.workerOf(dispatcher.TaskID{Job: jobID}))
		},
		[]string{"crashed 1 workers", "no bound"},
	},
	"long-running tasks beside a short one that has waited longer": {
		dispatcher.WaitCapacity,
		func(s *simulation) {
			short := plainJob(otherID, 1, time.Second, 1)
			short.Steps[0].Size.MilliProcessors = 1_000_000
			s.submit(short)
			s.runFor(time.Second)
			s.submit(longRunningJob(jobID, 3, 1_000_000))
			s.runFor(4 * time.Second)
		},
		[]string{"3 long-running tasks, 1 others, this one for 5", " (long-running: " + jobID + ".0.0.0-2, of which " + jobID + ".0.0.0 for 4", "no run under this holder): ", "; for " + jobID + ".0.0.0: 3 of 3 workers of its service take starts", "a place once short tasks end: false"},
	},
	"a task without a place": {
		dispatcher.WaitCapacity,
		func(s *simulation) { s.submit(longRunningJob(jobID, 1, 1_000_000)) },
		[]string{"3 of 3 workers of its service take starts", "all of its capacity were free: false", "refused by the others: never", "no bound"},
	},
}

// TestWaitsAreReported guards against tasks that wait without a line that tells for what.
func TestWaitsAreReported(t *testing.T) {
	for name, test := range waitTests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(3)
			test.happen(s)
			s.events.recorded = nil
			s.advance(8 * time.Second)
			reports := s.events.waits(test.cause)
			if len(reports) == 0 {
				t.Fatalf("no report of %s, but %v", test.cause, s.events.waits(""))
			}
			for _, want := range test.want {
				if !strings.Contains(reports[0].Detail, want) {
					t.Errorf("the report lacks %q: %s", want, reports[0].Detail)
				}
			}
			if key := reports[0].Key; key != jobID && key != otherID || !strings.HasPrefix(reports[0].Task, key) {
				t.Errorf("the report names task %q of job %q, want one of %s or %s", reports[0].Task, key, jobID, otherID)
			}
		})
	}
}

// TestWaitLastsAsReported guards against a time left that misleads: tasks that wait for the leases of earlier
// holders start when it is over, not before.
func TestWaitLastsAsReported(t *testing.T) {
	for name, ended := range map[string]bool{"earlier holders may act": false, "they have ended": true} {
		t.Run(name, func(t *testing.T) {
			const margin = 150 * time.Millisecond
			s := newActiveSimulation(3)
			loseWorker(s)
			if ended {
				s.cell.EarlierHoldersEnded(s.now)
			}
			s.events.recorded = nil
			s.advance(1500 * time.Millisecond)
			reports := s.events.waits(dispatcher.WaitEarlierLeases)
			if len(reports) != 1 {
				t.Fatalf("%d reports after 1.5 s, want 1", len(reports))
			}
			_, left, _ := strings.Cut(reports[0].Detail, "time left: ")
			rest, err := time.ParseDuration(left)
			if err != nil {
				t.Fatal(err)
			}
			rest -= 500 * time.Millisecond // the report is of the first second
			s.advance(rest - margin)
			if starts := s.events.of("task_start"); len(starts) > 0 {
				t.Errorf("%v have started before the time that was left", starts)
			}
			s.advance(2 * margin)
			if starts := s.events.of("task_start"); len(starts) == 0 {
				t.Error("no task has started after the time that was left")
			}
		})
	}
}

// TestWaitsAreReportedSeldom guards against a log that is full of reports: each cause is reported every 2 s at most,
// its end once, and nothing while no task waits.
func TestWaitsAreReportedSeldom(t *testing.T) {
	s := newActiveSimulation(3)
	loseWorker(s)
	s.events.recorded = nil
	var reportedAt []time.Time
	for range 240 {
		s.advance(50 * time.Millisecond)
		if len(s.events.waits(dispatcher.WaitEarlierLeases)) > len(reportedAt) {
			reportedAt = append(reportedAt, s.now)
		}
	}
	if len(reportedAt) < 2 || len(reportedAt) != len(s.events.waits(dispatcher.WaitEarlierLeases)) {
		t.Errorf("reports at %v, want two or more at different times", reportedAt)
	}
	for i := 1; i < len(reportedAt); i++ {
		if pause := reportedAt[i].Sub(reportedAt[i-1]); pause < 2*time.Second {
			t.Errorf("a report %v after another one, want 2 s or more", pause)
		}
	}
	over := s.events.waits("over")
	if len(over) != 1 || !strings.HasPrefix(over[0].Detail, "earlier_leases, lasted ") {
		t.Errorf("the ends of waits are %v, want one of earlier_leases", over)
	}
	s.events.recorded = nil
	s.submit(plainJob(otherID, 3, 5*time.Second, 1))
	s.advance(10 * time.Second)
	if reports := s.events.waits(""); len(reports) > 0 {
		t.Errorf("no task waits, but %v", reports)
	}
}

package dispatcher_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/dispatcher"
)

// evacuatedDomain is the failure domain of the workers of newEvacuableSimulation.
const evacuatedDomain = "graz-a"

// newEvacuableSimulation returns a simulation of an active cell with workers of evacuatedDomain.
func newEvacuableSimulation(workers int) *simulation {
	s := newSimulation(workers)
	for _, f := range s.workers {
		f.registration.FailureDomain = evacuatedDomain
	}
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	return s
}

// setEvacuated evacuates evacuatedDomain, or takes it back. Another domain stays evacuated.
func setEvacuated(s *simulation, evacuated bool) {
	domains := dispatcher.NewFailureDomains("leoben-c")
	if evacuated {
		domains = domains.With(evacuatedDomain)
	}
	s.cell.SetEvacuated(domains)
}

// countStarts returns how many starts the cell has ordered.
func countStarts(s *simulation) int {
	count := 0
	for _, event := range s.events.recorded {
		if event.Kind == dispatcher.KindStart {
			count++
		}
	}
	return count
}

// TestEvacuation guards against tasks that start on the workers of an evacuated failure domain, and
// against runs that end because of the evacuation.
func TestEvacuation(t *testing.T) {
	tests := map[string]func(s *simulation){
		"tasks wait":              func(*simulation) {},
		"a new holder takes over": func(s *simulation) { s.changeHolder(s.workers...); setEvacuated(s, true) },
		"workers restart":         func(s *simulation) { s.workers[0].reboot(); s.register(s.workers[0]) },
		"a worker drains": func(s *simulation) {
			s.workers[0].registration.Phase = dispatcher.PhaseDraining
			s.register(s.workers[0])
		},
		"the store is unavailable": func(s *simulation) { s.storeDown = true },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			s := newEvacuableSimulation(3)
			s.submit(plainJob(jobID, 3, 2*time.Second, 2))
			s.runFor(500 * time.Millisecond)
			setEvacuated(s, true)
			s.submit(plainJob(otherID, 3, time.Second, 1))
			started := countStarts(s)
			disturb(s)
			s.runFor(6 * time.Second)
			if count := countStarts(s); count != started {
				t.Errorf("%d tasks start in the evacuated failure domain", count-started)
			}
			setEvacuated(s, false)
			s.storeDown = false
			s.runFor(15 * time.Second)
			requireState(t, s, jobID, dispatcher.StateCompleted)
			requireState(t, s, otherID, dispatcher.StateCompleted)
			requireNoViolations(t, s)
		})
	}
}

// TestEvacuatedWorkIsOffered guards against work that waits in an evacuated failure domain for its end:
// a job of which nothing runs is relocated, and long-running tasks are delegated.
func TestEvacuatedWorkIsOffered(t *testing.T) {
	s := newEvacuableSimulation(3)
	setEvacuated(s, true)
	s.submit(plainJob(jobID, 3, time.Second, 1))
	s.submit(longRunningJob(otherID, 1, 1500))
	if id, found := awaitRelocation(s, 2*time.Second); !found || id.Job != jobID {
		t.Errorf("%s is to be relocated (%v), want a task of %s", id, found, jobID)
	}
	if id, _, found := s.cell.NextToDelegate(s.now); !found || id.Job != otherID {
		t.Errorf("%s is to be delegated (%v), want a task of %s", id, found, otherID)
	}
	step := dispatcher.Step{Count: 1, Size: dispatcher.Size{MilliProcessors: 100, Megabytes: 10}}
	if free := s.cell.FreeCapacity(s.now, testService, dispatcher.StepID{}, &step); free.Places != 0 || free.LaterPlaces != 0 {
		t.Errorf("the evacuated cell offers %d places and %d later ones, want none", free.Places, free.LaterPlaces)
	}
}

// TestEvacuationKeepsVotes guards against a cell that stops acting because its workers no longer confirm
// its holder: runs of an evacuated failure domain go on and their ends count.
func TestEvacuationKeepsVotes(t *testing.T) {
	s := newEvacuableSimulation(3)
	s.submit(longRunningJob(otherID, 2, 1500))
	s.submit(plainJob(jobID, 3, 3*time.Second, 1))
	s.runFor(500 * time.Millisecond)
	setEvacuated(s, true)
	s.runFor(10 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	if s.running[dispatcher.TaskID{Job: otherID}] != 1 || !s.cell.Confirmed(s.now) {
		t.Error("a long-running task has ended, or the cell isn't confirmed")
	}
	requireNoViolations(t, s)
}

// TestRandomEvacuations checks that no task starts during an evacuation and that all jobs end afterwards,
// whatever happens to workers and holders meanwhile.
func TestRandomEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newEvacuableSimulation(3)
		s.submit(plainJob(jobID, 4, time.Second, 2))
		s.submit(plainJob(otherID, 2, 1500*time.Millisecond, 2))
		evacuated := false
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			started := countStarts(s)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				evacuated = !evacuated
				setEvacuated(s, evacuated)
			case 1:
				s.changeHolder(s.workers...)
				setEvacuated(s, evacuated)
			case 2:
				s.workers[0].reboot()
				s.register(s.workers[0])
			default:
			}
			s.runFor(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
			if evacuated && countStarts(s) > started {
				t.Fatal("a task starts during the evacuation")
			}
		}
		setEvacuated(s, false)
		s.runFor(30 * time.Second)
		for _, id := range []string{jobID, otherID} {
			if state, _ := s.cell.State(id); state != dispatcher.StateCompleted {
				t.Fatalf("%s is %q after the evacuation, want it completed", id, state)
			}
		}
		if len(s.violations) > 0 {
			t.Fatal(s.violations)
		}
	})
}

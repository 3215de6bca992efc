package main_test

import (
	"strings"
	"syscall"
	"testing"
)

// TestEvacuationOfAllDomains guards against tasks that start in an evacuated failure
// domain, also after its entry VM was replaced, against the end of what runs there, and
// against jobs that wait although another domain was taken back.
func TestEvacuationOfAllDomains(t *testing.T) {
	s := newSystem(t, "graz-a", "graz-b")
	s.startShop(t)
	s.operate(t, "evacuate", "--failure-domain", "graz-a")
	s.operate(t, "evacuate", "--failure-domain", "graz-b")
	s.submitEngraving(t, "friday")
	s.awaitEvacuated(t)
	_ = s.entries[0].command.Process.Signal(syscall.SIGTERM)
	if err := s.entries[0].command.Wait(); err != nil {
		t.Errorf("a planned stop ended with %v", err)
	}
	s.entries[0] = launch(t, s.entries[0].command.Args[1:]...)
	s.awaitReady(t)
	s.awaitEvacuated(t)
	if listed := len(s.endpoints(t)); listed != 4 {
		t.Errorf("%d instances run in the evacuated failure domains, want 4", listed)
	}
	if jobs := s.operate(t, "get", "--jobs"); !strings.Contains(jobs, "friday: accepted, 0 of 2 tasks done") {
		t.Errorf("a job ran though all failure domains are evacuated:\n%s", jobs)
	}

	s.operate(t, "evacuate", "--failure-domain", "graz-b", "--end")
	s.submitEngraving(t, "saturday")
	s.checkJob(t, "saturday", 2)
	if status := s.operate(t, "status"); !strings.Contains(status, "failure domain graz-a is evacuated by operator") || strings.Contains(status, "graz-b is evacuated") {
		t.Errorf("the status does not name graz-a alone as evacuated:\n%s", status)
	}
	s.operate(t, "evacuate", "--failure-domain", "graz-a", "--end")
	eventually(t, "job that waited for the end of the evacuation", func() bool {
		return strings.Contains(s.operate(t, "get", "--jobs"), "friday: done, 2 of 2 tasks done")
	})
	s.checkJob(t, "friday", 2)
	timeline := s.operate(t, "timeline", "--kind", "evacuation_ended")
	if strings.Count(timeline, "evacuation_ended") != 2 {
		t.Errorf("the time line does not show the end of both evacuations:\n%s", timeline)
	}
}

func (s *system) submitEngraving(t *testing.T, name string) {
	t.Helper()
	s.operate(t, "submit", name, "--organisation", "stockwerk", "--workload", "engraving", "--tasks", "2")
}

// awaitEvacuated waits until the status says that tasks of the job friday wait for the end
// of an evacuation.
func (s *system) awaitEvacuated(t *testing.T) {
	t.Helper()
	eventually(t, "reason for which the job waits", func() bool {
		status := s.operate(t, "status")
		return strings.Contains(status, "waiting stockwerk/friday/0: evacuated, an operator has evacuated graz-") &&
			strings.Contains(status, "waiting stockwerk/friday/1: evacuated, an operator has evacuated graz-")
	})
}

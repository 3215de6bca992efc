package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestWorkersOfUnnamedServices guards against a cell that never acts: registrations of a service that
// the configuration doesn't name, with addresses that nobody listens at, had votes.
func TestWorkersOfUnnamedServices(t *testing.T) {
	s := newSimulation(6)
	s.changeHolder()
	s.cell.SetServices(s.now, map[string]bool{testService: true})
	for i, f := range s.workers {
		if i < 3 {
			f.registration.Service, f.closed = "warehouse", true
		}
		s.register(f)
	}
	s.runFor(500 * time.Millisecond)
	s.submit(plainJob(jobID, 3, time.Second, 1))
	s.runFor(3 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	for _, f := range s.workers[:3] {
		f.closed = false
	}
	s.cell.SetServices(s.now, map[string]bool{testService: true, "warehouse": true})
	if known := len(s.cell.Workers()); known != 6 {
		t.Errorf("%d workers are known once the configuration names the service, want 6", known)
	}
	requireNoViolations(t, s)
}

// TestServiceNoLongerNamed checks that a worker that a holder has used keeps its vote when the
// configuration doesn't name its service any more: its runs continue.
func TestServiceNoLongerNamed(t *testing.T) {
	s := newActiveSimulation(2)
	s.submit(longRunningJob(jobID, 2, 1500))
	s.runFor(500 * time.Millisecond)
	s.cell.SetServices(s.now, map[string]bool{})
	s.runFor(5 * time.Second)
	if !s.cell.Confirmed(s.now) || s.running[dispatcher.TaskID{Job: jobID}] != 1 {
		t.Error("the cell doesn't continue")
	}
	requireNoViolations(t, s)
}

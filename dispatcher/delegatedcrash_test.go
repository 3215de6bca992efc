package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// delegateAfterCrash returns the part that a full cell delegates after a worker has crashed
// under its only task.
func delegateAfterCrash(t *testing.T, id dispatcher.TaskID) dispatcher.Job {
	t.Helper()
	s := newActiveSimulation(5)
	s.submit(longRunningJob(otherID, 4, 3900))
	s.advance(500 * time.Millisecond)
	s.deadly(id, time.Hour)
	s.submit(longRunningJob(id.Job, 1, 3900))
	s.advance(8 * time.Second)
	if got := s.crashes[id]; got != 1 {
		t.Fatalf("%d workers have crashed under %s, want 1", got, id)
	}
	next, _, delegates := s.cell.NextToDelegate(s.now)
	if !delegates || next != id {
		t.Fatalf("%s is to be delegated (%v), want %s, under which one worker has crashed", next, delegates, id)
	}
	s.cell.Delegate(s.now, id, "graz-b", 1)
	s.advance(200 * time.Millisecond)
	if len(s.archive.parts) != 1 {
		t.Fatalf("%d parts are stored, want 1", len(s.archive.parts))
	}
	record, err := dispatcher.EncodeJob(s.archive.parts[0].Job)
	if err != nil {
		t.Fatal(err)
	}
	part, err := dispatcher.DecodeJob(record)
	if err != nil {
		t.Fatal(err)
	}
	return part
}

// TestDelegationAfterCrash guards against a long-running task that waits in a full cell,
// while another one has a place for it, because a worker has crashed under it; and against
// one that starts without end because the other cell doesn't know of the crash.
func TestDelegationAfterCrash(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID}
	part := delegateAfterCrash(t, id)
	tests := map[string]func(s *simulation){
		"new job": func(s *simulation) { s.add(part, true) },
		"extended part": func(s *simulation) {
			known := part
			known.Part, known.PartCrashes = []dispatcher.TaskID{}, nil
			s.add(known, true)
			s.advance(100 * time.Millisecond)
			s.add(part, true)
		},
		"new holder": func(s *simulation) {
			s.archive.jobs[id.Job] = part
			s.add(part, true)
			s.changeHolder(s.workers...)
		},
	}
	for name, add := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveCell("v", 12)
			s.archive.epoch += 7
			s.changeHolder(s.workers...)
			s.advance(time.Second)
			s.deadly(id, 3*time.Second)
			s.crashes[id] = 1
			add(s)
			s.advance(60 * time.Second)
			// Clients see the state of a part only through its home cell.
			if got := s.archive.progress[id.Job].State; got != dispatcher.StateFailed {
				t.Errorf("the stored state of the part is %q, want %q", got, dispatcher.StateFailed)
			}
			if !slices.Contains(s.events.of("task_given_up"), id.String()) {
				t.Errorf("no event tells that %s was given up", id)
			}
			if got := s.crashes[id]; got != 3 {
				t.Errorf("%d workers have crashed under the task, want 3, the first one in the other cell", got)
			}
			requireNoViolations(t, s)
		})
	}
}

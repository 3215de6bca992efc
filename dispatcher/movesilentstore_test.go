package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestMovesWhileStoreIsSilent guards against a long-running task that runs nowhere for as long as the store is
// silent: it was stopped to move to another cell, which only the store can tell of it.
func TestMovesWhileStoreIsSilent(t *testing.T) {
	tests := map[string]struct {
		silent bool
		want   bool
	}{
		"the store answers": {want: true},
		"it is silent":      {silent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(2)
			s.submit(longRunningJob(jobID, 2, 3500))
			s.runFor(time.Second)
			s.storeDown, s.registryUnread = test.silent, test.silent
			s.drain(s.workers[0])
			s.runFor(3 * time.Second)
			if _, _, moves := s.cell.NextToMove(s.now); moves != test.want {
				t.Errorf("a task of a draining worker is stopped to move: %v, want %v", moves, test.want)
			}
			if got := s.running[dispatcher.TaskID{Job: jobID}] + s.running[dispatcher.TaskID{Job: jobID, Index: 1}]; got != 2 {
				t.Errorf("%d tasks run, want 2", got)
			}
		})
	}
}

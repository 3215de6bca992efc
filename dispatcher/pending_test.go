package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestPendingJobs guards against a job that isn't counted as pending although no task of it has begun: the
// starts that were sent never reached a worker.
func TestPendingJobs(t *testing.T) {
	tests := map[string]struct {
		fate startFate
		// workers is the number of workers, holderChanges is true if the holder changes before the count.
		workers       int
		holderChanges bool
		want          int
		state         dispatcher.State
	}{
		"no worker":                             {fate: fateAccepted, want: 1, state: dispatcher.StateQueued},
		"the start is accepted":                 {fate: fateAccepted, workers: 3, state: dispatcher.StateRunning},
		"the start is lost":                     {fate: fateLost, workers: 3, want: 1, state: dispatcher.StateQueued},
		"the start is lost, the holder changes": {fate: fateLost, workers: 3, holderChanges: true, want: 1, state: dispatcher.StateQueued},
		"the answer is lost":                    {fate: fateAnswerLost, workers: 3, state: dispatcher.StateRunning},
		"a run of the earlier holder":           {fate: fateAccepted, workers: 3, holderChanges: true, state: dispatcher.StateRunning},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(test.workers)
			s.nextFate = func() startFate { return test.fate }
			s.submit(plainJob(jobID, 1, time.Minute, 1))
			s.advance(time.Second)
			if test.holderChanges {
				s.changeHolder(s.workers...)
				s.advance(time.Second)
			}
			if got := s.cell.Pending("quotes"); got != test.want {
				t.Errorf("%d jobs are pending, want %d", got, test.want)
			}
			requireState(t, s, jobID, test.state)
		})
	}
}

package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestLateStartAnswerConfirmsNoCrash guards against a crash that counts as certain, although the worker runs on
// under its boot and only refuses connections, because the answer to the start came or was missed after its lease
// had expired or the crash was recorded.
func TestLateStartAnswerConfirmsNoCrash(t *testing.T) {
	tests := map[string]struct {
		job dispatcher.Job
		// delay is how long after a start the holder handles that it has no answer.
		delay time.Duration
	}{
		"the task may be done":     {job: plainJob(jobID, 1, 60*time.Second, 1), delay: 6 * time.Second},
		"a long-running task":      {job: longRunningJob(jobID, 1, 1000), delay: 6 * time.Second},
		"the answer comes in time": {job: longRunningJob(jobID, 1, 1000), delay: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(9)
			a := &awayWorkers{
				simulation: s, away: 60 * time.Second,
				backAt: map[*fakeWorker]time.Time{}, goesAt: map[*fakeWorker]time.Time{},
			}
			s.nextFate = func() startFate { return fateAnswerLost }
			s.startAnswerDelay = test.delay
			s.submit(test.job)
			a.advance(40*time.Second, true)
			requireNotGivenUp(t, s)
		})
	}
}

func requireNotGivenUp(t *testing.T, s *simulation) {
	t.Helper()
	if state, _ := s.cell.State(jobID); state.Final() {
		t.Errorf("the job is %s: %s", state, s.events.detail(dispatcher.KindGivenUp))
	}
	for _, event := range s.events.recorded {
		if event.Kind == dispatcher.KindCrashConfirmed {
			t.Errorf("a crash is confirmed although no worker has crashed: %s", event.Detail)
		}
	}
}

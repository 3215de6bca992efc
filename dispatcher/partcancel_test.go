package dispatcher_test

import (
	"context"
	"testing"

	"zinniashore.example/dispatcher"
)

// runLoaded runs a runner of stored jobs until the test ends, and returns it once they are loaded.
func runLoaded(t *testing.T, jobs ...dispatcher.StoredJob) *dispatcher.Runner {
	t.Helper()
	released := make(chan struct{})
	close(released)
	runner := newTestRunner(&slowArchive{stored: dispatcher.StoredCell{Jobs: jobs}, released: released})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- runner.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	<-runner.Loaded()
	return runner
}

// TestCancelInCellOfPart guards against a job that runs on although its cancellation was acknowledged: it had
// been relocated, and a process that took it for a job of its old cell, which had got a part of it since, had the
// cancellation carried out there alone.
func TestCancelInCellOfPart(t *testing.T) {
	part := longRunningJob(jobID, 2, 500)
	part.Occurrences, part.Part, part.Home = 1, []dispatcher.TaskID{{Job: jobID}}, "graz-b"
	whole := longRunningJob(otherID, 2, 500)
	whole.Occurrences = 1
	tests := map[string]struct {
		job   dispatcher.Job
		known bool
	}{
		"a part of a job":            {job: part},
		"a job that belongs to here": {job: whole, known: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runner := runLoaded(t, dispatcher.StoredJob{Job: test.job})
			known, err := runner.Cancel(t.Context(), test.job.ID)
			if known != test.known || err != nil {
				t.Errorf("Cancel() = %v, %v; want %v", known, err, test.known)
			}
		})
	}
}

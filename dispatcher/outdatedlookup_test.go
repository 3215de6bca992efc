package dispatcher_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// slowLookups holds back its first answer to a lookup, which is what the store had when it was asked.
type slowLookups struct {
	slowArchive
	asked, released chan struct{}

	mu      sync.Mutex
	lookups int
	job     dispatcher.StoredJob
	exists  bool
}

func (a *slowLookups) Find(ctx context.Context, _ string) (dispatcher.StoredJob, bool, error) {
	a.mu.Lock()
	a.lookups++
	first, job, exists := a.lookups == 1, a.job, a.exists
	a.mu.Unlock()
	if first {
		close(a.asked)
		select {
		case <-a.released:
		case <-ctx.Done():
		}
	}
	return job, exists, ctx.Err()
}

func (a *slowLookups) change(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
}

// TestOutdatedLookup guards against a lookup of a job whose answer is older than what the cell has got from the
// store meanwhile: the job came back while the store answered that it had left, and nobody ran it; or its
// cancellation, or the failure of its part, arrived before the job and was dropped.
func TestOutdatedLookup(t *testing.T) {
	job := plainJob(jobID, 1, time.Second, 1)
	job.Occurrences = 1
	found := dispatcher.StoredJob{Job: job}
	tests := map[string]struct {
		exists bool
		change func(a *slowLookups, r *dispatcher.Runner)
		want   dispatcher.State
	}{
		"the job comes back": {
			change: func(a *slowLookups, r *dispatcher.Runner) {
				a.change(func() { a.exists = true })
				r.Add(job, true)
			},
			want: dispatcher.StateQueued,
		},
		"the job is cancelled": {
			exists: true,
			change: func(a *slowLookups, r *dispatcher.Runner) {
				a.change(func() { a.job.Cancelled = true })
				if known, _ := r.Cancel(t.Context(), jobID); known {
					t.Error("the cell knows the job before it has been looked up")
				}
			},
			want: dispatcher.StateCancelled,
		},
		"a part of the job fails": {
			exists: true,
			change: func(a *slowLookups, r *dispatcher.Runner) {
				a.change(func() { a.job.FailedIn = "graz-b" })
				if r.FailPart(jobID, "graz-b", "") {
					t.Error("the cell knows the job before it has been looked up")
				}
			},
			want: dispatcher.StateFailed,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			archive := &slowLookups{
				slowArchive: slowArchive{released: make(chan struct{})},
				asked:       make(chan struct{}), released: make(chan struct{}), job: found, exists: test.exists,
			}
			close(archive.slowArchive.released)
			runner := newTestRunner(archive)
			dispatcher.Depart(runner.Cell, runner.Clock.Now(), jobID)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- runner.Run(ctx) }()
			runner.Add(job, true) // a late record of the job that has departed
			<-archive.asked
			test.change(archive, runner)
			close(archive.released)
			deadline := time.Now().Add(2 * time.Second)
			state := dispatcher.State("")
			for ; state != test.want && time.Now().Before(deadline); state, _ = runner.State(jobID) {
				time.Sleep(10 * time.Millisecond)
			}
			if state != test.want {
				t.Errorf("state = %q, want %q", state, test.want)
			}
			cancel()
			<-ended
		})
	}
}

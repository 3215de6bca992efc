package holder

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
	"zinniashore.example/watcher"
)

const (
	// registrationWait is how long a watch call for registrations waits for a change. No task
	// may start on a worker later than two seconds after it has registered as draining, even
	// if a connection became half-open in the batch delay before the call. A worker that is
	// gone counts as registered for as much longer if no other one registers.
	registrationWait = 700 * time.Millisecond
	// jobWait is how long a watch call for jobs waits for a change. No task of a job may
	// start later than three seconds after the store has acknowledged the cancellation of
	// the job, even if the call that would have reported it gets no answer.
	jobWait = time.Second
	// registrationBatchPause is how long changes of registrations are batched, since
	// workers renew their registrations often.
	registrationBatchPause = 500 * time.Millisecond
	// jobBatchPause is how long new jobs are batched. Peers normally deliver jobs
	// directly, so the store is only the fallback.
	jobBatchPause = 300 * time.Millisecond
)

// Feed keeps the runner of a cell up to date with the store: with the registrations of the cell's workers, its jobs,
// cancellations and failed parts. Its exported fields are set before Run.
type Feed struct {
	Clock     clockwork.Clock
	Store     watcher.Store
	Partition Partition
	Cell      string
	Runner    *dispatcher.Runner
}

// Run follows the store until ctx ends. It always returns nil.
func (f *Feed) Run(ctx context.Context) error {
	var group errgroup.Group
	for _, w := range f.Watches() {
		group.Go(func() error { return w.Run(ctx) })
	}
	return group.Wait()
}

// Watches returns the watches that Run runs.
func (f *Feed) Watches() []watcher.Watcher {
	watches := []watcher.Watcher{
		{
			Prefix: platform.RegistrationPrefix, Wait: registrationWait, BatchDelay: registrationBatchPause,
			Handler: &registrations{cell: f.Cell, partition: f.Partition, runner: f.Runner, passed: map[string]bool{}}, Read: f.Runner.RegistryRead,
		},
		{
			Prefix: archiver.JobPrefix(f.Cell), Wait: jobWait, BatchDelay: jobBatchPause,
			Handler: &storedJobs{cell: f.Cell, runner: f.Runner}, Read: f.Runner.JobsRead,
		},
	}
	for i := range watches {
		watches[i].Store, watches[i].Clock = f.Store, f.Clock
	}
	return watches
}

// Package holder runs the cells that this process holds. It asks the earlier holders of a cell whether they
// have ended, the last one whether it still holds the cell, and the holders of other cells whether they reach
// the store.
package holder

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"zinniashore.example/archiver"
	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/historian"
	"zinniashore.example/platform"
	"zinniashore.example/relayer"
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
	// leaseFraction is the fraction of the longest lease of a worker that is used, so
	// that a fast clock ends no lease early.
	leaseFraction    = 0.8
	maxLeaseDuration = 5 * time.Second
	pollWait         = time.Second
	// maxConfirmationAge covers one poll with its wait after one lost poll.
	maxConfirmationAge = 2500 * time.Millisecond
	// FullLeaseAge covers the time between two saves of a busy cell, or two checks of the term of
	// another one. A new holder waits for as much longer before it takes earlier leases for expired.
	FullLeaseAge = 500 * time.Millisecond
	// maxIsolation is how long a holder acts, and its leases last, without a renewal of its authority. It outlasts
	// short partitions, and leaves time to run the tasks of a lost failure domain elsewhere.
	maxIsolation = 7500 * time.Millisecond
)

// Cells runs the cells that this process holds. Its exported fields are set before Run. It is safe for concurrent use.
type Cells struct {
	Clock    clockwork.Clock
	Settings platform.Settings
	Store    *platform.Store
	Workers  *platform.Workers
	Archiver *archiver.Archiver
	Recorder dispatcher.Recorder
	// OtherCells gives the runners access to the other cells.
	OtherCells dispatcher.OtherCells
	Partition  Partition
	// Peers sends requests to earlier holders.
	Peers *relayer.Client
	// History records when the store had reached which revision.
	History *historian.Historian
	// OthersReachStore reports whether a holder of another cell reaches the store, unless no other process holds one.
	OthersReachStore func(ctx context.Context) bool
	// SuspendedTime and OutageSeen are those of dispatcher.Runner.
	SuspendedTime func() time.Duration
	OutageSeen    func() time.Time

	mu      sync.Mutex
	runners map[string]heldCell
	// services are the names of the configured services; empty, not nil, once a cell is held before they are known.
	services map[string]bool
	// evacuated are the evacuated failure domains. They are known once the services are known.
	evacuated dispatcher.FailureDomains
	// leases holds, by cell that was held, what the release reports.
	leases map[string]claimer.Leases
	// yielded holds, by cell, the epoch before which this process doesn't hold it any more.
	yielded map[string]int64
}

var _ relayer.Cells = (*Cells)(nil)

// heldCell is the runner of a cell that this process holds.
type heldCell struct {
	runner *dispatcher.Runner
	epoch  int64
	stop   context.CancelFunc
}

// Runner implements relayer.Cells.
func (c *Cells) Runner(cell string) *dispatcher.Runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runners[cell].runner
}

// Yield implements relayer.Cells.
func (c *Cells) Yield(cell string, epoch int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.yielded == nil {
		c.yielded = map[string]int64{}
	}
	c.yielded[cell] = max(c.yielded[cell], epoch)
	held, found := c.runners[cell]
	if !found || held.epoch >= epoch {
		return true
	}
	klog.InfoS("Giving up a cell to the holder of a newer term", "cell", cell, "epoch", held.epoch, "newer", epoch)
	held.stop()
	return false
}

// Run runs a cell under a term until ctx ends or the cell is lost. It returns dispatcher.ErrSuperseded if this process
// has already yielded the cell to a holder of a later term, and otherwise the error of dispatcher.Runner.Run.
func (c *Cells) Run(ctx context.Context, cell string, term claimer.Term) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	limits := dispatcher.Limits{
		LeaseDuration:      min(time.Duration(float64(c.Settings.MaxGrant)*leaseFraction), maxLeaseDuration),
		MaxLeaseDuration:   c.Settings.MaxGrant,
		PollWait:           pollWait,
		MaxConfirmationAge: maxConfirmationAge,
		FullLeaseAge:       FullLeaseAge,
		MaxIsolation:       IsolationLimit(c.Settings),
		StateRetention:     c.Settings.StateRetention,
		RemoteFactor:       c.Settings.RemoteFactor,
		CheckpointInterval: c.Settings.CheckpointInterval,
		RestoreTime:        c.Settings.RestoreTime,
	}
	c.setLeases(cell, claimer.Leases{})
	archive := &archiver.CellArchive{Archiver: c.Archiver, Cell: cell, Epoch: term.Epoch}
	state := dispatcher.NewCell(cell, term.Epoch, limits, c.Recorder)
	state.EarlierFullLeaseAge = term.EarlierFullLeaseAge(maxConfirmationAge)
	state.EarlierLeaseEnds = map[string]time.Time{}
	for worker, left := range term.Leases.Workers {
		state.EarlierLeaseEnds[worker] = term.ClaimedAt.Add(left)
	}
	state.EarlierProcessLeaseEnds = map[dispatcher.ProcessID]time.Time{}
	for _, p := range term.Leases.EarlierProcesses {
		state.EarlierProcessLeaseEnds[dispatcher.ProcessID{Worker: p.Worker, Boot: p.Boot}] = term.ClaimedAt.Add(p.Left)
	}
	runner := dispatcher.NewRunner(state, c.Clock, c.Workers, archive)
	runner.OtherCells = c.OtherCells
	runner.SuspendedTime = c.SuspendedTime
	runner.OutageSeen = c.OutageSeen
	runner.EarlierHolders = &earlierHolders{
		cell: cell, term: term, clock: c.Clock, peers: c.Peers, history: c.History, othersReachStore: c.OthersReachStore,
	}
	runner.Cell.Renewed(term.ClaimedAt)
	runner.Cell.EarlierTerms = describeEarlier(term)
	if !c.set(cell, heldCell{runner: runner, epoch: term.Epoch, stop: stop}) {
		return dispatcher.ErrSuperseded
	}
	defer c.unset(cell, runner)
	defer func() { c.setLeases(cell, leasesOf(runner)) }()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runner.Run(ctx) })
	for _, w := range c.Watches(cell, runner) {
		group.Go(func() error { return w.Run(ctx) })
	}
	return group.Wait()
}

// IsolationLimit returns MaxIsolation of the holders; 0 is without limit. With a single failure domain nothing tells an
// outage of the store from a partition.
func IsolationLimit(settings platform.Settings) time.Duration {
	if len(settings.FailureDomains) < 2 {
		return 0
	}
	return maxIsolation
}

// Watches returns the watches that keep the runner of a cell up to date.
func (c *Cells) Watches(cell string, runner *dispatcher.Runner) []watcher.Watcher {
	watches := []watcher.Watcher{
		{
			Prefix: platform.RegistrationPrefix, Wait: registrationWait, BatchDelay: registrationBatchPause,
			Handler: &registrations{cell: cell, partition: c.Partition, runner: runner, passed: map[string]bool{}}, Read: runner.RegistryRead,
		},
		{
			Prefix: archiver.JobPrefix(cell), Wait: jobWait, BatchDelay: jobBatchPause,
			Handler: &storedJobs{cell: cell, runner: runner}, Read: runner.JobsRead,
		},
	}
	for i := range watches {
		watches[i].Store, watches[i].Clock = c.Store, c.Clock
	}
	return watches
}

// set records a held cell. It reports false if this process has already yielded it.
func (c *Cells) set(cell string, held heldCell) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held.epoch < c.yielded[cell] {
		return false
	}
	if c.runners == nil {
		c.runners = map[string]heldCell{}
	}
	c.runners[cell] = held
	if c.services == nil {
		c.services = map[string]bool{}
	}
	held.runner.SetEvacuated(c.evacuated)
	held.runner.SetServices(c.services)
	return true
}

// SetServices sets the names of the configured services.
func (c *Cells) SetServices(configuration platform.Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services = configuration.Services
	for _, held := range c.runners {
		held.runner.SetServices(c.services)
	}
}

// SetEvacuated sets the evacuated failure domains.
func (c *Cells) SetEvacuated(evacuated dispatcher.FailureDomains) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated = evacuated
	for _, held := range c.runners {
		held.runner.SetEvacuated(evacuated)
	}
}

// Evacuated reports whether a failure domain is known to be evacuated.
func (c *Cells) Evacuated(failureDomain string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuated.Contains(failureDomain)
}

// leasesOf returns what the release of a cell reports of the leases that its runner knows.
func leasesOf(runner *dispatcher.Runner) claimer.Leases {
	leases := claimer.Leases{Workers: runner.LeasesOfSilentWorkers()}
	for process, left := range runner.LeasesOfEarlierProcesses() {
		leases.EarlierProcesses = append(leases.EarlierProcesses, claimer.ProcessLease{Worker: process.Worker, Boot: process.Boot, Left: left})
	}
	return leases
}

// setLeases sets the leases that the release of a cell reports.
func (c *Cells) setLeases(cell string, leases claimer.Leases) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leases == nil {
		c.leases = map[string]claimer.Leases{}
	}
	c.leases[cell] = leases
}

// ReleasedLeases returns the leases that this process knew when it stopped acting as the holder of a cell.
func (c *Cells) ReleasedLeases(cell string) claimer.Leases {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leases[cell]
}

func (c *Cells) unset(cell string, runner *dispatcher.Runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runners[cell].runner == runner {
		delete(c.runners, cell)
	}
}

// workerRegistry receives the registered workers of a cell.
type workerRegistry interface {
	SetWorkers(registrations []dispatcher.Registration)
	ChangeWorkers(changes []dispatcher.WorkerChange)
}

// registrations passes the workers of a cell to its runner. The watch has those of all cells. Each call of
// the runner waits for its lock, for long if the process is slow: there is at most one for each answer of the
// store, and none for workers of other cells.
type registrations struct {
	cell      string
	partition Partition
	runner    workerRegistry
	// passed are the ids of the workers that are registered in the cell.
	passed map[string]bool
}

func (r *registrations) decode(item platform.Item) (dispatcher.Registration, bool) {
	registration, err := platform.DecodeRegistration(item)
	if err != nil {
		klog.ErrorS(err, "Skipping a registration that can't be decoded", "worker", registration.ID)
		return registration, false
	}
	return registration, r.partition.Contains(r.cell, registration)
}

// Replace implements watcher.Handler.
func (r *registrations) Replace(items []platform.Item) {
	var registered []dispatcher.Registration
	r.passed = map[string]bool{}
	for _, item := range items {
		if registration, inCell := r.decode(item); inCell {
			registered = append(registered, registration)
			r.passed[registration.ID] = true
		}
	}
	r.runner.SetWorkers(registered)
}

// Apply implements watcher.Handler.
func (r *registrations) Apply(events ...platform.Event) {
	var changes []dispatcher.WorkerChange
	for _, event := range events {
		if change, inCell := r.change(event); inCell {
			changes = append(changes, change)
		}
	}
	if len(changes) > 0 {
		r.runner.ChangeWorkers(changes)
	}
}

// change returns the change of a worker of the cell, and false for a worker of another one.
func (r *registrations) change(event platform.Event) (dispatcher.WorkerChange, bool) {
	id := strings.TrimPrefix(event.Key, platform.RegistrationPrefix)
	if !event.Removed {
		if registration, inCell := r.decode(event.Item); inCell {
			r.passed[id] = true
			return dispatcher.WorkerChange{Registration: registration}, true
		}
	}
	passed := r.passed[id]
	delete(r.passed, id)
	return dispatcher.WorkerChange{Registration: dispatcher.Registration{ID: id}, Removed: true}, passed
}

// storedJobs passes jobs, cancellations and failed parts from the store to the runner of a cell.
type storedJobs struct {
	cell   string
	runner *dispatcher.Runner
}

// Replace implements watcher.Handler.
func (s *storedJobs) Replace(items []platform.Item) {
	for _, item := range items {
		s.handle(item)
	}
}

// Apply implements watcher.Handler.
func (s *storedJobs) Apply(events ...platform.Event) {
	for _, event := range events {
		if !event.Removed {
			s.handle(event.Item)
		}
	}
}

func (s *storedJobs) handle(item platform.Item) {
	change, err := archiver.DecodeChange(s.cell, item)
	if err != nil {
		klog.ErrorS(err, "Decoding a stored job failed", "job", change.ID)
		return
	}
	select {
	case <-s.runner.Loaded():
	case <-s.runner.Ended():
		return
	}
	switch {
	case change.Unaccepted:
		s.runner.AddUnaccepted(change.ID)
	case change.Cancelled:
		if !s.runner.CancelStored(change.ID) {
			klog.InfoS("Cancellation of an unknown job", "job", change.ID)
		}
	case change.Returned != nil:
		if !s.runner.AddReturned(change.ID, *change.Returned) {
			klog.InfoS("Part of an unknown job was given back", "job", change.ID, "cell", change.Returned.Cell)
		}
	case change.FailedIn != "":
		if !s.runner.FailPart(change.ID, change.FailedIn, change.FailureCause) {
			klog.InfoS("Failed part of an unknown job", "job", change.ID, "cell", change.FailedIn)
		}
	default:
		s.runner.Add(change.Job, true)
	}
}

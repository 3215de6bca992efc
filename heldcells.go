package zinniashore

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
	// fullLeaseAge covers the time between two saves of a busy cell, or two checks of the term of
	// another one. A new holder waits for as much longer before it takes earlier leases for expired.
	fullLeaseAge = 500 * time.Millisecond
	// maxIsolation is how long a holder acts, and its leases last, without a renewal of its authority. It outlasts
	// short partitions, and leaves time to run the tasks of a lost failure domain elsewhere.
	maxIsolation = 7500 * time.Millisecond
)

// heldCells runs the cells that this process holds.
type heldCells struct {
	clock    clockwork.Clock
	settings platform.Settings
	store    *platform.Store
	workers  *platform.Workers
	archiver *archiver.Archiver
	recorder dispatcher.Recorder
	selector *cellSelector
	// partition maps workers to cells.
	partition *sharedPartition

	// peers sends requests to earlier holders.
	peers *relayer.Client
	// history records when the store had reached which revision.
	history *historian.Historian
	// others are the holders of the other cells; outageSeen is dispatcher.Runner.OutageSeen.
	others     *otherHolders
	outageSeen func() time.Time

	mu      sync.Mutex
	runners map[string]heldCell
	// services are the names of the configured services, empty before they are known.
	services map[string]bool
	// evacuated are the evacuated failure domains. They are known once the services are known.
	evacuated dispatcher.FailureDomains
	// leases holds, by cell that was held, what the release reports.
	leases map[string]claimer.Leases
	// yielded holds, by cell, the epoch before which this process doesn't hold it any more.
	yielded map[string]int64
}

// heldCell is the runner of a cell that this process holds.
type heldCell struct {
	runner *dispatcher.Runner
	epoch  int64
	stop   context.CancelFunc
}

// Runner implements relayer.Cells.
func (h *heldCells) Runner(cell string) *dispatcher.Runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runners[cell].runner
}

// Yield implements relayer.Cells.
func (h *heldCells) Yield(cell string, epoch int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.yielded == nil {
		h.yielded = map[string]int64{}
	}
	h.yielded[cell] = max(h.yielded[cell], epoch)
	held, found := h.runners[cell]
	if !found || held.epoch >= epoch {
		return true
	}
	klog.InfoS("Giving up a cell to the holder of a newer term", "cell", cell, "epoch", held.epoch, "newer", epoch)
	held.stop()
	return false
}

// run runs a cell under a term until ctx ends or the cell is lost.
func (h *heldCells) run(ctx context.Context, cell string, term claimer.Term) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	limits := dispatcher.Limits{
		LeaseDuration:      min(time.Duration(float64(h.settings.MaxGrant)*leaseFraction), maxLeaseDuration),
		MaxLeaseDuration:   h.settings.MaxGrant,
		PollWait:           pollWait,
		MaxConfirmationAge: maxConfirmationAge,
		FullLeaseAge:       fullLeaseAge,
		MaxIsolation:       isolationLimit(h.settings),
		StateRetention:     h.settings.StateRetention,
		RemoteFactor:       h.settings.RemoteFactor,
		CheckpointInterval: h.settings.CheckpointInterval,
		RestoreTime:        h.settings.RestoreTime,
	}
	h.setLeases(cell, claimer.Leases{})
	archive := &archiver.CellArchive{Archiver: h.archiver, Cell: cell, Epoch: term.Epoch}
	state := dispatcher.NewCell(cell, term.Epoch, limits, h.recorder)
	state.EarlierFullLeaseAge = term.EarlierFullLeaseAge(maxConfirmationAge)
	state.EarlierLeaseEnds = map[string]time.Time{}
	for worker, left := range term.Leases.Workers {
		state.EarlierLeaseEnds[worker] = term.ClaimedAt.Add(left)
	}
	state.EarlierProcessLeaseEnds = map[dispatcher.ProcessID]time.Time{}
	for _, p := range term.Leases.EarlierProcesses {
		state.EarlierProcessLeaseEnds[dispatcher.ProcessID{Worker: p.Worker, Boot: p.Boot}] = term.ClaimedAt.Add(p.Left)
	}
	runner := dispatcher.NewRunner(state, h.clock, h.workers, archive)
	runner.OtherCells = h.selector
	runner.SuspendedTime = suspendedTime
	runner.OutageSeen = h.outageSeen
	runner.EarlierHolders = &earlierHolders{
		cell: cell, term: term, clock: h.clock, peers: h.peers, history: h.history, othersReachStore: h.others.anyReachesStore,
	}
	runner.Cell.Renewed(term.ClaimedAt)
	runner.Cell.EarlierTerms = describeEarlier(term)
	if !h.set(cell, heldCell{runner: runner, epoch: term.Epoch, stop: stop}) {
		return dispatcher.ErrSuperseded
	}
	defer h.unset(cell, runner)
	defer func() { h.setLeases(cell, leasesOf(runner)) }()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runner.Run(ctx) })
	for _, w := range h.watches(cell, runner) {
		group.Go(func() error { return w.Run(ctx) })
	}
	return group.Wait()
}

// isolationLimit returns MaxIsolation of the holders; 0 is without limit. With a single failure domain nothing tells an
// outage of the store from a partition.
func isolationLimit(settings platform.Settings) time.Duration {
	if len(settings.FailureDomains) < 2 {
		return 0
	}
	return maxIsolation
}

// watches returns the watches that keep the runner of a cell up to date.
func (h *heldCells) watches(cell string, runner *dispatcher.Runner) []watcher.Watcher {
	watches := []watcher.Watcher{
		{
			Prefix: platform.RegistrationPrefix, Wait: registrationWait, BatchDelay: registrationBatchPause,
			Handler: &registrations{cell: cell, partition: h.partition, runner: runner, passed: map[string]bool{}}, Read: runner.RegistryRead,
		},
		{
			Prefix: archiver.JobPrefix(cell), Wait: jobWait, BatchDelay: jobBatchPause,
			Handler: &storedJobs{cell: cell, runner: runner}, Read: runner.JobsRead,
		},
	}
	for i := range watches {
		watches[i].Store, watches[i].Clock = h.store, h.clock
	}
	return watches
}

// set records a held cell. It reports false if this process has already yielded it.
func (h *heldCells) set(cell string, held heldCell) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held.epoch < h.yielded[cell] {
		return false
	}
	if h.runners == nil {
		h.runners = map[string]heldCell{}
	}
	h.runners[cell] = held
	held.runner.SetEvacuated(h.evacuated)
	held.runner.SetServices(h.services)
	return true
}

// setServices sets the names of the configured services.
func (h *heldCells) setServices(configuration platform.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.services = configuration.Services
	for _, held := range h.runners {
		held.runner.SetServices(h.services)
	}
}

// setEvacuated sets the evacuated failure domains.
func (h *heldCells) setEvacuated(evacuated dispatcher.FailureDomains) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuated = evacuated
	for _, held := range h.runners {
		held.runner.SetEvacuated(evacuated)
	}
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
func (h *heldCells) setLeases(cell string, leases claimer.Leases) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leases == nil {
		h.leases = map[string]claimer.Leases{}
	}
	h.leases[cell] = leases
}

// releasedLeases returns the leases that this process knew when it stopped acting as the holder of a cell.
func (h *heldCells) releasedLeases(cell string) claimer.Leases {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leases[cell]
}

func (h *heldCells) unset(cell string, runner *dispatcher.Runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runners[cell].runner == runner {
		delete(h.runners, cell)
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
	partition *sharedPartition
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
	return registration, r.partition.contains(r.cell, registration)
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

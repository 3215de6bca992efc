package zinniashore

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
	"zinniashore.example/watcher"
)

const (
	// longWait is how long a watch waits whose connection may be silent for as
	// long without harm.
	longWait = 5 * time.Second
	// registryPause gathers changes of registrations: workers renew them often.
	registryPause = 500 * time.Millisecond
	// arrivalPause gathers jobs, which peers hand over directly as a rule.
	arrivalPause = 300 * time.Millisecond
	// grantShare is the part of the longest lease of a worker that is used, so
	// that a clock that runs fast cuts no lease short.
	grantShare = 0.8
	maxGrant   = 5 * time.Second
	lookWait   = time.Second
	// confirmation covers a look with its wait and one that was lost.
	confirmation = 2500 * time.Millisecond
)

// holding runs the cells that this process holds.
type holding struct {
	clock    clockwork.Clock
	settings platform.Settings
	store    *platform.Store
	workers  *platform.Workers
	archiver *archiver.Archiver
	recorder dispatcher.Recorder
	rooms    *rooms

	mu      sync.Mutex
	runners map[string]*dispatcher.Runner
}

// Runner implements relayer.Cells.
func (h *holding) Runner(cell string) *dispatcher.Runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runners[cell]
}

// hold runs a cell under an epoch until ctx ends or the cell is lost.
func (h *holding) hold(ctx context.Context, cell string, epoch int64) error {
	limits := dispatcher.Limits{
		LeaseDuration:      min(time.Duration(float64(h.settings.MaxGrant)*grantShare), maxGrant),
		PollWait:           lookWait,
		MaxConfirmationAge: confirmation,
		StateRetention:     h.settings.StateRetention,
	}
	archive := &archiver.CellArchive{Archiver: h.archiver, Cell: cell, Epoch: epoch}
	runner := dispatcher.NewRunner(dispatcher.NewCell(cell, epoch, limits, h.recorder), h.clock, h.workers, archive)
	runner.OtherCells = h.rooms
	h.set(cell, runner)
	defer h.unset(cell, runner)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runner.Run(ctx) })
	watches := []watcher.Watcher{
		{Prefix: platform.RegistrationPrefix, BatchDelay: registryPause, Handler: &registrations{cell: cell, runner: runner}},
		{Prefix: archiver.JobPrefix(cell), BatchDelay: arrivalPause, Handler: &arrivals{cell: cell, runner: runner}},
	}
	for _, w := range watches {
		w.Store, w.Clock, w.Wait = h.store, h.clock, longWait
		group.Go(func() error { return w.Run(ctx) })
	}
	return group.Wait()
}

func (h *holding) set(cell string, runner *dispatcher.Runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runners == nil {
		h.runners = map[string]*dispatcher.Runner{}
	}
	h.runners[cell] = runner
}

func (h *holding) unset(cell string, runner *dispatcher.Runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runners[cell] == runner {
		delete(h.runners, cell)
	}
}

// registrations feeds a cell with the workers of its failure domain.
type registrations struct {
	cell   string
	runner *dispatcher.Runner
}

func (r *registrations) decode(item platform.Item) (dispatcher.Registration, bool) {
	registration, err := platform.DecodeRegistration(item)
	if err != nil {
		klog.ErrorS(err, "Registration left out", "worker", registration.ID)
		return registration, false
	}
	return registration, registration.FailureDomain == r.cell
}

// Replace implements watcher.Handler.
func (r *registrations) Replace(items []platform.Item) {
	var ours []dispatcher.Registration
	for _, item := range items {
		if registration, mine := r.decode(item); mine {
			ours = append(ours, registration)
		}
	}
	r.runner.SetWorkers(ours)
}

// Apply implements watcher.Handler.
func (r *registrations) Apply(event platform.Event) {
	registration, mine := dispatcher.Registration{}, false
	if event.Removed {
		registration.ID = event.Key[len(platform.RegistrationPrefix):]
	} else {
		registration, mine = r.decode(event.Item)
	}
	if mine {
		r.runner.SetWorker(registration)
	} else {
		r.runner.RemoveWorker(registration.ID)
	}
}

// arrivals feeds a cell with jobs and cancellations that came by the store.
type arrivals struct {
	cell   string
	runner *dispatcher.Runner
}

// Replace implements watcher.Handler.
func (a *arrivals) Replace(items []platform.Item) {
	for _, item := range items {
		a.take(item)
	}
}

// Apply implements watcher.Handler.
func (a *arrivals) Apply(event platform.Event) {
	if !event.Removed {
		a.take(event.Item)
	}
}

func (a *arrivals) take(item platform.Item) {
	change, err := archiver.DecodeChange(a.cell, item)
	if err != nil {
		klog.ErrorS(err, "Stored job can't be read", "job", change.ID)
		return
	}
	<-a.runner.Loaded()
	if !change.Cancelled {
		a.runner.Add(change.Job, true)
		return
	}
	// The cancellation is stored already; nobody waits for its outcome.
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if known, _ := a.runner.Cancel(ended, change.ID); !known {
		klog.InfoS("Cancellation of an unknown job", "job", change.ID)
	}
}

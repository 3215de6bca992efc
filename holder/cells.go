// Package holder runs the cells that this process holds. It asks the earlier holders of a cell whether they
// have ended, the last one whether it still holds the cell, and the holders of other cells whether they reach
// the store.
package holder

import (
	"context"
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

	releases releases

	mu      sync.Mutex
	runners map[string]heldCell
	// services are the names of the configured services, none before they are known.
	services map[string]bool
	// evacuated are the evacuated failure domains. They are known once the services are known.
	evacuated dispatcher.FailureDomains
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
	c.releases.set(cell, claimer.Leases{})
	archive := &archiver.CellArchive{Archiver: c.Archiver, Cell: cell, Epoch: term.Epoch}
	state := dispatcher.NewCell(cell, term.Epoch, limits(c.Settings), c.Recorder)
	state.EarlierFullLeaseAge = term.EarlierFullLeaseAge(maxConfirmationAge)
	setEarlierLeases(state, term)
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
	defer func() { c.releases.set(cell, leasesOf(runner)) }()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runner.Run(ctx) })
	feed := &Feed{Clock: c.Clock, Store: c.Store, Partition: c.Partition, Cell: cell, Runner: runner}
	group.Go(func() error { return feed.Run(ctx) })
	return group.Wait()
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
		c.services = map[string]bool{} // a runner takes nil for all services
	}
	held.runner.SetEvacuated(c.evacuated)
	held.runner.SetServices(c.services)
	return true
}

func (c *Cells) unset(cell string, runner *dispatcher.Runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runners[cell].runner == runner {
		delete(c.runners, cell)
	}
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

// ReleasedLeases returns the leases that this process knew when it stopped acting as the holder of a cell.
func (c *Cells) ReleasedLeases(cell string) claimer.Leases {
	return c.releases.leases(cell)
}

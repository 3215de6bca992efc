// Package owner owns cells of workers. The owner of a cell records which task
// may run where before it starts it, and resolves what an earlier owner
// recorded before it acts on it.
package owner

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"zinniashore.example/commander"
	"zinniashore.example/keeper"
	"zinniashore.example/placer"
	"zinniashore.example/recorder"
	"zinniashore.example/submitter"
)

// Kinds of events in the time line.
const (
	// KindCellTaken tells that this process owns a cell from now on.
	KindCellTaken recorder.Kind = "cell_taken"
	// KindCellLost tells that this process owns a cell no longer.
	KindCellLost recorder.Kind = "cell_lost"
	// KindTaskRecorded tells that the place of an attempt is durable.
	KindTaskRecorded recorder.Kind = "task_recorded"
	// KindTaskRunning tells that a worker confirmed the start.
	KindTaskRunning recorder.Kind = "task_running"
	// KindTaskEnded tells that an attempt certainly runs no longer.
	KindTaskEnded recorder.Kind = "task_ended"
	// KindWorkerUnreachable tells that a worker does not answer.
	KindWorkerUnreachable recorder.Kind = "worker_unreachable"
	// KindWorkerQuarantined tells that a worker fails its tasks.
	KindWorkerQuarantined recorder.Kind = "worker_quarantined"
)

// Defaults of the settings of Owner.
const (
	defaultTaskLease = 30 * time.Second
	defaultRenewal   = 2 * time.Second
	defaultPeriod    = 500 * time.Millisecond
	defaultOutage    = time.Hour
	defaultDrain     = 5 * time.Second
	defaultRetention = 24 * time.Hour
)

const (
	workersPeriod = 2 * time.Second
	// recheckPeriods is how many periods pass between reads of the holder of a
	// cell whose process is alive.
	recheckPeriods = 20
)

// Session is the store lease of this process.
type Session interface {
	// Valid reports whether the lease certainly stands at the store.
	Valid() bool
	// ValidUntil returns the end of validity if it is not renewed.
	ValidUntil() time.Time
}

// Service describes the instances of a service that are wanted.
type Service struct {
	// Organisation owns the service.
	Organisation string
	// Name names the service within its organisation.
	Name string
	// Template names the template that it was made from.
	Template string
	// Instances is the number of instances over all cells.
	Instances int
	// Size is the declared size of each instance.
	Size placer.Size
	// Priority orders services; higher goes first.
	Priority int
	// FailureDomains are the failure domains where it may run; empty is all.
	FailureDomains []string
	// Slots is how many requests an instance serves at once.
	Slots int
	// Connections is how many connections an instance accepts.
	Connections int
}

// Workloads gives the services and quotas that are in force.
type Workloads interface {
	// Services returns the services, nil while they are not known.
	Services() []Service
	// Quotas returns the quotas of the organisations.
	Quotas() []placer.Quota
}

// Decider decides which task runs on which worker.
type Decider interface {
	// Decide returns the plan for a snapshot.
	Decide(snapshot placer.Snapshot) placer.Plan
}

// UsageReport is what a worker measured of a running task. It lags.
type UsageReport struct {
	// Task is the id of the task.
	Task string
	// Template is the template that it was made from.
	Template string
	// Class tells what the task is to its callers.
	Class placer.Class
	// Worker is the worker where it runs.
	Worker string
	// Age is the time since it started.
	Age time.Duration
	// Throttle is the share of its processors that it may use.
	Throttle float64
	// Declared is the size that its template declares.
	Declared placer.Size
	// Reserved is what is reserved for it.
	Reserved placer.Size
	// Used is its measured use.
	Used placer.Size
	// Slowdown is its measured slowdown, zero if unknown.
	Slowdown float64
}

// Learner learns from usage reports.
type Learner interface {
	// View returns what was learned up to now, which later reports do not
	// change.
	View(now time.Time) placer.Estimates
	// Observe takes in the reports of one worker.
	Observe(now time.Time, reports []UsageReport)
	// ObserveEnd takes in the true run time of a batch task that was done in one
	// attempt.
	ObserveEnd(template string, declared, ran time.Duration)
}

// WorkerVM is one row of the platform's list of workers.
type WorkerVM struct {
	// ID names the worker.
	ID string
	// Address is the IP address and port that takes commands.
	Address string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Rack is its rack.
	Rack string
	// Capacity is what it can carry.
	Capacity placer.Size
	// Leaving tells that it is about to stop.
	Leaving bool
}

// WorkerList is the platform's list of workers, which lags.
type WorkerList interface {
	// Workers returns the workers that the list shows.
	Workers(ctx context.Context) ([]WorkerVM, error)
}

// Cell is a group of racks of one failure domain, the unit of ownership.
type Cell struct {
	// ID names the cell.
	ID string
	// FailureDomain is the failure domain of its racks.
	FailureDomain string
	// Racks are its racks; empty is all of the failure domain.
	Racks []string
}

// Contains reports whether the worker is in one of the racks of the cell.
func (c Cell) Contains(vm WorkerVM) bool {
	if vm.FailureDomain != c.FailureDomain {
		return false
	}
	if len(c.Racks) == 0 {
		return true
	}
	for _, rack := range c.Racks {
		if rack == vm.Rack {
			return true
		}
	}
	return false
}

// Owner takes the cells of its failure domain that have no live owner and runs
// their tasks. Its exported fields are set before Run.
type Owner struct {
	// Clock must keep the monotonic reading of the real clock.
	Clock clockwork.Clock
	// Keeper reaches the store.
	Keeper *keeper.Keeper
	// Session is the store lease of this process.
	Session Session
	// Mirror mirrors the watched keys.
	Mirror *keeper.Mirror
	// Recorder keeps the time line; it may be nil.
	Recorder *recorder.Recorder
	// Metrics takes the metrics; it may be nil.
	Metrics tally.Scope
	// Process names this incarnation of the process, as its Session does.
	Process string
	// FailureDomain is the failure domain of this process.
	FailureDomain string
	// Cells are the cells of all failure domains.
	Cells []Cell
	// Workers is the platform's list.
	Workers WorkerList
	// Workloads gives services and quotas; it may be nil.
	Workloads Workloads
	// Decider decides; it is a placer.Placer if nil.
	Decider Decider
	// Learner learns from usage; it may be nil.
	Learner Learner
	// Commander reaches the workers; it is a commander.Client if nil.
	Commander commander.Commander
	// TaskLease is how long the tasks of a worker go on without renewal.
	TaskLease time.Duration
	// Renewal is the period of renewals and reports of a worker.
	Renewal time.Duration
	// Period is the period of decisions and commits. It is well below the length
	// of the session: an owner that looks later takes the session for broken.
	Period time.Duration
	// Outage is how long leases of tasks are renewed without a valid session.
	// A successor waits as long for a worker that it cannot reach.
	Outage time.Duration
	// Drain is how long an instance is published as leaving before it stops.
	Drain time.Duration
	// Retention is how long the records of ended jobs are kept.
	Retention time.Duration
	// ProbeWait is the wait before the first probe of a worker in quarantine.
	ProbeWait time.Duration

	once    sync.Once
	mu      sync.Mutex
	workers []WorkerVM
	holders map[string]*holding
	leaving bool
}

// holding is what this process knows of the ownership of one cell.
type holding struct {
	spec     Cell
	cell     *cell
	holder   string
	checked  time.Time
	freeFrom time.Time
	// epoch is the last one that this process took the cell with, and last the
	// cell that it ran before.
	epoch int64
	last  *cell
}

func (o *Owner) initialise() {
	o.once.Do(func() {
		defaultDuration(&o.TaskLease, defaultTaskLease)
		defaultDuration(&o.Renewal, defaultRenewal)
		defaultDuration(&o.Period, defaultPeriod)
		defaultDuration(&o.Outage, defaultOutage)
		defaultDuration(&o.Drain, defaultDrain)
		defaultDuration(&o.Retention, defaultRetention)
		defaultDuration(&o.ProbeWait, firstProbeWait)
		if o.Decider == nil {
			o.Decider = &placer.Placer{}
		}
		if o.Commander == nil {
			o.Commander = commander.NewClient(o.Clock, 0)
		}
		if o.Metrics == nil {
			o.Metrics = tally.NoopScope
		}
		o.holders = map[string]*holding{}
		for _, spec := range o.Cells {
			if spec.FailureDomain == o.FailureDomain {
				o.holders[spec.ID] = &holding{spec: spec}
			}
		}
	})
}

func defaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run takes and runs cells until ctx ends. The tasks go on; another process
// takes the cells over.
func (o *Owner) Run(ctx context.Context) error {
	o.initialise()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.followWorkers(ctx) })
	group.Go(func() error { return o.takeCells(ctx) })
	err := group.Wait()
	o.dropAll()
	return err
}

// Leave gives up all cells for a planned stop, so that others take them at
// once. Nothing is started from the call on.
func (o *Owner) Leave(ctx context.Context) error {
	o.initialise()
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	for _, c := range o.dropAll() {
		if err := o.release(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// dropAll stops the cells without a change of their tasks.
func (o *Owner) dropAll() []*cell {
	o.mu.Lock()
	var cells []*cell
	for _, h := range o.holders {
		if h.cell != nil {
			cells = append(cells, h.cell)
			h.cell = nil
		}
	}
	o.mu.Unlock()
	for _, c := range cells {
		c.stop()
	}
	return cells
}

func (o *Owner) followWorkers(ctx context.Context) error {
	for ctx.Err() == nil {
		workers, err := o.Workers.Workers(ctx)
		if err != nil {
			klog.V(1).InfoS("List of workers not read", "err", err)
		} else {
			o.mu.Lock()
			o.workers = workers
			o.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-o.Clock.After(min(workersPeriod, 4*o.Period)):
		}
	}
	return nil
}

func (o *Owner) listed() []WorkerVM {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.workers
}

func (o *Owner) takeCells(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, h := range o.sortedHoldings() {
			o.tend(ctx, h)
		}
		select {
		case <-ctx.Done():
		case <-o.Clock.After(o.Period):
		}
	}
	return nil
}

func (o *Owner) sortedHoldings() []*holding {
	o.mu.Lock()
	defer o.mu.Unlock()
	var holdings []*holding
	for _, h := range o.holders {
		holdings = append(holdings, h)
	}
	sort.Slice(holdings, func(i, j int) bool { return holdings[i].spec.ID < holdings[j].spec.ID })
	return holdings
}

// tend looks after one cell: it gives up a lost one, takes one again after a
// gap of the session, and takes a free one.
func (o *Owner) tend(ctx context.Context, h *holding) {
	o.mu.Lock()
	c, leaving := h.cell, o.leaving
	o.mu.Unlock()
	if leaving || (c != nil && c.sound()) {
		return
	}
	if !o.Session.Valid() {
		return
	}
	if err := o.take(ctx, h); err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("Cell not taken", "cell", h.spec.ID, "err", err)
	}
}

// adopt replaces the cell of a holding; it reports false when leaving.
func (o *Owner) adopt(h *holding, c *cell) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leaving {
		return false
	}
	h.cell = c
	return true
}

func (o *Owner) owned() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, h := range o.holders {
		if h.cell != nil {
			count++
		}
	}
	return count
}

func (o *Owner) record(event recorder.Event) {
	if o.Recorder != nil {
		o.Recorder.Record(event)
	}
}

func (o *Owner) submitter() *submitter.Submitter {
	return &submitter.Submitter{Keeper: o.Keeper, Clock: o.Clock}
}

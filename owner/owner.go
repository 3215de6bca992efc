// Package owner runs the tasks of the cells of a failure domain. The owner of a
// cell commits each placement to the store before it starts the task, and
// reconciles the placements of an earlier owner with the workers before it acts
// on them.
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
	// KindCellTaken is recorded when this process becomes the owner of a cell.
	KindCellTaken recorder.Kind = "cell_taken"
	// KindCellLost is recorded when this process is no longer the owner of a cell.
	KindCellLost recorder.Kind = "cell_lost"
	// KindTaskRecorded is recorded when the placement of an attempt is durable.
	KindTaskRecorded recorder.Kind = "task_recorded"
	// KindTaskRunning is recorded when a worker confirms the start of an attempt.
	KindTaskRunning recorder.Kind = "task_running"
	// KindTaskEnded is recorded when an attempt can no longer be running.
	KindTaskEnded recorder.Kind = "task_ended"
	// KindWorkerUnreachable is recorded when a worker stops answering.
	KindWorkerUnreachable recorder.Kind = "worker_unreachable"
	// KindWorkerQuarantined is recorded when a worker is quarantined because tasks
	// fail on it.
	KindWorkerQuarantined recorder.Kind = "worker_quarantined"
	// KindCellEvacuated is recorded when the owner of a cell stops to start tasks because
	// the failure domain is evacuated.
	KindCellEvacuated recorder.Kind = "cell_evacuated"
	// KindCellReopened is recorded when the evacuation of a cell has ended for its owner.
	KindCellReopened recorder.Kind = "cell_reopened"
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
	// recheckPeriods is the number of periods between reads of the owner record of
	// a cell whose holder is alive.
	recheckPeriods = 20
)

// Owner acquires the cells of its failure domain that have no live owner and runs
// their tasks. Its exported fields must be set before Run.
type Owner struct {
	// Clock must return times with a monotonic clock reading.
	Clock clockwork.Clock
	// Keeper reads and updates documents in the store.
	Keeper *keeper.Keeper
	// Session is the store lease of this process.
	Session Session
	// Mirror mirrors the watched keys.
	Mirror *keeper.Mirror
	// Recorder records events in the time line; it may be nil.
	Recorder *recorder.Recorder
	// Metrics receives the metrics; it may be nil.
	Metrics tally.Scope
	// Process is the name of this incarnation of the process, the same as in its
	// Session.
	Process string
	// FailureDomain is the failure domain of this process.
	FailureDomain string
	// Cells are the cells of all failure domains.
	Cells []Cell
	// Workers is the platform's list of workers.
	Workers WorkerList
	// Workloads provides services and quotas; it may be nil.
	Workloads Workloads
	// Evacuations provides the evacuated failure domains; if nil, there are none.
	Evacuations Evacuations
	// Decider decides which task runs where; if nil, a placer.Placer is used.
	Decider Decider
	// Learner receives usage and run times; it may be nil.
	Learner Learner
	// Commander sends commands to workers; if nil, a commander.Client is used.
	Commander commander.Commander
	// TaskLease is the time for which the tasks of a worker run without a renewal.
	TaskLease time.Duration
	// Renewal is the interval between the lease renewals of a worker, which also
	// return its reports.
	Renewal time.Duration
	// Period is the interval between decisions and between commits. It must be well
	// below the TTL of the session: an owner that checks the session less often
	// treats it as expired.
	Period time.Duration
	// Outage is the time for which task leases are renewed without a valid session.
	// A successor waits as long for a worker that it cannot reach.
	Outage time.Duration
	// Drain is the time for which an instance is published as leaving before it is
	// stopped.
	Drain time.Duration
	// Retention is the time for which the records of ended jobs are kept.
	Retention time.Duration
	// ProbeWait is the wait before the first probe of a quarantined worker.
	ProbeWait time.Duration

	once         sync.Once
	mu           sync.Mutex
	workers      []WorkerVM
	holderStates map[string]*holderState
	leaving      bool
}

// holderState is the ownership of one cell as this process last saw it.
type holderState struct {
	spec        Cell
	cell        *cell
	holder      string
	checkedAt   time.Time
	vacantSince time.Time
	// epoch is the epoch under which this process last acquired the cell, and
	// previous is the cell that it ran under an earlier epoch.
	epoch    int64
	previous *cell
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
		o.holderStates = map[string]*holderState{}
		for _, spec := range o.Cells {
			if spec.FailureDomain == o.FailureDomain {
				o.holderStates[spec.ID] = &holderState{spec: spec}
			}
		}
	})
}

func defaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run acquires and runs cells until ctx is done. The tasks keep running after
// that, for another process to take over.
func (o *Owner) Run(ctx context.Context) error {
	o.initialise()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.pollWorkers(ctx) })
	group.Go(func() error { return o.acquireCells(ctx) })
	err := group.Wait()
	o.stopCells()
	return err
}

// Leave releases all cells for a planned stop, so that other processes can acquire
// them at once. No task is started after the call.
func (o *Owner) Leave(ctx context.Context) error {
	o.initialise()
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	for _, c := range o.stopCells() {
		if err := o.release(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// stopCells stops all cells of this process, leaves their tasks running and
// returns the cells.
func (o *Owner) stopCells() []*cell {
	o.mu.Lock()
	var cells []*cell
	for _, h := range o.holderStates {
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

func (o *Owner) pollWorkers(ctx context.Context) error {
	for ctx.Err() == nil {
		workers, err := o.Workers.Workers(ctx)
		if err != nil {
			klog.V(1).InfoS("Failed to read the list of workers", "err", err)
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

func (o *Owner) listedWorkers() []WorkerVM {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.workers
}

func (o *Owner) acquireCells(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, h := range o.sortedHolderStates() {
			o.maintain(ctx, h)
		}
		select {
		case <-ctx.Done():
		case <-o.Clock.After(o.Period):
		}
	}
	return nil
}

func (o *Owner) sortedHolderStates() []*holderState {
	o.mu.Lock()
	defer o.mu.Unlock()
	var states []*holderState
	for _, h := range o.holderStates {
		states = append(states, h)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].spec.ID < states[j].spec.ID })
	return states
}

// maintain runs one iteration for one cell: it stops the cell if another process
// owns it, acquires it again after the session has expired, and acquires it if it
// has no live owner.
func (o *Owner) maintain(ctx context.Context, h *holderState) {
	o.mu.Lock()
	c, leaving := h.cell, o.leaving
	o.mu.Unlock()
	if leaving || (c != nil && c.mayStartTasks()) {
		return
	}
	if !o.Session.Valid() {
		return
	}
	if err := o.acquire(ctx, h); err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("Failed to acquire cell", "cell", h.spec.ID, "err", err)
	}
}

// setCell sets the running cell of h. It reports false, and does nothing, once
// Leave has been called.
func (o *Owner) setCell(h *holderState, c *cell) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leaving {
		return false
	}
	h.cell = c
	return true
}

func (o *Owner) countOwned() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, h := range o.holderStates {
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

package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"
)

const (
	// tickInterval is how often a cell plans without a change, to handle what is due by
	// time alone.
	tickInterval = 100 * time.Millisecond
	// minPlanPause and maxPlanPause bound the pause after a plan, and planPauseFactor is how
	// much longer the pause is than the plan took. What changes meanwhile is handled by one
	// plan.
	minPlanPause    = 5 * time.Millisecond
	maxPlanPause    = 50 * time.Millisecond
	planPauseFactor = 8
	// saveDelay is how long changes that no client waits for are collected into a
	// batch.
	saveDelay = 120 * time.Millisecond
	// maxAcknowledgementDelay is how long the next poll of a worker waits for its ends
	// to be stored, so that it can acknowledge them.
	maxAcknowledgementDelay = 250 * time.Millisecond
	storeRetryDelay         = 300 * time.Millisecond
	pollRetryDelay          = 200 * time.Millisecond
	// maxBatchJobs is the maximum number of jobs in a batch; each may take rowsPerJob rows
	// of a transaction.
	maxBatchJobs = 9
)

// ErrSuperseded is the error of a holder whose cell has been taken by another holder.
var ErrSuperseded = errors.New("another holder has taken the cell")

// Workers sends orders to workers. If it returns an error, the answer states what is
// known of the order.
type Workers interface {
	Start(ctx context.Context, order StartOrder) (Answer, error)
	Stop(ctx context.Context, order StopOrder) (Answer, error)
	Throttle(ctx context.Context, order ThrottleOrder) (Answer, error)
	Poll(ctx context.Context, order PollOrder) (Listing, Answer, error)
}

// Archive stores the jobs of a cell for its holder. Its errors match ErrSuperseded if
// another process holds the cell.
type Archive interface {
	// Load returns the stored state of the cell.
	Load(ctx context.Context) (StoredCell, error)
	// Find returns the stored state of a job of the cell, and whether there is one.
	Find(ctx context.Context, id string) (StoredJob, bool, error)
	// Save stores a batch.
	Save(ctx context.Context, batch *Batch) error
	// CheckTerm returns nil if the holder's term is the newest in the store.
	CheckTerm(ctx context.Context) error
	// Contact does the same and leaves a trace in the store, by which the next holder knows until when this one
	// may act.
	Heartbeat(ctx context.Context) error
	// ProvenRevision returns the newest revision of the store that a write of Save or Heartbeat had; 0 if there was none. The next
	// term's revision is above it. It is safe for concurrent use.
	ProvenRevision() int64
}

// OtherCells gives access to the other cells.
type OtherCells interface {
	// FindCell returns a cell, none of those left out, with capacity for tasks of a step of a
	// service, and for how many. It is 0 if there is no such cell.
	// If later is true, a cell that will have capacity once short tasks have ended will do.
	FindCell(ctx context.Context, leftOut []string, service string, id StepID, step Step, later bool) (cell string, places int)
	// Deliver sends a stored part to the cell that it is delegated to.
	Deliver(ctx context.Context, part Part)
}

// StoredCell is the stored state of a cell.
type StoredCell struct {
	Jobs []StoredJob
	// Workers are the workers on which tasks of the cell may run.
	Workers []Registration
	// Earlier is what earlier holders have stored of themselves.
	Earlier EarlierRecords
}

// StoredJob is the stored state of a job.
type StoredJob struct {
	Job Job
	// Progress is the job's progress, or nil if none is stored.
	Progress *Progress
	// Cancelled is true if a client cancelled the job while the cell had no holder to
	// handle it.
	Cancelled bool
	// Unaccepted is true if a client cancelled the job before it was accepted; it never will be.
	Unaccepted bool
	// FailedIn is a cell that has given up a delegated part of the job, or empty; FailureCause tells
	// why, for logs.
	FailedIn, FailureCause string
	// Returned are the parts of the job that other cells have given back.
	Returned []ReturnedPart
}

// Runner runs a cell under one epoch. Its exported fields are set before Run.
type Runner struct {
	// Cell is the state. Only the Runner uses it once Run has been called.
	Cell    *Cell
	Clock   clockwork.Clock
	Workers Workers
	Archive Archive
	// OtherCells gives access to the other cells.
	OtherCells OtherCells
	// EarlierHolders, if set, finds out whether the earlier holders have ended.
	EarlierHolders EarlierHolders
	// SuspendedTime, if set, returns for how long in all the VM has been suspended, which
	// Clock doesn't count.
	SuspendedTime func() time.Duration
	// OutageSeen, if set, returns the newest time at which the store was certainly down for all processes, for so long
	// that the next holder notices it; zero if there is none.
	OutageSeen func() time.Time

	mu      sync.Mutex
	loaded  chan struct{}
	ended   chan struct{}
	wake    chan struct{}
	changed chan struct{}
	stored  chan struct{}
	polled  map[string]bool
	// lookups holds the jobs that are being looked up. The value is true until a change of the job has
	// arrived meanwhile, so that the answer may be older than the change.
	lookups map[string]bool
	// suspendedTime is the newest value of SuspendedTime.
	suspendedTime time.Duration
	// delivered is signalled when a delegated part, or a relocated job, has been sent to its cell.
	delivered chan struct{}
	// checkingTerm is true while the store is asked whether the term is still the newest, termUnconfirmed if the
	// last such question got no answer.
	checkingTerm, termUnconfirmed bool
	// earlierRecords is what earlier holders have stored of themselves.
	earlierRecords EarlierRecords
	// askingEarlierHolders is true while EarlierHolders is asked.
	askingEarlierHolders bool
	goroutines           sync.WaitGroup
}

// NewRunner returns a Runner of a cell.
func NewRunner(cell *Cell, clock clockwork.Clock, workers Workers, archive Archive) *Runner {
	return &Runner{
		Cell: cell, Clock: clock, Workers: workers, Archive: archive,
		loaded:  make(chan struct{}),
		ended:   make(chan struct{}),
		wake:    make(chan struct{}, 1),
		changed: make(chan struct{}, 1),
		stored:  make(chan struct{}),
		polled:  map[string]bool{},
		lookups: map[string]bool{},

		delivered: make(chan struct{}, 1),
	}
}

// Run runs the cell until ctx ends or the cell is superseded. It is called once.
func (r *Runner) Run(ctx context.Context) (err error) {
	defer close(r.ended)
	defer func() { r.recordEnd(err) }()
	ctx, cancel := context.WithCancel(ctx)
	defer r.goroutines.Wait()
	defer cancel()
	if err := r.load(ctx); err != nil {
		return err
	}
	failed := make(chan error, 1)
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		if err := r.save(ctx); err != nil {
			failed <- err
		}
	}()
	r.runAsync(func() { r.delegateTasks(ctx) })
	ticker := r.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		began := r.Clock.Now()
		if !r.runOnce(ctx) {
			return ErrSuperseded
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-r.Clock.After(planPause(r.Clock.Since(began))):
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-ticker.Chan():
		case <-r.wake:
		}
	}
}

// planPause returns the pause after a plan that took a time. Plans must leave most of a slow
// processor to the answers of workers.
func planPause(took time.Duration) time.Duration {
	return min(max(planPauseFactor*took, minPlanPause), maxPlanPause)
}

// load reads the stored state of the cell. It retries until it succeeds, ctx ends or
// the cell is superseded.
func (r *Runner) load(ctx context.Context) error {
	for {
		began := r.Clock.Now()
		stored, err := r.Archive.Load(ctx)
		checked := r.Clock.Now()
		if err == nil {
			err = r.Archive.CheckTerm(ctx)
		}
		if err == nil {
			r.restore(stored, checked)
			r.JobsRead(began)
			return nil
		}
		if errors.Is(err, ErrSuperseded) {
			return err
		}
		klog.ErrorS(err, "Failed to load the cell's jobs; retrying", "cell", r.Cell.Name)
		if !r.sleep(ctx, storeRetryDelay) {
			return ctx.Err()
		}
	}
}

// restore adds the stored state. No newer term had begun when the term was checked.
func (r *Runner) restore(stored StoredCell, checked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.Cell.TermChecked(checked)
	r.earlierRecords = stored.Earlier
	for _, registration := range stored.Workers {
		r.Cell.RestoreWorker(now, registration)
	}
	for _, j := range stored.Jobs {
		r.addStored(now, j)
	}
	r.Cell.recordLoaded(stored)
	close(r.loaded)
}

// sleep waits for pause plus a random time of up to half as much, so that processes
// don't retry at the same time. It reports false if ctx ended.
func (r *Runner) sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(pause + rand.N(pause/2)):
		return true
	}
}

// Loaded returns a channel that is closed once the stored state has been restored.
func (r *Runner) Loaded() <-chan struct{} { return r.loaded }

// Ended returns a channel that is closed once Run has returned.
func (r *Runner) Ended() <-chan struct{} { return r.ended }

// runOnce sends the orders that are due and starts polling new workers. It reports
// false if the cell is superseded.
func (r *Runner) runOnce(ctx context.Context) bool {
	r.mu.Lock()
	r.detectSuspension()
	r.noteOutage()
	orders := r.Cell.Plan(r.Clock.Now())
	superseded := r.Cell.Superseded()
	changed, _ := r.Cell.Changed()
	r.findUnknownJobs(ctx)
	r.checkTermIfDue(ctx)
	r.askEarlierHoldersIfDue(ctx)
	var unpolled []string
	for _, id := range r.Cell.Workers() {
		if !r.polled[id] {
			r.polled[id] = true
			unpolled = append(unpolled, id)
		}
	}
	r.mu.Unlock()
	if superseded {
		return false
	}
	if changed {
		signal(r.changed)
	}
	for _, id := range unpolled {
		r.runAsync(func() { r.pollWorker(ctx, id) })
	}
	for _, order := range orders.Stops {
		r.runAsync(func() { r.stop(ctx, order) })
	}
	for _, order := range orders.Starts {
		r.runAsync(func() { r.start(ctx, order) })
	}
	for _, order := range orders.Throttles {
		r.runAsync(func() { r.throttle(ctx, order) })
	}
	return true
}

// minSuspension is the shortest suspension that matters. It is longer than the time between
// two clocks that are read one after the other.
const minSuspension = 100 * time.Millisecond

// detectSuspension tells the cell of a suspension since the last call; the caller holds mu.
func (r *Runner) detectSuspension() {
	if r.SuspendedTime == nil {
		return
	}
	suspended := r.SuspendedTime()
	if suspended-r.suspendedTime >= minSuspension {
		r.Cell.Resumed(r.Clock.Now())
	}
	r.suspendedTime = suspended
}

func (r *Runner) runAsync(work func()) {
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		work()
	}()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

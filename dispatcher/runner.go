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
	// tickInterval is how often a cell looks for what is due by time alone.
	tickInterval = 100 * time.Millisecond
	// storeDelay gathers changes that no client waits for.
	storeDelay = 120 * time.Millisecond
	// maxUnstored is how long an end may wait for its acknowledgement before the
	// worker is looked at again.
	maxUnstored = 250 * time.Millisecond
	storeRetry  = 300 * time.Millisecond
	lookRetry   = 200 * time.Millisecond
	// batchLimit is how many jobs one save holds: three rows of a transaction each.
	batchLimit = 9
)

// ErrSuperseded reports that another holder has taken the cell.
var ErrSuperseded = errors.New("another holder has taken the cell")

// Workers carries orders to workers. An error comes with the answer that says
// what is known.
type Workers interface {
	Start(ctx context.Context, order StartOrder) (StartAnswer, error)
	Stop(ctx context.Context, order StopOrder) (StartAnswer, error)
	Pace(ctx context.Context, order PaceOrder) (StartAnswer, error)
	Look(ctx context.Context, order LookOrder) (Listing, StartAnswer, error)
}

// Archive keeps the jobs of a cell for its holder. Its errors match
// ErrSuperseded if the cell is held by another.
type Archive interface {
	// Load returns what is stored of the cell.
	Load(ctx context.Context) (Stored, error)
	// Save stores a batch.
	Save(ctx context.Context, batch *Batch) error
}

// Others finds a cell that has room.
type Others interface {
	// Roomiest returns another cell with a place for a step, or false.
	Roomiest(ctx context.Context, cell, service string, step Step) (string, bool)
	// Deliver tells a cell of a part that has been stored for it.
	Deliver(ctx context.Context, part Part)
}

// Stored is a cell as the store holds it.
type Stored struct {
	Jobs []StoredJob
	// Workers are those that tasks of the cell may be on.
	Workers []Registration
}

// StoredJob is a job as the store holds it.
type StoredJob struct {
	Job Job
	// Progress is nil if nothing is known of it.
	Progress *Progress
	// Cancelled says that a client has cancelled the job while no holder was
	// there to take it.
	Cancelled bool
}

// Runner runs a cell under one epoch. Its exported fields are set before Run.
type Runner struct {
	// Cell is the state; it belongs to the Runner from Run on.
	Cell    *Cell
	Clock   clockwork.Clock
	Workers Workers
	Archive Archive
	// Others are the other cells.
	Others Others

	mu      sync.Mutex
	loaded  chan struct{}
	wake    chan struct{}
	changed chan struct{}
	stored  chan struct{}
	looks   map[string]bool
	waiting sync.WaitGroup
}

// NewRunner returns a Runner of a cell.
func NewRunner(cell *Cell, clock clockwork.Clock, workers Workers, archive Archive) *Runner {
	return &Runner{
		Cell: cell, Clock: clock, Workers: workers, Archive: archive,
		loaded:  make(chan struct{}),
		wake:    make(chan struct{}, 1),
		changed: make(chan struct{}, 1),
		stored:  make(chan struct{}),
		looks:   map[string]bool{},
	}
}

// Run runs the cell until ctx ends or the cell is superseded.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.waiting.Wait()
	defer cancel()
	if err := r.load(ctx); err != nil {
		return err
	}
	failed := make(chan error, 1)
	r.waiting.Add(1)
	go func() {
		defer r.waiting.Done()
		if err := r.save(ctx); err != nil {
			failed <- err
		}
	}()
	r.goOn(func() { r.relieve(ctx) })
	ticker := r.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if !r.act(ctx) {
			return ErrSuperseded
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

// load takes over the stored jobs, however long it takes.
func (r *Runner) load(ctx context.Context) error {
	for {
		stored, err := r.Archive.Load(ctx)
		if err == nil {
			r.takeOver(stored)
			return nil
		}
		if errors.Is(err, ErrSuperseded) {
			return err
		}
		klog.ErrorS(err, "Jobs of the cell not loaded, trying again", "cell", r.Cell.Name)
		if !r.sleep(ctx, storeRetry) {
			return ctx.Err()
		}
	}
}

func (r *Runner) takeOver(stored Stored) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, registration := range stored.Workers {
		r.Cell.RestoreWorker(registration)
	}
	for _, j := range stored.Jobs {
		r.Cell.AddJob(now, j.Job, j.Progress, true)
		if j.Cancelled {
			r.Cell.Cancel(now, j.Job.ID)
		}
	}
	close(r.loaded)
}

// sleep waits, up to half as long again so that processes spread; it reports
// whether ctx still goes on.
func (r *Runner) sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(pause + rand.N(pause/2)):
		return true
	}
}

// Loaded is closed once the stored jobs have been taken over.
func (r *Runner) Loaded() <-chan struct{} { return r.loaded }

// act carries out what is due. It reports whether the cell still is ours.
func (r *Runner) act(ctx context.Context) bool {
	r.mu.Lock()
	orders := r.Cell.Plan(r.Clock.Now())
	superseded := r.Cell.Superseded()
	changed, _ := r.Cell.Changed()
	var fresh []string
	for _, id := range r.Cell.Workers() {
		if !r.looks[id] {
			r.looks[id] = true
			fresh = append(fresh, id)
		}
	}
	r.mu.Unlock()
	if superseded {
		return false
	}
	if changed {
		signal(r.changed)
	}
	for _, id := range fresh {
		r.goOn(func() { r.look(ctx, id) })
	}
	for _, order := range orders.Stops {
		r.goOn(func() { r.stop(ctx, order) })
	}
	for _, order := range orders.Starts {
		r.goOn(func() { r.start(ctx, order) })
	}
	for _, order := range orders.Paces {
		r.goOn(func() { r.pace(ctx, order) })
	}
	return true
}

func (r *Runner) goOn(work func()) {
	r.waiting.Add(1)
	go func() {
		defer r.waiting.Done()
		work()
	}()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *Runner) start(ctx context.Context, order StartOrder) {
	answer, err := r.Workers.Start(ctx, order)
	if err != nil {
		klog.V(1).InfoS("Start failed", "task", order.Task, "run", order.Run, "worker", order.Worker.ID, "answer", answer, "err", err)
	}
	r.mu.Lock()
	r.Cell.Started(r.Clock.Now(), order, answer)
	r.mu.Unlock()
	if answer == AnswerUnclear {
		r.lookOnce(ctx, order.Worker.ID, false)
	}
	if answer != AnswerTaken {
		signal(r.wake)
	}
}

func (r *Runner) stop(ctx context.Context, order StopOrder) {
	answer, err := r.Workers.Stop(ctx, order)
	if err != nil {
		klog.V(1).InfoS("Stop failed", "task", order.Task, "run", order.Run, "worker", order.Worker.ID, "answer", answer, "err", err)
	}
	r.mu.Lock()
	r.Cell.Stopped(r.Clock.Now(), order, answer)
	r.mu.Unlock()
	if answer == AnswerTaken {
		r.lookOnce(ctx, order.Worker.ID, false)
	}
	signal(r.wake)
}

func (r *Runner) pace(ctx context.Context, order PaceOrder) {
	answer, err := r.Workers.Pace(ctx, order)
	r.mu.Lock()
	r.Cell.Paced(order, answer)
	r.mu.Unlock()
	if answer != AnswerTaken {
		klog.V(1).InfoS("Pace failed", "task", order.Task, "run", order.Run, "worker", order.Worker.ID, "answer", answer, "err", err)
	}
}

// Confirmed reports whether most workers have lately taken the holder's orders.
func (r *Runner) Confirmed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Cell.Confirmed(r.Clock.Now())
}

// Room returns what the cell has left for a step of a service.
func (r *Runner) Room(service string, step Step) Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Cell.Room(r.Clock.Now(), service, &step)
}

// Add adds a job that was accepted for the cell.
func (r *Runner) Add(job Job, restored bool) {
	r.mu.Lock()
	r.Cell.AddJob(r.Clock.Now(), job, nil, restored)
	r.mu.Unlock()
	signal(r.wake)
}

// Cancel cancels a job and waits until that is stored. It reports whether the
// cell knows the job.
func (r *Runner) Cancel(ctx context.Context, id string) (bool, error) {
	r.mu.Lock()
	known, stored := r.Cell.Cancel(r.Clock.Now(), id)
	r.mu.Unlock()
	signal(r.wake)
	if !known || stored == nil {
		return known, nil
	}
	select {
	case <-ctx.Done():
		return true, ctx.Err()
	case <-stored:
		return true, nil
	}
}

// State returns the state of a job and whether the cell knows it.
func (r *Runner) State(id string) (State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Cell.State(id)
}

// Pending returns how many jobs of a queue have no task started.
func (r *Runner) Pending(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Cell.Pending(queue)
}

// SetWorkers replaces the registered workers.
func (r *Runner) SetWorkers(registrations []Registration) {
	r.mu.Lock()
	now := r.Clock.Now()
	listed := map[string]bool{}
	for _, registration := range registrations {
		listed[registration.ID] = true
		r.Cell.SetWorker(now, registration)
	}
	for _, id := range r.Cell.Workers() {
		if !listed[id] {
			r.Cell.RemoveWorker(id)
		}
	}
	r.mu.Unlock()
	signal(r.wake)
}

// SetWorker notes a registration that is new or has changed.
func (r *Runner) SetWorker(registration Registration) {
	r.mu.Lock()
	r.Cell.SetWorker(r.Clock.Now(), registration)
	r.mu.Unlock()
	signal(r.wake)
}

// RemoveWorker notes that a registration has ended.
func (r *Runner) RemoveWorker(id string) {
	r.mu.Lock()
	r.Cell.RemoveWorker(id)
	r.mu.Unlock()
}

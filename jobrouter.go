package zinniashore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"zinniashore.example/acceptor"
	"zinniashore.example/archiver"
	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/relayer"
)

const (
	// peerTimeout bounds a call to a peer.
	peerTimeout = 700 * time.Millisecond
	// pendingTTL is the age up to which a cached count of pending jobs is used.
	// maxStalePendingAge is that age while the holder of the cell can't be reached.
	pendingTTL         = time.Second
	maxStalePendingAge = 1800 * time.Millisecond
	// maxTrackedJobs bounds the jobs whose cells are cached, and the jobs whose times
	// eventLog measures.
	maxTrackedJobs = 20000
	// unacceptedPerSecond and unacceptedBurst limit the cancellations of unaccepted jobs that a
	// process stores: anybody may send them, and each takes a write and is kept.
	unacceptedPerSecond = 10
	unacceptedBurst     = 100
)

// errTooManyCancellations reports that the cancellation of an unaccepted job wasn't stored.
var errTooManyCancellations = errors.New("too many cancellations of jobs that aren't accepted")

// cellRunners provides the runners of the cells that this process holds.
type cellRunners interface {
	// Runner returns the runner of a cell, or nil if this process doesn't hold it.
	Runner(cell string) *dispatcher.Runner
}

// jobRouter routes calls about jobs to the processes that hold the cells of the jobs.
type jobRouter struct {
	clock         clockwork.Clock
	failureDomain string
	// failureDomains are all failure domains of the deployment.
	failureDomains []string
	self           string
	partition      *sharedPartition
	claimer        *claimer.Claimer
	heldCells      cellRunners
	archiver       *archiver.Archiver
	peers          *relayer.Client
	selector       *cellSelector

	// unaccepted limits the cancellations of unaccepted jobs that are stored.
	unaccepted *rate.Limiter

	// answers logs what clients are told of jobs that don't run.
	answers answerLog

	mu      sync.Mutex
	cells   map[string]string
	pending map[string]pendingCount
}

// pendingCount is a cached count of the pending jobs of a queue in a cell.
type pendingCount struct {
	count int
	at    time.Time
}

// Cell implements acceptor.JobService.
func (r *jobRouter) Cell(ctx context.Context, job *dispatcher.Job) string {
	return r.selector.cellFor(ctx, job)
}

// Deliver implements acceptor.JobService. If the call to the holder of the cell fails,
// the holder reads the job from the store.
func (r *jobRouter) Deliver(job dispatcher.Job, record []byte, cell string) {
	r.cacheCell(job.ID, cell)
	if runner := r.heldCells.Runner(cell); runner != nil {
		go runner.Add(job, true)
		return
	}
	holder, held := r.claimer.Holder(cell)
	if !held || holder.Process == r.self {
		r.answers.log(r.clock.Now(), "No process to deliver a job to; the next holder of its cell reads it from the store", "job", job.ID, "cell", cell, "lastHolder", holder.Process)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		if err := r.peers.Deliver(ctx, holder.Address, cell, [][]byte{record}); err != nil {
			klog.InfoS("Delivering a job to the holder of its cell failed; the holder reads it from the store", "job", job.ID, "cell", cell, "err", err)
		}
	}()
}

func (r *jobRouter) cacheCell(id, cell string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cells == nil || len(r.cells) >= maxTrackedJobs {
		r.cells = map[string]string{}
	}
	r.cells[id] = cell
}

// cell returns the cell of an accepted job, or acceptor.ErrUnknown.
func (r *jobRouter) cell(ctx context.Context, id string) (string, error) {
	r.mu.Lock()
	cell, known := r.cells[id]
	r.mu.Unlock()
	if known {
		return cell, nil
	}
	cell, err := r.archiver.Cell(ctx, id)
	if err != nil {
		return "", err
	}
	if cell == "" {
		return "", acceptor.ErrUnknown
	}
	r.cacheCell(id, cell)
	return cell, nil
}

// State implements acceptor.JobService.
func (r *jobRouter) State(ctx context.Context, id string) (dispatcher.State, error) {
	found, err := r.findState(ctx, id)
	r.report(id, found, err)
	return found.outcome.State, err
}

// stateSource is where the state of a job was read.
type stateSource string

const (
	sourceHolder stateSource = "holder"
	sourceStore  stateSource = "store"
)

// foundState is the state of a job, with the cell and the source from which it was read. Of a job that isn't found it has
// the cell that this process knew before, empty if none.
type foundState struct {
	outcome archiver.Outcome
	cell    string
	source  stateSource
}

// findState reads the state of a job from the holder of its cell, or from the store.
func (r *jobRouter) findState(ctx context.Context, id string) (foundState, error) {
	for _, home := range r.partition.cells(r.failureDomain) {
		if runner := r.heldCells.Runner(home); runner != nil {
			if state, known := runner.State(id); known {
				return foundState{outcome: archiver.Outcome{State: state}, cell: home, source: sourceHolder}, nil
			}
		}
	}
	cell, err := r.cell(ctx, id)
	if err != nil {
		return foundState{}, err
	}
	state, known, err := r.fetchState(ctx, cell, id)
	if err == nil && known {
		return foundState{outcome: archiver.Outcome{State: state}, cell: cell, source: sourceHolder}, nil
	}
	former := cell
	if cell, err = r.presentCell(ctx, id); err != nil {
		return foundState{cell: former, source: sourceStore}, err
	}
	outcome, err := r.archiver.Outcome(ctx, cell, id)
	return foundState{outcome: outcome, cell: cell, source: sourceStore}, err
}

// report logs that a client is told that a job has failed, was cancelled or doesn't exist, and who says so: the last two
// once for each job, and once more if this process knew the cell of one that doesn't exist.
func (r *jobRouter) report(id string, found foundState, err error) {
	state := found.outcome.State
	switch {
	case errors.Is(err, acceptor.ErrUnknown):
		if first := r.answers.first(toldAnswer{job: id}); first || found.cell != "" {
			r.answers.log(r.clock.Now(), "Told a client that no such job was accepted", "job", id, "formerCell", found.cell, "source", sourceStore)
		}
	case err != nil:
	case state == dispatcher.StateFailed, state == dispatcher.StateCancelled && r.answers.first(toldAnswer{job: id, state: state}):
		holder, _ := r.claimer.Holder(found.cell)
		r.answers.log(r.clock.Now(), toldMessages[state], "job", id, "cell", found.cell, "source", found.source,
			"holder", holder.Process, "cause", found.outcome.Cause)
	}
}

// toldMessages are the log lines of the states that a client is told.
var toldMessages = map[dispatcher.State]string{
	dispatcher.StateFailed:    "Told a client that a job has failed",
	dispatcher.StateCancelled: "Told a client that a job was cancelled",
}

// presentCell returns the cell of an accepted job from the store: a job may have been relocated since
// its cell was cached.
func (r *jobRouter) presentCell(ctx context.Context, id string) (string, error) {
	r.mu.Lock()
	delete(r.cells, id)
	r.mu.Unlock()
	return r.cell(ctx, id)
}

// fetchState returns the state of a job from the holder of its cell, and whether the
// holder knows the job.
func (r *jobRouter) fetchState(ctx context.Context, cell, id string) (dispatcher.State, bool, error) {
	if runner := r.heldCells.Runner(cell); runner != nil {
		state, known := runner.State(id)
		return state, known, nil
	}
	holder, held := r.claimer.Holder(cell)
	if !held {
		return "", false, relayer.ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return r.peers.State(ctx, holder.Address, cell, id)
}

// Cancel implements acceptor.JobService. If the holder of the cell can't be reached, or
// doesn't know the job (yet, or any more), the cancellation goes through the store.
func (r *jobRouter) Cancel(ctx context.Context, id string) error {
	cell, err := r.cell(ctx, id)
	if errors.Is(err, acceptor.ErrUnknown) {
		cell, err = r.cancelUnaccepted(ctx, id)
	}
	if err != nil {
		return err
	}
	known, err := r.requestCancel(ctx, cell, id)
	if err == nil && known {
		return nil
	}
	klog.InfoS("Cancelling a job through the store", "job", id, "cell", cell, "err", err)
	return r.archiver.Cancel(ctx, id)
}

// cancelUnaccepted stores the cancellation of a job that isn't accepted, so that a submission that is
// still under way can't be, and returns acceptor.ErrUnknown. If the job has been accepted meanwhile, it
// returns the job's cell.
func (r *jobRouter) cancelUnaccepted(ctx context.Context, id string) (string, error) {
	if !r.unaccepted.AllowN(r.clock.Now(), 1) {
		return "", errTooManyCancellations
	}
	cell, err := r.archiver.CancelUnaccepted(ctx, r.partition.cells(r.failureDomain)[0], id)
	if err != nil {
		return "", err
	}
	if cell == "" {
		klog.InfoS("Cancelled a job that wasn't accepted", "job", id)
		return "", acceptor.ErrUnknown
	}
	r.cacheCell(id, cell)
	return cell, nil
}

func (r *jobRouter) requestCancel(ctx context.Context, cell, id string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if runner := r.heldCells.Runner(cell); runner != nil {
		return runner.Cancel(ctx, id)
	}
	holder, held := r.claimer.Holder(cell)
	if !held {
		return false, relayer.ErrNotHeld
	}
	return r.peers.Cancel(ctx, holder.Address, cell, id)
}

// Pending implements acceptor.JobService. It fails if the holder of a cell isn't known or can't be
// reached and the cached count of the cell is too old.
func (r *jobRouter) Pending(ctx context.Context, queue string) (int, error) {
	var cells []string
	for _, domain := range r.failureDomains {
		cells = append(cells, r.partition.cells(domain)...)
	}
	counts := make(chan pendingResult, len(cells))
	for _, cell := range cells {
		go func() {
			count, err := r.pendingInCell(ctx, cell, queue)
			counts <- pendingResult{count, err}
		}()
	}
	total := 0
	var failures []error
	for range cells {
		answer := <-counts
		total += answer.count
		failures = append(failures, answer.err)
	}
	return total, errors.Join(failures...)
}

// pendingResult is the count of pending jobs of a cell, or the error that prevented it.
type pendingResult struct {
	count int
	err   error
}

func (r *jobRouter) pendingInCell(ctx context.Context, cell, queue string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if runner := r.heldCells.Runner(cell); runner != nil {
		return pendingOf(ctx, runner, queue)
	}
	key := cell + " " + queue
	r.mu.Lock()
	last := r.pending[key]
	r.mu.Unlock()
	now := r.clock.Now()
	if !last.at.IsZero() && now.Sub(last.at) < pendingTTL {
		return last.count, nil
	}
	count, err := r.askPending(ctx, cell, queue)
	if err != nil && !last.at.IsZero() && now.Sub(last.at) < maxStalePendingAge {
		klog.InfoS("Using a cached count of pending jobs", "cell", cell, "queue", queue, "age", now.Sub(last.at), "err", err)
		return last.count, nil
	}
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = map[string]pendingCount{}
	}
	r.pending[key] = pendingCount{count: count, at: now}
	return count, nil
}

// pendingOf counts the pending jobs of a cell that this process holds, once its jobs are loaded.
func pendingOf(ctx context.Context, runner *dispatcher.Runner, queue string) (int, error) {
	select {
	case <-runner.Loaded():
		return runner.Pending(queue), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// askPending asks the holder of a cell for the count. A cell that has never had a holder may have jobs only in the
// store, and a failure domain without VMs has none.
func (r *jobRouter) askPending(ctx context.Context, cell, queue string) (int, error) {
	if holder, known := r.claimer.Holder(cell); known {
		return r.peers.Pending(ctx, holder.Address, cell, queue)
	}
	stored, err := r.archiver.HasJobs(ctx, cell)
	if err == nil && stored {
		err = relayer.ErrNotHeld
	}
	return 0, err
}

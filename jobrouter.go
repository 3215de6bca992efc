package zinniashore

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/acceptor"
	"zinniashore.example/archiver"
	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/relayer"
)

const (
	// peerTimeout bounds a question to a peer.
	peerTimeout = 700 * time.Millisecond
	// pendingAge is how old a count of waiting jobs may be, maxPendingAge how old if
	// its cell can't be reached.
	pendingAge    = time.Second
	maxPendingAge = 1800 * time.Millisecond
	// maxRemembered bounds the jobs whose cells are remembered.
	maxRemembered = 20000
)

// desk answers about jobs wherever their cells are held.
type desk struct {
	home     string
	self     string
	claimer  *claimer.Claimer
	holding  *holding
	archiver *archiver.Archiver
	peers    *relayer.Client
	rooms    *rooms

	mu      sync.Mutex
	cells   map[string]string
	pending map[string]pendingCount
}

// pendingCount is the last count of a queue's waiting jobs in a cell.
type pendingCount struct {
	count int
	at    time.Time
}

// Cell implements acceptor.Desk.
func (d *desk) Cell(ctx context.Context, job *dispatcher.Job) string {
	return d.rooms.cellFor(ctx, job)
}

// Deliver implements acceptor.Desk. A cell that can't be reached finds the job
// in the store.
func (d *desk) Deliver(job dispatcher.Job, record []byte, cell string) {
	d.remember(job.ID, cell)
	if runner := d.holding.Runner(cell); runner != nil {
		runner.Add(job, true)
		return
	}
	holder, held := d.claimer.Holder(cell)
	if !held || holder.Process == d.self {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		if err := d.peers.Deliver(ctx, holder.Address, cell, [][]byte{record}); err != nil {
			klog.InfoS("Job not handed over; its cell finds it in the store", "job", job.ID, "cell", cell, "err", err)
		}
	}()
}

func (d *desk) remember(id, cell string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cells == nil || len(d.cells) >= maxRemembered {
		d.cells = map[string]string{}
	}
	d.cells[id] = cell
}

// cell returns the cell of an accepted job, or acceptor.ErrUnknown.
func (d *desk) cell(ctx context.Context, id string) (string, error) {
	d.mu.Lock()
	cell, known := d.cells[id]
	d.mu.Unlock()
	if known {
		return cell, nil
	}
	cell, err := d.archiver.Cell(ctx, id)
	if err != nil {
		return "", err
	}
	if cell == "" {
		return "", acceptor.ErrUnknown
	}
	d.remember(id, cell)
	return cell, nil
}

// State implements acceptor.Desk.
func (d *desk) State(ctx context.Context, id string) (dispatcher.State, error) {
	if runner := d.holding.Runner(d.home); runner != nil {
		if state, known := runner.State(id); known {
			return state, nil
		}
	}
	cell, err := d.cell(ctx, id)
	if err != nil {
		return "", err
	}
	state, known, err := d.askState(ctx, cell, id)
	if err == nil && known {
		return state, nil
	}
	return d.archiver.State(ctx, cell, id)
}

// askState asks the holder of a cell for a job's state.
func (d *desk) askState(ctx context.Context, cell, id string) (dispatcher.State, bool, error) {
	if runner := d.holding.Runner(cell); runner != nil {
		state, known := runner.State(id)
		return state, known, nil
	}
	holder, held := d.claimer.Holder(cell)
	if !held {
		return "", false, relayer.ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return d.peers.State(ctx, holder.Address, cell, id)
}

// Cancel implements acceptor.Desk. A cell that can't be reached, or doesn't know
// the job yet, is told by the store.
func (d *desk) Cancel(ctx context.Context, id string) error {
	cell, err := d.cell(ctx, id)
	if err != nil {
		return err
	}
	known, err := d.askCancel(ctx, cell, id)
	if err == nil && known {
		return nil
	}
	klog.InfoS("Cancelling by the store", "job", id, "cell", cell, "err", err)
	return d.archiver.Cancel(ctx, cell, id)
}

func (d *desk) askCancel(ctx context.Context, cell, id string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if runner := d.holding.Runner(cell); runner != nil {
		return runner.Cancel(ctx, id)
	}
	holder, held := d.claimer.Holder(cell)
	if !held {
		return false, relayer.ErrNotHeld
	}
	return d.peers.Cancel(ctx, holder.Address, cell, id)
}

// Pending implements acceptor.Desk. It fails if a cell can't be reached and its
// last word is too old.
func (d *desk) Pending(ctx context.Context, queue string) (int, error) {
	cells := d.claimer.Cells()
	counts := make(chan pendingAnswer, len(cells))
	for cell, holder := range cells {
		go func() {
			count, err := d.pendingOf(ctx, cell, holder, queue)
			counts <- pendingAnswer{count, err}
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

// pendingAnswer is a cell's count of waiting jobs.
type pendingAnswer struct {
	count int
	err   error
}

func (d *desk) pendingOf(ctx context.Context, cell string, holder claimer.Holder, queue string) (int, error) {
	if runner := d.holding.Runner(cell); runner != nil {
		return runner.Pending(queue), nil
	}
	key := cell + " " + queue
	d.mu.Lock()
	last := d.pending[key]
	d.mu.Unlock()
	now := d.holding.clock.Now()
	if !last.at.IsZero() && now.Sub(last.at) < pendingAge {
		return last.count, nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	count, err := d.peers.Pending(ctx, holder.Address, cell, queue)
	if err != nil && !last.at.IsZero() && now.Sub(last.at) < maxPendingAge {
		klog.InfoS("Waiting jobs counted by an older word", "cell", cell, "queue", queue, "age", now.Sub(last.at), "err", err)
		return last.count, nil
	}
	if err != nil {
		return 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending == nil {
		d.pending = map[string]pendingCount{}
	}
	d.pending[key] = pendingCount{count: count, at: now}
	return count, nil
}

// Package archiver stores jobs: it defines the layout of their keys in the store,
// accepts each job at most once, and saves the progress of a cell's jobs only while
// the process that saves it is the cell's holder.
package archiver

import (
	"context"
	"errors"
	"slices"
	"strings"

	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

const (
	keyRoot = "zinniashore/"
	// idPrefix is the prefix of the keys that map accepted jobs to their cells. The value of a
	// job that was cancelled before it could be accepted is unacceptedValue; earlier versions
	// stored an empty one.
	idPrefix = keyRoot + "ids/"
	// jobPrefix is the prefix of the keys of live jobs, by cell.
	jobPrefix = keyRoot + "jobs/"
	// progressPrefix is the prefix of the keys of the progress of jobs, by cell.
	progressPrefix = keyRoot + "progress/"
	// cancelSuffix is appended to the key of a job to get the key of its cancellation.
	cancelSuffix = "/cancelled"
	// failedSuffix is appended to the key of a job to get the key that names a cell which
	// has given up a delegated part of the job.
	failedSuffix = "/failed"
	// returnedInfix separates the key of a job from the name of a cell in the key by which that
	// cell gives a part of the job back.
	returnedInfix = "/returned/"

	// PartitionKey is the key of the division of failure domains into cells.
	PartitionKey = keyRoot + "partition"
	// HolderPrefix is the prefix of the keys under which the holders of cells register.
	HolderPrefix = keyRoot + "holders/"
	// TermPrefix is the prefix of the keys of the holders' terms, by cell.
	TermPrefix = keyRoot + "terms/"
	// savePrefix is the prefix of the keys that each save of a cell writes, so that
	// their revision is the revision of the last save.
	savePrefix = keyRoot + "saves/"
	// heartbeatPrefix is the prefix of the keys that the holders of cells write while they have nothing to save, so that
	// the next holder knows when they last reached the store.
	heartbeatPrefix = keyRoot + "heartbeats/"
	// workerPrefix is the prefix of the keys that list the workers on which tasks of a
	// cell may run.
	workerPrefix = keyRoot + "workers/"

	// MaxAcceptBatch is the maximum number of jobs in one call of Accept; each job
	// takes three rows of a transaction.
	MaxAcceptBatch = platform.MaxTransactionRows / 3
)

// Store is the subset of platform.Store that an Archiver uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Item, error)
	List(ctx context.Context, prefix string) ([]platform.Item, int64, error)
	Commit(ctx context.Context, transaction platform.Transaction) (int64, error)
}

// Archiver reads and writes the jobs in a store.
type Archiver struct {
	Store Store
}

// JobPrefix returns the prefix of the live jobs of a cell, of their cancellations, and of
// their delegated parts that were given up.
func JobPrefix(cell string) string { return jobPrefix + cell + "/" }

// AcceptedJob is a job to store as accepted.
type AcceptedJob struct {
	ID, Cell string
	// Record is the encoded job.
	Record []byte
}

// ExistsError reports jobs that are already accepted.
type ExistsError struct {
	// IDs are the ids of these jobs.
	IDs map[string]bool
	// Cancelled are the ids of jobs that were cancelled before, and never will be accepted.
	Cancelled map[string]bool
}

// Error implements error.
func (e *ExistsError) Error() string { return "jobs are already accepted or cancelled" }

// Accept stores all jobs in one transaction. It returns an *ExistsError if some of
// them are already accepted, or the error of the store.
func (a *Archiver) Accept(ctx context.Context, jobs []AcceptedJob) error {
	var transaction platform.Transaction
	for _, j := range jobs {
		transaction.Expect = append(transaction.Expect, platform.Expectation{Key: idPrefix + j.ID})
		transaction.Writes = append(transaction.Writes,
			platform.Item{Key: idPrefix + j.ID, Value: []byte(j.Cell)},
			platform.Item{Key: JobPrefix(j.Cell) + j.ID, Value: j.Record})
	}
	_, err := a.Store.Commit(ctx, transaction)
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	exists := &ExistsError{IDs: map[string]bool{}, Cancelled: map[string]bool{}}
	for _, item := range conflict.Items {
		id := strings.TrimPrefix(item.Key, idPrefix)
		switch {
		case item.Revision == 0:
		case homeCell(item) == "":
			exists.Cancelled[id] = true
		default:
			exists.IDs[id] = true
		}
	}
	return exists
}

// CancelUnaccepted cancels a job that isn't accepted: no submission of it that is written later,
// by any process, can be. The holder of cell removes the record in time. If the job is accepted
// after all, CancelUnaccepted changes nothing and returns the job's cell.
func (a *Archiver) CancelUnaccepted(ctx context.Context, cell, id string) (string, error) {
	_, err := a.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: idPrefix + id}},
		Writes: []platform.Item{
			{Key: idPrefix + id, Value: []byte(unacceptedValue)},
			{Key: cancellationKey(cell, id), Value: []byte(unacceptedValue)},
		},
	})
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return "", err
	}
	for _, item := range conflict.Items {
		if item.Key == idPrefix+id {
			return homeCell(item), nil
		}
	}
	return "", err
}

// Cell returns the cell of an accepted job, or an empty string if the job was never
// accepted.
func (a *Archiver) Cell(ctx context.Context, id string) (string, error) {
	item, err := a.Store.Get(ctx, idPrefix+id)
	return homeCell(item), err
}

// homeCell returns the cell that an item under idPrefix names, or an empty string if the item doesn't
// exist or its job was cancelled before it could be accepted.
func homeCell(item platform.Item) string {
	if string(item.Value) == unacceptedValue {
		return ""
	}
	return string(item.Value)
}

// Outcome is the stored state of a job.
type Outcome struct {
	State dispatcher.State
	// Cause tells why the job has failed, for logs; empty if an earlier build stored the failure.
	Cause string
}

// Outcome returns the state of an accepted job as it is stored. A job without stored
// progress is queued. A job of which a delegated part was given up has failed, although
// the holder of its cell may not have stored that yet.
func (a *Archiver) Outcome(ctx context.Context, cell, id string) (Outcome, error) {
	outcome, err := a.storedOutcome(ctx, cell, id)
	if err != nil || outcome.State.Final() {
		return outcome, err
	}
	failed, err := a.Store.Get(ctx, JobPrefix(cell)+id+failedSuffix)
	if err != nil {
		return Outcome{}, err
	}
	if failed.Revision != 0 {
		failure := decodeFailure(failed.Value)
		return Outcome{State: dispatcher.StateFailed, Cause: "part given up in " + failure.Cell + ": " + failure.Cause}, nil
	}
	return outcome, nil
}

func (a *Archiver) storedOutcome(ctx context.Context, cell, id string) (Outcome, error) {
	progress, err := a.progress(ctx, cell, id)
	switch {
	case err != nil:
		return Outcome{}, err
	case progress == nil:
		return Outcome{State: dispatcher.StateQueued}, nil
	case progress.State == dispatcher.StateQueued:
		return Outcome{State: dispatcher.StateRunning}, nil
	}
	return Outcome{State: progress.State, Cause: progress.Cause}, nil
}

// progress returns the stored progress of a job in a cell, or nil if there is none.
func (a *Archiver) progress(ctx context.Context, cell, id string) (*dispatcher.Progress, error) {
	item, err := a.Store.Get(ctx, progressPrefix+cell+"/"+id)
	if err != nil || item.Revision == 0 {
		return nil, err
	}
	progress, err := dispatcher.DecodeProgress(id, item.Value)
	return &progress, err
}

// State returns the state of an accepted job as Outcome does.
func (a *Archiver) State(ctx context.Context, cell, id string) (dispatcher.State, error) {
	outcome, err := a.Outcome(ctx, cell, id)
	return outcome.State, err
}

// Workers returns the workers on which tasks of a cell may run, as they are stored.
func (a *Archiver) Workers(ctx context.Context, cell string) ([]dispatcher.Registration, error) {
	item, err := a.Store.Get(ctx, workerPrefix+cell)
	if err != nil || item.Revision == 0 {
		return nil, err
	}
	return dispatcher.DecodeWorkers(item.Value)
}

// HasJobs reports whether the store has live jobs, or cancellations of jobs, in a cell.
func (a *Archiver) HasJobs(ctx context.Context, cell string) (bool, error) {
	items, _, err := a.Store.List(ctx, JobPrefix(cell))
	return len(items) > 0, err
}

// maxCancelAttempts is how often a cancellation is stored again because the job was relocated
// meanwhile.
const maxCancelAttempts = 3

// Cancel stores the cancellation of a job in its present cell and in all cells that run parts of it,
// whose holders then read it.
func (a *Archiver) Cancel(ctx context.Context, id string) error {
	home, err := a.cancelAtHome(ctx, id)
	if err != nil || home == "" {
		return err
	}
	return a.cancelParts(ctx, home, id)
}

// cancelAtHome stores the cancellation of a job in its present cell and returns that, or an empty string if
// the job's state has expired.
func (a *Archiver) cancelAtHome(ctx context.Context, id string) (string, error) {
	var conflict *platform.ConflictError
	var err error
	for range maxCancelAttempts {
		var home platform.Item
		if home, err = a.Store.Get(ctx, idPrefix+id); err != nil {
			return "", err
		}
		cell := homeCell(home)
		if cell == "" {
			return "", nil
		}
		_, err = a.Store.Commit(ctx, platform.Transaction{
			Expect: []platform.Expectation{{Key: home.Key, Revision: home.Revision}},
			Writes: []platform.Item{cancellationItem(cell, id)},
		})
		if !errors.As(err, &conflict) {
			return cell, err
		}
	}
	return "", err
}

// cancelParts stores the cancellation of a job in the cells that run parts of it. The cancellation is
// already stored in the home cell, which delegates nothing of the job any more.
func (a *Archiver) cancelParts(ctx context.Context, home, id string) error {
	progress, err := a.progress(ctx, home, id)
	if err != nil {
		return err
	}
	for cells := range slices.Chunk(progress.PartCells(), platform.MaxTransactionRows) {
		var transaction platform.Transaction
		for _, cell := range cells {
			transaction.Writes = append(transaction.Writes, cancellationItem(cell, id))
		}
		if _, err := a.Store.Commit(ctx, transaction); err != nil {
			return err
		}
	}
	return nil
}

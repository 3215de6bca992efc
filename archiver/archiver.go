// Package archiver keeps jobs in the store: it lays out the keys, accepts jobs
// once, and stores the progress of a cell under its holder's claim.
package archiver

import (
	"context"
	"errors"
	"strings"

	"k8s.io/klog/v2"

	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

const (
	root = "zinniashore/"
	// idPrefix is where the cell of each accepted job is kept.
	idPrefix = root + "ids/"
	// jobPrefix is where live jobs are kept, by cell.
	jobPrefix = root + "jobs/"
	// progressPrefix is where the progress of jobs is kept, by cell.
	progressPrefix = root + "progress/"
	// cancelSuffix marks the key of a cancellation beside the job's.
	cancelSuffix = "/cancelled"

	// HolderPrefix is where the holders of cells are named.
	HolderPrefix = root + "holders/"
	// TermPrefix is where the terms of holders are kept.
	TermPrefix = root + "terms/"
	// savePrefix is where each save of a cell leaves its mark.
	savePrefix = root + "saves/"
	// workerPrefix is where the workers are kept that a cell's tasks may be on.
	workerPrefix = root + "workers/"

	// MaxAccepted is how many jobs one call of Accept may store.
	MaxAccepted = platform.MaxTransactionRows / 3
)

// Store is the part of the platform's store that is used here.
type Store interface {
	Get(ctx context.Context, key string) (platform.Item, error)
	List(ctx context.Context, prefix string) ([]platform.Item, int64, error)
	Commit(ctx context.Context, t platform.Transaction) (int64, error)
}

// Archiver keeps jobs in a store.
type Archiver struct {
	Store Store
}

// JobPrefix returns the prefix of the live jobs of a cell and of their
// cancellations.
func JobPrefix(cell string) string { return jobPrefix + cell + "/" }

// Accepted is a job to be accepted.
type Accepted struct {
	ID, Cell string
	// Record is the stored form of the job.
	Record []byte
}

// ExistsError reports jobs that were accepted before.
type ExistsError struct {
	// IDs are the ids of these jobs.
	IDs map[string]bool
}

// Error implements error.
func (e *ExistsError) Error() string { return "jobs were accepted before" }

// Accept stores jobs, all or none. It returns an *ExistsError if some were
// accepted before, and the errors of the store.
func (a *Archiver) Accept(ctx context.Context, jobs []Accepted) error {
	var t platform.Transaction
	for _, j := range jobs {
		t.Expect = append(t.Expect, platform.Expectation{Key: idPrefix + j.ID})
		t.Writes = append(t.Writes,
			platform.Item{Key: idPrefix + j.ID, Value: []byte(j.Cell)},
			platform.Item{Key: JobPrefix(j.Cell) + j.ID, Value: j.Record})
	}
	_, err := a.Store.Commit(ctx, t)
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	exists := &ExistsError{IDs: map[string]bool{}}
	for _, item := range conflict.Items {
		if item.Revision != 0 {
			exists.IDs[strings.TrimPrefix(item.Key, idPrefix)] = true
		}
	}
	return exists
}

// Cell returns the cell of an accepted job; it is empty if none was accepted.
func (a *Archiver) Cell(ctx context.Context, id string) (string, error) {
	item, err := a.Store.Get(ctx, idPrefix+id)
	return string(item.Value), err
}

// State returns the state of a job by the store's word. A job of which nothing
// is stored but that it was accepted is queued.
func (a *Archiver) State(ctx context.Context, cell, id string) (dispatcher.State, error) {
	item, err := a.Store.Get(ctx, progressPrefix+cell+"/"+id)
	if err != nil {
		return "", err
	}
	if item.Revision == 0 {
		return dispatcher.StateQueued, nil
	}
	progress, err := dispatcher.DecodeProgress(id, item.Value)
	if err != nil {
		return "", err
	}
	if progress.State == dispatcher.StateQueued {
		return dispatcher.StateRunning, nil
	}
	return progress.State, nil
}

// Cancel stores that a client has cancelled a job, for the holder to see.
func (a *Archiver) Cancel(ctx context.Context, cell, id string) error {
	_, err := a.Store.Commit(ctx, platform.Transaction{Writes: []platform.Item{cancellation(cell, id)}})
	return err
}

// cancellation is the item that tells a cell that a job was cancelled.
func cancellation(cell, id string) platform.Item {
	return platform.Item{Key: JobPrefix(cell) + id + cancelSuffix, Value: []byte("{}")}
}

// Change is what an item under JobPrefix says.
type Change struct {
	ID        string
	Cancelled bool
	// Job is set unless Cancelled is.
	Job dispatcher.Job
}

// DecodeChange reads an item under JobPrefix.
func DecodeChange(cell string, item platform.Item) (Change, error) {
	name := strings.TrimPrefix(item.Key, JobPrefix(cell))
	if id, cancelled := strings.CutSuffix(name, cancelSuffix); cancelled {
		return Change{ID: id, Cancelled: true}, nil
	}
	job, err := dispatcher.DecodeJob(item.Value)
	return Change{ID: name, Job: job}, err
}

// CellArchive keeps the jobs of one cell under its holder's claim.
type CellArchive struct {
	Archiver *Archiver
	Cell     string
	// Epoch is the revision of the holder's term.
	Epoch int64

	// saved is the revision of the last save. A save is conditional on it, so
	// that one whose answer was lost can't be carried out after a newer one.
	saved int64
}

// Load implements dispatcher.Archive.
func (a *CellArchive) Load(ctx context.Context) (dispatcher.StoredCell, error) {
	var stored dispatcher.StoredCell
	item, err := a.Archiver.Store.Get(ctx, workerPrefix+a.Cell)
	if err != nil {
		return stored, err
	}
	if item.Revision != 0 {
		if stored.Workers, err = dispatcher.DecodeWorkers(item.Value); err != nil {
			return stored, err
		}
	}
	if item, err = a.Archiver.Store.Get(ctx, savePrefix+a.Cell); err != nil {
		return stored, err
	}
	a.saved = item.Revision
	stored.Jobs, err = a.loadJobs(ctx)
	return stored, err
}

func (a *CellArchive) loadJobs(ctx context.Context) ([]dispatcher.StoredJob, error) {
	items, _, err := a.Archiver.Store.List(ctx, JobPrefix(a.Cell))
	if err != nil {
		return nil, err
	}
	progressItems, _, err := a.Archiver.Store.List(ctx, progressPrefix+a.Cell+"/")
	if err != nil {
		return nil, err
	}
	jobs := map[string]*dispatcher.StoredJob{}
	for _, item := range progressItems {
		id := strings.TrimPrefix(item.Key, progressPrefix+a.Cell+"/")
		progress, err := dispatcher.DecodeProgress(id, item.Value)
		if err != nil {
			klog.ErrorS(err, "Progress of a job can't be read", "job", id)
			continue
		}
		jobs[id] = &dispatcher.StoredJob{Job: dispatcher.Job{ID: id}, Progress: &progress}
	}
	a.addJobs(items, jobs)
	var stored []dispatcher.StoredJob
	for _, j := range jobs {
		if len(j.Job.Steps) > 0 || j.Progress != nil && j.Progress.State.Final() {
			stored = append(stored, *j)
		}
	}
	return stored, nil
}

func (a *CellArchive) addJobs(items []platform.Item, jobs map[string]*dispatcher.StoredJob) {
	for _, item := range items {
		change, err := DecodeChange(a.Cell, item)
		if err != nil {
			klog.ErrorS(err, "Stored job can't be read", "job", change.ID)
			continue
		}
		j, found := jobs[change.ID]
		if !found {
			j = &dispatcher.StoredJob{}
			jobs[change.ID] = j
		}
		if change.Cancelled {
			j.Cancelled = true
		} else {
			j.Job = change.Job
		}
	}
}

// Save implements dispatcher.Archive. A final job's description is dropped.
func (a *CellArchive) Save(ctx context.Context, batch *dispatcher.Batch) error {
	t := platform.Transaction{}
	for _, j := range batch.Jobs {
		content, err := dispatcher.EncodeProgress(j.Progress)
		if err != nil {
			return err
		}
		t.Writes = append(t.Writes, platform.Item{Key: progressPrefix + a.Cell + "/" + j.ID, Value: content})
		if j.Progress.State.Final() {
			t.Remove = append(t.Remove, JobPrefix(a.Cell)+j.ID)
		}
		for _, cell := range j.CancelIn {
			t.Writes = append(t.Writes, cancellation(cell, j.ID))
		}
	}
	if batch.Workers != nil {
		content, err := dispatcher.EncodeWorkers(batch.Workers)
		if err != nil {
			return err
		}
		t.Writes = append(t.Writes, platform.Item{Key: workerPrefix + a.Cell, Value: content})
	}
	for _, id := range batch.Expired {
		t.Remove = append(t.Remove, idPrefix+id, progressPrefix+a.Cell+"/"+id, JobPrefix(a.Cell)+id+cancelSuffix)
	}
	if batch.Part != nil {
		record, err := dispatcher.EncodeJob(batch.Part.Job)
		if err != nil {
			return err
		}
		t.Writes = append(t.Writes, platform.Item{Key: JobPrefix(batch.Part.Cell) + batch.Part.Job.ID, Value: record})
	}
	return a.commit(ctx, t)
}

// commit carries out a transaction of the holder, if it still is the holder.
func (a *CellArchive) commit(ctx context.Context, t platform.Transaction) error {
	term, save := TermPrefix+a.Cell, savePrefix+a.Cell
	t.Expect = []platform.Expectation{{Key: term, Revision: a.Epoch}, {Key: save, Revision: a.saved}}
	t.Writes = append(t.Writes, platform.Item{Key: save, Value: []byte("{}")})
	revision, err := a.Archiver.Store.Commit(ctx, t)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		for _, item := range conflict.Items {
			if item.Key == term && item.Revision != a.Epoch {
				return dispatcher.ErrSuperseded
			}
			if item.Key == save {
				a.saved = item.Revision
			}
		}
		return err
	}
	if err == nil {
		a.saved = revision
	}
	return err
}

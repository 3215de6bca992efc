// Package archiver stores jobs: it defines the layout of their keys in the store,
// accepts each job at most once, and saves the progress of a cell's jobs only while
// the process that saves it is the cell's holder.
package archiver

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"k8s.io/klog/v2"

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

// State returns the state of an accepted job as it is stored. A job without stored
// progress is queued. A job of which a delegated part was given up has failed, although
// the holder of its cell may not have stored that yet.
func (a *Archiver) State(ctx context.Context, cell, id string) (dispatcher.State, error) {
	state, err := a.storedState(ctx, cell, id)
	if err != nil || state.Final() {
		return state, err
	}
	failed, err := a.Store.Get(ctx, JobPrefix(cell)+id+failedSuffix)
	if err != nil {
		return "", err
	}
	if failed.Revision != 0 {
		return dispatcher.StateFailed, nil
	}
	return state, nil
}

func (a *Archiver) storedState(ctx context.Context, cell, id string) (dispatcher.State, error) {
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

// Workers returns the workers on which tasks of a cell may run, as they are stored.
func (a *Archiver) Workers(ctx context.Context, cell string) ([]dispatcher.Registration, error) {
	item, err := a.Store.Get(ctx, workerPrefix+cell)
	if err != nil || item.Revision == 0 {
		return nil, err
	}
	return dispatcher.DecodeWorkers(item.Value)
}

// maxCancelAttempts is how often a cancellation is stored again because the job was relocated
// meanwhile.
const maxCancelAttempts = 3

// Cancel stores the cancellation of a job in its present cell, whose holder then reads it.
func (a *Archiver) Cancel(ctx context.Context, id string) error {
	var conflict *platform.ConflictError
	var err error
	for range maxCancelAttempts {
		var home platform.Item
		if home, err = a.Store.Get(ctx, idPrefix+id); err != nil {
			return err
		}
		cell := homeCell(home)
		if cell == "" {
			return nil // its state has expired
		}
		_, err = a.Store.Commit(ctx, platform.Transaction{
			Expect: []platform.Expectation{{Key: home.Key, Revision: home.Revision}},
			Writes: []platform.Item{cancellationItem(cell, id)},
		})
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}

// CellArchive stores the jobs of one cell for the cell's holder. It writes only while
// Epoch is the revision of the cell's current term.
type CellArchive struct {
	Archiver *Archiver
	Cell     string
	// Epoch is the revision of the holder's term.
	Epoch int64

	// savedRevision is the revision of the last save. Each save is conditional on it,
	// so that a save whose response was lost can't be committed after a newer one.
	savedRevision int64
	// activeEpoch is the newest epoch under which a holder of the cell became active, as far
	// as it is known.
	activeEpoch int64
	// relocation is the relocation that was last saved, relocatedFrom the revision of the job's id at
	// the first attempt.
	relocation    *dispatcher.Relocation
	relocatedFrom int64
}

// saveMessage is the value that each save of a cell writes.
type saveMessage struct {
	ActiveEpoch int64 `json:"active_epoch,omitempty"`
}

// Load implements dispatcher.Archive.
func (a *CellArchive) Load(ctx context.Context) (dispatcher.StoredCell, error) {
	var stored dispatcher.StoredCell
	var err error
	if stored.Workers, err = a.Archiver.Workers(ctx, a.Cell); err != nil {
		return stored, err
	}
	item, err := a.Archiver.Store.Get(ctx, savePrefix+a.Cell)
	if err != nil {
		return stored, err
	}
	a.savedRevision = item.Revision
	if item.Revision != 0 {
		var save saveMessage
		if err := json.Unmarshal(item.Value, &save); err != nil {
			return stored, err
		}
		a.activeEpoch = save.ActiveEpoch
	}
	stored.ActiveEpoch = a.activeEpoch
	stored.Jobs, err = a.loadJobs(ctx)
	return stored, err
}

// Find implements dispatcher.Archive.
func (a *CellArchive) Find(ctx context.Context, id string) (dispatcher.StoredJob, bool, error) {
	var items []platform.Item
	for _, suffix := range []string{"", cancelSuffix, failedSuffix} {
		item, err := a.Archiver.Store.Get(ctx, JobPrefix(a.Cell)+id+suffix)
		if err != nil {
			return dispatcher.StoredJob{}, false, err
		}
		if item.Revision != 0 {
			items = append(items, item)
		}
	}
	progress, err := a.Archiver.Store.Get(ctx, progressPrefix+a.Cell+"/"+id)
	if err != nil {
		return dispatcher.StoredJob{}, false, err
	}
	var progressItems []platform.Item
	if progress.Revision != 0 {
		progressItems = append(progressItems, progress)
	}
	stored := a.decodeJobs(items, progressItems)
	if len(stored) == 0 {
		return dispatcher.StoredJob{}, false, nil
	}
	return stored[0], true, nil
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
	return a.decodeJobs(items, progressItems), nil
}

// decodeJobs merges the items of jobs and cancellations with those of their progress. It
// logs and skips malformed items, and leaves out jobs of which nothing is left to run or
// to report.
func (a *CellArchive) decodeJobs(items, progressItems []platform.Item) []dispatcher.StoredJob {
	jobs := map[string]*dispatcher.StoredJob{}
	for _, item := range progressItems {
		id := strings.TrimPrefix(item.Key, progressPrefix+a.Cell+"/")
		progress, err := dispatcher.DecodeProgress(id, item.Value)
		if err != nil {
			klog.ErrorS(err, "Skipping malformed progress of a job", "job", id)
			continue
		}
		jobs[id] = &dispatcher.StoredJob{Job: dispatcher.Job{ID: id}, Progress: &progress}
	}
	a.mergeJobs(items, jobs)
	var stored []dispatcher.StoredJob
	for _, j := range jobs {
		if len(j.Job.Steps) > 0 || j.Unaccepted || j.Progress != nil && j.Progress.State.Final() {
			stored = append(stored, *j)
		}
	}
	return stored
}

func (a *CellArchive) mergeJobs(items []platform.Item, jobs map[string]*dispatcher.StoredJob) {
	for _, item := range items {
		change, err := DecodeChange(a.Cell, item)
		if err != nil {
			klog.ErrorS(err, "Skipping malformed stored job", "job", change.ID)
			continue
		}
		j, found := jobs[change.ID]
		if !found {
			j = &dispatcher.StoredJob{Job: dispatcher.Job{ID: change.ID}}
			jobs[change.ID] = j
		}
		switch {
		case change.Unaccepted:
			j.Unaccepted = true
		case change.Cancelled:
			j.Cancelled = true
		case change.Returned != nil:
			j.Returned = append(j.Returned, *change.Returned)
		case change.FailedIn != "":
			j.FailedIn = change.FailedIn
		default:
			j.Job = change.Job
		}
	}
}

// CheckTerm implements dispatcher.Archive.
func (a *CellArchive) CheckTerm(ctx context.Context) error {
	term, err := a.Archiver.Store.Get(ctx, TermPrefix+a.Cell)
	if err == nil && term.Revision != a.Epoch {
		return dispatcher.ErrSuperseded
	}
	return err
}

// commit commits a transaction on condition that the term and the last save are
// unchanged. It returns dispatcher.ErrSuperseded if the term has changed. After any
// other conflict it adopts the revision of the last save, so that a retry can succeed.
func (a *CellArchive) commit(ctx context.Context, transaction platform.Transaction) error {
	term, save := TermPrefix+a.Cell, savePrefix+a.Cell
	transaction.Expect = append(transaction.Expect,
		platform.Expectation{Key: term, Revision: a.Epoch}, platform.Expectation{Key: save, Revision: a.savedRevision})
	content, err := json.Marshal(saveMessage{ActiveEpoch: a.activeEpoch})
	if err != nil {
		return err
	}
	transaction.Writes = append(transaction.Writes, platform.Item{Key: save, Value: content})
	revision, err := a.Archiver.Store.Commit(ctx, transaction)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		for _, item := range conflict.Items {
			if item.Key == term && item.Revision != a.Epoch {
				return dispatcher.ErrSuperseded
			}
			if item.Key == save {
				a.savedRevision = item.Revision
			}
		}
		return err
	}
	if err == nil {
		a.savedRevision = revision
	}
	return err
}

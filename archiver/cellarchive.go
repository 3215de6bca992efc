package archiver

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync/atomic"

	"k8s.io/klog/v2"

	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

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
	// writtenRevision is the newest revision of a write that was conditional on the term.
	writtenRevision int64
	// activeEpoch is the newest epoch under which a holder of the cell became active, as far
	// as it is known.
	activeEpoch int64
	// relocation is the relocation that was last saved, relocatedFrom the revision of the job's id at
	// the first attempt.
	relocation    *dispatcher.Relocation
	relocatedFrom int64
}

// maxReportedJobs is the number of jobs that a log line names at most.
const maxReportedJobs = 8

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
	heartbeat, err := a.Archiver.Store.Get(ctx, heartbeatPrefix+a.Cell)
	if err != nil {
		return stored, err
	}
	stored.Earlier = dispatcher.EarlierRecords{ActiveEpoch: a.activeEpoch, LastWrite: max(item.Revision, heartbeat.Revision)}
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
	var withoutRecord []string
	for _, j := range jobs {
		if len(j.Job.Steps) > 0 || j.Unaccepted || j.Progress != nil && j.Progress.State.Final() {
			stored = append(stored, *j)
		} else if j.Progress != nil {
			withoutRecord = append(withoutRecord, j.Job.ID)
		}
	}
	if count := len(withoutRecord); count > 0 {
		klog.InfoS("Skipping the progress of jobs without a record", "cell", a.Cell, "count", count, "jobs", withoutRecord[:min(count, maxReportedJobs)])
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
			j.FailedIn, j.FailureCause = change.FailedIn, change.FailureCause
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

// heartbeatValue is the value of the keys below heartbeatPrefix, of which only the revision counts.
const heartbeatValue = "{}"

// Heartbeat implements dispatcher.Archive.
func (a *CellArchive) Heartbeat(ctx context.Context) error {
	revision, err := a.Archiver.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: TermPrefix + a.Cell, Revision: a.Epoch}},
		Writes: []platform.Item{{Key: heartbeatPrefix + a.Cell, Value: []byte(heartbeatValue)}},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return dispatcher.ErrSuperseded
	}
	if err == nil {
		a.noteWritten(revision)
	}
	return err
}

// ProvenRevision implements dispatcher.Archive.
func (a *CellArchive) ProvenRevision() int64 { return atomic.LoadInt64(&a.writtenRevision) }

// noteWritten notes the revision of a write that was conditional on the term.
func (a *CellArchive) noteWritten(revision int64) {
	for known := atomic.LoadInt64(&a.writtenRevision); revision > known; known = atomic.LoadInt64(&a.writtenRevision) {
		if atomic.CompareAndSwapInt64(&a.writtenRevision, known, revision) {
			return
		}
	}
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
		a.noteWritten(revision)
	}
	return err
}

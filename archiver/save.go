package archiver

import (
	"context"
	"errors"
	"slices"
	"strings"

	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

// Save implements dispatcher.Archive. It removes the description of a job in a final
// state and keeps its progress.
func (a *CellArchive) Save(ctx context.Context, batch *dispatcher.Batch) error {
	transaction := platform.Transaction{}
	if batch.Active {
		a.activeEpoch = a.Epoch
	}
	for _, j := range batch.Jobs {
		if err := a.addJob(ctx, &transaction, j); err != nil {
			return err
		}
	}
	if batch.Workers != nil {
		content, err := dispatcher.EncodeWorkers(batch.Workers)
		if err != nil {
			return err
		}
		transaction.Writes = append(transaction.Writes, platform.Item{Key: workerPrefix + a.Cell, Value: content})
	}
	for _, id := range batch.Expired {
		job := JobPrefix(a.Cell) + id
		transaction.Remove = append(transaction.Remove, idPrefix+id, progressPrefix+a.Cell+"/"+id, job+cancelSuffix, job+failedSuffix)
	}
	for _, id := range batch.ExpiredParts {
		job := JobPrefix(a.Cell) + id
		// A part that its home cell extended after it had ended was stored again.
		transaction.Remove = append(transaction.Remove, progressPrefix+a.Cell+"/"+id, job+cancelSuffix, job)
	}
	if batch.Relocation != nil {
		if err := a.addRelocation(ctx, &transaction, batch.Relocation); err != nil {
			return err
		}
	}
	if batch.Return != nil {
		if err := a.addReturn(ctx, &transaction, batch.Return); err != nil {
			return err
		}
	}
	if batch.Part != nil {
		if err := a.addPart(&transaction, batch.Part); err != nil {
			return err
		}
	}
	err := a.commit(ctx, transaction)
	switch {
	case batch.Relocation != nil && a.cancelledMeanwhile(err, batch.Relocation.Job.ID):
		return dispatcher.ErrRelocationRefused
	case batch.Return != nil && (a.cancelledMeanwhile(err, batch.Return.Job) || a.notTakenBack(err, batch.Return.Job)):
		return dispatcher.ErrRelocationRefused
	case batch.Part != nil && a.cancelledMeanwhile(err, batch.Part.Job.ID):
		return dispatcher.ErrPartRefused
	}
	return err
}

// addPart adds the rows that delegate a part to another cell. A job that has been cancelled through the store isn't
// delegated: whoever stored that has told only the cells that had parts then.
func (a *CellArchive) addPart(transaction *platform.Transaction, part *dispatcher.Part) error {
	item, err := a.partItem(part)
	if err != nil {
		return err
	}
	id := part.Job.ID
	transaction.Expect = append(transaction.Expect,
		platform.Expectation{Key: returnedKey(a.Cell, id, part.Cell)}, platform.Expectation{Key: cancellationKey(a.Cell, id)})
	transaction.Writes = append(transaction.Writes, item)
	return nil
}

// addRelocation adds the rows that move a job to another cell, unless it has left this one, and perhaps
// come back: an earlier save whose answer was lost has moved it. A job that has been cancelled through the
// store isn't moved.
func (a *CellArchive) addRelocation(ctx context.Context, transaction *platform.Transaction, r *dispatcher.Relocation) error {
	id := r.Job.ID
	home, err := a.Archiver.Store.Get(ctx, idPrefix+id)
	if err != nil {
		return err
	}
	if a.relocation != r {
		a.relocation, a.relocatedFrom = r, home.Revision
	}
	if string(home.Value) != a.Cell || home.Revision != a.relocatedFrom {
		return nil
	}
	record, err := dispatcher.EncodeJob(r.Job)
	if err != nil {
		return err
	}
	transaction.Expect = append(transaction.Expect,
		platform.Expectation{Key: idPrefix + id, Revision: home.Revision}, platform.Expectation{Key: cancellationKey(a.Cell, id)})
	transaction.Writes = append(transaction.Writes,
		platform.Item{Key: idPrefix + id, Value: []byte(r.Cell)}, platform.Item{Key: JobPrefix(r.Cell) + id, Value: record})
	transaction.Remove = append(transaction.Remove, JobPrefix(a.Cell)+id, progressPrefix+a.Cell+"/"+id)
	return nil
}

// addReturn adds the rows that give a part, or some of its tasks, back to the home cell of its job, unless an earlier save
// whose answer was lost has done so. The home cell must not have extended the part since, and must have taken back what
// was given back before.
func (a *CellArchive) addReturn(ctx context.Context, transaction *platform.Transaction, r *dispatcher.PartReturn) error {
	key := JobPrefix(a.Cell) + r.Job
	item, err := a.Archiver.Store.Get(ctx, key)
	if err != nil || item.Revision == 0 {
		return err
	}
	job, err := dispatcher.DecodeJob(item.Value)
	if err != nil || !includesAll(job.Part, r.Part) {
		return err // an earlier save has given them back; some may have been delegated again since
	}
	if len(job.Part) != len(r.Part)+len(r.Rest) || !includesAll(job.Part, r.Rest) {
		return dispatcher.ErrRelocationRefused
	}
	home, err := a.home(ctx, r.Job)
	if err != nil {
		return err
	}
	transaction.Expect = append(transaction.Expect,
		platform.Expectation{Key: key, Revision: item.Revision}, platform.Expectation{Key: cancellationKey(a.Cell, r.Job)},
		platform.Expectation{Key: returnedKey(home, r.Job, a.Cell)})
	content, err := dispatcher.EncodeReturn(r)
	if err != nil {
		return err
	}
	transaction.Writes = append(transaction.Writes, platform.Item{Key: returnedKey(home, r.Job, a.Cell), Value: content})
	if len(r.Rest) == 0 {
		transaction.Remove = append(transaction.Remove, key, progressPrefix+a.Cell+"/"+r.Job)
		return nil
	}
	job.Part, job.Home = r.Rest, home
	record, err := dispatcher.EncodeJob(job)
	transaction.Writes = append(transaction.Writes, platform.Item{Key: key, Value: record})
	return err
}

// includesAll reports whether a list has all tasks of another one.
func includesAll(list, tasks []dispatcher.TaskID) bool {
	return !slices.ContainsFunc(tasks, func(id dispatcher.TaskID) bool { return !slices.Contains(list, id) })
}

// cancelledMeanwhile reports whether a transaction was refused because the cancellation of a job of the cell
// exists.
func (a *CellArchive) cancelledMeanwhile(err error, id string) bool {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	return slices.ContainsFunc(conflict.Items, func(item platform.Item) bool {
		return item.Revision != 0 && item.Key == cancellationKey(a.Cell, id)
	})
}

// notTakenBack reports whether a transaction was refused because an earlier return of tasks of the job is still
// stored: its home cell hasn't taken them back.
func (a *CellArchive) notTakenBack(err error, id string) bool {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	return slices.ContainsFunc(conflict.Items, func(item platform.Item) bool {
		return item.Revision != 0 && strings.HasSuffix(item.Key, "/"+id+returnedInfix+a.Cell)
	})
}

// addJob adds the rows of a changed job to a transaction.
func (a *CellArchive) addJob(ctx context.Context, transaction *platform.Transaction, j dispatcher.BatchJob) error {
	content, err := dispatcher.EncodeProgress(j.Progress)
	if err != nil {
		return err
	}
	transaction.Writes = append(transaction.Writes, platform.Item{Key: progressPrefix + a.Cell + "/" + j.ID, Value: content})
	if j.Progress.State.Final() {
		transaction.Remove = append(transaction.Remove, JobPrefix(a.Cell)+j.ID)
	}
	for _, taken := range j.TakenBack {
		if err := a.removeReturned(ctx, transaction, j.ID, taken); err != nil {
			return err
		}
	}
	for _, cell := range j.CancelIn {
		transaction.Writes = append(transaction.Writes, cancellationItem(cell, j.ID))
	}
	if j.Own || j.Progress.State != dispatcher.StateFailed {
		return nil
	}
	home, err := a.home(ctx, j.ID)
	if err != nil || home == "" || home == a.Cell {
		return err
	}
	failure, err := failureItem(home, j.ID, a.Cell, j.Progress.Cause)
	transaction.Writes = append(transaction.Writes, failure)
	return err
}

// removeReturned adds the removal of a record by which another cell has given back a part, unless an earlier save whose
// answer was lost has removed it: the cell may have written the next one since.
func (a *CellArchive) removeReturned(ctx context.Context, transaction *platform.Transaction, id string, taken dispatcher.TakenBack) error {
	key := returnedKey(a.Cell, id, taken.Cell)
	item, err := a.Archiver.Store.Get(ctx, key)
	if err != nil || item.Revision != taken.Revision {
		return err
	}
	transaction.Remove = append(transaction.Remove, key)
	return nil
}

// home returns the cell that a job was accepted for, or an empty string if that isn't
// stored any more.
func (a *CellArchive) home(ctx context.Context, id string) (string, error) {
	item, err := a.Archiver.Store.Get(ctx, JobPrefix(a.Cell)+id)
	if err != nil {
		return "", err
	}
	if item.Revision != 0 {
		job, err := dispatcher.DecodeJob(item.Value)
		if err != nil || job.Home != "" {
			return job.Home, err
		}
	}
	return a.Archiver.Cell(ctx, id)
}

// partItem returns the item by which another cell gets a delegated part.
func (a *CellArchive) partItem(part *dispatcher.Part) (platform.Item, error) {
	job := part.Job
	job.Home = a.Cell
	record, err := dispatcher.EncodeJob(job)
	return platform.Item{Key: JobPrefix(part.Cell) + job.ID, Value: record}, err
}

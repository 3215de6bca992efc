package archiver

import (
	"context"

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
	if batch.Part != nil {
		item, err := a.partItem(batch.Part)
		if err != nil {
			return err
		}
		transaction.Writes = append(transaction.Writes, item)
	}
	return a.commit(ctx, transaction)
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
	for _, cell := range j.CancelIn {
		transaction.Writes = append(transaction.Writes, cancellationItem(cell, j.ID))
	}
	if j.Own || j.Progress.State != dispatcher.StateFailed {
		return nil
	}
	home, err := a.home(ctx, j.ID)
	if err == nil && home != "" && home != a.Cell {
		transaction.Writes = append(transaction.Writes, failureItem(home, j.ID, a.Cell))
	}
	return err
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

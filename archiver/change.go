package archiver

import (
	"encoding/json"
	"strings"

	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

// Change is a decoded item under JobPrefix: a job, a cancellation, or the failure of a
// delegated part.
type Change struct {
	ID        string
	Cancelled bool
	// Unaccepted is true for the cancellation of a job that wasn't accepted before.
	Unaccepted bool
	// FailedIn is the cell that has given up a delegated part of the job, FailureCause why, for logs.
	FailedIn, FailureCause string
	// Returned is a part of the job that another cell has given back, or nil.
	Returned *dispatcher.ReturnedPart
	// Job is set unless Cancelled, FailedIn or Returned is.
	Job dispatcher.Job
}

// DecodeChange decodes an item under JobPrefix.
func DecodeChange(cell string, item platform.Item) (Change, error) {
	name := strings.TrimPrefix(item.Key, JobPrefix(cell))
	if id, cancelled := strings.CutSuffix(name, cancelSuffix); cancelled {
		return Change{ID: id, Cancelled: true, Unaccepted: string(item.Value) == unacceptedValue}, nil
	}
	if id, failed := strings.CutSuffix(name, failedSuffix); failed {
		failure := decodeFailure(item.Value)
		return Change{ID: id, FailedIn: failure.Cell, FailureCause: failure.Cause}, nil
	}
	if id, from, returned := strings.Cut(name, returnedInfix); returned {
		part, err := dispatcher.DecodeReturn(id, from, item.Value)
		part.Revision = item.Revision
		return Change{ID: id, Returned: &part}, err
	}
	job, err := dispatcher.DecodeJob(item.Value)
	return Change{ID: name, Job: job}, err
}

// returnedKey returns the key by which a cell gives a part of a job, or some of its tasks, back to the job's home cell.
func returnedKey(home, id, cell string) string { return JobPrefix(home) + id + returnedInfix + cell }

// unacceptedValue is the value of the cancellation of a job that wasn't accepted before. It isn't
// empty, so that no store can take the write for one without a value.
const unacceptedValue = `{"unaccepted":true}`

// cancellationKey returns the key that marks a job of a cell as cancelled.
func cancellationKey(cell, id string) string { return JobPrefix(cell) + id + cancelSuffix }

// cancellationItem returns the item that marks a job of a cell as cancelled.
func cancellationItem(cell, id string) platform.Item {
	return platform.Item{Key: cancellationKey(cell, id), Value: []byte("{}")}
}

// failureMessage tells the home cell of a job which cell has given up a part of it, and why.
type failureMessage struct {
	Cell  string `json:"cell"`
	Cause string `json:"cause,omitempty"`
}

// failureItem returns the item that tells the home cell of a job which cell has given up
// a part of it, and why.
func failureItem(home, id, cell, cause string) (platform.Item, error) {
	content, err := json.Marshal(failureMessage{Cell: cell, Cause: cause})
	return platform.Item{Key: JobPrefix(home) + id + failedSuffix, Value: content}, err
}

// decodeFailure decodes the value of an item that failureItem returned. Earlier builds stored only the name
// of the cell.
func decodeFailure(content []byte) failureMessage {
	var m failureMessage
	if err := json.Unmarshal(content, &m); err != nil || m.Cell == "" {
		return failureMessage{Cell: string(content)}
	}
	return m
}

package dispatcher

import (
	"fmt"
	"slices"
)

// JobSource is from where a holder has a job, or its cancellation.
type JobSource string

// Sources of jobs and cancellations.
const (
	// SourceLoaded: it was in the store when the holder loaded the cell.
	SourceLoaded JobSource = "loaded"
	// SourceDelivered: a process sent it to the holder.
	SourceDelivered JobSource = "delivered"
	// SourceWatch: the watch of the store's jobs had it before any process had sent it, or none could.
	SourceWatch JobSource = "watch"
	// SourceLookup: it was looked up in the store, as a worker lists an end of it or a late record came.
	SourceLookup JobSource = "lookup"
)

// describeAdded describes, for logs, a job that the cell gets.
func describeAdded(job *Job, source JobSource) string {
	if job.Part == nil {
		return fmt.Sprintf("%s, %s", job.Queue.Name, source)
	}
	return fmt.Sprintf("%s, %s, part: %s", job.Queue.Name, source, listTaskIDs(slices.Clone(job.Part)))
}

package holder

import (
	"k8s.io/klog/v2"

	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

// storedJobs passes jobs, cancellations and failed parts from the store to the runner of a cell.
type storedJobs struct {
	cell   string
	runner *dispatcher.Runner
}

// Replace implements watcher.Handler.
func (s *storedJobs) Replace(items []platform.Item) {
	for _, item := range items {
		s.handle(item)
	}
}

// Apply implements watcher.Handler.
func (s *storedJobs) Apply(events ...platform.Event) {
	for _, event := range events {
		if !event.Removed {
			s.handle(event.Item)
		}
	}
}

func (s *storedJobs) handle(item platform.Item) {
	change, err := archiver.DecodeChange(s.cell, item)
	if err != nil {
		klog.ErrorS(err, "Decoding a stored job failed", "job", change.ID)
		return
	}
	select {
	case <-s.runner.Loaded():
	case <-s.runner.Ended():
		return
	}
	switch {
	case change.Unaccepted:
		s.runner.AddUnaccepted(change.ID)
	case change.Cancelled:
		if !s.runner.CancelStored(change.ID) {
			klog.InfoS("Cancellation of an unknown job", "job", change.ID)
		}
	case change.Returned != nil:
		if !s.runner.AddReturned(change.ID, *change.Returned) {
			klog.InfoS("Part of an unknown job was given back", "job", change.ID, "cell", change.Returned.Cell)
		}
	case change.FailedIn != "":
		if !s.runner.FailPart(change.ID, change.FailedIn, change.FailureCause) {
			klog.InfoS("Failed part of an unknown job", "job", change.ID, "cell", change.FailedIn)
		}
	default:
		s.runner.AddWatched(change.Job)
	}
}

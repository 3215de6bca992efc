package holder

import (
	"time"

	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

const (
	// leaseFraction is the fraction of the longest lease of a worker that is used, so
	// that a fast clock ends no lease early.
	leaseFraction    = 0.8
	maxLeaseDuration = 5 * time.Second
	pollWait         = time.Second
	// maxConfirmationAge covers one poll with its wait after one lost poll.
	maxConfirmationAge = 2500 * time.Millisecond
	// FullLeaseAge covers the time between two saves of a busy cell, or two checks of the term of
	// another one. A new holder waits for as much longer before it takes earlier leases for expired.
	FullLeaseAge = 500 * time.Millisecond
	// maxIsolation is how long a holder acts, and its leases last, without a renewal of its authority. It outlasts
	// short partitions, and leaves time to run the tasks of a lost failure domain elsewhere.
	maxIsolation = 7500 * time.Millisecond
)

// limits returns the limits of the cells that a process with the settings holds.
func limits(settings platform.Settings) dispatcher.Limits {
	return dispatcher.Limits{
		LeaseDuration:      min(time.Duration(float64(settings.MaxGrant)*leaseFraction), maxLeaseDuration),
		MaxLeaseDuration:   settings.MaxGrant,
		PollWait:           pollWait,
		MaxConfirmationAge: maxConfirmationAge,
		FullLeaseAge:       FullLeaseAge,
		MaxIsolation:       IsolationLimit(settings),
		StateRetention:     settings.StateRetention,
		RemoteFactor:       settings.RemoteFactor,
		CheckpointInterval: settings.CheckpointInterval,
		RestoreTime:        settings.RestoreTime,
	}
}

// IsolationLimit returns MaxIsolation of the holders; 0 is without limit. With a single failure domain nothing tells an
// outage of the store from a partition.
func IsolationLimit(settings platform.Settings) time.Duration {
	if len(settings.FailureDomains) < 2 {
		return 0
	}
	return maxIsolation
}

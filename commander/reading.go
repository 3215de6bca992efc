package commander

import "time"

// maxDriftPerMille bounds the difference between the rates of two clocks, in
// thousandths.
const maxDriftPerMille = 10

// Reading relates the clock of a worker to the local clock. The clock of a worker is
// monotonic within an incarnation and advances while the worker is paused.
type Reading struct {
	// Incarnation is the incarnation of the worker that the clock belongs to.
	Incarnation string
	// Clock is the time on the clock of the worker, read before Received.
	Clock time.Duration
	// Received is the local time at which the answer with the reading arrived.
	Received time.Time
}

// Until returns the end, on the clock of the worker, of a lease that lasts about lease
// from now. The lease ends at that time however late the command that carries it
// arrives.
func (r Reading) Until(now time.Time, lease time.Duration) time.Duration {
	return r.Clock + now.Sub(r.Received) + lease
}

// Expiry returns the local time at which the clock of the worker has certainly passed
// until, given the bound on the drift.
func (r Reading) Expiry(until time.Duration) time.Time {
	return r.Received.Add(WithDrift(until - r.Clock))
}

// WithDrift returns how long to wait on the local clock so that at least d passes on
// another clock.
func WithDrift(d time.Duration) time.Duration {
	return d + d*maxDriftPerMille/1000
}

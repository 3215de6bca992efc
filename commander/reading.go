package commander

import "time"

// driftPerMille bounds the difference of the rates of two clocks, in
// thousandths.
const driftPerMille = 10

// Reading relates the clock of a worker to ours. The clock of a worker is
// monotonic within an incarnation and goes on while the worker is paused.
type Reading struct {
	// Incarnation names the run of the worker that the clock belongs to.
	Incarnation string
	// Clock is the clock of the worker, read before Received.
	Clock time.Duration
	// Received is our time when the answer with the reading was received.
	Received time.Time
}

// Until returns the end of a lease, on the clock of the worker, that lasts
// about lease from now. However late the command that carries it arrives, the
// lease ends at that time.
func (r Reading) Until(now time.Time, lease time.Duration) time.Duration {
	return r.Clock + now.Sub(r.Received) + lease
}

// Lapsed returns our time from which the clock of the worker has certainly
// passed until, whatever the drift within its bound.
func (r Reading) Lapsed(until time.Duration) time.Time {
	return r.Received.Add(WithDrift(until - r.Clock))
}

// WithDrift returns how long to wait on our clock for at least d to pass on
// another clock.
func WithDrift(d time.Duration) time.Duration {
	return d + d*driftPerMille/1000
}

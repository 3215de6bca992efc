package generator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatencyMicroseconds   = int64(1)
	maxLatencyMicroseconds   = int64(2 * time.Minute / time.Microsecond)
	latencySignificantDigits = 3
	microsecond              = time.Microsecond
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeOK is a complete answer.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun is the outcome of a request that certainly did not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown is the outcome of a request that may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeEndpointError is an error answer of the endpoint itself.
	OutcomeEndpointError Outcome = "endpoint_error"
	// OutcomeLost is the outcome of a request whose answer did not reach the caller.
	OutcomeLost Outcome = "lost"
)

// Exchange is one request with its outcome over all attempts.
type Exchange struct {
	// Keys are the idempotency keys that the request was sent under, none for an
	// idempotent request. The request may have run under at most one of them, and only
	// once.
	Keys []string
	// Attempts is the number of times that the caller sent the request.
	Attempts int
	// Outcome is the outcome of the last attempt.
	Outcome Outcome
	// Latency is the time from the intended sending time to the end of the last attempt.
	Latency time.Duration
}

// Report is the result of a load.
type Report struct {
	// Exchanges are all requests that were sent.
	Exchanges []Exchange
	// Skipped is the number of requests that were not sent because Outstanding requests
	// were already in flight.
	Skipped int
}

// Count returns the number of requests that ended with outcome.
func (r Report) Count(outcome Outcome) int {
	count := 0
	for _, exchange := range r.Exchanges {
		if exchange.Outcome == outcome {
			count++
		}
	}
	return count
}

// Quantile returns a quantile, between 0 and 1, of the latencies of the requests with
// OutcomeOK.
func (r Report) Quantile(quantile float64) time.Duration {
	histogram := hdrhistogram.New(minLatencyMicroseconds, maxLatencyMicroseconds, latencySignificantDigits)
	for _, exchange := range r.Exchanges {
		if exchange.Outcome == OutcomeOK {
			_ = histogram.RecordValue(max(minLatencyMicroseconds, int64(exchange.Latency/microsecond)))
		}
	}
	const percent = 100
	return time.Duration(histogram.ValueAtQuantile(quantile*percent)) * microsecond
}

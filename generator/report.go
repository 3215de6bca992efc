package generator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyFloor   = int64(1)
	latencyCeiling = int64(2 * time.Minute / time.Microsecond)
	latencyDigits  = 3
	microsecond    = time.Microsecond
)

// Outcome is what a caller was told of its request.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeOK is a whole answer.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun is a refusal of a request that did not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown is a request that may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeEndpointError is an error of the endpoint itself.
	OutcomeEndpointError Outcome = "endpoint_error"
	// OutcomeLost is a request whose answer did not reach the caller.
	OutcomeLost Outcome = "lost"
)

// Exchange is one request with what its caller was told.
type Exchange struct {
	// Keys are the idempotency keys that it was sent under, none for an
	// idempotent request. At most one of them may have run, and only once.
	Keys []string
	// Attempts is how often the caller sent it.
	Attempts int
	// Outcome is what the caller was told last.
	Outcome Outcome
	// Latency runs from the intended sending time to the last answer.
	Latency time.Duration
}

// Report is the outcome of a load.
type Report struct {
	// Exchanges are all requests of the load.
	Exchanges []Exchange
	// Skipped is the number of requests not sent because too many were
	// outstanding.
	Skipped int
}

// Count returns how many requests ended with an outcome.
func (r Report) Count(outcome Outcome) int {
	count := 0
	for _, exchange := range r.Exchanges {
		if exchange.Outcome == outcome {
			count++
		}
	}
	return count
}

// Quantile returns the latency of the requests with outcome ok at a quantile
// between 0 and 1.
func (r Report) Quantile(quantile float64) time.Duration {
	histogram := hdrhistogram.New(latencyFloor, latencyCeiling, latencyDigits)
	for _, exchange := range r.Exchanges {
		if exchange.Outcome == OutcomeOK {
			_ = histogram.RecordValue(max(latencyFloor, int64(exchange.Latency/microsecond)))
		}
	}
	const percent = 100
	return time.Duration(histogram.ValueAtQuantile(quantile*percent)) * microsecond
}

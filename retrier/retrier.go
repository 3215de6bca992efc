// Package retrier implements the retry policy of requests: a budget shared by
// retries and hedges, exponential backoff with jitter, and the delay before a
// hedge.
package retrier

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultRatio is the Ratio of a Budget that sets none.
	DefaultRatio = 0.1
	// DefaultBurst is the Burst of a Budget that sets none.
	DefaultBurst = 10

	baseBackoff = 5 * time.Millisecond
	maxBackoff  = 250 * time.Millisecond

	latencyWindow      = 256
	minLatencies       = 32
	hedgePercentile    = 95
	tailUpdateInterval = 32
)

// Budget limits retries and hedges to a fraction of the original requests, so
// that they cannot sustain an overload. The zero value is ready for use. It is
// safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries and hedges allowed per original request.
	// Zero means DefaultRatio.
	Ratio float64
	// Burst is the maximum number of retries and hedges in a burst. Zero means
	// DefaultBurst.
	Burst float64

	mu     sync.Mutex
	spent  float64
	denied int64
}

// Deposit records an original request, which adds Ratio to the budget.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-b.ratio(), 0)
}

// Withdraw reports whether the budget allows one more retry or hedge, and if so
// charges it to the budget.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.burst() {
		b.denied++
		return false
	}
	b.spent++
	return true
}

// Denied returns the number of retries and hedges that the budget did not allow.
func (b *Budget) Denied() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}

func (b *Budget) ratio() float64 {
	if b.Ratio == 0 {
		return DefaultRatio
	}
	return b.Ratio
}

func (b *Budget) burst() float64 {
	if b.Burst == 0 {
		return DefaultBurst
	}
	return b.Burst
}

// Backoff returns the delay before a retry; retry is its number, counted from
// one. The delay is uniformly distributed between zero and a bound that doubles
// with each retry up to 250 ms. A nil random uses the global source.
func Backoff(retry int, random *rand.Rand) time.Duration {
	bound := baseBackoff << min(max(retry-1, 0), 8)
	bound = min(bound, maxBackoff)
	if random == nil {
		return rand.N(bound)
	}
	return time.Duration(random.Int64N(int64(bound)))
}

// Latencies keeps the most recent latencies of a service. The zero value is
// ready for use. It is safe for concurrent use.
type Latencies struct {
	mu     sync.Mutex
	recent [latencyWindow]time.Duration
	count  int
	sum    time.Duration
	tail   time.Duration
}

// Observe records a latency.
func (l *Latencies) Observe(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := l.count % latencyWindow
	l.sum += latency - l.recent[index]
	l.recent[index] = latency
	l.count++
	if l.count%tailUpdateInterval == 0 {
		l.tail = l.percentile(hedgePercentile)
	}
}

// Mean returns the mean of the recent latencies, or zero if there are none.
func (l *Latencies) Mean() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count == 0 {
		return 0
	}
	return l.sum / time.Duration(min(l.count, latencyWindow))
}

// HedgeDelay returns the delay before a hedge, which is the 95th percentile of the
// recent latencies. It reports false while there are fewer than 32 latencies.
func (l *Latencies) HedgeDelay() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tail, l.count >= minLatencies
}

func (l *Latencies) percentile(percent int) time.Duration {
	known := min(l.count, latencyWindow)
	sorted := append([]time.Duration(nil), l.recent[:known]...)
	slices.Sort(sorted)
	return sorted[known*percent/100]
}

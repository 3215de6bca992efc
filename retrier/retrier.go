// Package retrier decides whether and when a request is sent again: a budget
// that retries and hedges share, jittered backoff, and the delay of a hedge.
package retrier

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultRatio is the retries and hedges allowed per fresh request.
	DefaultRatio = 0.1
	// DefaultBurst is how many retries and hedges may come at once.
	DefaultBurst = 10

	firstBackoff = 5 * time.Millisecond
	lastBackoff  = 250 * time.Millisecond

	latencyWindow   = 256
	latencyMinimum  = 32
	hedgePercentile = 95
	hedgeRefresh    = 32
)

// Budget bounds retries and hedges to a fraction of the fresh requests, so that
// they cannot keep an overload alive. The zero value is ready for use. It is
// safe for concurrent use.
type Budget struct {
	// Ratio is the retries and hedges allowed per fresh request.
	Ratio float64
	// Burst is how many may come at once.
	Burst float64

	mu     sync.Mutex
	spent  float64
	denied int64
}

// Deposit counts a fresh request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-b.ratio(), 0)
}

// Withdraw reports whether one more retry or hedge is allowed, and counts it.
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

// Denied returns how many retries and hedges were not allowed.
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

// Backoff returns the pause before the retry of that ordinal, counted from one,
// drawn evenly from zero to its doubling bound.
func Backoff(retry int, random *rand.Rand) time.Duration {
	bound := firstBackoff << min(max(retry-1, 0), 8)
	bound = min(bound, lastBackoff)
	if random == nil {
		return rand.N(bound)
	}
	return time.Duration(random.Int64N(int64(bound)))
}

// Latencies holds the most recent latencies of a service. The zero value is
// ready for use. It is safe for concurrent use.
type Latencies struct {
	mu     sync.Mutex
	recent [latencyWindow]time.Duration
	count  int
	sum    time.Duration
	tail   time.Duration
}

// Observe adds a latency.
func (l *Latencies) Observe(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.count % latencyWindow
	l.sum += latency - l.recent[at]
	l.recent[at] = latency
	l.count++
	if l.count%hedgeRefresh == 0 {
		l.tail = l.percentile(hedgePercentile)
	}
}

// Mean returns the mean latency, zero before the first.
func (l *Latencies) Mean() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count == 0 {
		return 0
	}
	return l.sum / time.Duration(min(l.count, latencyWindow))
}

// HedgeAfter returns the 95th percentile, after which a hedge is worth its
// cost. It reports false while too few latencies are known.
func (l *Latencies) HedgeAfter() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tail, l.count >= latencyMinimum
}

func (l *Latencies) percentile(percent int) time.Duration {
	known := min(l.count, latencyWindow)
	sorted := append([]time.Duration(nil), l.recent[:known]...)
	slices.Sort(sorted)
	return sorted[known*percent/100]
}

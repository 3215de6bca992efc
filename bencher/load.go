package bencher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
)

const (
	minLatencyMicroseconds   = 1
	maxLatencyMicroseconds   = 60_000_000
	latencySignificantDigits = 3

	windowLength = 100 * time.Millisecond
)

// callFunc makes one request and reports whether it succeeded.
type callFunc func(ctx context.Context) bool

// load is an open-loop load: requests arrive at random times at a mean rate per second,
// whether or not earlier ones have been answered.
type load struct {
	clock    clockwork.Clock
	rate     float64
	duration time.Duration
	deadline time.Duration
	seed     uint64
}

// outcome is the result of a load. Latencies are recorded in microseconds.
type outcome struct {
	sent    int
	good    int
	latency *hdrhistogram.Histogram
	windows []windowCounts
}

// windowCounts counts the requests that were due within one window.
type windowCounts struct {
	sent int
	good int
}

// percentile returns a percentile of the latencies in milliseconds.
func (o outcome) percentile(percent float64) float64 {
	return float64(o.latency.ValueAtQuantile(percent)) / 1000
}

// goodput returns the number of good requests per second.
func (o outcome) goodput(duration time.Duration) float64 {
	return float64(o.good) / duration.Seconds()
}

// run sends requests until the duration is over and waits for their answers. The times
// between requests are exponentially distributed. A request is good if it succeeds
// within its deadline.
func (l load) run(ctx context.Context, call callFunc) outcome {
	random := rand.New(rand.NewPCG(l.seed, l.seed))
	result := outcome{latency: hdrhistogram.New(minLatencyMicroseconds, maxLatencyMicroseconds, latencySignificantDigits)}
	result.windows = append(result.windows, emptyWindows(l.duration)...)
	var mu sync.Mutex
	var group sync.WaitGroup
	start := l.clock.Now()
	for due := start; ctx.Err() == nil; {
		due = due.Add(time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)))
		if due.Sub(start) >= l.duration {
			break
		}
		if pause := due.Sub(l.clock.Now()); pause > 0 {
			l.clock.Sleep(pause)
		}
		index := int(due.Sub(start) / windowLength)
		group.Go(func() {
			good, latency := l.callOnce(ctx, due, call)
			mu.Lock()
			defer mu.Unlock()
			result.add(index, good, latency)
		})
	}
	group.Wait()
	return result
}

func emptyWindows(duration time.Duration) []windowCounts {
	return make([]windowCounts, duration/windowLength+1)
}

// callOnce makes a request and returns whether it was good, and its latency. The latency
// counts from the time at which the request was due, so that it includes the wait of a
// request that was sent late.
func (l load) callOnce(ctx context.Context, due time.Time, call callFunc) (bool, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, l.deadline)
	defer cancel()
	good := call(ctx)
	latency := l.clock.Since(due)
	return good && latency <= l.deadline, latency
}

func (o *outcome) add(index int, good bool, latency time.Duration) {
	o.sent++
	o.windows[index].sent++
	_ = o.latency.RecordValue(latency.Microseconds())
	if !good {
		return
	}
	o.good++
	o.windows[index].good++
}

// recovery returns the time from the start of the load to the first window whose
// requests were all good, or the time of all windows if there was none.
func (o outcome) recovery() time.Duration {
	for i, w := range o.windows {
		if w.sent > 0 && w.good == w.sent {
			return time.Duration(i) * windowLength
		}
	}
	return time.Duration(len(o.windows)) * windowLength
}

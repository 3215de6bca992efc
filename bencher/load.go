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
	shortestLatency = 1
	longestLatency  = 60_000_000
	latencyDigits   = 3

	window = 100 * time.Millisecond
)

// call makes one request and reports whether it was answered well.
type call func(ctx context.Context) bool

// load is an open loop of requests: they come when they come, whether or not
// earlier ones were answered.
type load struct {
	clock    clockwork.Clock
	rate     float64
	duration time.Duration
	deadline time.Duration
	seed     uint64
}

// outcome is what became of a load.
type outcome struct {
	sent    int
	good    int
	latency *hdrhistogram.Histogram
	windows []tally
}

// tally counts the requests that came within one window.
type tally struct {
	sent int
	good int
}

// percentile returns a latency in milliseconds.
func (o outcome) percentile(percent float64) float64 {
	return float64(o.latency.ValueAtQuantile(percent)) / 1000
}

// goodput returns the good answers a second.
func (o outcome) goodput(duration time.Duration) float64 {
	return float64(o.good) / duration.Seconds()
}

// run makes requests at the rate until the duration is over, and waits for
// their answers. A request is good if it was answered well by its deadline.
func (l load) run(ctx context.Context, make call) outcome {
	random := rand.New(rand.NewPCG(l.seed, l.seed))
	result := outcome{latency: hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)}
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
		at := int(due.Sub(start) / window)
		group.Go(func() {
			good, latency := l.one(ctx, due, make)
			mu.Lock()
			defer mu.Unlock()
			result.add(at, good, latency)
		})
	}
	group.Wait()
	return result
}

func emptyWindows(duration time.Duration) []tally {
	return make([]tally, duration/window+1)
}

// one makes a request. Its latency counts from when it was due, so that a load
// that lags behind does not hide waiting.
func (l load) one(ctx context.Context, due time.Time, make call) (bool, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, l.deadline)
	defer cancel()
	good := make(ctx)
	latency := l.clock.Since(due)
	return good && latency <= l.deadline, latency
}

func (o *outcome) add(at int, good bool, latency time.Duration) {
	o.sent++
	o.windows[at].sent++
	_ = o.latency.RecordValue(latency.Microseconds())
	if !good {
		return
	}
	o.good++
	o.windows[at].good++
}

// recovery returns how long it took until all requests of a window were good.
func (o outcome) recovery() time.Duration {
	for i, w := range o.windows {
		if w.sent > 0 && w.good == w.sent {
			return time.Duration(i) * window
		}
	}
	return time.Duration(len(o.windows)) * window
}

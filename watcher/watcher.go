// Package watcher keeps a handler up to date with the keys under a prefix of the store:
// it lists the keys and then watches their changes.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/platform"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay between two requests that fail at once,
	// before its jitter.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// minAnswerTime is how long an answer may take beyond the time that its request waits
	// before the next request is sent. It doubles with each failed request, up to
	// maxAnswerTime, since the store may be slow.
	minAnswerTime = 400 * time.Millisecond
	maxAnswerTime = 1200 * time.Millisecond
)

// Store is the subset of platform.Store that a Watcher uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Item, int64, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platform.Event, int64, error)
}

// Handler receives the items under a prefix and their changes.
type Handler interface {
	// Replace is called with all items that exist. Items of earlier calls that are
	// missing from it have been removed.
	Replace(items []platform.Item)
	// Apply is called with the changes of one answer of the store, in order.
	Apply(events ...platform.Event)
}

// Handlers passes items and changes to several handlers, in their order.
type Handlers []Handler

// Replace implements Handler.
func (h Handlers) Replace(items []platform.Item) {
	for _, handler := range h {
		handler.Replace(items)
	}
}

// Apply implements Handler.
func (h Handlers) Apply(events ...platform.Event) {
	for _, handler := range h {
		handler.Apply(events...)
	}
}

// Watcher lists and watches the keys under a prefix. Its exported fields are set before
// Run.
type Watcher struct {
	Store   Store
	Clock   clockwork.Clock
	Prefix  string
	Handler Handler
	// Read, if set, is called once the handler has got all changes up to a time: that at
	// which the answered request was sent, since the answer may have waited to be read.
	Read func(until time.Time)
	// Wait is how long one watch request waits for a change. A request without an answer
	// hides changes for this time and minAnswerTime.
	Wait time.Duration
	// BatchDelay is the delay between the receipt of changes and the next watch
	// request. Changes in that time arrive in one response, which limits the rate of
	// requests.
	BatchDelay time.Duration
}

// Run lists the keys and watches them until ctx ends. It repeats a failed request at once if
// that took long, or with exponential backoff and jitter. Until one is answered, its requests
// don't wait for a change, so that a silent store is noticed to answer again soon after it
// does. It lists the keys again if the store has compacted the history of the watch. It always
// returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	var revision int64
	var inProgress *requests // nil until the keys were listed
	var lost outage
	for ctx.Err() == nil {
		var err error
		sent := w.Clock.Now()
		if inProgress != nil {
			revision, err = w.watch(ctx, inProgress, lost.failures)
		} else {
			revision, err = w.list(ctx)
		}
		switch {
		case ctx.Err() != nil:
		case err == nil:
			w.logEnd(lost, revision)
			inProgress.endAll()
			inProgress, lost = newRequests(ctx, w, revision), outage{}
		case errors.Is(err, platform.ErrCompacted):
			klog.InfoS("Watched history was compacted; listing the keys again", "prefix", w.Prefix, "after", revision)
			inProgress.endAll()
			inProgress = nil
		default:
			lost = lost.withFailure(sent, w.Clock.Now())
			klog.ErrorS(err, "Store unreachable; retrying", "prefix", w.Prefix, "failures", lost.failures, "took", lost.lastTook)
			w.backOff(ctx, lost)
		}
	}
	inProgress.endAll()
	return nil
}

func (w *Watcher) logEnd(lost outage, revision int64) {
	if lost.failures > 0 {
		klog.InfoS("Store reachable again", "prefix", w.Prefix, "after", revision,
			"failures", lost.failures, "unread", w.Clock.Now().Sub(lost.began), "lastTook", lost.lastTook)
	}
}

// backOff waits until the next request may be sent. The delay counts from when the failed
// request was sent.
func (w *Watcher) backOff(ctx context.Context, lost outage) {
	delay := doubled(minRetryDelay, lost.failures-1, maxRetryDelay)
	select {
	case <-ctx.Done():
	case <-w.Clock.After(delay + rand.N(delay) - lost.lastTook):
	}
}

// doubled returns a duration that has been doubled a number of times, at most limit.
func doubled(duration time.Duration, times int, limit time.Duration) time.Duration {
	for range times {
		if duration >= limit {
			break
		}
		duration *= 2
	}
	return min(duration, limit)
}

func (w *Watcher) list(ctx context.Context) (int64, error) {
	sent := w.Clock.Now()
	items, revision, err := w.Store.List(ctx, w.Prefix)
	if err != nil {
		return 0, err
	}
	w.Handler.Replace(items)
	w.read(sent)
	return revision, nil
}

// watch requests the changes after the last known revision. Its request waits for one only if the request
// before hasn't failed. It takes the answer to an earlier request as well, which may come late.
func (w *Watcher) watch(ctx context.Context, inProgress *requests, failures int) (int64, error) {
	wait := w.Wait
	if failures > 0 {
		wait = 0
	}
	inProgress.send(wait)
	a, err := inProgress.receive(ctx, wait+doubled(minAnswerTime, failures, maxAnswerTime))
	if err != nil {
		return inProgress.revision, err
	}
	if len(a.events) > 0 {
		w.Handler.Apply(a.events...)
	}
	w.read(a.sent)
	if len(a.events) > 0 && w.BatchDelay > 0 {
		select {
		case <-ctx.Done():
		case <-w.Clock.After(w.BatchDelay):
		}
	}
	return a.next, nil
}

func (w *Watcher) read(until time.Time) {
	if w.Read != nil {
		w.Read(until)
	}
}

// outage is a series of failed requests.
type outage struct {
	// began is when the first of them was sent: changes since then haven't been read.
	began    time.Time
	failures int
	// lastTook is how long the last of them took to fail.
	lastTook time.Duration
}

// withFailure returns the outage with one more failed request.
func (o outage) withFailure(sent, failed time.Time) outage {
	if o.failures == 0 {
		o.began = sent
	}
	o.failures++
	o.lastTook = failed.Sub(sent)
	return o
}

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
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
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
	// Apply is called with each change, in order.
	Apply(event platform.Event)
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
	// Wait is how long one watch request waits for a change. An unresponsive
	// connection is detected shortly after that time.
	Wait time.Duration
	// BatchDelay is the delay between the receipt of changes and the next watch
	// request. Changes in that time arrive in one response, which limits the rate of
	// requests.
	BatchDelay time.Duration
}

// Run lists the keys and watches them until ctx ends. It retries failed requests with
// exponential backoff and jitter, and lists the keys again if the store has compacted
// the history of the watch. It always returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	var revision int64
	listed := false
	var lost outage
	retry := minRetryDelay
	for ctx.Err() == nil {
		var err error
		sent := w.Clock.Now()
		if listed {
			revision, err = w.watch(ctx, revision)
		} else {
			revision, err = w.list(ctx)
		}
		if err == nil {
			if lost.failures > 0 {
				klog.InfoS("Store reachable again", "prefix", w.Prefix, "after", revision,
					"failures", lost.failures, "unread", w.Clock.Now().Sub(lost.began), "lastTook", lost.lastTook)
			}
			listed, lost, retry = true, outage{}, minRetryDelay
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, platform.ErrCompacted) {
			klog.InfoS("Watched history was compacted; listing the keys again", "prefix", w.Prefix, "after", revision)
			listed = false
			continue
		}
		lost = lost.withFailure(sent, w.Clock.Now())
		klog.ErrorS(err, "Store unreachable; retrying", "prefix", w.Prefix, "failures", lost.failures, "took", lost.lastTook)
		select {
		case <-ctx.Done():
		case <-w.Clock.After(retry + rand.N(retry)):
		}
		retry = min(2*retry, maxRetryDelay)
	}
	return nil
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

func (w *Watcher) watch(ctx context.Context, revision int64) (int64, error) {
	sent := w.Clock.Now()
	events, next, err := w.Store.Watch(ctx, w.Prefix, revision, w.Wait)
	if err != nil {
		return revision, err
	}
	for _, event := range events {
		w.Handler.Apply(event)
	}
	w.read(sent)
	if len(events) > 0 && w.BatchDelay > 0 {
		select {
		case <-ctx.Done():
		case <-w.Clock.After(w.BatchDelay):
		}
	}
	return next, nil
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

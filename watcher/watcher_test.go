package watcher_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"zinniashore.example/platform"
	"zinniashore.example/watcher"
)

const (
	// changeBound is the platform's bound for a change of the configuration to be known.
	changeBound = 2 * time.Second
	changeKey   = "op/config"
)

// trouble is a span in which the store doesn't serve.
type trouble struct {
	kind     string
	from, to time.Duration
	// latency is how much longer the answers of a slow store take.
	latency time.Duration
}

// Kinds of trouble. A request that waits when one begins fails too.
const (
	silent      = "silent"
	refusing    = "refusing"
	resetting   = "resetting"
	connections = "connections" // silent ones, at one moment
	compacting  = "compacting"  // the history is dropped at one moment
	slow        = "slow"        // answers arrive late
)

// simulatedStore is a store with planned changes and troubles. Times count from its start.
type simulatedStore struct {
	began time.Time
	// length is that of the simulation.
	length   time.Duration
	changes  []time.Duration
	troubles []trouble
	// latency is how long an answer takes on its way.
	latency time.Duration
}

var errRefused = errors.New("refused")

func (s *simulatedStore) now() time.Duration { return time.Since(s.began) }

// revisionAt returns the number of changes until a time.
func (s *simulatedStore) revisionAt(now time.Duration) int64 {
	revision := int64(0)
	for _, at := range s.changes {
		if at <= now {
			revision++
		}
	}
	return revision
}

// compactedAt returns the revision below which the history has been dropped.
func (s *simulatedStore) compactedAt(now time.Duration) int64 {
	revision := int64(0)
	for _, t := range s.troubles {
		if t.kind == compacting && t.from <= now {
			revision = s.revisionAt(t.from)
		}
	}
	return revision
}

// hinder applies the trouble that hits a request which is in progress from a time until now.
func (s *simulatedStore) hinder(ctx context.Context, from time.Duration) error {
	for _, t := range s.troubles {
		if t.from > s.now() || t.to < from || t.kind == compacting || t.kind == slow {
			continue
		}
		switch t.kind {
		case refusing, resetting:
			return errRefused
		}
		if t.kind == connections && t.from < from {
			continue
		}
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// answer waits until a response with the state of now has arrived.
func (s *simulatedStore) answer(ctx context.Context, from time.Duration) error {
	latency := s.latency
	for _, t := range s.troubles {
		if now := s.now(); t.kind == slow && t.from <= now && now < t.to {
			latency += t.latency
		}
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(latency):
	}
	return s.hinder(ctx, from)
}

func (s *simulatedStore) List(ctx context.Context, _ string) ([]platform.Item, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	from := s.now()
	revision := s.revisionAt(from)
	if err := s.answer(ctx, from); err != nil {
		return nil, 0, err
	}
	return []platform.Item{{Key: changeKey, Revision: revision}}, revision, nil
}

// listTimeout is that of platform.Store for one page.
const listTimeout = 1500 * time.Millisecond

func (s *simulatedStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]platform.Event, int64, error) {
	from := s.now()
	for {
		if err := s.hinder(ctx, from); err != nil {
			return nil, after, err
		}
		now := s.now()
		if after < s.compactedAt(now) {
			return nil, after, platform.ErrCompacted
		}
		revision := s.revisionAt(now)
		if revision > after || now >= from+wait {
			if err := s.answer(ctx, from); err != nil {
				return nil, after, err
			}
			var events []platform.Event
			for r := after + 1; r <= revision; r++ {
				events = append(events, platform.Event{Item: platform.Item{Key: changeKey, Revision: r}})
			}
			return events, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// knownAt records when each revision was known.
type knownAt struct {
	store    *simulatedStore
	revision int64
	times    map[int64]time.Duration
}

func (k *knownAt) Replace(items []platform.Item) {
	for _, item := range items {
		k.Apply(platform.Event{Item: item})
	}
}

func (k *knownAt) Apply(events ...platform.Event) {
	for _, event := range events {
		for ; k.revision < event.Revision; k.revision++ {
			k.times[k.revision+1] = k.store.now()
		}
	}
}

// due returns until when a change has to be known.
func (s *simulatedStore) due(change time.Duration) time.Duration {
	due := change + changeBound
	for moved := true; moved; {
		moved = false
		for _, t := range s.troubles {
			if t.from <= due && t.to+changeBound > due {
				due, moved = t.to+changeBound, true
			}
		}
	}
	return due
}

// knownChanges runs a watch on the store and returns when each change was known, 0 for never.
func knownChanges(t *testing.T, store *simulatedStore, w watcher.Watcher) []time.Duration {
	times := make([]time.Duration, len(store.changes))
	synctest.Test(t, func(t *testing.T) {
		store.began = time.Now()
		known := &knownAt{store: store, times: map[int64]time.Duration{}}
		ctx, cancel := context.WithTimeout(t.Context(), store.length)
		defer cancel()
		w.Store, w.Handler, w.Clock = store, known, clockwork.NewRealClock()
		if err := w.Run(ctx); err != nil {
			t.Error(err)
		}
		for i := range times {
			times[i] = known.times[int64(i+1)]
		}
	})
	return times
}

// lateChanges runs a watch on the store and describes the changes that weren't known in time.
func lateChanges(t *testing.T, store *simulatedStore, w watcher.Watcher) []string {
	var late []string
	for i, known := range knownChanges(t, store, w) {
		at := store.changes[i]
		if due := store.due(at); due < store.length && (known == 0 || known > due) {
			late = append(late, fmt.Sprintf("revision %d of %s is known at %s (0 is never), due at %s", i+1, at, known, due))
		}
	}
	return late
}

// watches are the shapes of the watches with a bound of changeBound.
var watches = map[string]watcher.Watcher{
	"without a batch delay": {Wait: time.Second},
	"with a batch delay":    {Wait: 700 * time.Millisecond, BatchDelay: 500 * time.Millisecond},
}

// TestChangeAfterSilenceOfAnyLength guards against a watch that hides a change because its
// request was sent into a silence of the store.
func TestChangeAfterSilenceOfAnyLength(t *testing.T) {
	const first, begin, longest = time.Second, 2 * time.Second, 4 * time.Second
	const phaseStep, lengthStep = 150 * time.Millisecond, 75 * time.Millisecond
	for name, w := range watches {
		t.Run(name, func(t *testing.T) {
			for from := begin; from < begin+w.Wait+w.BatchDelay; from += phaseStep {
				for length := time.Duration(0); length < longest; length += lengthStep {
					silence := trouble{kind: silent, from: from, to: from + length}
					store := &simulatedStore{
						length: silence.to + 2*changeBound, latency: 5 * time.Millisecond, troubles: []trouble{silence},
						changes: []time.Duration{first, silence.to + time.Millisecond},
					}
					for _, late := range lateChanges(t, store, w) {
						t.Errorf("silent from %s for %s: %s", from, length, late)
					}
				}
			}
		})
	}
}

// TestChangeFromSlowStore guards against a watch that hides all changes while answers take longer than its
// requests wait for one, or while the process is too slow to read them in time: each was dropped as lost.
func TestChangeFromSlowStore(t *testing.T) {
	const begin, length = 2 * time.Second, 20 * time.Second
	for _, latency := range []time.Duration{500 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		for name, w := range watches {
			t.Run(fmt.Sprintf("%s, %s", latency, name), func(t *testing.T) {
				store := &simulatedStore{
					length: begin + length, latency: 5 * time.Millisecond,
					troubles: []trouble{{kind: slow, from: begin, to: begin + length, latency: latency}},
				}
				for change := begin; change < begin+length; change += 700 * time.Millisecond {
					store.changes = append(store.changes, change)
				}
				// One answer may have just missed the change, the next one has it.
				bound := 2*latency + changeBound
				for i, known := range knownChanges(t, store, w) {
					change := store.changes[i]
					if due := change + bound; due < store.length && (known == 0 || known > due) {
						t.Errorf("the change at %s is known at %s (0 is never), due at %s", change, known, due)
					}
				}
			})
		}
	}
}

// TestChangesBesideTrouble guards against changes that a watch hides for longer than their
// bound after trouble of the store.
func TestChangesBesideTrouble(t *testing.T) {
	millis := func(d *rapid.T, label string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(d, label)) * time.Millisecond
	}
	rapid.Check(t, func(d *rapid.T) {
		store := &simulatedStore{length: 30 * time.Second, latency: millis(d, "latency", 1, 250)}
		for range rapid.IntRange(1, 8).Draw(d, "changes") {
			store.changes = append(store.changes, millis(d, "change", 0, 25_000))
		}
		for range rapid.IntRange(0, 6).Draw(d, "troubles") {
			kind := rapid.SampledFrom([]string{silent, refusing, resetting, connections, compacting}).Draw(d, "kind")
			from := millis(d, "from", 0, 24_000)
			to := from
			if kind != connections && kind != compacting {
				to += millis(d, "length", 1, 6_000)
			}
			store.troubles = append(store.troubles, trouble{kind: kind, from: from, to: to})
			// What is confirmed as the trouble ends is hidden for longest.
			store.changes = append(store.changes, to+time.Millisecond)
		}
		slices.Sort(store.changes)
		w := watches[rapid.SampledFrom(slices.Sorted(maps.Keys(watches))).Draw(d, "watch")]
		for _, late := range lateChanges(t, store, w) {
			d.Error(late)
		}
	})
}

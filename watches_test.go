package zinniashore

import (
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/archiver"
	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/holder"
	"zinniashore.example/platform"
	"zinniashore.example/standin"
	"zinniashore.example/watcher"
)

const (
	// configurationBound, drainBound and cancelBound are the platform's bounds for a change of
	// the configuration, the drain of a worker and the cancellation of a job to be known.
	configurationBound = 2 * time.Second
	drainBound         = 2 * time.Second
	cancelBound        = 3 * time.Second
	// holderBound is when a process counts as undisturbed again.
	holderBound = 3 * time.Second
)

// keyRecorder records the newest value of each key.
type keyRecorder struct {
	mu     sync.Mutex
	values map[string]string
}

func (r *keyRecorder) Replace(items []platform.Item) {
	for _, item := range items {
		r.Apply(platform.Event{Item: item})
	}
}

func (r *keyRecorder) Apply(events ...platform.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.values == nil {
		r.values = map[string]string{}
	}
	for _, event := range events {
		r.values[event.Key] = string(event.Value)
	}
}

func (r *keyRecorder) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

// follow runs a watch with a recorder in place of its handler, and returns a function that
// returns the newest value of a key.
func follow(t *testing.T, w watcher.Watcher) func(key string) string {
	t.Helper()
	recorder := &keyRecorder{}
	w.Handler, w.Read = recorder, nil
	go func() { _ = w.Run(t.Context()) }()
	return recorder.value
}

// followedWatch is a watch of a process, the key of a change that it has to notice and the
// bound for that.
type followedWatch struct {
	key   string
	bound time.Duration
	// follow starts the watch and returns a function that returns the newest value of key.
	follow func(t *testing.T, store *platform.Store) func(key string) string
}

// cellWatch returns the watch of a prefix by the holder of a cell, and whether there is one.
func cellWatch(store *platform.Store, prefix string) (watcher.Watcher, bool) {
	clock := clockwork.NewRealClock()
	runner := dispatcher.NewRunner(dispatcher.NewCell("graz-a", 1, dispatcher.Limits{}, nil), clock, nil, nil)
	feed := &holder.Feed{Clock: clock, Store: store, Partition: &sharedPartition{}, Cell: "graz-a", Runner: runner}
	for _, w := range feed.Watches() {
		if w.Prefix == prefix {
			return w, true
		}
	}
	return watcher.Watcher{}, false
}

func followedWatches() map[string]followedWatch {
	clock := clockwork.NewRealClock()
	ofCell := func(prefix string) func(*testing.T, *platform.Store) func(string) string {
		return func(t *testing.T, store *platform.Store) func(string) string {
			w, found := cellWatch(store, prefix)
			if !found {
				t.Error("a cell doesn't watch " + prefix)
				return func(string) string { return "" }
			}
			return follow(t, w)
		}
	}
	jobs := archiver.JobPrefix("graz-a")
	return map[string]followedWatch{
		"configuration": {
			key: platform.ConfigurationKey, bound: configurationBound,
			follow: func(t *testing.T, store *platform.Store) func(string) string {
				s := &Scheduler{Clock: clock, store: store, configurations: &configurations{}}
				return follow(t, s.configurationWatch())
			},
		},
		"registrations": {key: platform.RegistrationPrefix + "i-1", bound: drainBound, follow: ofCell(platform.RegistrationPrefix)},
		"jobs":          {key: jobs + "00000000000000a1/cancelled", bound: cancelBound, follow: ofCell(jobs)},
		"holders": {
			key: archiver.HolderPrefix + "graz-a", bound: holderBound,
			follow: func(t *testing.T, store *platform.Store) func(string) string {
				c := &claimer.Claimer{
					Store: store, Clock: clock, Prefix: archiver.HolderPrefix, TermPrefix: archiver.TermPrefix, HomeCells: []string{"graz-b"},
					Eligible: func() bool { return false },
				}
				go func() { _ = c.Run(t.Context()) }()
				return func(string) string {
					registered, _ := c.Holder("graz-a")
					return holderValue(registered.Process)
				}
			},
		},
	}
}

func holderValue(process string) string { return `{"process":"` + process + `"}` }

// longestStall measures until the test ends for how long this process didn't run at most, and
// returns a function that returns that.
func longestStall(t *testing.T) func() time.Duration {
	t.Helper()
	const tick = 10 * time.Millisecond
	var mu sync.Mutex
	longest := time.Duration(0)
	go func() {
		for last := time.Now(); t.Context().Err() == nil; {
			time.Sleep(tick)
			now := time.Now()
			mu.Lock()
			longest = max(longest, now.Sub(last)-tick)
			mu.Unlock()
			last = now
		}
	}()
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return longest
	}
}

func awaitValue(get func(string) string, key, want string, limit time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < limit {
		if get(key) == want {
			return time.Since(began), true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return limit, false
}

// TestChangeAfterSilence guards against a watch that is sent into a silence of the store, or
// over a connection that has gone silent, and that hides confirmed changes for longer than
// their bound after the trouble has ended.
func TestChangeAfterSilence(t *testing.T) {
	silence := func(length time.Duration) func(*standin.PlatformStore) {
		return func(store *standin.PlatformStore) {
			store.SetFaults(standin.PlatformFaults{Silent: true})
			time.Sleep(length)
			store.SetFaults(standin.PlatformFaults{})
		}
	}
	troubles := map[string]func(*standin.PlatformStore){
		"silent connections":     (*standin.PlatformStore).SilenceConnections,
		"store silent for 0.1 s": silence(100 * time.Millisecond),
		"store silent for 0.7 s": silence(700 * time.Millisecond),
		"store silent for 1.5 s": silence(1500 * time.Millisecond),
		"store silent for 2.4 s": silence(2400 * time.Millisecond),
		"store silent for 3.4 s": silence(3400 * time.Millisecond),
		"store silent for 4.1 s": silence(4100 * time.Millisecond),
		"store silent, then connections": func(store *standin.PlatformStore) {
			silence(1500 * time.Millisecond)(store)
			store.SilenceConnections()
		},
	}
	stall := longestStall(t)
	for trouble, cause := range troubles {
		t.Run(trouble, func(t *testing.T) {
			t.Parallel()
			var watches sync.WaitGroup
			for name, watch := range followedWatches() {
				watches.Go(func() {
					took, read := watch.delay(t, cause)
					if limit := watch.bound + stall(); !read || took > limit {
						t.Errorf("%s: the change is known after %s, read %t; want it within %s", name, took.Round(time.Millisecond), read, limit)
					}
				})
			}
			watches.Wait()
		})
	}
}

// delay returns how long after a trouble, and whether at all, the watch has noticed a change
// that was made as the trouble ended.
func (w followedWatch) delay(t *testing.T, cause func(*standin.PlatformStore)) (time.Duration, bool) {
	store := &standin.PlatformStore{}
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", store)
	if err != nil {
		t.Error(err)
		return 0, false
	}
	before, after := holderValue("edge-1"), holderValue("edge-2")
	store.Put(w.key, []byte(before))
	client := platform.NewStore(address)
	value := w.follow(t, client)
	if _, read := awaitValue(value, w.key, before, 10*time.Second); !read {
		return 0, false
	}
	registrations, found := cellWatch(client, platform.RegistrationPrefix)
	if !found {
		t.Error("a cell doesn't watch the registrations")
	}
	time.Sleep(registrations.BatchDelay + 100*time.Millisecond) // the next request waits for a change
	cause(store)
	store.Put(w.key, []byte(after))
	return awaitValue(value, w.key, after, 2*w.bound)
}

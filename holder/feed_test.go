package holder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
	"zinniashore.example/watcher"
)

// unreachableArchive fails to load.
type unreachableArchive struct{}

func (unreachableArchive) Load(context.Context) (dispatcher.StoredCell, error) {
	return dispatcher.StoredCell{}, errors.New("the store is unreachable")
}

func (unreachableArchive) Find(context.Context, string) (dispatcher.StoredJob, bool, error) {
	return dispatcher.StoredJob{}, false, errors.New("the store is unreachable")
}

func (unreachableArchive) Save(context.Context, *dispatcher.Batch) error { return nil }

func (unreachableArchive) ProvenRevision() int64 { return 0 }

func (unreachableArchive) Heartbeat(context.Context) error {
	return errors.New("the store is unreachable")
}

func (unreachableArchive) CheckTerm(context.Context) error {
	return errors.New("the store is unreachable")
}

// TestCellEndsBeforeItIsLoaded guards against a process that can hold no cell any more:
// the handler of stored jobs waited forever for a cell that was lost before it was
// loaded.
func TestCellEndsBeforeItIsLoaded(t *testing.T) {
	runner := dispatcher.NewRunner(dispatcher.NewCell("graz-a", 1, dispatcher.Limits{}, nil), clockwork.NewRealClock(), nil, unreachableArchive{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- runner.Run(ctx) }()
	handled := make(chan struct{})
	go func() {
		defer close(handled)
		jobs := storedJobs{cell: "graz-a", runner: runner}
		jobs.Replace([]platform.Item{{Key: archiver.JobPrefix("graz-a") + "00000000000000a1/cancelled"}})
	}()
	cancel()
	<-ended
	select {
	case <-handled:
	case <-time.After(5 * time.Second):
		t.Fatal("the handler of stored jobs still waits 5 s after the cell has ended")
	}
}

// silentWatchStore answers each call but the first watches, as behind channels that lost
// their other end while they were cut. The cut ends as the last of these watches arrives.
type silentWatchStore struct {
	silent  int64
	watches atomic.Int64
	healed  chan struct{}
}

func (s *silentWatchStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Path != "/api/kv-watch" {
		fmt.Fprint(w, `{"items":[],"as-of":1}`)
		return
	}
	number := s.watches.Add(1)
	if number == s.silent {
		close(s.healed)
	}
	if number <= s.silent {
		<-r.Context().Done()
		return
	}
	fmt.Fprintf(w, `{"events":[{"key":%q,"revision":2,"value":""}],"as-of":2}`, platform.RegistrationPrefix+"i-1")
}

// applied signals each change that it receives.
type applied chan platform.Event

func (applied) Replace([]platform.Item) {}

func (a applied) Apply(events ...platform.Event) {
	for _, event := range events {
		select {
		case a <- event:
		default:
		}
	}
}

// TestRegistrationsAfterSilentWatch guards against starts by registrations that are out of
// date: a watch whose answer never comes hides all changes, and a process counts as in touch
// 3 s after a cut.
func TestRegistrationsAfterSilentWatch(t *testing.T) {
	tests := map[string]struct{ silent int64 }{
		"one watch":    {silent: 1},
		"four watches": {silent: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireChange(t, &silentWatchStore{silent: test.silent, healed: make(chan struct{})})
		})
	}
}

// requireChange fails if no change of a registration arrives soon enough after the store
// has healed.
func requireChange(t *testing.T, store *silentWatchStore) {
	const inTouch = 3 * time.Second
	server := httptest.NewServer(store)
	defer server.Close()
	feed := &Feed{Clock: clockwork.NewRealClock(), Partition: undivided{}, Store: platform.NewStore(server.Listener.Addr().String()), Cell: "graz-a"}
	feed.Runner = dispatcher.NewRunner(dispatcher.NewCell("graz-a", 1, dispatcher.Limits{}, nil), feed.Clock, nil, unreachableArchive{})
	watches := feed.Watches()
	registrations := watches[slices.IndexFunc(watches, func(w watcher.Watcher) bool { return w.Prefix == platform.RegistrationPrefix })]
	changes := make(applied, 1)
	registrations.Handler = changes
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = registrations.Run(ctx) }()
	<-store.healed
	select {
	case <-changes:
	case <-time.After(inTouch):
		t.Errorf("no change of a registration arrives for %v", inTouch)
	}
}

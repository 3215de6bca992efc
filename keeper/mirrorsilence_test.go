package keeper_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/keeper"
	"zinniashore.example/standin"
)

// mirrorBound is the time within which an accepted configuration is in force everywhere.
const mirrorBound = 8 * time.Second

// lostWatchStore is a store that leaves the first watch without an answer.
type lostWatchStore struct {
	standin.Store
	lost atomic.Bool
	// waiting is closed when the lost watch has arrived.
	waiting chan struct{}
}

func (s *lostWatchStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "watch") && s.lost.CompareAndSwap(false, true) {
		close(s.waiting)
		_, _ = io.Copy(io.Discard, r.Body) // the server notices the end of the connection only then
		<-r.Context().Done()
		return
	}
	s.Store.ServeHTTP(w, r)
}

// TestMirrorAfterSilentConnection guards against a mirror that hides a change for longer than
// the bound of a configuration, because the connection of its watch has gone silent.
func TestMirrorAfterSilentConnection(t *testing.T) {
	t.Parallel()
	store := &lostWatchStore{waiting: make(chan struct{})}
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	client := keeper.NewClient(address)
	mirror := &keeper.Mirror{Store: client, Clock: clockwork.NewRealClock(), Prefix: keeper.WatchedPrefix}
	go func() { _ = mirror.Run(t.Context()) }()
	<-store.waiting
	changed := time.Now()
	if _, err := client.Swap(t.Context(), keeper.WatchedPrefix+"config", 0, []byte("{}"), 0); err != nil {
		t.Fatal(err)
	}
	for len(mirror.Entries(keeper.WatchedPrefix)) == 0 {
		if time.Since(changed) > mirrorBound {
			t.Fatalf("the change isn't known after %s", mirrorBound)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

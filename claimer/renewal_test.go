package claimer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/claimer"
	"zinniashore.example/platform"
	"zinniashore.example/standin"
)

// distantStore is a store that requests and answers take a while to reach. Its connections go
// silent once it has answered the first renewal of a lease.
type distantStore struct {
	standin.PlatformStore
	renewals, expired atomic.Int64
}

const distance = 60 * time.Millisecond

func (s *distantStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(distance)
	if !strings.Contains(r.URL.Path, "/kv-keep/") {
		s.PlatformStore.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	s.PlatformStore.ServeHTTP(answer, r)
	if r.Context().Err() != nil {
		return
	}
	if answer.Code == http.StatusNotFound {
		s.expired.Add(1)
	}
	time.Sleep(distance)
	w.WriteHeader(answer.Code)
	// The client may have given up.
	_, _ = w.Write(answer.Body.Bytes())
	if s.renewals.Add(1) == 1 {
		s.SilenceConnections()
	}
}

// TestLeaseBesideSilentConnections guards against a claim that expires because the renewal
// of its lease waits too long for an answer over a connection that has gone silent.
func TestLeaseBesideSilentConnections(t *testing.T) {
	t.Parallel()
	store := &distantStore{}
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	c := &claimer.Claimer{
		Store: platform.NewStore(address), Clock: clockwork.NewRealClock(), Prefix: "zinniashore/holders/", TermPrefix: "zinniashore/terms/",
		Self: claimer.Holder{Process: "edge-1", Address: "127.0.0.1:1", Incarnation: "edge-1/1"}, HomeCells: []string{"graz-a"},
		Eligible: func() bool { return true },
		Hold: func(ctx context.Context, _ string, _ claimer.Term) error {
			<-ctx.Done()
			return nil
		},
		Holds: func(context.Context, claimer.Holder, string) bool { return false },
	}
	go func() { _ = c.Run(t.Context()) }()
	for end := time.Now().Add(15 * time.Second); store.renewals.Load() < 3; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d renewals answered, want 3", store.renewals.Load())
		}
	}
	if expired := store.expired.Load(); expired > 0 {
		t.Errorf("the lease expired %d times", expired)
	}
}

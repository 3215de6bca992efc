package holder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
	"zinniashore.example/standin"
)

// slowWatchStore serves a store whose answers to watches arrive late.
type slowWatchStore struct {
	store *standin.PlatformStore
	delay time.Duration
}

// ServeHTTP implements http.Handler.
func (s *slowWatchStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/kv-watch") {
		s.store.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	s.store.ServeHTTP(answer, r)
	select {
	case <-r.Context().Done():
	case <-time.After(s.delay):
		w.WriteHeader(answer.Code)
		// The error is ignored: the client may have disconnected.
		_, _ = w.Write(answer.Body.Bytes())
	}
}

// TestJobFromSlowWatch guards against an accepted job that its holder never learns of, since it drops each answer of the
// store that comes later than expected, and the delivery to it has failed.
func TestJobFromSlowWatch(t *testing.T) {
	const bound = 10 * time.Second // for which an accepted job may have no run
	tests := map[string]struct{ delay time.Duration }{
		"0.1 s later than a first request may take": {delay: 1500 * time.Millisecond},
		"twice as late as others may":               {delay: 2400 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(&slowWatchStore{store: &standin.PlatformStore{}, delay: test.delay})
			t.Cleanup(server.Close)
			store := platform.NewStore(server.Listener.Addr().String())
			archive := &archiver.Archiver{Store: store}
			acceptTestJob(t, archive)
			runner := holdTestCell(t, store)
			const late = "00000000000000a2"
			record, err := dispatcher.EncodeJob(dispatcher.Job{ID: late, Occurrences: 1, Steps: []dispatcher.Step{{Count: 1}}})
			if err != nil {
				t.Fatal(err)
			}
			if err := archive.Accept(t.Context(), []archiver.AcceptedJob{{ID: late, Cell: testCell, Record: record}}); err != nil {
				t.Fatal(err)
			}
			waitFor(t, bound, "the holder knows the job", func() bool {
				_, known := runner.State(late)
				return known
			})
		})
	}
}

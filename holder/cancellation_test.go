package holder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/archiver"
	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
	"zinniashore.example/recorder"
	"zinniashore.example/standin"
)

const (
	// cancelTimeout is the shortest time that a platform allows between the
	// acknowledgement of a cancellation and the last start of a task of the job.
	cancelTimeout = 3 * time.Second
	testCell      = "graz-a"
	testJob       = "00000000000000a1"
)

// noEvents drops events.
type noEvents struct{}

func (noEvents) Record(recorder.Event) recorder.Timestamp { return recorder.Timestamp{} }

// undivided is the division that has one cell in each failure domain, of the domain's name.
type undivided struct{}

func (undivided) Contains(cell string, worker dispatcher.Registration) bool {
	return worker.FailureDomain == cell
}

func (undivided) In(cell, failureDomain string) bool { return cell == failureDomain }

// watchLoser serves a store and loses the answer of one watch of the jobs of a cell.
type watchLoser struct {
	store *standin.PlatformStore

	mu   sync.Mutex
	lose bool
}

func (l *watchLoser) loseNext() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = true
}

func (l *watchLoser) takeLoss() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := l.lose
	l.lose = false
	return lost
}

// ServeHTTP implements http.Handler.
func (l *watchLoser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query().Get("prefix")
	if !strings.HasSuffix(r.URL.Path, "/kv-watch") || query != archiver.JobPrefix(testCell) {
		l.store.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	l.store.ServeHTTP(answer, r)
	if l.takeLoss() {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(answer.Code)
	// The error is ignored: the client may have disconnected.
	_, _ = w.Write(answer.Body.Bytes())
}

// acceptTestJob accepts the test job for the test cell.
func acceptTestJob(t *testing.T, archive *archiver.Archiver) {
	t.Helper()
	record, err := dispatcher.EncodeJob(dispatcher.Job{
		ID: testJob, Occurrences: 1, Steps: []dispatcher.Step{{Count: 1, Estimate: time.Second}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := archive.Accept(t.Context(), []archiver.AcceptedJob{{ID: testJob, Cell: testCell, Record: record}}); err != nil {
		t.Fatal(err)
	}
}

// holdTestCell holds the test cell, and returns its runner once the test job is known.
func holdTestCell(t *testing.T, store *platform.Store) *dispatcher.Runner {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	epoch, err := store.Commit(ctx, platform.Transaction{Writes: []platform.Item{{Key: archiver.TermPrefix + testCell}}})
	if err != nil {
		t.Fatal(err)
	}
	cells := &Cells{
		Clock: clockwork.NewRealClock(), Store: store, Workers: platform.NewWorkers(), Archiver: &archiver.Archiver{Store: store}, Recorder: noEvents{},
		Partition: undivided{},
		Settings:  platform.Settings{MaxGrant: 10 * time.Second, StateRetention: time.Minute},
	}
	ended := make(chan error, 1)
	go func() { ended <- cells.Run(ctx, testCell, claimer.Term{Epoch: epoch}) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	var runner *dispatcher.Runner
	waitFor(t, 5*time.Second, "the cell knows the job", func() bool {
		if runner = cells.Runner(testCell); runner == nil {
			return false
		}
		_, known := runner.State(testJob)
		return known
	})
	return runner
}

func waitFor(t *testing.T, limit time.Duration, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

// TestStoredCancellationAfterLostWatch guards against tasks that start after the
// cancellation of their job was acknowledged: a holder whose watch got no answer learned
// of a stored cancellation 6 s later.
func TestStoredCancellationAfterLostWatch(t *testing.T) {
	loser := &watchLoser{store: &standin.PlatformStore{}}
	server := httptest.NewServer(loser)
	t.Cleanup(server.Close)
	store := platform.NewStore(server.Listener.Addr().String())
	archive := &archiver.Archiver{Store: store}
	acceptTestJob(t, archive)
	runner := holdTestCell(t, store)
	loser.loseNext()
	if err := archive.Cancel(t.Context(), testJob); err != nil {
		t.Fatal(err)
	}
	waitFor(t, cancelTimeout, "the holder has cancelled the job", func() bool {
		state, _ := runner.State(testJob)
		return state == dispatcher.StateCancelled
	})
}

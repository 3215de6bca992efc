package zinniashore

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/recorder"
	"zinniashore.example/relayer"
)

// noEvents drops events.
type noEvents struct{}

func (noEvents) Record(recorder.Event) recorder.Timestamp { return recorder.Timestamp{} }

// busyCells are the cells of a holder that is behind: it answers no query.
type busyCells struct {
	relayer.Cells
	queried atomic.Int64
}

func (c *busyCells) Runner(string) *dispatcher.Runner {
	c.queried.Add(1)
	return dispatcher.NewRunner(dispatcher.NewCell("graz-a", 1, dispatcher.Limits{}, noEvents{}), clockwork.NewRealClock(), nil, nil)
}

// TestCapacityOfBusyHolder guards against submissions that wait for a holder that is behind, and
// that add to its work: each query got 150 ms, and there was no bound on their number.
func TestCapacityOfBusyHolder(t *testing.T) {
	const asked, patience, most, unanswered = 40, 5 * time.Millisecond, time.Second, 3
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cells := &busyCells{}
	server := relayer.NewGRPCServer(&relayer.Server{Cells: cells})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	queries := &capacityQueries{claimer: &claimer.Claimer{}, heldCells: testRunners{}, peers: &relayer.Client{}}
	t.Cleanup(queries.peers.Close)
	holders := map[string]claimer.Holder{"graz-a": {Process: "edge-1", Address: listener.Addr().String()}}
	began := time.Now()
	for range asked {
		if found := queries.ask(t.Context(), holders, patience, "shop", dispatcher.StepID{}, dispatcher.Step{Count: 1}); len(found) > 0 {
			t.Fatalf("the silent holder answered: %v", found)
		}
	}
	took := time.Since(began)
	if took > most {
		t.Errorf("%d questions took %s, want at most %s", asked, took, most)
	}
	if bound := int64(unanswered * (took/capacityQueryTimeout + 2)); cells.queried.Load() > bound {
		t.Errorf("the holder got %d queries, want at most %d", cells.queried.Load(), bound)
	}
	waitFor(t, 5*time.Second, "the holder is asked again", func() bool {
		before := cells.queried.Load()
		queries.ask(t.Context(), holders, patience, "shop", dispatcher.StepID{}, dispatcher.Step{Count: 1})
		return cells.queried.Load() > before
	})
}

func waitFor(t *testing.T, limit time.Duration, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

package claimer_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/claimer"
	"zinniashore.example/platform"
)

const (
	holderKey = "holders/graz-a"
	termKey   = "terms/graz-a"
	// nextHolder and nextTerm are the values of a holder edge-2 that has begun its term.
	nextHolder = `{"process":"edge-2","address":"127.0.0.1:1","incarnation":"edge-2/1"}`
	nextTerm   = `{"token":"1","holder":` + nextHolder + `}`
)

// TestReleaseKeepsNextHolder guards against two holders that act at a time: a process that shuts down releases
// the cell in the name of the holder that has taken it over, so that a third one takes that one for ended, and
// what the first one reports about workers for what the second one knows.
func TestReleaseKeepsNextHolder(t *testing.T) {
	_, _, address := newHarness(t)
	store := platform.NewStore(address)
	began, superseded, mayEnd := make(chan struct{}), make(chan struct{}), make(chan struct{})
	c := &claimer.Claimer{
		Store: store, Clock: clockwork.NewRealClock(), Prefix: "holders/", TermPrefix: "terms/", HomeCells: []string{"graz-a"},
		Self:     claimer.Holder{Process: "edge-1", FailureDomain: "graz-a", Address: "127.0.0.1:1", Incarnation: "edge-1/1"},
		Eligible: func() bool { return true },
		Holds:    func(context.Context, claimer.Holder, string) bool { return false },
		Hold: func(ctx context.Context, _ string, _ claimer.Term) error {
			close(began)
			<-ctx.Done()
			close(superseded)
			<-mayEnd // calls that are in flight end
			return nil
		},
	}
	ctx, shutDown := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	<-began
	if _, err := store.Commit(t.Context(), platform.Transaction{
		Writes: []platform.Item{{Key: holderKey, Value: []byte(nextHolder)}, {Key: termKey, Value: []byte(nextTerm)}},
	}); err != nil {
		t.Fatal(err)
	}
	<-superseded
	shutDown()
	close(mayEnd)
	<-done
	item, err := store.Get(t.Context(), holderKey)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(item.Value), "edge-2") {
		t.Errorf("after the shutdown of edge-1 the holder key is %s, want that of edge-2", item.Value)
	}
}

// TestReleaseAfterAnotherTerm guards against two runs of a task: a process releases the cell after another one
// has begun a term and lost its registration. A third one takes that other one for ended, and the leases of its
// workers for those that the first one reports.
func TestReleaseAfterAnotherTerm(t *testing.T) {
	h, _, address := newHarness(t)
	stop := h.start(t, "edge-1", address)
	receive(t, h.began)
	h.awaitKnown(t, "edge-1", "edge-1")
	if _, err := platform.NewStore(address).Commit(t.Context(), platform.Transaction{
		Writes: []platform.Item{{Key: termKey, Value: []byte(nextTerm)}}, Remove: []string{holderKey},
	}); err != nil {
		t.Fatal(err)
	}
	for limit := time.Now().Add(waitLimit); h.claimers["edge-1"].HasHolder("graz-a"); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("edge-1 doesn't learn that the key of the cell was removed")
		}
	}
	stop()
	h.start(t, "edge-3", address)
	third := receive(t, h.began)
	if len(third.earlier) != 1 || third.earlier[0].Process != "edge-2" {
		t.Errorf("the term of %s names the earlier holders %+v, want edge-2", third.process, third.earlier)
	}
}

package submitter_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/keeper"
	"zinniashore.example/placer"
	"zinniashore.example/standin"
	"zinniashore.example/submitter"
)

func newSubmitter(t *testing.T, store *standin.Store, writer string) *submitter.Submitter {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	clock := clockwork.NewRealClock()
	client := keeper.NewClient(strings.TrimPrefix(server.URL, "http://"))
	k := &keeper.Keeper{Store: client, Clock: clock, Writer: writer}
	return &submitter.Submitter{Keeper: k, Clock: clock}
}

func sorting(name string) submitter.Job {
	return submitter.Job{
		Organisation: "moka", Name: name, Cell: "vacoas-1", Template: "sorting",
		Tasks: 3, Size: placer.Size{Processors: 1000, Memory: 1 << 30}, Work: time.Minute,
	}
}

// TestSubmitIsIdempotent checks repeated submissions when the store loses answers.
func TestSubmitIsIdempotent(t *testing.T) {
	changed := sorting("night")
	changed.Tasks = 4
	elsewhere := sorting("night")
	elsewhere.Cell = "vacoas-2"
	invalid := sorting("night/2")
	tests := map[string]struct {
		second    submitter.Job
		conflict  bool
		invalid   bool
		wantWrite int64
	}{
		"same content":           {second: sorting("night"), wantWrite: 1},
		"same content, new cell": {second: elsewhere, wantWrite: 1},
		"other content":          {second: changed, conflict: true, wantWrite: 1},
		"invalid name":           {second: invalid, invalid: true, wantWrite: 1},
		"other name":             {second: sorting("day"), wantWrite: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := &standin.Store{}
			s := newSubmitter(t, store, "a")
			store.SetFaults(standin.StoreFaults{LoseAnswers: 1})
			first, err := s.Submit(t.Context(), sorting("night"))
			if err != nil {
				t.Fatal(err)
			}
			before := store.Counts()["swap"]
			second, err := s.Submit(t.Context(), test.second)
			var conflict *submitter.ConflictError
			var invalid *submitter.InvalidError
			if errors.As(err, &conflict) != test.conflict || errors.As(err, &invalid) != test.invalid {
				t.Fatalf("err = %v", err)
			}
			if err == nil && test.wantWrite == 1 && !second.Submitted.Equal(first.Submitted) {
				t.Errorf("submitted %v, want that of the stored job %v", second.Submitted, first.Submitted)
			}
			if got := store.Counts()["swap"] - before + 1; got != test.wantWrite {
				t.Errorf("%d writes, want %d", got, test.wantWrite)
			}
		})
	}
}

// TestOutcomeIsRecordedOnce checks that the first outcome is kept when two outcomes and
// a cancellation race, whatever their order.
func TestOutcomeIsRecordedOnce(t *testing.T) {
	store := &standin.Store{}
	writers := []*submitter.Submitter{newSubmitter(t, store, "a"), newSubmitter(t, store, "b"), newSubmitter(t, store, "c")}
	if _, err := writers[0].Submit(t.Context(), sorting("night")); err != nil {
		t.Fatal(err)
	}
	store.SetFaults(standin.StoreFaults{LoseEvery: 2})
	results := make([]submitter.Job, 2)
	var wait sync.WaitGroup
	finish := func(i int, state submitter.JobState) {
		job, err := writers[i].Finish(context.Background(), "moka", "night", state, "", i+1, 0)
		if err != nil {
			t.Error(err)
		}
		results[i] = job
	}
	wait.Go(func() { finish(0, submitter.JobDone) })
	wait.Go(func() { finish(1, submitter.JobFailed) })
	wait.Go(func() {
		if _, err := writers[2].Cancel(context.Background(), "moka", "night"); err != nil {
			t.Error(err)
		}
	})
	wait.Wait()
	if results[0].State != results[1].State || results[0].DoneTasks != results[1].DoneTasks {
		t.Errorf("outcomes differ: %+v and %+v", results[0], results[1])
	}
	if purged, err := writers[0].Purge(t.Context(), "moka", "night", results[0].Finished); purged || err != nil {
		t.Errorf("purge at the time of the outcome: %v, %v", purged, err)
	}
	if purged, err := writers[0].Purge(t.Context(), "moka", "night", results[0].Finished.Add(time.Hour)); !purged || err != nil {
		t.Errorf("purge later: %v, %v", purged, err)
	}
}

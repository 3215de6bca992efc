package keeper_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/keeper"
	"zinniashore.example/standin"
)

// TestConcurrentUpdatesWithLostAnswers checks that each of several updates of one
// document by one Keeper takes effect exactly once if it returns nil, even if the
// answer to one update is lost while another takes effect.
func TestConcurrentUpdatesWithLostAnswers(t *testing.T) {
	const updaters, updates = 4, 8
	store := &standin.Store{}
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	store.SetFaults(standin.StoreFaults{LoseEvery: 3})
	k := &keeper.Keeper{Store: keeper.NewClient(address), Clock: clockwork.NewRealClock(), Writer: "w"}
	add := func(current keeper.Document) ([]byte, error) {
		var count int
		if current.Body != nil {
			if err := json.Unmarshal(current.Body, &count); err != nil {
				return nil, err
			}
		}
		return json.Marshal(count + 1)
	}
	var running sync.WaitGroup
	for range updaters {
		running.Go(func() {
			for range updates {
				known, err := k.Update(t.Context(), "counter", add)
				if err != nil {
					t.Errorf("Update: %v", err)
				}
				if _, err := k.UpdateFrom(t.Context(), known, add); err != nil {
					t.Errorf("UpdateFrom: %v", err)
				}
			}
		})
	}
	running.Wait()
	document, err := k.Read(t.Context(), "counter")
	if err != nil {
		t.Fatal(err)
	}
	var count int
	if err := json.Unmarshal(document.Body, &count); err != nil || count != 2*updaters*updates {
		t.Errorf("%d updates took effect, %v, want %d", count, err, 2*updaters*updates)
	}
}

// tombstoneStore is a store from which no key is ever removed.
type tombstoneStore struct{ keeper.Store }

func (u tombstoneStore) Swap(ctx context.Context, key string, expected int64, value []byte, lease keeper.LeaseID) (int64, error) {
	if value == nil {
		return 0, &keeper.UnavailableError{Operation: "swap"}
	}
	return u.Store.Swap(ctx, key, expected, value, lease)
}

// TestDeletedDocumentIsAbsent checks that a deleted document is absent for all readers
// even if the removal of its key failed, and that it can be created again.
func TestDeletedDocumentIsAbsent(t *testing.T) {
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", &standin.Store{})
	if err != nil {
		t.Fatal(err)
	}
	client := keeper.NewClient(address)
	k := &keeper.Keeper{Store: tombstoneStore{Store: client}, Clock: clockwork.NewRealClock(), Writer: "w"}
	for i, body := range []string{`1`, ``, `2`, ``} {
		written, err := k.Update(t.Context(), "key", func(current keeper.Document) ([]byte, error) {
			if (current.Body == nil) != (i%2 == 0) {
				t.Errorf("update %d saw body %q", i, current.Body)
			}
			if body == "" {
				return nil, nil
			}
			return []byte(body), nil
		})
		if err != nil || string(written.Body) != body {
			t.Fatalf("update %d: %q, %v", i, written.Body, err)
		}
		listing, err := client.List(t.Context(), "")
		if err != nil || len(listing.Entries) != 1-i%2 {
			t.Errorf("update %d: listed %v, %v", i, listing.Entries, err)
		}
	}
}

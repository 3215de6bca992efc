package keeper_test

import (
	"encoding/json"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/keeper"
	"zinniashore.example/standin"
)

// TestConcurrentUpdatesWithLostAnswers holds that of several updates of one
// document by one Keeper each takes effect exactly once if it returns nil, also
// where the answer to one is lost while another takes effect.
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

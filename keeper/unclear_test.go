package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
)

// memoryStore is a Store in memory. If losesNext is set, the answer to the next swap
// is lost: appliesLost is whether that swap takes effect, and afterLoss makes the
// writes of other writers before its caller gets the error.
type memoryStore struct {
	Store
	mu          sync.Mutex
	revision    int64
	entries     map[string]Entry
	appliesLost bool
	losesNext   bool
	afterLoss   func()
	random      *rand.Rand
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: map[string]Entry{}} }

func (m *memoryStore) Get(_ context.Context, key string) (Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.entries[key]
	entry.Key = key
	return entry, nil
}

func (m *memoryStore) put(key string, expected int64, value []byte) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.entries[key]
	current.Key = key
	if current.Version != expected {
		return 0, &ConflictError{Current: current, Expected: expected}
	}
	m.revision++
	delete(m.entries, key)
	if value != nil {
		m.entries[key] = Entry{Key: key, Value: value, Version: m.revision}
	}
	return m.revision, nil
}

func (m *memoryStore) Swap(_ context.Context, key string, expected int64, value []byte, _ LeaseID) (int64, error) {
	if m.random != nil {
		return m.swapAtRandom(key, expected, value)
	}
	if !m.losesNext {
		return m.put(key, expected, value)
	}
	m.losesNext = false
	if m.appliesLost {
		_, _ = m.put(key, expected, value)
	}
	m.afterLoss()
	return 0, &UnclearError{Operation: "swap", Err: errors.New("lost")}
}

// swapAtRandom loses answers at random, before and after the effect.
func (m *memoryStore) swapAtRandom(key string, expected int64, value []byte) (int64, error) {
	m.mu.Lock()
	draw := m.random.IntN(4)
	m.mu.Unlock()
	lost := &UnclearError{Operation: "swap", Err: errors.New("lost")}
	if draw == 0 {
		return 0, lost
	}
	version, err := m.put(key, expected, value)
	if draw == 1 {
		return 0, lost
	}
	return version, err
}

func addOne(current Document) ([]byte, error) {
	var count int
	if current.Body != nil {
		if err := json.Unmarshal(current.Body, &count); err != nil {
			return nil, err
		}
	}
	return json.Marshal(count + 1)
}

func remove(Document) ([]byte, error) { return nil, nil }

func TestLostAnswerIsNeverMistaken(t *testing.T) {
	tests := map[string]struct {
		applies bool
		change  ChangeFunc
		// adds is the number of writes of other writers before the caller misses the
		// answer.
		adds    int
		deletes bool
		// creates starts from an absent document.
		creates bool
		unclear bool
		want    int
	}{
		"applied, nobody else":             {applies: true, change: addOne, want: 2},
		"not applied, nobody else":         {change: addOne, want: 2},
		"applied, others within history":   {applies: true, change: addOne, adds: maxMarks - 1, want: maxMarks + 1},
		"not applied, others":              {change: addOne, adds: maxMarks, want: maxMarks + 2},
		"applied, others beyond history":   {applies: true, change: addOne, adds: maxMarks, unclear: true, want: maxMarks + 2},
		"not applied, beyond history":      {change: addOne, adds: maxMarks + 1, unclear: true, want: maxMarks + 2},
		"applied, then deleted":            {applies: true, change: addOne, deletes: true, unclear: true},
		"applied, deleted and written":     {applies: true, change: addOne, deletes: true, adds: 1, unclear: true, want: 1},
		"creation applied":                 {creates: true, applies: true, change: addOne, want: 1},
		"creation not applied":             {creates: true, change: addOne, unclear: true},
		"creation applied, deleted":        {creates: true, applies: true, change: addOne, deletes: true, unclear: true},
		"creation applied, created anew":   {creates: true, applies: true, change: addOne, deletes: true, adds: 1, unclear: true, want: 1},
		"deletion applied":                 {applies: true, change: remove},
		"deletion applied, written anew":   {applies: true, change: remove, adds: 1, want: 1},
		"deletion not applied, as another": {change: remove, deletes: true, unclear: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewRealClock()
			store := newMemoryStore()
			k := &Keeper{Store: store, Clock: clock, Writer: "w"}
			if _, err := k.Update(t.Context(), "key", addOne); err != nil && !tc.creates {
				t.Fatal(err)
			}
			if tc.creates {
				_, _ = k.Update(t.Context(), "key", remove)
			}
			store.appliesLost, store.losesNext = tc.applies, true
			store.afterLoss = func() {
				if tc.deletes {
					other := &Keeper{Store: store, Clock: clock, Writer: "deleter"}
					_, _ = other.Update(t.Context(), "key", remove)
				}
				for i := range tc.adds {
					other := &Keeper{Store: store, Clock: clock, Writer: fmt.Sprint("other", i)}
					_, _ = other.Update(t.Context(), "key", addOne)
				}
			}
			written, err := k.Update(t.Context(), "key", tc.change)
			var unclear *UnclearError
			if errors.As(err, &unclear) != tc.unclear {
				t.Errorf("error %v, want unclear %v", err, tc.unclear)
			}
			if head := store.entries["key"].Version; err == nil && tc.applies && tc.adds > 0 && written.Version >= head {
				t.Errorf("own write has version %d, the head %d", written.Version, head)
			}
			if got := countAt(t, k); got != tc.want {
				t.Errorf("count %d, want %d", got, tc.want)
			}
		})
	}
}

func countAt(t *testing.T, k *Keeper) int {
	t.Helper()
	document, err := k.Read(t.Context(), "key")
	if err != nil {
		t.Fatal(err)
	}
	var count int
	if document.Body != nil {
		if err := json.Unmarshal(document.Body, &count); err != nil {
			t.Fatal(err)
		}
	}
	return count
}

// counterOperation is an operation on the counter with the result that its caller saw.
type counterOperation struct {
	deletes, unclear bool
	before           int
}

var counterModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		count, in, out := state.(int), input.(counterOperation), output.(counterOperation)
		after := count + 1
		if in.deletes {
			after = 0
		}
		switch {
		case out.unclear:
			return []any{count, after}
		case out.before == count:
			return []any{after}
		default:
			return nil
		}
	},
}).ToModel()

func TestUpdatesAreLinearizable(t *testing.T) {
	const writers, updates, seeds = 6, 8, 3
	for seed := range uint64(seeds) {
		store := newMemoryStore()
		store.random = rand.New(rand.NewPCG(seed, seed))
		var mu sync.Mutex
		var history []porcupine.Operation
		var running sync.WaitGroup
		start := time.Now()
		for w := range writers {
			k := &Keeper{Store: store, Clock: clockwork.NewRealClock(), Writer: fmt.Sprint(w)}
			running.Go(func() {
				for i := range updates {
					in := counterOperation{deletes: (w+i)%5 == 0}
					called := time.Since(start).Nanoseconds()
					out := in.run(t.Context(), k)
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: w, Input: in, Call: called, Output: out, Return: time.Since(start).Nanoseconds(),
					})
					mu.Unlock()
				}
			})
		}
		running.Wait()
		if !porcupine.CheckOperations(counterModel, history) {
			t.Errorf("seed %d: the history is not linearizable", seed)
		}
	}
}

func (s counterOperation) run(ctx context.Context, k *Keeper) counterOperation {
	_, err := k.Update(ctx, "key", func(current Document) ([]byte, error) {
		s.before = 0
		if current.Body != nil {
			_ = json.Unmarshal(current.Body, &s.before)
		}
		if s.deletes {
			return nil, nil
		}
		return json.Marshal(s.before + 1)
	})
	s.unclear = err != nil
	return s
}

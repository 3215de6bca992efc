package deduper

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"zinniashore.example/recorder"
	"zinniashore.example/seater"
)

const (
	testWindow = 10 * time.Minute
	testSkew   = 2 * time.Second
	testLimit  = 4
)

// fixedHome implements Homes with the same home for every key.
type fixedHome struct{ at seater.Home }

func (f *fixedHome) Home(string) seater.Home { return f.at }

// home is a process that may hold the seat to which all keys hash.
type home struct {
	*Deduper
	clock *clockwork.FakeClock
	seat  *fixedHome
}

func newHome(now time.Time) *home {
	h := &home{clock: clockwork.NewFakeClockAt(now), seat: &fixedHome{}}
	h.restart()
	return h
}

// restart discards the state of the process, as a crash does.
func (h *home) restart() {
	h.seat.at = seater.Home{}
	h.Deduper = &Deduper{
		Clock: h.clock, Recorder: &recorder.Recorder{Clock: h.clock, Capacity: 1}, Homes: h.seat,
		Window: testWindow, Skew: testSkew, Limit: testLimit, AnswerBytes: 64,
	}
}

// acquireSeat makes the process the holder of the seat as of the current time.
func (h *home) acquireSeat(epoch int64) {
	h.seat.at = seater.Home{Local: true, Known: true, Epoch: epoch, Since: h.clock.Now()}
}

func mint(at time.Time) string {
	id := uuid.New()
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (8 * (5 - i)))
	}
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

// keyHistory is the actual history of a key, with which decisions are compared.
type keyHistory struct {
	key      string
	attempts int
	running  bool
	// runs is the number of runs that ended with another outcome than not_run.
	runs   int
	answer string
}

// cluster is two homes between which the seat of all keys moves.
type cluster struct {
	homes  []*home
	holder int
	epoch  int64
	keys   []*keyHistory
}

func (c *cluster) now() time.Time { return c.homes[0].clock.Now() }

func (c *cluster) move(to int) {
	for _, k := range c.keys {
		if k.running {
			return
		}
	}
	c.homes[c.holder].seat.at = seater.Home{}
	c.holder = to
	c.epoch++
	c.homes[to].acquireSeat(c.epoch)
}

// crash restarts the holder; the attempts that it was running may have taken effect.
func (c *cluster) crash() {
	c.homes[c.holder].restart()
	for _, k := range c.keys {
		if k.running {
			k.running = false
			k.runs++
		}
	}
}

func (c *cluster) attempt(t *rapid.T, k *keyHistory, h *home) {
	k.attempts++
	ctx, cancel := context.WithCancel(t.Context())
	if k.running {
		cancel()
	}
	defer cancel()
	verdict, err := h.Begin(ctx, k.key, k.attempts)
	if err != nil {
		t.Fatal(err)
	}
	switch verdict.Decision {
	case DecisionRun:
		if k.runs > 0 || k.running {
			t.Fatalf("key runs again at attempt %d: %+v", k.attempts, *k)
		}
		k.running = true
	case DecisionAnswered:
		if k.runs != 1 || string(verdict.Answer) != k.answer {
			t.Fatalf("answered %q, want %q of %d runs", verdict.Answer, k.answer, k.runs)
		}
	case DecisionNotRun:
		if k.runs > 0 || k.running {
			t.Fatalf("called not run at attempt %d (%s): %+v", k.attempts, verdict.Reason, *k)
		}
	}
}

func (c *cluster) finish(k *keyHistory, outcome string) {
	k.running = false
	if outcome != OutcomeNotRun {
		k.runs++
		k.answer = "answer to " + k.key[:8]
	}
	c.homes[c.holder].Finish(k.key, outcome, []byte(k.answer))
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		c := &cluster{homes: []*home{newHome(start), newHome(start.Add(testSkew / 2))}}
		c.move(0)
		drawKey := func(t *rapid.T) *keyHistory {
			if len(c.keys) == 0 {
				t.Skip("no key yet")
			}
			return rapid.SampledFrom(c.keys).Draw(t, "key")
		}
		t.Repeat(map[string]func(*rapid.T){
			"mint": func(t *rapid.T) {
				skew := rapid.Int64Range(-int64(testSkew/2), int64(testSkew/2)).Draw(t, "skew")
				k := &keyHistory{key: mint(c.now().Add(time.Duration(skew)))}
				c.keys = append(c.keys, k)
				c.attempt(t, k, c.homes[c.holder])
			},
			"attempt": func(t *rapid.T) { c.attempt(t, drawKey(t), c.homes[c.holder]) },
			"attempt at another": func(t *rapid.T) {
				if k := drawKey(t); !k.running {
					c.attempt(t, k, c.homes[1-c.holder])
				}
			},
			"finish": func(t *rapid.T) {
				if k := drawKey(t); k.running {
					c.finish(k, rapid.SampledFrom([]string{"ok", OutcomeUnknown, OutcomeNotRun}).Draw(t, "outcome"))
				}
			},
			"move":  func(*rapid.T) { c.move(1 - c.holder) },
			"crash": func(*rapid.T) { c.crash(); c.move(c.holder) },
			"pass": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second
				for _, h := range c.homes {
					h.clock.Advance(d)
				}
			},
		})
	})
}

func TestConcurrentDuplicateWaits(t *testing.T) {
	tests := map[string]struct {
		outcome string
		answer  string
		want    Decision
	}{
		"answered":         {outcome: "ok", answer: "whole", want: DecisionAnswered},
		"unknown":          {outcome: OutcomeUnknown, want: DecisionUnknown},
		"not run":          {outcome: OutcomeNotRun, want: DecisionNotRun},
		"answer too large": {outcome: "ok", answer: fmt.Sprintf("%65d", 0), want: DecisionUnknown},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHome(time.Unix(1_800_000_000, 0))
			h.acquireSeat(1)
			h.clock.Advance(time.Minute)
			key := mint(h.clock.Now())
			if v, err := h.Begin(t.Context(), key, 1); err != nil || v.Decision != DecisionRun {
				t.Fatalf("first attempt: %+v, %v", v, err)
			}
			var duplicates sync.WaitGroup
			for attempt := range 8 {
				duplicates.Go(func() {
					v, err := h.Begin(t.Context(), key, attempt+1)
					if err != nil || v.Decision != tc.want {
						t.Errorf("attempt %d: %+v, %v, want %s", attempt+1, v, err, tc.want)
					}
				})
			}
			if tc.outcome == OutcomeNotRun {
				// A duplicate that begins after Finish may run, so all begin before it.
				waitForDuplicates(h)
			}
			h.Finish(key, tc.outcome, []byte(tc.answer))
			duplicates.Wait()
		})
	}
}

// waitForDuplicates returns once all 8 duplicates have found the entry of the key.
func waitForDuplicates(h *home) {
	for h.waitingDuplicates.Load() < 8 {
		time.Sleep(time.Millisecond)
	}
}

func TestRefusals(t *testing.T) {
	const old = testWindow + time.Second
	tests := map[string]struct {
		// minted is the creation time of the key relative to the attempt; held is how
		// long the process has held the seat.
		minted, held time.Duration
		attempt      int
		away         bool
		others       int
		want         Decision
	}{
		"fresh":                          {held: old, attempt: 1, want: DecisionRun},
		"retry whose history is known":   {held: old, attempt: 2, want: DecisionRun},
		"retry older than the home":      {held: time.Minute, minted: -2 * time.Minute, attempt: 2, want: DecisionUnknown},
		"retry within the skew":          {held: time.Minute, minted: -time.Minute, attempt: 2, want: DecisionUnknown},
		"first within the skew":          {held: time.Minute, minted: -time.Minute, attempt: 1, want: DecisionRun},
		"first much older than the home": {held: time.Minute, minted: -2 * time.Minute, attempt: 1, want: DecisionUnknown},
		"older than the window":          {held: 2 * old, minted: -old, attempt: 1, want: DecisionUnknown},
		"minted in the future":           {held: old, minted: time.Minute, attempt: 1, want: DecisionNotRun},
		"retry minted in the future":     {held: old, minted: time.Minute, attempt: 2, want: DecisionUnknown},
		"home elsewhere":                 {away: true, attempt: 1, want: DecisionNotRun},
		"retry, home elsewhere":          {away: true, attempt: 2, want: DecisionUnknown},
		"memory full":                    {held: old, attempt: 1, others: testLimit, want: DecisionNotRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHome(time.Unix(1_800_000_000, 0))
			if !tc.away {
				h.acquireSeat(1)
			}
			h.clock.Advance(tc.held)
			for range tc.others {
				if v, err := h.Begin(t.Context(), mint(h.clock.Now()), 1); err != nil || v.Decision != DecisionRun {
					t.Fatalf("%+v, %v", v, err)
				}
			}
			v, err := h.Begin(t.Context(), mint(h.clock.Now().Add(tc.minted)), tc.attempt)
			if err != nil || v.Decision != tc.want {
				t.Errorf("%+v, %v, want %s", v, err, tc.want)
			}
		})
	}
}

// TestClockSetBack guards against a key that runs again: after the key was swept,
// the wall clock is set back to a time within its window. The key stays refused.
func TestClockSetBack(t *testing.T) {
	h := newHome(time.Unix(1_800_000_000, 0))
	h.acquireSeat(1)
	h.clock.Advance(time.Minute)
	key := mint(h.clock.Now())
	for i, want := range []Decision{DecisionRun, DecisionUnknown, DecisionUnknown} {
		v, err := h.Begin(t.Context(), key, i+1)
		if err != nil || v.Decision != want {
			t.Errorf("attempt %d: %+v, %v, want %s", i+1, v, err, want)
		}
		h.Finish(key, "ok", nil)
		h.clock.Advance([]time.Duration{2 * testWindow, -2 * testWindow, 0}[i])
		_, _ = h.Begin(t.Context(), mint(h.clock.Now()), 1)
	}
}

func TestMinted(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_123)
	key := mint(at)
	for name, tc := range map[string]struct {
		key string
		ok  bool
	}{
		"plain":        {key: key, ok: true},
		"with domain":  {key: key + "@graz-a", ok: true},
		"version 4":    {key: uuid.New().String()},
		"other form":   {key: "{" + key + "}"},
		"empty":        {},
		"not a number": {key: "order-17"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Minted(tc.key)
			var malformed *KeyError
			if tc.ok != (err == nil) || errors.As(err, &malformed) == tc.ok || tc.ok && !got.Equal(at) {
				t.Errorf("%v, %v", got, err)
			}
		})
	}
}

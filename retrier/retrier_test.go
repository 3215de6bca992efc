package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/retrier"
)

// TestBudget checks for random sequences of calls that retries never exceed the
// burst plus the allowed fraction of the original requests.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &retrier.Budget{Ratio: 0.25, Burst: 4}
		fresh, retries := 0, 0
		for _, retry := range rapid.SliceOfN(rapid.Bool(), 1, 200).Draw(t, "calls") {
			if !retry {
				b.Deposit()
				fresh++
			} else if b.Withdraw() {
				retries++
			}
			if limit := 4 + 0.25*float64(fresh); float64(retries) > limit {
				t.Fatalf("%d retries after %d fresh requests, want at most %v", retries, fresh, limit)
			}
		}
	})
}

func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	cases := map[string]struct {
		retry int
		bound time.Duration
	}{
		"first": {retry: 1, bound: 5 * time.Millisecond},
		"third": {retry: 3, bound: 20 * time.Millisecond},
		"late":  {retry: 100, bound: 250 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			longest := time.Duration(0)
			for range 1000 {
				longest = max(longest, retrier.Backoff(c.retry, random))
			}
			if longest >= c.bound || longest < c.bound*9/10 {
				t.Fatalf("longest backoff of 1000 = %v, want just below %v", longest, c.bound)
			}
		})
	}
}

func TestLatencies(t *testing.T) {
	l := &retrier.Latencies{}
	for i := range 1024 {
		l.Observe(time.Duration(i%100) * time.Millisecond)
		if _, known := l.HedgeDelay(); known != (i >= 31) {
			t.Fatalf("after %d latencies known = %t", i+1, known)
		}
	}
	if after, _ := l.HedgeDelay(); after < 90*time.Millisecond || after > 97*time.Millisecond {
		t.Fatalf("HedgeDelay() = %v, want about 95ms", after)
	}
}

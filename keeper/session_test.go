package keeper

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	testTTL     = 10 * time.Second
	testRenewal = 3 * time.Second
	testMargin  = time.Second
)

// leaseStore grants leases by a clock and answers renewals according to its fields.
type leaseStore struct {
	Store
	clock   *clockwork.FakeClock
	expires time.Time
	granted LeaseID
	// delayBefore is the delay before a renewal takes effect, delayAfter the one
	// between its effect and its answer.
	delayBefore, delayAfter time.Duration
	losesAnswer             bool
}

func (l *leaseStore) Grant(_ context.Context, ttl time.Duration) (LeaseID, error) {
	l.granted++
	l.expires = l.clock.Now().Add(ttl)
	return l.granted, nil
}

func (l *leaseStore) Swap(context.Context, string, int64, []byte, LeaseID) (int64, error) {
	return 1, nil
}

func (l *leaseStore) KeepAlive(_ context.Context, lease LeaseID) error {
	l.clock.Advance(l.delayBefore)
	if l.clock.Now().After(l.expires) {
		return &LeaseExpiredError{Lease: lease}
	}
	l.expires = l.clock.Now().Add(testTTL)
	l.clock.Advance(l.delayAfter)
	if l.losesAnswer {
		return &UnclearError{Operation: "keep_alive", Err: errors.New("lost")}
	}
	return nil
}

func TestSessionNeverOutlivesItsLease(t *testing.T) {
	tests := map[string]struct {
		pause                   time.Duration
		delayBefore, delayAfter time.Duration
		lose                    bool
		valid                   time.Duration
	}{
		"prompt renewal":                {pause: testRenewal, valid: testTTL - testMargin},
		"answer late":                   {pause: testRenewal, delayAfter: 4 * time.Second, valid: 5 * time.Second},
		"renewal late":                  {pause: testRenewal, delayBefore: 4 * time.Second, valid: 5 * time.Second},
		"answer lost":                   {pause: testRenewal, lose: true, valid: testTTL - testRenewal - testMargin},
		"paused past the lease":         {pause: testTTL + time.Second, valid: 0},
		"paused past the margin":        {pause: testTTL - testMargin, lose: true, valid: 0},
		"answer later than the session": {pause: testRenewal, delayAfter: testTTL, valid: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			store := &leaseStore{clock: clock, delayBefore: tc.delayBefore, delayAfter: tc.delayAfter, losesAnswer: tc.lose}
			s := &Session{Store: store, Clock: clock, Process: "p", TTL: testTTL, Renewal: testRenewal, DriftMargin: testMargin}
			if err := s.step(t.Context()); err != nil || !s.Valid() {
				t.Fatalf("first step: %v, valid %v", err, s.Valid())
			}
			clock.Advance(tc.pause)
			_ = s.step(t.Context())
			if got := max(0, s.ValidUntil().Sub(clock.Now())); got != tc.valid {
				t.Errorf("valid for %v, want %v", got, tc.valid)
			}
			if s.Valid() && s.ValidUntil().After(store.expires.Add(-testMargin)) {
				t.Errorf("valid until %v, lease ends %v", s.ValidUntil(), store.expires)
			}
		})
	}
}

package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"
)

// AlivePrefix is the prefix of the keys that exist as long as the store lease of a
// process. The process id follows it.
const AlivePrefix = WatchedPrefix + "alive/"

const (
	sessionRetryWait = 200 * time.Millisecond
	aliveFormat      = 1
)

type aliveMessage struct {
	Format  int    `json:"format"`
	Process string `json:"process"`
	Lease   int64  `json:"lease"`
}

// Session maintains the one store lease of a process. It is safe for concurrent use.
type Session struct {
	// Store is the platform's key-value service.
	Store Store
	// Clock must keep the monotonic reading of the real clock.
	Clock clockwork.Clock
	// Process identifies this incarnation of the process. It is never reused.
	Process string
	// TTL is the length of the lease, Renewal the period of its renewals.
	TTL, Renewal time.Duration
	// DriftMargin is subtracted from the validity of the lease for differing clock
	// rates.
	DriftMargin time.Duration

	mu         sync.Mutex
	lease      LeaseID
	validUntil time.Time
	revoked    bool
}

// Run grants the lease, writes the key of the process and renews the lease until ctx
// ends. It grants a new lease after one has ended.
func (s *Session) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := s.Renewal
		if err := s.step(ctx); err != nil {
			klog.V(1).InfoS("Failed to grant or renew the store lease", "process", s.Process, "err", err)
			wait = min(sessionRetryWait, s.Renewal)
		}
		select {
		case <-ctx.Done():
		case <-s.Clock.After(wait):
		}
	}
	return nil
}

// Lease returns the lease, and whether it may be used now.
func (s *Session) Lease() (LeaseID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease, s.valid()
}

// Valid reports whether the lease certainly exists at the store. It compares monotonic
// time, counted from before the last renewal was sent.
func (s *Session) Valid() bool {
	_, valid := s.Lease()
	return valid
}

// ValidUntil returns the end of validity by the clock of the session, zero
// without a lease.
func (s *Session) ValidUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validUntil
}

// Revoke ends the lease at the store. From the call on the session is not valid and
// grants no more leases.
func (s *Session) Revoke(ctx context.Context) error {
	s.mu.Lock()
	lease := s.lease
	s.lease, s.validUntil, s.revoked = 0, time.Time{}, true
	s.mu.Unlock()
	if lease == 0 {
		return nil
	}
	err := s.Store.Revoke(ctx, lease)
	var expired *LeaseExpiredError
	if errors.As(err, &expired) {
		return nil
	}
	return err
}

func (s *Session) valid() bool {
	return s.lease != 0 && s.Clock.Now().Before(s.validUntil)
}

func (s *Session) step(ctx context.Context) error {
	s.mu.Lock()
	lease, revoked := s.lease, s.revoked
	s.mu.Unlock()
	switch {
	case revoked:
		return nil
	case lease == 0:
		return s.grant(ctx)
	default:
		return s.renew(ctx, lease)
	}
}

func (s *Session) grant(ctx context.Context) error {
	sent := s.Clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, s.TTL)
	defer cancel()
	lease, err := s.Store.Grant(ctx, s.TTL)
	if err != nil {
		return err
	}
	if err := s.writeAliveKey(ctx, lease); err != nil {
		return err
	}
	if !s.replaceLease(0, lease, sent) {
		return s.Store.Revoke(ctx, lease)
	}
	klog.InfoS("Store lease granted", "process", s.Process, "lease", lease)
	return nil
}

func (s *Session) renew(ctx context.Context, lease LeaseID) error {
	sent := s.Clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, s.Renewal)
	defer cancel()
	err := s.Store.KeepAlive(ctx, lease)
	var expired *LeaseExpiredError
	if errors.As(err, &expired) {
		s.replaceLease(lease, 0, time.Time{})
		return err
	}
	if err != nil {
		return err
	}
	s.replaceLease(lease, lease, sent)
	return nil
}

// replaceLease replaces one lease by another, valid from sent on, and reports whether
// the session still had the first one.
func (s *Session) replaceLease(from, to LeaseID, sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revoked || s.lease != from {
		return false
	}
	s.lease = to
	s.validUntil = time.Time{}
	if to != 0 {
		s.validUntil = sent.Add(s.TTL - s.DriftMargin)
	}
	return true
}

// writeAliveKey writes the key of the process under the lease. Only this process
// writes the key, so an entry of an earlier lease is overwritten.
func (s *Session) writeAliveKey(ctx context.Context, lease LeaseID) error {
	key := AlivePrefix + s.Process
	value, err := json.Marshal(aliveMessage{Format: aliveFormat, Process: s.Process, Lease: int64(lease)})
	if err != nil {
		return err
	}
	var expected int64
	for {
		_, err := s.Store.Swap(ctx, key, expected, value, lease)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		if conflict.Current.Lease == lease {
			return nil
		}
		expected = conflict.Current.Version
	}
}

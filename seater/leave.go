package seater

import (
	"context"
	"fmt"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"zinniashore.example/keeper"
)

// Drain marks this process as accepting no more seats and no new work.
func (s *Seater) Drain() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.states {
		state.draining = true
	}
}

// Leave releases the seats and removes this process from the rosters. It is called
// once nothing is in flight on the seats, which are not used from the call on.
func (s *Seater) Leave(ctx context.Context) error {
	s.Drain()
	var left errgroup.Group
	for _, domain := range s.FailureDomains {
		if !s.beginLeaving(domain) {
			continue
		}
		left.Go(func() error {
			return s.update(ctx, domain, func(r Roster) (Roster, error) { return s.removeSelf(domain, r), nil })
		})
	}
	return left.Wait()
}

func (s *Seater) removeSelf(domain string, r Roster) Roster {
	s.install(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	me, found := r.Member(s.VM)
	if !found || me.Incarnation != s.Incarnation {
		return r
	}
	return s.states[domain].removeSelf(r, s.Clock.Now())
}

func (s *Seater) beginLeaving(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[domain]
	state.leaving = true
	return state.recorded() || domain == s.FailureDomain
}

// Release removes a VM from all rosters on behalf of the operator, who guarantees that
// it no longer runs. It returns an *AliveError while the store session of the VM
// exists.
func (s *Seater) Release(ctx context.Context, vm string) error {
	s.init()
	var group errs.Group
	for _, domain := range s.FailureDomains {
		group.Add(s.release(ctx, domain, vm))
	}
	return group.Err()
}

func (s *Seater) release(ctx context.Context, domain, vm string) error {
	document, err := s.Keeper.Read(ctx, RosterPrefix+domain)
	if err != nil {
		return err
	}
	roster, err := DecodeRoster(document, domain, s.Seats)
	if err != nil {
		return err
	}
	target, found := roster.Member(vm)
	if !found {
		return nil
	}
	ended, err := s.sessionEnded(ctx, target)
	if err != nil {
		return err
	}
	if !ended {
		return &AliveError{VM: vm}
	}
	return s.update(ctx, domain, func(r Roster) (Roster, error) {
		if m, found := r.Member(vm); found && m.Session != target.Session {
			return r, &AliveError{VM: vm}
		}
		return r.WithoutMember(vm, false), nil
	})
}

// AliveError reports that a VM can't be released because its store session still
// exists.
type AliveError struct {
	// VM is the entry VM.
	VM string
}

// Error implements error.
func (e *AliveError) Error() string {
	return fmt.Sprintf("seater: VM %q still holds its store session", e.VM)
}

// sessionEnded reads from the store whether the session of a member has ended.
func (s *Seater) sessionEnded(ctx context.Context, m MemberRecord) (bool, error) {
	entry, err := s.Keeper.Store.Get(ctx, keeper.AlivePrefix+m.Process)
	if err != nil {
		return false, err
	}
	return entry.Lease != m.Session, nil
}

package seater

import (
	"context"
	"fmt"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"zinniashore.example/keeper"
)

// Drain makes this process known as taking no more seats and no new work.
func (s *Seater) Drain() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.cohorts {
		c.draining = true
	}
}

// Leave gives the seats back and takes this process out of the rosters. It is
// called once nothing is in flight on its seats; they are not used from the
// call on.
func (s *Seater) Leave(ctx context.Context) error {
	s.Drain()
	var left errgroup.Group
	for _, domain := range s.FailureDomains {
		if !s.beginLeaving(domain) {
			continue
		}
		left.Go(func() error {
			return s.update(ctx, domain, func(r Roster) (Roster, error) { return s.depart(domain, r), nil })
		})
	}
	return left.Wait()
}

func (s *Seater) depart(domain string, r Roster) Roster {
	s.install(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	me, found := r.Member(s.VM)
	if !found || me.Incarnation != s.Incarnation {
		return r
	}
	return s.cohorts[domain].depart(r, s.Clock.Now())
}

func (s *Seater) beginLeaving(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.cohorts[domain]
	c.leaving = true
	return c.recorded() || domain == s.FailureDomain
}

// Release removes a VM from all rosters on the word of the operator, who vouches
// that it runs no more. It refuses with an *AliveError while the store session of
// the VM stands.
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
	known, err := DecodeRoster(document, domain, s.Seats)
	if err != nil {
		return err
	}
	target, found := known.Member(vm)
	if !found {
		return nil
	}
	ended, err := s.ended(ctx, target)
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

// AliveError reports that a VM can't be released because its store session
// stands.
type AliveError struct {
	// VM is the entry VM.
	VM string
}

// Error implements error.
func (e *AliveError) Error() string {
	return fmt.Sprintf("seater: VM %q still holds its store session", e.VM)
}

// ended reads from the store whether the session of a member has ended.
func (s *Seater) ended(ctx context.Context, m Entrant) (bool, error) {
	entry, err := s.Keeper.Store.Get(ctx, keeper.AlivePrefix+m.Process)
	if err != nil {
		return false, err
	}
	return entry.Lease != m.Session, nil
}

package seater

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"k8s.io/klog/v2"

	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
)

// errUnchanged ends an update that has nothing to write.
var errUnchanged = errors.New("roster unchanged")

// installEntries installs the rosters that the mirror reports.
func (s *Seater) installEntries(entries []keeper.Entry) {
	for _, entry := range entries {
		domain := strings.TrimPrefix(entry.Key, RosterPrefix)
		document, err := keeper.DecodeDocument(entry)
		if err != nil {
			klog.ErrorS(err, "Failed to decode the roster", "key", entry.Key)
			continue
		}
		roster, err := DecodeRoster(document, domain, s.Seats)
		if err != nil {
			klog.ErrorS(err, "Failed to decode the roster", "key", entry.Key)
			continue
		}
		s.install(roster)
	}
}

func (s *Seater) install(r Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, found := s.states[r.FailureDomain]
	if !found {
		return
	}
	before := state.grants
	state.install(r, s.Clock.Now())
	s.recordGrants(state, before)
}

// recordGrants records changes of the seats of this process on the time line; the
// caller holds mu.
func (s *Seater) recordGrants(state *rosterState, before map[int]grant) {
	for number, g := range state.grants {
		if before[number].epoch != g.epoch {
			s.recordSeat(EventSeatGranted, state, number, g.epoch)
		}
	}
	for number, g := range before {
		if _, held := state.grants[number]; !held {
			s.recordSeat(EventSeatLost, state, number, g.epoch)
		}
	}
	if state.roster.FailureDomain == s.FailureDomain {
		s.Metrics.Gauge("seats_held").Update(float64(len(state.grants)))
	}
}

func (s *Seater) recordSeat(kind recorder.Kind, state *rosterState, number int, epoch int64) {
	detail := fmt.Sprintf("%s seat %d", state.roster.FailureDomain, number)
	s.Recorder.Record(recorder.Event{Kind: kind, VM: s.VM, Epoch: epoch, Detail: detail})
	klog.InfoS("Seat changed", "kind", kind, "failureDomain", state.roster.FailureDomain, "seat", number, "epoch", epoch)
}

// reconcileRosters runs one iteration on the rosters that this process belongs to.
func (s *Seater) reconcileRosters(ctx context.Context) {
	s.installEntries(s.Mirror.Entries(RosterPrefix))
	if !s.Session.Valid() {
		return
	}
	for _, domain := range s.FailureDomains {
		if s.belongs(domain) {
			s.reconcileRoster(ctx, domain)
		}
	}
}

// belongs reports whether this process is in a roster or should join it: the roster of
// its own failure domain, and as a witness any roster that records it or needs it.
func (s *Seater) belongs(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[domain]
	if state.leaving {
		return false
	}
	return domain == s.FailureDomain || state.recorded() || !state.draining && s.shouldWitness(domain)
}

func (s *Seater) reconcileRoster(ctx context.Context, domain string) {
	observed := s.observe(ctx, domain)
	s.mu.Lock()
	state := s.states[domain]
	state.stopExcessSeat(observed.liveLeases, observed.now)
	after, err := state.nextRoster(state.roster, s.lease(), observed)
	changed := err == nil && !equalRosters(state.roster, after)
	s.mu.Unlock()
	if err != nil {
		klog.ErrorS(err, "Failed to join the roster", "vm", s.VM, "failureDomain", domain)
	}
	if !changed {
		return
	}
	err = s.update(ctx, domain, func(r Roster) (Roster, error) { return s.proposeRoster(state, r, observed) })
	if err != nil {
		klog.V(1).InfoS("Failed to write the roster", "failureDomain", domain, "err", err)
	}
}

// proposeRoster computes the new roster from the one that is stored now.
func (s *Seater) proposeRoster(state *rosterState, r Roster, observed observations) (Roster, error) {
	lease := s.lease()
	if !lease.valid {
		return r, errUnchanged
	}
	s.install(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	observed.now = s.Clock.Now()
	return state.propose(r, lease, observed)
}

// observe collects what the roster decisions depend on. The sessions of members that
// could be expelled are read from the store itself, not from the mirror.
func (s *Seater) observe(ctx context.Context, domain string) observations {
	observed := observations{now: s.Clock.Now(), liveLeases: s.liveLeases(), ended: map[string]keeper.LeaseID{}}
	s.mu.Lock()
	targets := s.states[domain].expellable(observed.now)
	s.mu.Unlock()
	for _, target := range targets {
		ended, err := s.sessionEnded(ctx, target)
		if err == nil && ended {
			observed.ended[target.Process] = target.Session
		}
	}
	return observed
}

func (s *Seater) liveLeases() map[string]keeper.LeaseID {
	alive := map[string]keeper.LeaseID{}
	for _, entry := range s.Mirror.Entries(keeper.AlivePrefix) {
		alive[strings.TrimPrefix(entry.Key, keeper.AlivePrefix)] = entry.Lease
	}
	return alive
}

// update changes a roster by compare-and-swap and installs the roster that was
// written.
func (s *Seater) update(ctx context.Context, domain string, change func(Roster) (Roster, error)) error {
	document, err := s.Keeper.Update(ctx, RosterPrefix+domain, func(d keeper.Document) ([]byte, error) {
		r, err := DecodeRoster(d, domain, s.Seats)
		if err != nil {
			return nil, err
		}
		after, err := change(r)
		if err != nil {
			return nil, err
		}
		if equalRosters(r, after) {
			return nil, errUnchanged
		}
		return EncodeRoster(after)
	})
	if errors.Is(err, errUnchanged) {
		return nil
	}
	if err != nil {
		return err
	}
	written, err := DecodeRoster(document, domain, s.Seats)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[domain]
	before := state.grants
	state.confirm(written, s.Clock.Now())
	s.recordGrants(state, before)
	return nil
}

func equalRosters(a, b Roster) bool {
	first, errA := EncodeRoster(a)
	second, errB := EncodeRoster(b)
	return errA == nil && errB == nil && bytes.Equal(first, second) && json.Valid(first)
}

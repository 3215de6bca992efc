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

// installEntries takes in rosters from the mirror.
func (s *Seater) installEntries(entries []keeper.Entry) {
	for _, entry := range entries {
		domain := strings.TrimPrefix(entry.Key, RosterPrefix)
		document, err := keeper.DecodeDocument(entry)
		if err != nil {
			klog.ErrorS(err, "Roster not readable", "key", entry.Key)
			continue
		}
		roster, err := DecodeRoster(document, domain, s.Seats)
		if err != nil {
			klog.ErrorS(err, "Roster not readable", "key", entry.Key)
			continue
		}
		s.install(roster)
	}
}

func (s *Seater) install(r Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, found := s.cohorts[r.FailureDomain]
	if !found {
		return
	}
	before := c.grants
	c.install(r, s.Clock.Now())
	s.recordGrants(c, before)
}

// recordGrants puts changes of this process's seats on the time line; the caller
// holds mu.
func (s *Seater) recordGrants(c *cohort, before map[int]grant) {
	for number, g := range c.grants {
		if before[number].epoch != g.epoch {
			s.recordSeat(EventSeatGranted, c, number, g.epoch)
		}
	}
	for number, g := range before {
		if _, held := c.grants[number]; !held {
			s.recordSeat(EventSeatLost, c, number, g.epoch)
		}
	}
	if c.known.FailureDomain == s.FailureDomain {
		s.Metrics.Gauge("seats_held").Update(float64(len(c.grants)))
	}
}

func (s *Seater) recordSeat(kind recorder.Kind, c *cohort, number int, epoch int64) {
	detail := fmt.Sprintf("%s seat %d", c.known.FailureDomain, number)
	s.Recorder.Record(recorder.Event{Kind: kind, VM: s.VM, Epoch: epoch, Detail: detail})
	klog.InfoS("Seat changed", "kind", kind, "failureDomain", c.known.FailureDomain, "seat", number, "epoch", epoch)
}

// stepRosters brings the rosters that this process belongs to up to date.
func (s *Seater) stepRosters(ctx context.Context) {
	s.installEntries(s.Mirror.Entries(RosterPrefix))
	if !s.Session.Valid() {
		return
	}
	for _, domain := range s.FailureDomains {
		if s.belongs(domain) {
			s.stepRoster(ctx, domain)
		}
	}
}

// belongs reports whether this process is or has to be in a roster: in that of
// its failure domain, and as a witness where it is recorded or appointed.
func (s *Seater) belongs(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.cohorts[domain]
	if c.leaving {
		return false
	}
	return domain == s.FailureDomain || c.recorded() || !c.draining && s.appointed(domain)
}

func (s *Seater) stepRoster(ctx context.Context, domain string) {
	v := s.view(ctx, domain)
	s.mu.Lock()
	c := s.cohorts[domain]
	c.share(v.alive, v.now)
	after, err := c.next(c.known, s.lease(), v)
	wanted := err == nil && !sameRoster(c.known, after)
	s.mu.Unlock()
	if err != nil {
		klog.ErrorS(err, "Roster not joined", "vm", s.VM, "failureDomain", domain)
	}
	if !wanted {
		return
	}
	err = s.update(ctx, domain, func(r Roster) (Roster, error) { return s.advance(c, r, v) })
	if err != nil {
		klog.V(1).InfoS("Roster not written", "failureDomain", domain, "err", err)
	}
}

// advance decides on the roster as it stands at the store.
func (s *Seater) advance(c *cohort, r Roster, v view) (Roster, error) {
	l := s.lease()
	if !l.valid {
		return r, errUnchanged
	}
	s.install(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	v.now = s.Clock.Now()
	return c.propose(r, l, v)
}

// view reads what the roster decisions depend on. The sessions of members that
// could be expelled are read from the store itself.
func (s *Seater) view(ctx context.Context, domain string) view {
	v := view{now: s.Clock.Now(), alive: s.alive(), lapsed: map[string]keeper.LeaseID{}}
	s.mu.Lock()
	targets := s.cohorts[domain].ripe(v.now)
	s.mu.Unlock()
	for _, target := range targets {
		ended, err := s.ended(ctx, target)
		if err == nil && ended {
			v.lapsed[target.Process] = target.Session
		}
	}
	return v
}

func (s *Seater) alive() map[string]keeper.LeaseID {
	alive := map[string]keeper.LeaseID{}
	for _, entry := range s.Mirror.Entries(keeper.AlivePrefix) {
		alive[strings.TrimPrefix(entry.Key, keeper.AlivePrefix)] = entry.Lease
	}
	return alive
}

// update changes a roster by compare-and-swap and installs what was written.
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
		if sameRoster(r, after) {
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
	c := s.cohorts[domain]
	before := c.grants
	c.confirm(written, s.Clock.Now())
	s.recordGrants(c, before)
	return nil
}

func sameRoster(a, b Roster) bool {
	first, errA := EncodeRoster(a)
	second, errB := EncodeRoster(b)
	return errA == nil && errB == nil && bytes.Equal(first, second) && json.Valid(first)
}

// Package seater knows the entry VMs of all failure domains and which of them
// holds which seat. A seat is a fixed share of every endpoint of its failure
// domain and the home of the idempotency keys that hash to it.
package seater

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
	"zinniashore.example/seater/seaterpb"
)

// Kinds of events of the time line.
const (
	// EventSeatGranted reports that this process was granted a seat.
	EventSeatGranted recorder.Kind = "seat_granted"
	// EventSeatLost reports that the roster gives a seat to this process no more.
	EventSeatLost recorder.Kind = "seat_lost"
	// EventMemberExpelled reports that this process removed a silent member.
	EventMemberExpelled recorder.Kind = "member_expelled"
	// EventWithdrawn reports that this process withdrew its promises to a member.
	EventWithdrawn recorder.Kind = "promise_withdrawn"
)

// Seater holds the seats of one entry VM. Its exported fields are set before
// Register and Run. It is safe for concurrent use.
type Seater struct {
	seaterpb.UnimplementedSeaterServer

	// Clock must keep the monotonic reading of the real clock.
	Clock clockwork.Clock
	// Keeper changes the rosters.
	Keeper *keeper.Keeper
	// Session is the store lease of this process.
	Session *keeper.Session
	// Mirror follows keeper.WatchedPrefix.
	Mirror *keeper.Mirror
	// Recorder keeps the time line.
	Recorder *recorder.Recorder
	// Metrics takes the metrics. It may be nil.
	Metrics tally.Scope
	// VM is this entry VM, Incarnation this run of its process.
	VM, Incarnation string
	// FailureDomain is the failure domain of this VM.
	FailureDomain string
	// Address is the IP address and port of the gRPC server of this process.
	Address string
	// FailureDomains are all failure domains, the same in every process.
	FailureDomains []string
	// Seats is the number of seats of a failure domain whose roster is new.
	Seats int
	// PromiseLength is how long a promise lasts from the heartbeat on.
	PromiseLength time.Duration
	// LongestRequest is how long a request can be in flight.
	LongestRequest time.Duration
	// Heartbeat is the period and the timeout of heartbeats.
	Heartbeat time.Duration
	// DriftMargin allows for differing clock rates within PromiseLength.
	DriftMargin time.Duration
	// PairGuard guards the seats of a roster of exactly two members, GuardRelease
	// if empty.
	PairGuard Guard

	once    sync.Once
	mu      sync.Mutex
	cohorts map[string]*cohort
	peers   map[identity]*peer
}

// errUnchanged ends an update that has nothing to write.
var errUnchanged = errors.New("roster unchanged")

// Register serves the heartbeats of the other entry VMs. It is called before
// Run and before the Run of the Mirror.
func (s *Seater) Register(registrar grpc.ServiceRegistrar) {
	s.init()
	seaterpb.RegisterSeaterServer(registrar, s)
	s.Mirror.Subscribe(RosterPrefix, s.installEntries)
}

// Run keeps this process in the roster, its seats balanced and the heartbeats
// going until ctx ends.
func (s *Seater) Run(ctx context.Context) error {
	s.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.repeat(ctx, s.stepRosters) })
	group.Go(func() error { return s.repeat(ctx, s.beatPeers) })
	err := group.Wait()
	s.closePeers()
	return err
}

func (s *Seater) repeat(ctx context.Context, step func(context.Context)) error {
	for ctx.Err() == nil {
		step(ctx)
		select {
		case <-ctx.Done():
		case <-s.Clock.After(s.Heartbeat):
		}
	}
	return nil
}

func (s *Seater) init() {
	s.once.Do(func() {
		if s.Metrics == nil {
			s.Metrics = tally.NoopScope
		}
		if s.PairGuard == "" {
			s.PairGuard = GuardRelease
		}
		s.peers = map[identity]*peer{}
		s.cohorts = map[string]*cohort{}
		for _, domain := range s.FailureDomains {
			s.cohorts[domain] = newCohort(s.entrant(), NewRoster(domain, s.Seats), s.limits())
		}
	})
}

func (s *Seater) entrant() Entrant {
	return Entrant{
		VM: s.VM, Incarnation: s.Incarnation, Process: s.Session.Process,
		FailureDomain: s.FailureDomain, Address: s.Address,
	}
}

func (s *Seater) limits() limits {
	return limits{
		heartbeat: s.Heartbeat, promiseLength: s.PromiseLength, longestRequest: s.LongestRequest,
		driftMargin: s.DriftMargin, pairGuard: s.PairGuard,
	}
}

func (s *Seater) lease() lease {
	id, valid := s.Session.Lease()
	return lease{id: id, valid: valid}
}

// Share returns how many of an endpoint's slots this process may use now. The
// shares of all processes of the failure domain never exceed slots.
func (s *Seater) Share(slots int) int {
	held, count := s.usable()
	return portions(slots, held, count)
}

// Connections returns how many of an endpoint's connections this process may
// open now. It is zero without a seat.
func (s *Seater) Connections(limit int) int { return s.Share(limit) }

// Held reports whether this process may use a seat now. It is cheap enough to be
// asked right before each irreversible act.
func (s *Seater) Held() bool {
	held, _ := s.usable()
	return len(held) > 0
}

func (s *Seater) usable() ([]Seat, int) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	c, found := s.cohorts[s.FailureDomain]
	if !found {
		return nil, 0
	}
	return c.usable(s.Clock.Now(), s.lease()), len(c.known.Seats)
}

// Home returns the seat that decides about an idempotency key. All attempts of a
// key reach the same seat. A key that ends with "@" and a failure domain has its
// home there, so that it can be served while that failure domain is cut off.
func (s *Seater) Home(key string) Home {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	domain, number := place(key, s.FailureDomains, s.seatsOf)
	home := Home{FailureDomain: domain, Seat: number}
	c, found := s.cohorts[domain]
	if !found || number >= len(c.known.Seats) {
		return home
	}
	seat := c.known.Seats[number]
	home.VM, home.Epoch, home.Known = seat.Holder, seat.Epoch, seat.Holder != ""
	if seat.Holder != s.VM {
		return home
	}
	for _, held := range c.usable(s.Clock.Now(), s.lease()) {
		if held.Number == number {
			home.Local = true
			home.Since = c.grants[number].since
		}
	}
	home.Known = home.Local
	return home
}

// seatsOf returns the number of seats of a failure domain; the caller holds mu.
func (s *Seater) seatsOf(domain string) int {
	if c, found := s.cohorts[domain]; found {
		return len(c.known.Seats)
	}
	return s.Seats
}

// Status returns what this process knows of seats and members.
func (s *Seater) Status() Status {
	members := s.Members()
	usable, _ := s.usable()
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Usable: usable, Members: members, SessionValid: s.Session.Valid()}
	for _, domain := range s.FailureDomains {
		status.Rosters = append(status.Rosters, s.cohorts[domain].known)
	}
	if c, found := s.cohorts[s.FailureDomain]; found {
		status.Promised = c.promised(s.Clock.Now())
	}
	return status
}

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

// Release removes a VM of this failure domain from the roster on the word of
// the operator, who vouches that it runs no more. It refuses with an
// *AliveError while the store session of the VM stands.
func (s *Seater) Release(ctx context.Context, vm string) error {
	s.init()
	document, err := s.Keeper.Read(ctx, RosterPrefix+s.FailureDomain)
	if err != nil {
		return err
	}
	known, err := DecodeRoster(document, s.FailureDomain, s.Seats)
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
	return s.update(ctx, s.FailureDomain, func(r Roster) (Roster, error) {
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
	s.Metrics.Gauge("seats_held").Update(float64(len(c.grants)))
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

// Package seater tracks the entry VMs of all failure domains and which of them holds
// which seat. A seat is a fixed share of every endpoint of its failure domain and the
// home of the idempotency keys that hash to it. A member that can't reach the store keeps
// its seats as long as another member, in its answers to heartbeats, promises that the
// seats are not reassigned.
package seater

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
	"zinniashore.example/seater/seaterpb"
)

// Kinds of events of the time line.
const (
	// EventSeatGranted reports that this process was granted a seat.
	EventSeatGranted recorder.Kind = "seat_granted"
	// EventSeatLost reports that the roster no longer assigns a seat to this process.
	EventSeatLost recorder.Kind = "seat_lost"
	// EventMemberExpelled reports that this process removed an unresponsive member.
	EventMemberExpelled recorder.Kind = "member_expelled"
	// EventWithdrawn reports that this process withdrew its promises to a member.
	EventWithdrawn recorder.Kind = "promise_withdrawn"
)

// Seater manages the seats of one entry VM. Its exported fields are set before
// Register and Run. It is safe for concurrent use.
type Seater struct {
	seaterpb.UnimplementedSeaterServer

	// Clock must keep the monotonic reading of the real clock.
	Clock clockwork.Clock
	// Keeper reads and changes the rosters.
	Keeper *keeper.Keeper
	// Session is the store lease of this process.
	Session *keeper.Session
	// Mirror mirrors the keys under keeper.WatchedPrefix.
	Mirror *keeper.Mirror
	// Recorder records the events of the time line.
	Recorder *recorder.Recorder
	// Metrics receives the metrics. It may be nil.
	Metrics tally.Scope
	// VM names this entry VM, Incarnation this run of its process.
	VM, Incarnation string
	// FailureDomain is the failure domain of this VM.
	FailureDomain string
	// Address is the IP address and port of the gRPC server of this process.
	Address string
	// FailureDomains lists all failure domains, the same in every process.
	FailureDomains []string
	// Seats is the number of seats of a failure domain whose roster does not exist yet.
	Seats int
	// PromiseLength is how long a promise lasts, counted from the sending of the
	// heartbeat.
	PromiseLength time.Duration
	// MaxRequestDuration is the maximum time that a request can be in flight.
	MaxRequestDuration time.Duration
	// Heartbeat is the period and the timeout of heartbeats.
	Heartbeat time.Duration
	// DriftMargin is the allowance for differing clock rates within PromiseLength.
	DriftMargin time.Duration
	// PairGuard is the guard of the seats of a roster of exactly two members. Empty
	// means GuardRelease.
	PairGuard Guard

	once   sync.Once
	mu     sync.Mutex
	states map[string]*rosterState
	peers  map[identity]*peer
	// rounds counts the heartbeats; only Run uses it.
	rounds int
	// retired holds replaced connections that may still have requests in flight, each
	// with the timer that closes it.
	retired map[*grpc.ClientConn]clockwork.Timer
}

// Register serves the heartbeats of the other entry VMs and subscribes to the rosters.
// It is called before Run and before the Run of the Mirror.
func (s *Seater) Register(registrar grpc.ServiceRegistrar) {
	s.init()
	seaterpb.RegisterSeaterServer(registrar, s)
	s.Mirror.Subscribe(RosterPrefix, s.installEntries)
}

// Run reconciles the rosters, balances the seats and sends heartbeats until ctx ends.
func (s *Seater) Run(ctx context.Context) error {
	s.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.repeat(ctx, s.reconcileRosters) })
	group.Go(func() error { return s.repeat(ctx, s.sendHeartbeats) })
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
		s.retired = map[*grpc.ClientConn]clockwork.Timer{}
		s.states = map[string]*rosterState{}
		for _, domain := range s.FailureDomains {
			s.states[domain] = newRosterState(s.selfRecord(), NewRoster(domain, s.Seats), s.rosterConfig())
		}
	})
}

func (s *Seater) selfRecord() MemberRecord {
	return MemberRecord{
		VM: s.VM, Incarnation: s.Incarnation, Process: s.Session.Process,
		FailureDomain: s.FailureDomain, Address: s.Address,
	}
}

func (s *Seater) rosterConfig() rosterConfig {
	return rosterConfig{
		heartbeat: s.Heartbeat, promiseLength: s.PromiseLength, maxRequestDuration: s.MaxRequestDuration,
		driftMargin: s.DriftMargin, pairGuard: s.PairGuard,
	}
}

func (s *Seater) lease() sessionLease {
	id, valid := s.Session.Lease()
	return sessionLease{id: id, valid: valid}
}

// Share returns the number of an endpoint's slots that this process may use now. The
// shares of all processes of the failure domain never add up to more than slots.
func (s *Seater) Share(slots int) int {
	held, count := s.usable()
	return totalShare(slots, held, count)
}

// Connections returns the number of connections to an endpoint that this process may
// open now. It is zero without a seat.
func (s *Seater) Connections(limit int) int { return s.Share(limit) }

// Held reports whether this process may use a seat now. It is cheap enough to call
// right before each irreversible operation.
func (s *Seater) Held() bool {
	held, _ := s.usable()
	return len(held) > 0
}

func (s *Seater) usable() ([]Seat, int) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	state, found := s.states[s.FailureDomain]
	if !found {
		return nil, 0
	}
	return state.usable(s.Clock.Now(), s.lease()), len(state.roster.Seats)
}

// Home returns the seat that decides on an idempotency key. All attempts of a key map
// to the same seat. A key that ends with "@" and a failure domain has its home there,
// so that it can be served while that failure domain is cut off.
func (s *Seater) Home(key string) Home {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	domain, number := locate(key, s.FailureDomains, s.seatsOf)
	home := Home{FailureDomain: domain, Seat: number}
	state, found := s.states[domain]
	if !found || number >= len(state.roster.Seats) {
		return home
	}
	seat := state.roster.Seats[number]
	home.VM, home.Epoch, home.Known = seat.Holder, seat.Epoch, seat.Holder != ""
	if seat.Holder != s.VM {
		return home
	}
	for _, held := range state.usable(s.Clock.Now(), s.lease()) {
		if held.Number == number {
			home.Local = true
			home.Since = state.grants[number].since
		}
	}
	home.Known = home.Local
	return home
}

// seatsOf returns the number of seats of a failure domain; the caller holds mu.
func (s *Seater) seatsOf(domain string) int {
	if state, found := s.states[domain]; found {
		return len(state.roster.Seats)
	}
	return s.Seats
}

// Status returns the seats and members as this process knows them.
func (s *Seater) Status() Status {
	members := s.Members()
	usable, _ := s.usable()
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Usable: usable, Members: members, SessionValid: s.Session.Valid()}
	for _, domain := range s.FailureDomains {
		status.Rosters = append(status.Rosters, s.states[domain].roster)
	}
	if state, found := s.states[s.FailureDomain]; found {
		status.Promised = state.hasPromise(s.Clock.Now())
	}
	return status
}

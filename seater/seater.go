// Package seater knows the entry VMs of all failure domains and which of them
// holds which seat. A seat is a fixed share of every endpoint of its failure
// domain and the home of the idempotency keys that hash to it.
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
	// rounds counts the heartbeats; only Run uses it.
	rounds int
	// retired are replaced connections that may still have requests in flight.
	retired map[*grpc.ClientConn]clockwork.Timer
}

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
		s.retired = map[*grpc.ClientConn]clockwork.Timer{}
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

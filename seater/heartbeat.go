package seater

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"k8s.io/klog/v2"

	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
	"zinniashore.example/seater/seaterpb"
)

// farRounds is the number of heartbeats to near peers between two to the others,
// which only learn from them that this process is alive.
const farRounds = 4

// redialMisses is after how many further misses a connection is dialled again.
const redialMisses = 3

// peer is another entry VM with the connection to it.
type peer struct {
	entrant    Entrant
	connection *grpc.ClientConn
	alive      bool
	draining   bool
	since      time.Time
	misses     int
}

// Beat implements seaterpb.SeaterServer.
func (s *Seater) Beat(_ context.Context, request *seaterpb.BeatRequest) (*seaterpb.BeatAnswer, error) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &seaterpb.BeatAnswer{Vm: s.VM, Incarnation: s.Incarnation}
	from := identity{vm: request.GetVm(), incarnation: request.GetIncarnation()}
	for _, domain := range request.GetRosters() {
		c, found := s.cohorts[domain]
		if found && c.promise(from, s.Clock.Now()) {
			answer.Promised = append(answer.Promised, domain)
		}
	}
	if c, found := s.cohorts[s.FailureDomain]; found {
		answer.Draining = c.draining
	}
	return answer, nil
}

// Withdraw implements seaterpb.SeaterServer.
func (s *Seater) Withdraw(_ context.Context, request *seaterpb.WithdrawRequest) (*seaterpb.WithdrawAnswer, error) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &seaterpb.WithdrawAnswer{Vm: s.VM, Incarnation: s.Incarnation}
	c, found := s.cohorts[request.GetRoster()]
	if !found {
		return answer, nil
	}
	target := Entrant{VM: request.GetVm(), Incarnation: request.GetIncarnation(), Session: keeper.LeaseID(request.GetSession())}
	answer.Withdrawn = c.withdraw(target, request.GetRosterVersion(), s.Clock.Now())
	if answer.Withdrawn {
		s.Recorder.Record(recorder.Event{Kind: EventWithdrawn, VM: target.VM, Detail: request.GetRoster()})
	}
	return answer, nil
}

// Members returns the entry VMs of all failure domains except this one.
func (s *Seater) Members() []Member {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	var members []Member
	for _, e := range s.entrants() {
		member := Member{
			VM: e.VM, Incarnation: e.Incarnation, FailureDomain: e.FailureDomain, Address: e.Address, Draining: e.Draining,
		}
		if p, found := s.peers[e.identity()]; found {
			member.Alive, member.Since, member.Connection = p.alive, p.since, p.connection
			member.Draining = member.Draining || p.draining
		}
		members = append(members, member)
	}
	return members
}

// entrants returns the other processes recorded in their own failure domain's
// roster; the caller holds mu.
func (s *Seater) entrants() []Entrant {
	var entrants []Entrant
	for _, domain := range s.FailureDomains {
		for _, e := range s.cohorts[domain].known.Members {
			if e.FailureDomain == domain && e.VM != s.VM {
				entrants = append(entrants, e)
			}
		}
	}
	return entrants
}

// beatPeers sends one heartbeat to each other process, and the demands for
// withdrawal that are open.
func (s *Seater) beatPeers(ctx context.Context) {
	var wait sync.WaitGroup
	s.rounds++
	for _, p := range s.refreshPeers() {
		if s.rounds%farRounds == 1 || s.isNear(p) {
			wait.Go(func() { s.beat(ctx, p) })
		}
	}
	for _, d := range s.demands() {
		wait.Go(func() { s.demand(ctx, d) })
	}
	wait.Wait()
}

// isNear reports whether a promise may pass between this process and the peer:
// both are in one failure domain or one of them is a witness of the other's.
func (s *Seater) isNear(p *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.cohorts {
		_, self := c.known.Member(s.VM)
		_, other := c.known.Member(p.entrant.VM)
		if self && other {
			return true
		}
	}
	return p.entrant.FailureDomain == s.FailureDomain
}

// refreshPeers brings the peers in line with the rosters and returns them.
func (s *Seater) refreshPeers() []*peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := map[identity]*peer{}
	var peers []*peer
	for _, e := range s.entrants() {
		p, found := s.peers[e.identity()]
		if !found || p.entrant.Address != e.Address {
			p = &peer{connection: s.dial(e.Address)}
		}
		p.entrant = e
		current[e.identity()] = p
		peers = append(peers, p)
	}
	for id, p := range s.peers {
		if current[id] != p {
			s.retire(p.connection)
		}
	}
	s.peers = current
	return peers
}

func (s *Seater) dial(address string) *grpc.ClientConn {
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithUnaryInterceptor(s.Recorder.UnaryClientInterceptor()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: s.Heartbeat, Multiplier: 1, MaxDelay: s.Heartbeat},
			MinConnectTimeout: s.Heartbeat,
		}))
	if err != nil {
		klog.ErrorS(err, "Peer not dialled", "address", address)
		return nil
	}
	return connection
}

// retire closes a connection once no request can be in flight on it; the caller
// holds mu.
func (s *Seater) retire(connection *grpc.ClientConn) {
	if connection == nil {
		return
	}
	s.retired[connection] = s.Clock.AfterFunc(s.LongestRequest, func() {
		s.mu.Lock()
		delete(s.retired, connection)
		s.mu.Unlock()
		_ = connection.Close()
	})
}

func (s *Seater) closePeers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if p.connection != nil {
			_ = p.connection.Close()
		}
	}
	for connection, timer := range s.retired {
		if timer.Stop() {
			_ = connection.Close()
		}
	}
	s.peers = map[identity]*peer{}
}

func (s *Seater) beat(ctx context.Context, p *peer) {
	s.mu.Lock()
	connection := p.connection
	request := &seaterpb.BeatRequest{Vm: s.VM, Incarnation: s.Incarnation, Rosters: s.rosters()}
	expected := p.entrant.identity()
	s.mu.Unlock()
	if connection == nil {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, s.Heartbeat)
	defer cancel()
	sent := s.Clock.Now()
	answer, err := seaterpb.NewSeaterClient(connection).Beat(ctx, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || (identity{vm: answer.GetVm(), incarnation: answer.GetIncarnation()}) != expected {
		s.missed(p)
		return
	}
	s.answered(p, answer, sent)
}

// answered takes in an answer to a heartbeat; the caller holds mu.
func (s *Seater) answered(p *peer, answer *seaterpb.BeatAnswer, sent time.Time) {
	if !p.alive {
		p.alive, p.since = true, s.Clock.Now()
	}
	p.misses = 0
	p.draining = answer.GetDraining()
	for _, c := range s.cohorts {
		c.heard[p.entrant.identity()] = s.Clock.Now()
	}
	for _, domain := range answer.GetPromised() {
		if c, found := s.cohorts[domain]; found {
			c.countPromise(p.entrant.identity(), sent)
		}
	}
}

// missed takes in that a heartbeat was not answered: a fresh connection replaces
// the silent one; the caller holds mu.
func (s *Seater) missed(p *peer) {
	p.misses++
	if p.alive && p.misses >= missesBeforeSilent {
		p.alive, p.since = false, s.Clock.Now()
		klog.InfoS("Member silent", "vm", p.entrant.VM, "address", p.entrant.Address)
	}
	if p.misses%redialMisses == 1 {
		s.retire(p.connection)
		p.connection = s.dial(p.entrant.Address)
	}
}

// rosters returns the failure domains in whose rosters this process is; the
// caller holds mu.
func (s *Seater) rosters() []string {
	var rosters []string
	for _, domain := range s.FailureDomains {
		if s.cohorts[domain].recorded() {
			rosters = append(rosters, domain)
		}
	}
	return rosters
}

func (s *Seater) demands() []demand {
	alive := s.alive()
	valid := s.Session.Valid()
	s.mu.Lock()
	defer s.mu.Unlock()
	var demands []demand
	for _, domain := range s.FailureDomains {
		c := s.cohorts[domain]
		if !valid {
			c.expulsions = map[identity]*expulsion{}
			continue
		}
		demands = append(demands, c.pursue(alive, s.Clock.Now())...)
	}
	return demands
}

// demand asks a member to withdraw its promises to a target.
func (s *Seater) demand(ctx context.Context, d demand) {
	s.mu.Lock()
	var connection *grpc.ClientConn
	if p, found := s.peers[d.member.identity()]; found {
		connection = p.connection
	}
	s.mu.Unlock()
	if connection == nil {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, s.Heartbeat)
	defer cancel()
	answer, err := seaterpb.NewSeaterClient(connection).Withdraw(ctx, &seaterpb.WithdrawRequest{
		Roster: d.roster, RosterVersion: d.version,
		Vm: d.target.VM, Incarnation: d.target.Incarnation, Session: int64(d.target.Session),
	})
	if err != nil || !answer.GetWithdrawn() || answer.GetIncarnation() != d.member.Incarnation || answer.GetVm() != d.member.VM {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cohorts[d.roster].noteWithdrawal(d, s.Clock.Now())
}

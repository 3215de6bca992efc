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

// roundsPerRemoteHeartbeat is the number of heartbeat rounds in which a peer that
// exchanges no promises with this process gets one heartbeat. The heartbeat to such a
// peer only checks that the peer is alive.
const roundsPerRemoteHeartbeat = 4

// missesPerRedial is the number of missed heartbeats from one dial of the connection
// to the next.
const missesPerRedial = 3

// peer is another entry VM with the connection to it.
type peer struct {
	record     MemberRecord
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
		state, found := s.states[domain]
		if found && state.givePromise(from, s.Clock.Now()) {
			answer.Promised = append(answer.Promised, domain)
		}
	}
	if state, found := s.states[s.FailureDomain]; found {
		answer.Draining = state.draining
	}
	return answer, nil
}

// Withdraw implements seaterpb.SeaterServer.
func (s *Seater) Withdraw(_ context.Context, request *seaterpb.WithdrawRequest) (*seaterpb.WithdrawAnswer, error) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &seaterpb.WithdrawAnswer{Vm: s.VM, Incarnation: s.Incarnation}
	state, found := s.states[request.GetRoster()]
	if !found {
		return answer, nil
	}
	target := MemberRecord{VM: request.GetVm(), Incarnation: request.GetIncarnation(), Session: keeper.LeaseID(request.GetSession())}
	answer.Withdrawn = state.withdraw(target, request.GetRosterVersion(), s.Clock.Now())
	if answer.Withdrawn {
		s.Recorder.Record(recorder.Event{Kind: EventWithdrawn, VM: target.VM, Detail: request.GetRoster()})
	}
	return answer, nil
}

// Members returns all entry VMs of all failure domains, without the VM of this process.
func (s *Seater) Members() []Member {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	var members []Member
	for _, e := range s.memberRecords() {
		member := Member{
			VM: e.VM, Incarnation: e.Incarnation, FailureDomain: e.FailureDomain, Address: e.Address, Draining: e.Draining,
		}
		if remote, found := s.peers[e.identity()]; found {
			member.Alive, member.Since, member.Connection = remote.alive, remote.since, remote.connection
			member.Draining = member.Draining || remote.draining
		}
		members = append(members, member)
	}
	return members
}

// memberRecords returns the other processes that are recorded in the roster of their
// own failure domain; the caller holds mu.
func (s *Seater) memberRecords() []MemberRecord {
	var records []MemberRecord
	for _, domain := range s.FailureDomains {
		for _, e := range s.states[domain].roster.Members {
			if e.FailureDomain == domain && e.VM != s.VM {
				records = append(records, e)
			}
		}
	}
	return records
}

// sendHeartbeats sends the heartbeats that are due in this round, and the open
// requests to withdraw promises.
func (s *Seater) sendHeartbeats(ctx context.Context) {
	var wait sync.WaitGroup
	s.rounds++
	for _, p := range s.refreshPeers() {
		if s.rounds%roundsPerRemoteHeartbeat == 1 || s.exchangesPromises(p) {
			wait.Go(func() { s.sendHeartbeat(ctx, p) })
		}
	}
	for _, d := range s.withdrawalRequests() {
		wait.Go(func() { s.requestWithdrawal(ctx, d) })
	}
	wait.Wait()
}

// exchangesPromises reports whether this process and the peer may give each other
// promises: both are in one failure domain, or one of them is a witness of the
// other's.
func (s *Seater) exchangesPromises(remote *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.states {
		_, self := state.roster.Member(s.VM)
		_, other := state.roster.Member(remote.record.VM)
		if self && other {
			return true
		}
	}
	return remote.record.FailureDomain == s.FailureDomain
}

// refreshPeers updates the peers from the rosters and returns them.
func (s *Seater) refreshPeers() []*peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := map[identity]*peer{}
	var peers []*peer
	for _, e := range s.memberRecords() {
		remote, found := s.peers[e.identity()]
		if !found || remote.record.Address != e.Address {
			remote = &peer{connection: s.dial(e.Address)}
		}
		remote.record = e
		current[e.identity()] = remote
		peers = append(peers, remote)
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
		klog.ErrorS(err, "Failed to create a client for the peer", "address", address)
		return nil
	}
	return connection
}

// retire closes a connection once no request can be in flight on it; the caller holds
// mu.
func (s *Seater) retire(connection *grpc.ClientConn) {
	if connection == nil {
		return
	}
	s.retired[connection] = s.Clock.AfterFunc(s.MaxRequestDuration, func() {
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

func (s *Seater) sendHeartbeat(ctx context.Context, remote *peer) {
	s.mu.Lock()
	connection := remote.connection
	request := &seaterpb.BeatRequest{Vm: s.VM, Incarnation: s.Incarnation, Rosters: s.recordedRosters()}
	expected := remote.record.identity()
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
		s.handleMiss(remote)
		return
	}
	s.handleAnswer(remote, answer, sent)
}

// handleAnswer applies the answer to a heartbeat; the caller holds mu.
func (s *Seater) handleAnswer(remote *peer, answer *seaterpb.BeatAnswer, sent time.Time) {
	if !remote.alive {
		remote.alive, remote.since = true, s.Clock.Now()
	}
	remote.misses = 0
	remote.draining = answer.GetDraining()
	for _, state := range s.states {
		state.lastHeard[remote.record.identity()] = s.Clock.Now()
	}
	for _, domain := range answer.GetPromised() {
		if state, found := s.states[domain]; found {
			state.recordPromise(remote.record.identity(), sent)
		}
	}
}

// handleMiss records that a heartbeat was not answered and replaces an unresponsive
// connection by a new one; the caller holds mu.
func (s *Seater) handleMiss(remote *peer) {
	remote.misses++
	if remote.alive && remote.misses >= missesUntilUnresponsive {
		remote.alive, remote.since = false, s.Clock.Now()
		klog.InfoS("Member stopped answering heartbeats", "vm", remote.record.VM, "address", remote.record.Address)
	}
	if remote.misses%missesPerRedial == 1 {
		s.retire(remote.connection)
		remote.connection = s.dial(remote.record.Address)
	}
}

// recordedRosters returns the failure domains whose rosters record this process; the
// caller holds mu.
func (s *Seater) recordedRosters() []string {
	var rosters []string
	for _, domain := range s.FailureDomains {
		if s.states[domain].recorded() {
			rosters = append(rosters, domain)
		}
	}
	return rosters
}

func (s *Seater) withdrawalRequests() []withdrawalRequest {
	alive := s.liveLeases()
	valid := s.Session.Valid()
	s.mu.Lock()
	defer s.mu.Unlock()
	var requests []withdrawalRequest
	for _, domain := range s.FailureDomains {
		state := s.states[domain]
		if !valid {
			state.expulsions = map[identity]*expulsion{}
			continue
		}
		requests = append(requests, state.updateExpulsions(alive, s.Clock.Now())...)
	}
	return requests
}

// requestWithdrawal asks a member to withdraw its promises to the target.
func (s *Seater) requestWithdrawal(ctx context.Context, request withdrawalRequest) {
	s.mu.Lock()
	var connection *grpc.ClientConn
	if remote, found := s.peers[request.member.identity()]; found {
		connection = remote.connection
	}
	s.mu.Unlock()
	if connection == nil {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, s.Heartbeat)
	defer cancel()
	answer, err := seaterpb.NewSeaterClient(connection).Withdraw(ctx, &seaterpb.WithdrawRequest{
		Roster: request.roster, RosterVersion: request.version,
		Vm: request.target.VM, Incarnation: request.target.Incarnation, Session: int64(request.target.Session),
	})
	if err != nil || !answer.GetWithdrawn() || answer.GetIncarnation() != request.member.Incarnation || answer.GetVm() != request.member.VM {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states[request.roster].recordWithdrawal(request, s.Clock.Now())
}

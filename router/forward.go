package router

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"zinniashore.example/recorder"
	"zinniashore.example/router/routerpb"
)

const (
	modeDecide  = "decide"
	modeExecute = "execute"

	// roomLifetime is how long a report of room is believed.
	roomLifetime = 3 * time.Second
	// answerMargin is the time for the answer of a forward to come back.
	answerMargin = 10 * time.Millisecond
	// seenLength is how many ids of forwards are remembered.
	seenLength = 4096
)

type roomName struct {
	vm      string
	service serviceName
}

// room is how much room a peer had for a service.
type room struct {
	free int
	at   time.Time
}

// stateReporter is a connection that tells its state, as *grpc.ClientConn does.
type stateReporter interface {
	GetState() connectivity.State
	Connect()
}

// ready reports whether a forward to the peer would be sent at once. Past this
// point an error of the call leaves the outcome unknown.
func (p Peer) ready() bool {
	if !p.Alive || p.Connection == nil {
		return false
	}
	reporter, ok := p.Connection.(stateReporter)
	if !ok {
		return true
	}
	if reporter.GetState() == connectivity.Ready {
		return true
	}
	reporter.Connect()
	return false
}

func (r *Router) peers() []Peer {
	if r.Peers == nil {
		return nil
	}
	return r.Peers.Peers()
}

// forwardHome passes an attempt to the home of its key.
func (r *Router) forwardHome(ctx context.Context, home KeyHome, request Request) Response {
	for _, peer := range r.peers() {
		if peer.VM == home.VM && peer.ready() {
			return r.forward(ctx, peer, request, modeDecide)
		}
	}
	return request.notRun("the home of the key is not reachable", busyRetryAfter)
}

// choosePeer returns the peer that runs a request for which no own slot is
// free: one of the own failure domain, or of another where the deadline allows.
func (r *Router) choosePeer(p *pool, request Request) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	load := p.load(r.Shares, r.Clock.Now())
	var best Peer
	var found bool
	most := 0
	for _, peer := range r.peers() {
		if peer.Draining || !peer.ready() || !r.mayCross(peer, p, request, now) {
			continue
		}
		free := r.roomOf(peer.VM, p.name, now)
		if free == 0 && load.Slots > 0 {
			continue
		}
		worth := 2 * free
		if peer.FailureDomain == r.FailureDomain {
			worth += 1 << 30
		}
		if !found || worth > most {
			best, most, found = peer, worth, true
		}
	}
	if found {
		name := roomName{vm: best.VM, service: p.name}
		known := r.rooms[name]
		known.free = max(known.free-1, 0)
		r.rooms[name] = known
	}
	return best, found
}

// mayCross reports whether the peer is in the own failure domain, or crossing
// to it is worth its cost and allowed by the deadline.
func (r *Router) mayCross(peer Peer, p *pool, request Request, now time.Time) bool {
	if peer.FailureDomain == r.FailureDomain {
		return true
	}
	if !r.remote[p.name] {
		return false
	}
	needed := r.spillCost() + 2*p.latencies.Mean()
	return request.Deadline.Sub(now) > needed
}

func (r *Router) roomOf(vm string, name serviceName, now time.Time) int {
	known := r.rooms[roomName{vm: vm, service: name}]
	if now.Sub(known.at) > roomLifetime {
		return 0
	}
	return known.free
}

// forwardExecute has a peer run the request in its own slots.
func (r *Router) forwardExecute(ctx context.Context, peer Peer, request Request) result {
	if !request.Idempotent && request.Key != "" && !(r.Shares.Held() && request.confirmed()) {
		return result{response: request.notRun("may no longer send", busyRetryAfter)}
	}
	response := r.forward(ctx, peer, request, modeExecute)
	soon := response.Outcome == OutcomeNotRun && response.RetryAfter < busyRetryAfter
	return result{response: response, again: soon || response.Outcome == OutcomeUnknown}
}

func (r *Router) forward(ctx context.Context, peer Peer, request Request, mode string) Response {
	r.recordRequest(KindRequestForwarded, request, peer.VM, mode)
	remaining := request.Deadline.Sub(r.Clock.Now())
	if remaining < 2*answerMargin {
		return request.notRun("no time left to pass it on", busyRetryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	// The peer answers in time for its answer to come back.
	message := encodeRequest(request, mode, remaining-min(remaining/10, answerMargin))
	message.Id = uuid.NewString()
	message.From = r.VM
	message.Time = r.timestamp()
	answer, err := routerpb.NewForwardClient(peer.Connection).Forward(ctx, message, grpc.WaitForReady(false))
	if err != nil {
		return r.forwardLost(peer, request, err)
	}
	r.observe(answer.GetTime())
	r.takeRoom(peer.VM, answer.GetRoom())
	return decodeAnswer(answer)
}

// forwardLost answers a request whose forward brought no answer. The peer may
// have run it, unless it said itself that it never handled it.
func (r *Router) forwardLost(peer Peer, request Request, err error) Response {
	r.mu.Lock()
	for name := range r.rooms {
		if name.vm == peer.VM {
			delete(r.rooms, name)
		}
	}
	r.mu.Unlock()
	if status.Code(err) == codes.Unimplemented {
		return request.notRun("peer takes no forwards", busyRetryAfter)
	}
	r.recordRequest(KindRequestUnknown, request, peer.VM, err.Error())
	return request.unknown("no answer from the entry VM that had it")
}

func (r *Router) takeRoom(vm string, message *routerpb.Room) {
	if message == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name := serviceName{organisation: message.GetOrganisation(), service: message.GetService()}
	r.rooms[roomName{vm: vm, service: name}] = room{free: int(message.GetFree()), at: r.Clock.Now()}
}

func (r *Router) timestamp() *routerpb.Timestamp {
	if r.Recorder == nil {
		return nil
	}
	now := recorder.Timestamp{}.Next(r.Clock.Now())
	return &routerpb.Timestamp{Wall: now.Wall, Counter: now.Counter}
}

func (r *Router) observe(remote *routerpb.Timestamp) {
	if r.Recorder == nil || remote == nil {
		return
	}
	r.Recorder.Observe(recorder.Timestamp{Wall: remote.GetWall(), Counter: remote.GetCounter()})
}

// Register adds the service that peers forward to.
func (r *Router) Register(s grpc.ServiceRegistrar) {
	routerpb.RegisterForwardServer(s, &forwardServer{router: r})
}

// forwardServer serves the forwards of peers.
type forwardServer struct {
	routerpb.UnimplementedForwardServer
	router *Router
}

// Forward implements routerpb.ForwardServer.
func (s *forwardServer) Forward(ctx context.Context, message *routerpb.ForwardRequest) (*routerpb.ForwardAnswer, error) {
	r := s.router
	r.observe(message.GetTime())
	request := r.withDefaults(decodeRequest(message, r.Clock.Now()))
	response := r.serveForward(ctx, message, request)
	answer := encodeAnswer(r.count(response))
	answer.Time = r.timestamp()
	answer.Room = r.roomFor(request.service())
	return answer, nil
}

func (r *Router) serveForward(ctx context.Context, message *routerpb.ForwardRequest, request Request) Response {
	refusal, ok := r.enter(&request)
	if !ok {
		return refusal
	}
	defer r.leave(&request)
	if !r.first(message.GetId()) {
		return request.unknown("a forward came twice")
	}
	if message.GetMode() == modeExecute {
		return r.execute(ctx, request, false)
	}
	if home := r.home(request.Key); !home.Known || !home.Local {
		return request.notRun("not the home of the key", busyRetryAfter)
	}
	return r.decide(context.WithoutCancel(ctx), request)
}

func (r *Router) home(key string) KeyHome {
	if r.Keys == nil {
		return KeyHome{}
	}
	return r.Keys.Home(key)
}

func (r *Router) first(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen.add(id)
}

func (r *Router) roomFor(name serviceName) *routerpb.Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.encodeRoom(name)
}

func (r *Router) encodeRoom(name serviceName) *routerpb.Room {
	message := &routerpb.Room{Organisation: name.organisation, Service: name.service}
	if p := r.pools[name]; p != nil && !r.draining {
		message.Free = int64(max(p.room(r.Shares, r.Clock.Now())-r.limiter.Waiting(name.queue()), 0))
	}
	return message
}

// Report implements routerpb.ForwardServer.
func (s *forwardServer) Report(_ context.Context, message *routerpb.ReportRequest) (*routerpb.ReportAnswer, error) {
	r := s.router
	r.observe(message.GetTime())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start()
	answer := &routerpb.ReportAnswer{Vm: r.VM, Draining: r.draining, Time: r.timestamp()}
	for name, p := range r.pools {
		if len(p.endpoints) > 0 {
			answer.Rooms = append(answer.Rooms, r.encodeRoom(name))
		}
	}
	return answer, nil
}

// askPeers asks the peers of the own failure domain, or all, for their room.
func (r *Router) askPeers(ctx context.Context, all bool) {
	var group sync.WaitGroup
	for _, peer := range r.peers() {
		if peer.ready() && (all || peer.FailureDomain == r.FailureDomain) {
			group.Go(func() { r.askPeer(ctx, peer) })
		}
	}
	group.Wait()
}

func (r *Router) askPeer(ctx context.Context, peer Peer) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	message := &routerpb.ReportRequest{From: r.VM, Time: r.timestamp()}
	answer, err := routerpb.NewForwardClient(peer.Connection).Report(ctx, message)
	if err != nil {
		return
	}
	r.observe(answer.GetTime())
	for _, room := range answer.GetRooms() {
		r.takeRoom(peer.VM, room)
	}
}

// seenIDs remembers the most recent ids of forwards.
type seenIDs struct {
	known map[string]bool
	order []string
	next  int
}

// add reports whether the id is new.
func (s *seenIDs) add(id string) bool {
	if s.known == nil {
		s.known = map[string]bool{}
	}
	if s.known[id] {
		return false
	}
	s.known[id] = true
	if len(s.order) < seenLength {
		s.order = append(s.order, id)
		return true
	}
	delete(s.known, s.order[s.next])
	s.order[s.next] = id
	s.next = (s.next + 1) % seenLength
	return true
}

func encodeRequest(request Request, mode string, remaining time.Duration) *routerpb.ForwardRequest {
	return &routerpb.ForwardRequest{
		Mode:                  mode,
		Organisation:          request.Organisation,
		Service:               request.Service,
		Method:                request.Method,
		Path:                  request.Path,
		Key:                   request.Key,
		Attempt:               int64(request.Attempt),
		Idempotent:            request.Idempotent,
		Priority:              int64(request.Priority),
		RemainingMicroseconds: remaining.Microseconds(),
		Headers:               encodeHeader(request.Header),
		Body:                  request.Body,
	}
}

func decodeRequest(m *routerpb.ForwardRequest, now time.Time) Request {
	return Request{
		Organisation: m.GetOrganisation(),
		Service:      m.GetService(),
		Method:       m.GetMethod(),
		Path:         m.GetPath(),
		Key:          m.GetKey(),
		Attempt:      int(m.GetAttempt()),
		Idempotent:   m.GetIdempotent(),
		Priority:     int(m.GetPriority()),
		Deadline:     now.Add(time.Duration(m.GetRemainingMicroseconds()) * time.Microsecond),
		Header:       decodeHeader(m.GetHeaders()),
		Body:         m.GetBody(),
	}
}

func encodeAnswer(response Response) *routerpb.ForwardAnswer {
	return &routerpb.ForwardAnswer{
		Outcome:                string(response.Outcome),
		RetrySafe:              response.RetrySafe,
		RetryAfterMicroseconds: response.RetryAfter.Microseconds(),
		Status:                 int64(response.Status),
		Headers:                encodeHeader(response.Header),
		Body:                   response.Body,
		Detail:                 response.Detail,
	}
}

func decodeAnswer(m *routerpb.ForwardAnswer) Response {
	return Response{
		Outcome:    Outcome(m.GetOutcome()),
		RetrySafe:  m.GetRetrySafe(),
		RetryAfter: time.Duration(m.GetRetryAfterMicroseconds()) * time.Microsecond,
		Status:     int(m.GetStatus()),
		Header:     decodeHeader(m.GetHeaders()),
		Body:       m.GetBody(),
		Detail:     m.GetDetail(),
	}
}

func encodeHeader(header http.Header) []*routerpb.Header {
	var headers []*routerpb.Header
	for name, values := range header {
		headers = append(headers, &routerpb.Header{Name: name, Values: values})
	}
	return headers
}

func decodeHeader(headers []*routerpb.Header) http.Header {
	header := http.Header{}
	for _, h := range headers {
		header[h.GetName()] = h.GetValues()
	}
	return header
}

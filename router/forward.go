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
	// modeDecide forwards an attempt to the home of its key, modeExecute a request to a
	// peer that runs it in its own slots.
	modeDecide  = "decide"
	modeExecute = "execute"

	// maxCapacityAge is the age at which a reported capacity expires.
	maxCapacityAge = 3 * time.Second
	// answerMargin is the time reserved for the answer of a peer to arrive.
	answerMargin = 10 * time.Millisecond
	// maxSeenIDs is the number of forward ids kept to detect duplicates.
	maxSeenIDs = 4096
)

type capacityKey struct {
	vm      string
	service serviceName
}

// peerCapacity is the free capacity of a peer for a service, as the peer last reported
// it, less the requests forwarded since.
type peerCapacity struct {
	freeSlots  int
	receivedAt time.Time
}

// stateReporter is a connection that reports its state, as *grpc.ClientConn does.
type stateReporter interface {
	GetState() connectivity.State
	Connect()
}

// ready reports whether a forward to the peer would be sent immediately. This is
// checked before each forward because an error of the call itself leaves the outcome
// unknown. If the connection is not ready, ready starts to connect it.
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

// forwardToHome forwards an attempt to the home of its key.
func (r *Router) forwardToHome(ctx context.Context, home KeyHome, request Request) Response {
	for _, peer := range r.peers() {
		if peer.VM == home.VM && peer.ready() {
			return r.forward(ctx, peer, request, modeDecide)
		}
	}
	return request.notRun("the home of the key is not reachable", busyRetryAfter)
}

// choosePeer returns the peer to which a request without a free slot is forwarded. A
// peer of the same failure domain is preferred; one of another failure domain is used
// if the deadline allows.
func (r *Router) choosePeer(p *pool, request Request) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	load := p.load(r.Shares, r.Clock.Now())
	var best Peer
	var found bool
	bestScore := 0
	for _, peer := range r.peers() {
		if peer.Draining || !peer.ready() || !r.mayForwardTo(peer, p, request, now) {
			continue
		}
		free := r.freeSlotsAt(peer.VM, p.name, now)
		if free == 0 && load.Slots > 0 {
			continue
		}
		score := 2 * free
		if peer.FailureDomain == r.FailureDomain {
			score += 1 << 30
		}
		if !found || score > bestScore {
			best, bestScore, found = peer, score, true
		}
	}
	if found {
		key := capacityKey{vm: best.VM, service: p.name}
		known := r.capacities[key]
		known.freeSlots = max(known.freeSlots-1, 0)
		r.capacities[key] = known
	}
	return best, found
}

// mayForwardTo reports whether the peer is in the same failure domain, or another
// failure domain has endpoints of the service and the deadline leaves enough time to
// forward the request there.
func (r *Router) mayForwardTo(peer Peer, p *pool, request Request, now time.Time) bool {
	if peer.FailureDomain == r.FailureDomain {
		return true
	}
	if !r.remoteServices[p.name] {
		return false
	}
	needed := r.spillCost() + 2*p.latencies.Mean()
	return request.Deadline.Sub(now) > needed
}

func (r *Router) freeSlotsAt(vm string, name serviceName, now time.Time) int {
	known := r.capacities[capacityKey{vm: vm, service: name}]
	if now.Sub(known.receivedAt) > maxCapacityAge {
		return 0
	}
	return known.freeSlots
}

// forwardExecute forwards the request to a peer, which runs it in its own slots.
func (r *Router) forwardExecute(ctx context.Context, peer Peer, request Request) result {
	if !request.Idempotent && request.Key != "" && !(r.Shares.Held() && request.confirmed()) {
		return result{response: request.notRun("may no longer send", busyRetryAfter)}
	}
	response := r.forward(ctx, peer, request, modeExecute)
	retrySoon := response.Outcome == OutcomeNotRun && response.RetryAfter < busyRetryAfter
	return result{response: response, retryable: retrySoon || response.Outcome == OutcomeUnknown}
}

func (r *Router) forward(ctx context.Context, peer Peer, request Request, mode string) Response {
	r.recordRequest(KindRequestForwarded, request, peer.VM, mode)
	remaining := request.Deadline.Sub(r.Clock.Now())
	if remaining < 2*answerMargin {
		return request.notRun("no time left to pass it on", busyRetryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	// The peer gets a shorter deadline, so that its answer arrives in time.
	message := encodeRequest(request, mode, remaining-min(remaining/10, answerMargin))
	message.Id = uuid.NewString()
	message.From = r.VM
	message.Time = r.timestamp()
	answer, err := routerpb.NewForwardClient(peer.Connection).Forward(ctx, message, grpc.WaitForReady(false))
	if err != nil {
		return r.handleForwardError(peer, request, err)
	}
	r.observeTimestamp(answer.GetTime())
	r.recordCapacity(peer.VM, answer.GetRoom())
	return decodeAnswer(answer)
}

// handleForwardError returns the response to a request whose forward failed with err.
// The peer may have run the request, unless the error is that it does not implement
// the call. The reported capacity of the peer is discarded.
func (r *Router) handleForwardError(peer Peer, request Request, err error) Response {
	r.mu.Lock()
	for key := range r.capacities {
		if key.vm == peer.VM {
			delete(r.capacities, key)
		}
	}
	r.mu.Unlock()
	if status.Code(err) == codes.Unimplemented {
		return request.notRun("peer takes no forwards", busyRetryAfter)
	}
	r.recordRequest(KindRequestUnknown, request, peer.VM, err.Error())
	return request.unknown("no answer from the entry VM that had it")
}

func (r *Router) recordCapacity(vm string, message *routerpb.Room) {
	if message == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name := serviceName{organisation: message.GetOrganisation(), service: message.GetService()}
	r.capacities[capacityKey{vm: vm, service: name}] = peerCapacity{freeSlots: int(message.GetFree()), receivedAt: r.Clock.Now()}
}

func (r *Router) timestamp() *routerpb.Timestamp {
	if r.Recorder == nil {
		return nil
	}
	now := recorder.Timestamp{}.Next(r.Clock.Now())
	return &routerpb.Timestamp{Wall: now.Wall, Counter: now.Counter}
}

func (r *Router) observeTimestamp(remote *routerpb.Timestamp) {
	if r.Recorder == nil || remote == nil {
		return
	}
	r.Recorder.Observe(recorder.Timestamp{Wall: remote.GetWall(), Counter: remote.GetCounter()})
}

// Register registers the gRPC service to which peers forward requests.
func (r *Router) Register(s grpc.ServiceRegistrar) {
	routerpb.RegisterForwardServer(s, &forwardServer{router: r})
}

// forwardServer implements the gRPC service Forward.
type forwardServer struct {
	routerpb.UnimplementedForwardServer
	router *Router
}

// Forward implements routerpb.ForwardServer.
func (s *forwardServer) Forward(ctx context.Context, message *routerpb.ForwardRequest) (*routerpb.ForwardAnswer, error) {
	r := s.router
	r.observeTimestamp(message.GetTime())
	request := r.withDefaults(decodeRequest(message, r.Clock.Now()))
	response := r.serveForward(ctx, message, request)
	answer := encodeAnswer(r.countOutcome(response))
	answer.Time = r.timestamp()
	answer.Room = r.capacityMessage(request.service())
	return answer, nil
}

func (r *Router) serveForward(ctx context.Context, message *routerpb.ForwardRequest, request Request) Response {
	refusal, ok := r.admit(&request)
	if !ok {
		return refusal
	}
	defer r.finish(&request)
	if !r.recordForwardID(message.GetId()) {
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

func (r *Router) recordForwardID(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen.add(id)
}

func (r *Router) capacityMessage(name serviceName) *routerpb.Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.encodeCapacity(name)
}

func (r *Router) encodeCapacity(name serviceName) *routerpb.Room {
	message := &routerpb.Room{Organisation: name.organisation, Service: name.service}
	if p := r.pools[name]; p != nil && !r.draining {
		message.Free = int64(max(p.freeSlots(r.Shares, r.Clock.Now())-r.limiter.Waiting(name.queueName()), 0))
	}
	return message
}

// Report implements routerpb.ForwardServer.
func (s *forwardServer) Report(_ context.Context, message *routerpb.ReportRequest) (*routerpb.ReportAnswer, error) {
	r := s.router
	r.observeTimestamp(message.GetTime())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	answer := &routerpb.ReportAnswer{Vm: r.VM, Draining: r.draining, Time: r.timestamp()}
	for name, p := range r.pools {
		if len(p.endpoints) > 0 {
			answer.Rooms = append(answer.Rooms, r.encodeCapacity(name))
		}
	}
	return answer, nil
}

// pollPeers requests the free capacity of the peers in the same failure domain, or of
// all peers if all is true.
func (r *Router) pollPeers(ctx context.Context, all bool) {
	var group sync.WaitGroup
	for _, peer := range r.peers() {
		if peer.ready() && (all || peer.FailureDomain == r.FailureDomain) {
			group.Go(func() { r.pollPeer(ctx, peer) })
		}
	}
	group.Wait()
}

func (r *Router) pollPeer(ctx context.Context, peer Peer) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	message := &routerpb.ReportRequest{From: r.VM, Time: r.timestamp()}
	answer, err := routerpb.NewForwardClient(peer.Connection).Report(ctx, message)
	if err != nil {
		return
	}
	r.observeTimestamp(answer.GetTime())
	for _, capacity := range answer.GetRooms() {
		r.recordCapacity(peer.VM, capacity)
	}
}

// seenIDs keeps the most recent ids of forwards.
type seenIDs struct {
	known map[string]bool
	order []string
	next  int
}

// add adds an id and reports whether it is new. The oldest id is evicted if there are
// maxSeenIDs already.
func (s *seenIDs) add(id string) bool {
	if s.known == nil {
		s.known = map[string]bool{}
	}
	if s.known[id] {
		return false
	}
	s.known[id] = true
	if len(s.order) < maxSeenIDs {
		s.order = append(s.order, id)
		return true
	}
	delete(s.known, s.order[s.next])
	s.order[s.next] = id
	s.next = (s.next + 1) % maxSeenIDs
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

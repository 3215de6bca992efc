package router

import (
	"context"
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

	// answerMargin is the time reserved for the answer of a peer to arrive.
	answerMargin = 10 * time.Millisecond
)

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

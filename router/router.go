// Package router routes the requests of callers to the endpoints of their service,
// within the share of each endpoint's slots that this entry VM may use. A response
// states the outcome: the request ran, it did not run, or the outcome is unknown.
package router

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"zinniashore.example/exchanger"
	"zinniashore.example/limiter"
	"zinniashore.example/recorder"
	"zinniashore.example/router/routerpb"
)

const (
	// DefaultMaxBodyBytes is the MaxBodyBytes of a Router that sets none.
	DefaultMaxBodyBytes = 1 << 20
	// DefaultMaxBytes is the MaxBytes of a Router that sets none.
	DefaultMaxBytes = 16 << 20
	// DefaultSpillCost is the SpillCost of a Router that sets none.
	DefaultSpillCost = 12 * time.Millisecond

	// DefaultBodyTimeout is the BodyTimeout of a Router that sets none.
	DefaultBodyTimeout = 5 * time.Second

	busyRetryAfter     = 100 * time.Millisecond
	drainingRetryAfter = 10 * time.Millisecond
)

// Kinds of events of requests.
const (
	// KindRequestSent records that a request is about to be sent to an endpoint.
	KindRequestSent recorder.Kind = "request_sent"
	// KindRequestUnknown records that the outcome of a request is unknown.
	KindRequestUnknown recorder.Kind = "request_unknown"
	// KindRequestForwarded records that a request is forwarded to another entry VM.
	KindRequestForwarded recorder.Kind = "request_forwarded"
	// KindEndpointEjected records that an endpoint gets no new requests until a
	// probe succeeds.
	KindEndpointEjected recorder.Kind = "endpoint_ejected"
	// KindEndpointDrained records that an endpoint answered that it is draining.
	KindEndpointDrained recorder.Kind = "endpoint_drained"
	// KindDraining records that this entry VM starts to refuse new requests.
	KindDraining recorder.Kind = "router_draining"
)

// Router is the request path of an entry VM. Its exported fields are set before
// the first call. It is safe for concurrent use.
type Router struct {
	// Clock provides the time.
	Clock clockwork.Clock
	// Recorder receives the events; nil records none.
	Recorder *recorder.Recorder
	// Metrics is the scope for the counters of outcomes; nil counts none.
	Metrics tally.Scope
	// VM is the id of this entry VM.
	VM string
	// FailureDomain is the failure domain of this entry VM.
	FailureDomain string
	// Shares limits the slots and connections that this entry VM may use.
	Shares Shares
	// Keys decides on idempotency keys; nil refuses requests that carry one.
	Keys Keys
	// Peers lists the other entry VMs; nil lists none.
	Peers Peers
	// Authorizer checks the tokens of callers; nil admits all callers.
	Authorizer Authorizer
	// MaxRequestDuration is the maximum duration of a request, including its run at the
	// endpoint. Zero means exchanger.DefaultMaxRequestDuration.
	MaxRequestDuration time.Duration
	// SpillCost is the round-trip time of forwarding a request to another failure
	// domain. Zero means DefaultSpillCost.
	SpillCost time.Duration
	// MaxBodyBytes is the maximum length of the body of a request. Zero means
	// DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// MaxAnswerBytes is the maximum length of the body of an answer.
	MaxAnswerBytes int64
	// MaxBytes is the maximum total length of the bodies of the requests in flight.
	// Zero means DefaultMaxBytes.
	MaxBytes int64
	// QueueLength is the maximum number of requests that wait for a slot.
	QueueLength int
	// BodyTimeout is the maximum time for a caller to send the body. Zero means
	// DefaultBodyTimeout.
	BodyTimeout time.Duration

	mu             sync.Mutex
	initialized    bool
	pools          map[serviceName]*pool
	remoteServices map[serviceName]bool
	leavingVMs     map[string]bool
	limiter        *limiter.Limiter
	granted        map[*limiter.QueuedRequest]*endpoint
	capacities     map[capacityKey]peerCapacity
	seen           *seenIDs
	bodyBytes      int64
	inFlight       map[*Request]time.Time
	draining       bool
	drainDone      chan struct{}
}

// DrainError reports that a drain ended with requests in flight.
type DrainError struct {
	// InFlight describes each request that was in flight.
	InFlight []string
}

// Error implements error.
func (e *DrainError) Error() string {
	return fmt.Sprintf("drain ended with %d requests in flight", len(e.InFlight))
}

// init initializes the internal state on the first call. The caller holds the mutex.
func (r *Router) init() {
	if r.initialized {
		return
	}
	r.initialized = true
	r.pools = map[serviceName]*pool{}
	r.remoteServices = map[serviceName]bool{}
	r.leavingVMs = map[string]bool{}
	r.limiter = &limiter.Limiter{Clock: r.Clock, Length: r.QueueLength}
	r.granted = map[*limiter.QueuedRequest]*endpoint{}
	r.capacities = map[capacityKey]peerCapacity{}
	r.seen = &seenIDs{}
	r.inFlight = map[*Request]time.Time{}
	r.drainDone = make(chan struct{})
	if r.Metrics == nil {
		r.Metrics = tally.NoopScope
	}
}

// Handle runs a request at an endpoint and returns the response. It returns by the
// deadline of the request.
func (r *Router) Handle(ctx context.Context, request Request) Response {
	request = r.withDefaults(request)
	refusal, ok := r.admit(&request)
	if !ok {
		return r.countOutcome(refusal)
	}
	defer r.finish(&request)
	return r.countOutcome(r.handle(ctx, request))
}

func (r *Router) handle(ctx context.Context, request Request) Response {
	if request.Idempotent {
		return r.execute(ctx, request, true)
	}
	if request.Key == "" {
		if request.Attempt > 1 {
			return request.unknown("an attempt above 1 needs an idempotency key")
		}
		return r.execute(ctx, request, true)
	}
	// The attempt continues when its caller disconnects, since a retry may request
	// its answer.
	ctx = context.WithoutCancel(ctx)
	if r.Keys == nil {
		return request.notRun("nobody decides on idempotency keys", busyRetryAfter)
	}
	home := r.Keys.Home(request.Key)
	switch {
	case !home.Known:
		return request.notRun("the home of the key is not known", busyRetryAfter)
	case home.Local:
		return r.decide(ctx, request)
	default:
		return r.forwardToHome(ctx, home, request)
	}
}

// decide applies the verdict on an attempt at the home of its key: it runs the
// attempt, returns the stored answer or refuses the attempt.
func (r *Router) decide(ctx context.Context, request Request) Response {
	beginCtx, cancel := clockwork.WithDeadline(ctx, r.Clock, request.Deadline)
	verdict, err := r.Keys.Begin(beginCtx, request.Key, request.Attempt)
	cancel()
	if err != nil {
		klog.V(1).InfoS("No verdict on the idempotency key", "key", request.Key, "attempt", request.Attempt, "err", err)
		return request.unknown(err.Error())
	}
	switch verdict.Verdict {
	case VerdictRun:
		response := r.execute(ctx, request.withAttempt(1).withConfirm(verdict.Confirm), true)
		r.Keys.Finish(request.Key, string(response.Outcome), encodeStoredAnswer(request, response))
		return response
	case VerdictAnswered:
		return decodeStoredAnswer(request, verdict.Answer)
	case VerdictNotRun:
		return Response{Outcome: OutcomeNotRun, RetrySafe: true, RetryAfter: busyRetryAfter, Detail: "not decided in time"}
	case VerdictInvalid:
		return Response{Outcome: OutcomeNotRun, RetrySafe: true, Status: http.StatusBadRequest, Detail: "the idempotency key is not a UUID of version 7"}
	default:
		return request.unknown("the home of the key cannot vouch for it")
	}
}

// withAttempt returns a copy of the request with that attempt number.
func (q Request) withAttempt(attempt int) Request {
	q.Attempt = attempt
	return q
}

// withConfirm returns a copy of the request with that confirm function.
func (q Request) withConfirm(confirm func() bool) Request {
	q.confirm = confirm
	return q
}

// confirmed reports whether the attempt may still be sent.
func (q Request) confirmed() bool { return q.confirm == nil || q.confirm() }

func (r *Router) withDefaults(request Request) Request {
	latest := r.Clock.Now().Add(r.maxRequestDuration())
	if request.Deadline.IsZero() || request.Deadline.After(latest) {
		request.Deadline = latest
	}
	request.Attempt = max(request.Attempt, 1)
	return request
}

// admit adds the request to those in flight, or returns a refusal.
func (r *Router) admit(request *Request) (Response, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.draining {
		return request.notRun("this entry VM is draining", drainingRetryAfter), false
	}
	if r.bodyBytes+int64(len(request.Body)) > r.maxBytes() {
		return request.notRun("no memory for the request", busyRetryAfter), false
	}
	r.bodyBytes += int64(len(request.Body))
	r.inFlight[request] = r.Clock.Now()
	return Response{}, true
}

func (r *Router) finish(request *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyBytes -= int64(len(request.Body))
	delete(r.inFlight, request)
	if r.draining && len(r.inFlight) == 0 {
		close(r.drainDone)
	}
}

// Drain refuses new requests from now on and waits until none is in flight. It
// returns a *DrainError if ctx is done before.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.init()
	if !r.draining {
		r.draining = true
		r.record(recorder.Event{Kind: KindDraining})
		if len(r.inFlight) == 0 {
			close(r.drainDone)
		}
	}
	r.mu.Unlock()
	select {
	case <-r.drainDone:
		return nil
	case <-ctx.Done():
		return r.drainError()
	}
}

func (r *Router) drainError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	drainErr := &DrainError{}
	for request, since := range r.inFlight {
		age := r.Clock.Since(since)
		drainErr.InFlight = append(drainErr.InFlight, fmt.Sprintf("%s/%s %s %s for %v",
			request.Organisation, request.Service, request.Method, request.Key, age))
		klog.InfoS("Request in flight at the end of the drain", "organisation", request.Organisation,
			"service", request.Service, "key", request.Key, "age", age)
	}
	if len(drainErr.InFlight) == 0 {
		return nil
	}
	return drainErr
}

func (r *Router) countOutcome(response Response) Response {
	if r.Metrics != nil {
		r.Metrics.Tagged(map[string]string{"outcome": string(response.Outcome)}).Counter("requests").Inc(1)
	}
	return response
}

func (r *Router) record(event recorder.Event) {
	if r.Recorder != nil {
		r.Recorder.Record(event)
	}
}

// recordRequest records an event of a request that has an idempotency key. Requests
// without a key are too numerous: their events would evict all others from the time line.
func (r *Router) recordRequest(kind recorder.Kind, request Request, vm, detail string) {
	if request.Key == "" {
		return
	}
	r.record(recorder.Event{
		Kind: kind, Organisation: request.Organisation, VM: vm, Key: request.Key,
		Attempt: request.Attempt, Detail: detail,
	})
}

func (r *Router) maxRequestDuration() time.Duration {
	if r.MaxRequestDuration == 0 {
		return exchanger.DefaultMaxRequestDuration
	}
	return r.MaxRequestDuration
}

func (r *Router) spillCost() time.Duration {
	if r.SpillCost == 0 {
		return DefaultSpillCost
	}
	return r.SpillCost
}

func (r *Router) bodyTimeout() time.Duration {
	if r.BodyTimeout == 0 {
		return DefaultBodyTimeout
	}
	return r.BodyTimeout
}

func (r *Router) maxBodyBytes() int64 {
	if r.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return r.MaxBodyBytes
}

func (r *Router) maxBytes() int64 {
	if r.MaxBytes == 0 {
		return DefaultMaxBytes
	}
	return r.MaxBytes
}

// encodeResponse encodes a response as the home of a key stores it. It returns nil if
// that fails.
func encodeResponse(response Response) []byte {
	content, err := proto.Marshal(encodeAnswer(response))
	if err != nil {
		klog.ErrorS(err, "Failed to encode an answer")
		return nil
	}
	return content
}

func decodeResponse(request Request, content []byte) Response {
	var message routerpb.ForwardAnswer
	if err := proto.Unmarshal(content, &message); err != nil {
		return request.unknown("stored answer not readable")
	}
	return decodeAnswer(&message)
}

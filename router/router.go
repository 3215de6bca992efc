// Package router takes the requests of callers and has each run by one endpoint
// of its service, within the slots that this entry VM may use, or says truly
// that it did not run.
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
	// DefaultMaxBodyBytes is the longest request of a Router whose MaxBodyBytes
	// is zero.
	DefaultMaxBodyBytes = 1 << 20
	// DefaultMaxBytes is the memory for requests of a Router whose MaxBytes is
	// zero.
	DefaultMaxBytes = 16 << 20
	// DefaultSpillCost is the time that a Router whose SpillCost is zero counts
	// for passing a request to another failure domain and back.
	DefaultSpillCost = 12 * time.Millisecond

	// DefaultBodyTimeout is the time for the body of a Router whose BodyTimeout
	// is zero.
	DefaultBodyTimeout = 5 * time.Second

	busyRetryAfter     = 100 * time.Millisecond
	drainingRetryAfter = 10 * time.Millisecond
)

// Kinds of events of requests.
const (
	// KindRequestSent is a request that is about to be sent to an endpoint.
	KindRequestSent recorder.Kind = "request_sent"
	// KindRequestUnknown is a request whose outcome is not known.
	KindRequestUnknown recorder.Kind = "request_unknown"
	// KindRequestForwarded is a request passed to another entry VM.
	KindRequestForwarded recorder.Kind = "request_forwarded"
	// KindEndpointEjected is an endpoint that takes no new requests for now.
	KindEndpointEjected recorder.Kind = "endpoint_ejected"
	// KindEndpointDrained is an endpoint that said that it is leaving.
	KindEndpointDrained recorder.Kind = "endpoint_drained"
	// KindDraining is this entry VM refusing new requests.
	KindDraining recorder.Kind = "router_draining"
)

// Router is the request path of an entry VM. Its exported fields are set before
// the first call. It is safe for concurrent use.
type Router struct {
	// Clock gives the time.
	Clock clockwork.Clock
	// Recorder keeps the time line; nil keeps none.
	Recorder *recorder.Recorder
	// Metrics counts outcomes; nil counts none.
	Metrics tally.Scope
	// VM is the id of this entry VM.
	VM string
	// FailureDomain is where it is.
	FailureDomain string
	// Shares tells which slots may be used.
	Shares Shares
	// Keys decides on idempotency keys; nil refuses requests that carry one.
	Keys Keys
	// Peers lists the other entry VMs; nil lists none.
	Peers Peers
	// Authorizer checks callers; nil admits all.
	Authorizer Authorizer
	// LongestRequest is how long a request lasts at most, in its endpoint too.
	LongestRequest time.Duration
	// SpillCost is the time that passing a request to another failure domain
	// and back takes.
	SpillCost time.Duration
	// MaxBodyBytes is the longest body of a request.
	MaxBodyBytes int64
	// MaxAnswerBytes is the longest body of an answer.
	MaxAnswerBytes int64
	// MaxBytes is the memory that the bodies of requests hold at most.
	MaxBytes int64
	// QueueLength is how many requests wait at most.
	QueueLength int
	// BodyTimeout is how long a caller may take to send the body.
	BodyTimeout time.Duration

	mu       sync.Mutex
	started  bool
	pools    map[serviceName]*pool
	remote   map[serviceName]bool
	leaving  map[string]bool
	limiter  *limiter.Limiter
	granted  map[*limiter.Waiter]*endpoint
	rooms    map[roomName]room
	seen     *seenIDs
	bytes    int64
	inFlight map[*Request]time.Time
	draining bool
	idle     chan struct{}
}

// DrainError is a drain that ended with requests in flight.
type DrainError struct {
	// Left describes them.
	Left []string
}

// Error implements error.
func (e *DrainError) Error() string {
	return fmt.Sprintf("drain ended with %d requests in flight", len(e.Left))
}

// start makes the state; the caller holds the mutex.
func (r *Router) start() {
	if r.started {
		return
	}
	r.started = true
	r.pools = map[serviceName]*pool{}
	r.remote = map[serviceName]bool{}
	r.leaving = map[string]bool{}
	r.limiter = &limiter.Limiter{Clock: r.Clock, Length: r.QueueLength}
	r.granted = map[*limiter.Waiter]*endpoint{}
	r.rooms = map[roomName]room{}
	r.seen = &seenIDs{}
	r.inFlight = map[*Request]time.Time{}
	r.idle = make(chan struct{})
	if r.Metrics == nil {
		r.Metrics = tally.NoopScope
	}
}

// Handle has a request run and returns its response. It returns by the deadline
// of the request.
func (r *Router) Handle(ctx context.Context, request Request) Response {
	request = r.withDefaults(request)
	refusal, ok := r.enter(&request)
	if !ok {
		return r.count(refusal)
	}
	defer r.leave(&request)
	return r.count(r.handle(ctx, request))
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
	// The attempt goes on when its caller leaves: a retry asks for its answer.
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
		return r.forwardHome(ctx, home, request)
	}
}

// decide runs an attempt at the home of its key.
func (r *Router) decide(ctx context.Context, request Request) Response {
	waiting, cancel := clockwork.WithDeadline(ctx, r.Clock, request.Deadline)
	verdict, err := r.Keys.Begin(waiting, request.Key, request.Attempt)
	cancel()
	if err != nil {
		klog.V(1).InfoS("Key not decided", "key", request.Key, "attempt", request.Attempt, "err", err)
		return request.unknown(err.Error())
	}
	switch verdict.Verdict {
	case VerdictRun:
		response := r.execute(ctx, request.withAttempt(1).withConfirm(verdict.Confirm), true)
		r.Keys.Finish(request.Key, string(response.Outcome), sealAnswer(request, response))
		return response
	case VerdictAnswered:
		return openAnswer(request, verdict.Answer)
	case VerdictNotRun:
		return Response{Outcome: OutcomeNotRun, RetrySafe: true, RetryAfter: busyRetryAfter, Detail: "not decided in time"}
	case VerdictInvalid:
		return Response{Outcome: OutcomeNotRun, RetrySafe: true, Status: http.StatusBadRequest, Detail: "the idempotency key is not a UUID of version 7"}
	default:
		return request.unknown("the home of the key cannot vouch for it")
	}
}

// withAttempt returns the request with another attempt number.
func (q Request) withAttempt(attempt int) Request {
	q.Attempt = attempt
	return q
}

// withConfirm returns the request with what is asked before each send.
func (q Request) withConfirm(confirm func() bool) Request {
	q.confirm = confirm
	return q
}

// confirmed reports whether the attempt may still be sent.
func (q Request) confirmed() bool { return q.confirm == nil || q.confirm() }

func (r *Router) withDefaults(request Request) Request {
	latest := r.Clock.Now().Add(r.longestRequest())
	if request.Deadline.IsZero() || request.Deadline.After(latest) {
		request.Deadline = latest
	}
	request.Attempt = max(request.Attempt, 1)
	return request
}

// enter admits a request, or returns its refusal.
func (r *Router) enter(request *Request) (Response, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start()
	if r.draining {
		return request.notRun("this entry VM is draining", drainingRetryAfter), false
	}
	if r.bytes+int64(len(request.Body)) > r.maxBytes() {
		return request.notRun("no memory for the request", busyRetryAfter), false
	}
	r.bytes += int64(len(request.Body))
	r.inFlight[request] = r.Clock.Now()
	return Response{}, true
}

func (r *Router) leave(request *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes -= int64(len(request.Body))
	delete(r.inFlight, request)
	if r.draining && len(r.inFlight) == 0 {
		close(r.idle)
	}
}

// Drain refuses new requests from now on and waits for those in flight. It
// returns a *DrainError where ctx ended before.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.start()
	if !r.draining {
		r.draining = true
		r.record(recorder.Event{Kind: KindDraining})
		if len(r.inFlight) == 0 {
			close(r.idle)
		}
	}
	r.mu.Unlock()
	select {
	case <-r.idle:
		return nil
	case <-ctx.Done():
		return r.drainError()
	}
}

func (r *Router) drainError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := &DrainError{}
	for request, since := range r.inFlight {
		age := r.Clock.Since(since)
		left.Left = append(left.Left, fmt.Sprintf("%s/%s %s %s for %v",
			request.Organisation, request.Service, request.Method, request.Key, age))
		klog.InfoS("Request in flight at the end of the drain", "organisation", request.Organisation,
			"service", request.Service, "key", request.Key, "age", age)
	}
	if len(left.Left) == 0 {
		return nil
	}
	return left
}

func (r *Router) count(response Response) Response {
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

// recordRequest records an event of a request that has a key. Others are so many
// that they would push everything else out of the time line.
func (r *Router) recordRequest(kind recorder.Kind, request Request, vm, detail string) {
	if request.Key == "" {
		return
	}
	r.record(recorder.Event{
		Kind: kind, Organisation: request.Organisation, VM: vm, Key: request.Key,
		Attempt: request.Attempt, Detail: detail,
	})
}

func (r *Router) longestRequest() time.Duration {
	if r.LongestRequest == 0 {
		return exchanger.DefaultLongestRequest
	}
	return r.LongestRequest
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

// encodeResponse returns the form in which the home of a key stores an answer.
func encodeResponse(response Response) []byte {
	content, err := proto.Marshal(encodeAnswer(response))
	if err != nil {
		klog.ErrorS(err, "Answer not encoded")
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

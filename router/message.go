package router

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/grpc"
)

// Outcome is the result of a request as reported to its caller.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeOK means that the request ran and the response holds its complete answer.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run. It is not run again.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeEndpointError means that the request ran and the endpoint answered with a
	// status of 500 or above.
	OutcomeEndpointError Outcome = "endpoint_error"
)

// Request is a request of a caller to a service.
type Request struct {
	// Organisation is the organisation that owns the service.
	Organisation string
	// Service is the name of the service.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path below the service, with its query.
	Path string
	// Key is the idempotency key, or empty if the request has none.
	Key string
	// Attempt is the caller's attempt number, counted from one.
	Attempt int
	// Idempotent is whether the request may run more than once.
	Idempotent bool
	// Priority orders waiting requests, higher ones first. Batch requests have a
	// priority below zero.
	Priority int
	// Deadline is the time until which the caller waits. Zero means the time of the
	// call plus Router.MaxRequestDuration, which is also the latest deadline.
	Deadline time.Time
	// Header is sent to the endpoint.
	Header http.Header
	// Body is sent to the endpoint.
	Body []byte

	// confirm is the KeyVerdict.Confirm of the attempt.
	confirm func() bool
}

func (q Request) service() serviceName {
	return serviceName{organisation: q.Organisation, service: q.Service}
}

// Response is the answer to a Request.
type Response struct {
	// Outcome is the result of the request.
	Outcome Outcome
	// RetrySafe is whether the caller may send the same request again, with the next
	// attempt number, without a non-idempotent request running twice.
	RetrySafe bool
	// RetryAfter is the delay after which a retry may succeed, or zero if unknown.
	RetryAfter time.Duration
	// Status is the HTTP status of the endpoint's answer or of a refusal, or zero if
	// there is neither.
	Status int
	// Header is the header of the endpoint's answer.
	Header http.Header
	// Body is the complete body of the endpoint's answer.
	Body []byte
	// Detail is the reason why there is no answer.
	Detail string
}

// notRun returns the response to an attempt that did not run. An earlier attempt of
// a non-idempotent request may have run, so the outcome of a later one is unknown.
func (q Request) notRun(detail string, retryAfter time.Duration) Response {
	response := Response{Outcome: OutcomeNotRun, RetrySafe: true, RetryAfter: retryAfter, Detail: detail}
	if q.Attempt > 1 && !q.Idempotent {
		response.Outcome = OutcomeUnknown
		response.RetrySafe = q.Key != ""
	}
	return response
}

func (q Request) unknown(detail string) Response {
	return Response{Outcome: OutcomeUnknown, RetrySafe: q.Idempotent || q.Key != "", Detail: detail}
}

// Shares limits this entry VM to its share of the endpoints of its own failure
// domain.
type Shares interface {
	// Share returns the number of slots that may be used now at an endpoint with that
	// total number of slots.
	Share(slots int) int
	// Connections returns the number of connections that may be open now to an
	// endpoint with that limit of connections.
	Connections(limit int) int
	// Held reports whether this entry VM holds a share, so that it may send requests
	// now. It is called immediately before each send.
	Held() bool
}

// KeyHome is the entry VM that decides on an idempotency key.
type KeyHome struct {
	// VM is the id of the entry VM.
	VM string
	// Local is whether it is this entry VM.
	Local bool
	// Known is false while no entry VM decides on the key.
	Known bool
}

// Verdict is the decision of the home of a key on an attempt.
type Verdict string

// Verdicts on attempts.
const (
	// VerdictRun runs the attempt. Keys.Finish must be called when it ends.
	VerdictRun Verdict = "run"
	// VerdictAnswered returns the stored answer.
	VerdictAnswered Verdict = "answered"
	// VerdictUnknown refuses the attempt because an earlier one may have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictNotRun refuses the attempt; no attempt of the key has run.
	VerdictNotRun Verdict = "not_run"
	// VerdictInvalid refuses a malformed key. Requests with such a key never run.
	VerdictInvalid Verdict = "invalid"
)

// KeyVerdict is a Verdict with the stored answer, if any.
type KeyVerdict struct {
	// Verdict is the decision.
	Verdict Verdict
	// Answer is the answer that was passed to Finish, set for VerdictAnswered.
	Answer []byte
	// Confirm reports whether the attempt may still be sent. It is called
	// immediately before each send; nil means always.
	Confirm func() bool
}

// Keys decides on idempotency keys.
type Keys interface {
	// Home returns the entry VM that decides on a key.
	Home(key string) KeyHome
	// Begin decides on an attempt. It is called at the home of the key.
	Begin(ctx context.Context, key string, attempt int) (KeyVerdict, error)
	// Finish stores the outcome and answer of an attempt with VerdictRun.
	Finish(key string, outcome string, answer []byte)
}

// Peer is another entry VM.
type Peer struct {
	// VM is the id of the peer.
	VM string
	// FailureDomain is the failure domain of the peer.
	FailureDomain string
	// Address is the IP address and port of the peer.
	Address string
	// Alive is whether the peer answers heartbeats.
	Alive bool
	// Draining is whether the peer refuses new requests.
	Draining bool
	// Connection is the gRPC connection to the peer.
	Connection grpc.ClientConnInterface
}

// Peers lists the other entry VMs.
type Peers interface {
	// Peers returns the other entry VMs of all failure domains.
	Peers() []Peer
}

// Authorizer checks the tokens of callers.
type Authorizer interface {
	// Authorize reports whether the token may use services of the organisation.
	Authorize(organisation, token string) bool
}

// Occupancy is the usage of one endpoint by this entry VM.
type Occupancy struct {
	// Organisation is the organisation that owns the service.
	Organisation string
	// Service is the name of the service.
	Service string
	// Address is the IP address and port of the endpoint.
	Address string
	// VM is the worker that the endpoint runs on.
	VM string
	// InFlight is the number of slots that this entry VM uses.
	InFlight int
	// Share is the number of slots that this entry VM may use.
	Share int
	// Connections is the number of open connections.
	Connections int
	// Condition is the availability of the endpoint for new requests.
	Condition Condition
}

package router

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/grpc"
)

// Outcome tells a caller what became of its request.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeOK ran, and this is its whole answer.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun did not run and will not.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown may have run. It is not run again.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeEndpointError ran, and the endpoint answered with an error.
	OutcomeEndpointError Outcome = "endpoint_error"
)

// Request is a request of a caller.
type Request struct {
	// Organisation owns the service.
	Organisation string
	// Service names it.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path below the service, with its query.
	Path string
	// Key is the idempotency key, if any.
	Key string
	// Attempt is the caller's attempt number, counted from one.
	Attempt int
	// Idempotent requests may run more than once.
	Idempotent bool
	// Priority goes first where it is higher. Below zero is batch.
	Priority int
	// Deadline is when the caller gives up. Zero leaves it to the Router.
	Deadline time.Time
	// Header is passed on to the endpoint.
	Header http.Header
	// Body is passed on to the endpoint.
	Body []byte

	// confirm is the KeyVerdict.Confirm of the attempt.
	confirm func() bool
}

func (q Request) service() serviceName {
	return serviceName{organisation: q.Organisation, service: q.Service}
}

// Response is the answer to a Request.
type Response struct {
	// Outcome tells what became of the request.
	Outcome Outcome
	// RetrySafe tells whether sending the same request again, with the next
	// attempt number, cannot make it run twice.
	RetrySafe bool
	// RetryAfter is when a retry has a chance, if that is known.
	RetryAfter time.Duration
	// Status is the HTTP status of the endpoint, zero if there is no answer.
	Status int
	// Header is the header of the endpoint's answer.
	Header http.Header
	// Body is the whole body of the endpoint's answer.
	Body []byte
	// Detail tells why there is no answer.
	Detail string
}

// notRun returns the answer to a request that did not run now. What earlier
// attempts of it did is not known here, so for them the answer is unknown.
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

// Shares tells which part of the endpoints of the own failure domain this
// entry VM may use.
type Shares interface {
	// Share returns how many of the slots of each endpoint may be used now.
	Share(slots int) int
	// Connections returns how many of the connections of each endpoint may be
	// open now.
	Connections(limit int) int
	// Held reports whether requests may be sent now. It is asked immediately
	// before each send.
	Held() bool
}

// KeyHome is the entry VM that decides on an idempotency key.
type KeyHome struct {
	// VM is its id.
	VM string
	// Local tells that it is this one.
	Local bool
	// Known is false while nobody decides on the key.
	Known bool
}

// Verdict is what the home of a key decides on an attempt.
type Verdict string

// Verdicts on attempts.
const (
	// VerdictRun runs the attempt; Finish must follow.
	VerdictRun Verdict = "run"
	// VerdictAnswered answers with what was stored.
	VerdictAnswered Verdict = "answered"
	// VerdictUnknown answers that it may have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictNotRun answers that it did not run.
	VerdictNotRun Verdict = "not_run"
	// VerdictInvalid refuses a malformed key, under which nothing ever runs.
	VerdictInvalid Verdict = "invalid"
)

// KeyVerdict is a Verdict with the stored answer, if any.
type KeyVerdict struct {
	// Verdict tells what to do.
	Verdict Verdict
	// Answer is what Finish was given, where the verdict is VerdictAnswered.
	Answer []byte
	// Confirm reports whether the attempt may still be sent. It is asked
	// immediately before each send; nil always confirms.
	Confirm func() bool
}

// Keys decides on idempotency keys.
type Keys interface {
	// Home returns the entry VM that decides on a key.
	Home(key string) KeyHome
	// Begin decides on an attempt at its home.
	Begin(ctx context.Context, key string, attempt int) (KeyVerdict, error)
	// Finish stores the outcome and answer of an attempt that was told to run.
	Finish(key string, outcome string, answer []byte)
}

// Peer is another entry VM.
type Peer struct {
	// VM is its id.
	VM string
	// FailureDomain is where it is.
	FailureDomain string
	// Address is its IP address and port.
	Address string
	// Alive tells that it answers heartbeats.
	Alive bool
	// Draining tells that it takes no new requests.
	Draining bool
	// Connection reaches it.
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

// Occupancy is how this entry VM uses one endpoint.
type Occupancy struct {
	// Organisation owns the service.
	Organisation string
	// Service names it.
	Service string
	// Address is the IP address and port of the endpoint.
	Address string
	// VM is the worker that it runs on.
	VM string
	// InFlight is how many of its slots this entry VM holds.
	InFlight int
	// Share is how many it may hold.
	Share int
	// Connections is how many connections are open.
	Connections int
	// Condition tells whether it takes new requests.
	Condition Condition
}

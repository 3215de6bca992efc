package exchanger

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/zeebo/errs"
)

// Cause is the reason why an exchange failed.
type Cause string

// Causes of failed exchanges.
const (
	// CauseRequest is an invalid request, which can't be built.
	CauseRequest Cause = "request"
	// CauseDial is a failure to connect to the endpoint.
	CauseDial Cause = "dial"
	// CauseConnections is an exhausted limit of connections.
	CauseConnections Cause = "connections"
	// CauseNotPermitted is the loss of the entry VM's permission to send to the endpoint.
	CauseNotPermitted Cause = "lapsed"
	// CauseTimeout is an answer that did not arrive before the deadline.
	CauseTimeout Cause = "timeout"
	// CauseCanceled is a caller that canceled its context.
	CauseCanceled Cause = "canceled"
	// CauseSilent is an unresponsive connection on which the request was lost.
	CauseSilent Cause = "silent"
	// CauseConnection is a connection that failed during the exchange.
	CauseConnection Cause = "connection"
	// CauseLength is an answer without a Content-Length, or with more bytes than it
	// declares.
	CauseLength Cause = "length"
	// CauseOversize is an answer longer than MaxAnswerBytes.
	CauseOversize Cause = "oversize"
	// CauseEcho is an answer that echoes the id of another request.
	CauseEcho Cause = "echo"
)

var class = errs.Class("exchanger")

var (
	errEcho         = class.New("answer echoes the id of another request")
	errNoLength     = class.New("answer has no Content-Length")
	errOversize     = class.New("answer is longer than the limit")
	errTrailingData = class.New("answer is longer than its Content-Length")
	errConnections  = class.New("all connections to the endpoint are in use")
	errNotPermitted = class.New("no longer permitted to send to the endpoint")
	errAbandoned    = class.New("exchange was abandoned")
)

// Error reports a failed exchange.
type Error struct {
	// Sent is true if any part of the request was sent, unless the endpoint reported
	// that it never received the request. If Sent is false, the endpoint did not run
	// the request and never will.
	Sent bool
	// Cause is the reason of the failure.
	Cause Cause
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange failed: %s, sent %t: %v", e.Cause, e.Sent, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

func causeOf(ctx context.Context, err error) Cause {
	var operation *net.OpError
	switch {
	case errors.Is(err, errNotPermitted):
		return CauseNotPermitted
	case errors.Is(err, errConnections):
		return CauseConnections
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return CauseTimeout
	case ctx.Err() != nil:
		return CauseCanceled
	case errors.As(err, &operation) && operation.Op == "dial":
		return CauseDial
	default:
		return CauseConnection
	}
}

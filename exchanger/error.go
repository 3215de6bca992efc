package exchanger

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/zeebo/errs"
)

// Cause tells why an exchange failed.
type Cause string

// Causes of failed exchanges.
const (
	// CauseRequest is a request that cannot be written.
	CauseRequest Cause = "request"
	// CauseDial is an endpoint that takes no connection.
	CauseDial Cause = "dial"
	// CauseConnections is a lack of connections.
	CauseConnections Cause = "connections"
	// CauseLapsed is an entry VM that may no longer send.
	CauseLapsed Cause = "lapsed"
	// CauseTimeout is an answer that did not come before the deadline.
	CauseTimeout Cause = "timeout"
	// CauseCanceled is a caller that gave up.
	CauseCanceled Cause = "canceled"
	// CauseSilent is a connection that lost the request.
	CauseSilent Cause = "silent"
	// CauseConnection is a connection that ended in the exchange.
	CauseConnection Cause = "connection"
	// CauseLength is an answer without a length or of another length.
	CauseLength Cause = "length"
	// CauseOversize is an answer above the limit.
	CauseOversize Cause = "oversize"
	// CauseEcho is an answer to another request.
	CauseEcho Cause = "echo"
)

var class = errs.Class("exchanger")

var (
	errEcho        = class.New("answer to another request")
	errNoLength    = class.New("answer without a length")
	errOversize    = class.New("answer too long")
	errNoEnd       = class.New("answer goes on past its length")
	errConnections = class.New("no connection left")
	errLapsed      = class.New("may no longer send")
	errAbandoned   = class.New("exchange is abandoned")
)

// Error is a failed exchange.
type Error struct {
	// Sent tells whether any of the request was sent. If not, it did not run.
	Sent bool
	// Cause tells why it failed.
	Cause Cause
	// Err is the error below.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange failed: %s, sent %t: %v", e.Cause, e.Sent, e.Err)
}

// Unwrap returns the error below.
func (e *Error) Unwrap() error { return e.Err }

func causeOf(ctx context.Context, err error) Cause {
	var operation *net.OpError
	switch {
	case errors.Is(err, errLapsed):
		return CauseLapsed
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

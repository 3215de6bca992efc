// Package exchanger sends HTTP requests to one endpoint. Each request ends with its
// complete answer, checked to be the answer to this request, or with an error that
// reports whether the request was sent. No request is sent twice.
package exchanger

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	// DefaultMaxAnswerBytes is the limit of an Exchanger whose MaxAnswerBytes is zero.
	DefaultMaxAnswerBytes = 1 << 20
	// DefaultMaxRequestDuration is the limit of an Exchanger whose
	// MaxRequestDuration is zero.
	DefaultMaxRequestDuration = 10 * time.Second
)

// Exchanger sends requests to one endpoint over its own pool of connections. Its
// exported fields are set before the first call. It is safe for concurrent use.
type Exchanger struct {
	// Clock is the clock of deadlines and delays.
	Clock clockwork.Clock
	// Address is the IP address and port of the endpoint.
	Address string
	// Connections returns the current limit of open connections.
	Connections func() int
	// SendPermitted reports whether this entry VM may send to the endpoint. It is called
	// immediately before each request is sent.
	SendPermitted func() bool
	// MaxAnswerBytes is the maximum length of the body of an answer.
	MaxAnswerBytes int64
	// MaxRequestDuration is the maximum time for which the endpoint runs a request.
	MaxRequestDuration time.Duration

	once      sync.Once
	transport *http.Transport
	service   httpc.Service
	fresh     httpc.Service
	mu        sync.Mutex
	open      int
}

// Exchange sends the request and returns its complete answer. Its error is always an
// *Error. It calls release exactly once, when the endpoint no longer runs the request,
// which can be after Exchange has returned an error. The argument of release is true if
// an answer arrived, even a late one.
func (e *Exchanger) Exchange(ctx context.Context, request Request, release func(answered bool)) (Answer, error) {
	e.once.Do(e.build)
	x := &exchange{id: uuid.NewString(), progress: progressUnsent, exchanger: e, release: releaseOnce(release), confirm: request.Confirm}
	deadline := e.Clock.Now().Add(e.maxRequestDuration())
	if request.Deadline.Before(deadline) {
		deadline = request.Deadline
	}
	ctx, cancel := clockwork.WithDeadline(ctx, e.Clock, deadline)
	defer cancel()
	if request.StateQueryInterval > 0 {
		go e.pollState(ctx, x, request.StateQueryInterval, cancel)
	}
	answer, cause, err := e.exchange(ctx, x, request)
	if err == nil {
		x.finish(true)
		return answer, nil
	}
	cancel()
	return Answer{}, x.fail(cause, err)
}

func releaseOnce(release func(answered bool)) func(answered bool) {
	var once sync.Once
	return func(answered bool) { once.Do(func() { release(answered) }) }
}

func (e *Exchanger) exchange(ctx context.Context, x *exchange, request Request) (Answer, Cause, error) {
	message, err := e.message(ctx, x, request)
	if err != nil {
		return Answer{}, CauseRequest, err
	}
	response, err := e.service.DoRequest(message)
	if err != nil {
		return Answer{}, causeOf(ctx, err), err
	}
	defer func() { _ = response.Body.Close() }()
	return e.read(ctx, x, response)
}

// withTrace returns a context that assigns the connection chosen by the transport to
// the exchange.
func withTrace(ctx context.Context, x *exchange) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*connection); ok {
			c.begin(x)
		}
	}})
}

func (e *Exchanger) read(ctx context.Context, x *exchange, response *http.Response) (Answer, Cause, error) {
	if response.Header.Get(HeaderRequest) != x.id {
		return Answer{}, CauseEcho, errEcho
	}
	if response.ContentLength < 0 {
		return Answer{}, CauseLength, errNoLength
	}
	if response.ContentLength > e.maxAnswerBytes() {
		return Answer{}, CauseOversize, errOversize
	}
	body := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return Answer{}, causeOf(ctx, err), err
	}
	if n, err := response.Body.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		return Answer{}, CauseLength, errTrailingData
	}
	response.Header.Del(HeaderRequest)
	refused := response.StatusCode == http.StatusServiceUnavailable
	return Answer{
		Status:   response.StatusCode,
		Header:   response.Header,
		Body:     body,
		Draining: refused && response.Header.Get(HeaderDraining) == "true",
		Refused:  refused && response.Header.Get(HeaderRefused) == "true",
	}, "", nil
}

func (e *Exchanger) maxAnswerBytes() int64 {
	if e.MaxAnswerBytes == 0 {
		return DefaultMaxAnswerBytes
	}
	return e.MaxAnswerBytes
}

func (e *Exchanger) maxRequestDuration() time.Duration {
	if e.MaxRequestDuration == 0 {
		return DefaultMaxRequestDuration
	}
	return e.MaxRequestDuration
}

// Package exchanger sends HTTP requests to one endpoint. Each request ends with its
// complete answer, checked to be the answer to this request, or with an error that
// reports whether the request was sent. No request is sent twice.
package exchanger

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Headers of the protocol with endpoints.
const (
	// HeaderRequest carries the id of the exchange; the answer echoes it.
	HeaderRequest = "Zinnia-Request"
	// HeaderKey carries the idempotency key.
	HeaderKey = "Zinnia-Key"
	// HeaderDraining marks a refusal by an endpoint that is draining.
	HeaderDraining = "Zinnia-Draining"
	// HeaderRefused marks a refusal by an endpoint whose slots are all in use.
	HeaderRefused = "Zinnia-Refused"
	// HeaderState carries the State of a request in the answer to a DELETE of the
	// request's id under the probe path.
	HeaderState = "Zinnia-State"
	// HeaderUptime carries the uptime of the endpoint's process in milliseconds. A
	// restarted process has no record of requests to its predecessor.
	HeaderUptime = "Zinnia-Uptime-Milliseconds"
)

// State is the state of a request as the endpoint reports it.
type State string

// States of requests. An endpoint that doesn't support state queries reports none.
const (
	// StateUnknown means that the endpoint reported no state.
	StateUnknown State = ""
	// StateRunning is the state of a request that is running.
	StateRunning State = "running"
	// StateDone is the state of a request that ran or was refused.
	StateDone State = "done"
	// StateNever is the state of a request that has not arrived, and that the endpoint
	// will not run if it arrives later.
	StateNever State = "never"
)

const (
	// DefaultMaxAnswerBytes is the limit of an Exchanger whose MaxAnswerBytes is zero.
	DefaultMaxAnswerBytes = 1 << 20
	// DefaultMaxRequestDuration is the limit of an Exchanger whose
	// MaxRequestDuration is zero.
	DefaultMaxRequestDuration = 10 * time.Second

	serviceName        = "endpoint"
	probePath          = "/healthz"
	dialTimeout        = time.Second
	stateQueryTimeout  = 200 * time.Millisecond
	stateQueryPeriod   = 50 * time.Millisecond
	idleTimeout        = 30 * time.Second
	maxHeaderBytes     = 64 << 10
	maxIdleConnections = 8
	maxProbeBytes      = 4 << 10
)

// Request is a request to the endpoint.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Path is the path, including the query.
	Path string
	// Key is the idempotency key, if any.
	Key string
	// Header contains additional header fields.
	Header http.Header
	// Body is the body, which is sent with a Content-Length.
	Body []byte
	// Deadline is the time at which the exchange is abandoned.
	Deadline time.Time
	// StateQueryInterval is how long the exchanger waits for an answer before it
	// queries the endpoint for the state of the request, and the interval of further
	// queries. Zero disables the queries.
	StateQueryInterval time.Duration
	// Confirm reports whether the request may still be sent. It is called immediately
	// before the first write; nil permits every request.
	Confirm func() bool
}

// Answer is a complete answer of the endpoint.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header is the HTTP header without HeaderRequest.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Draining is true if the endpoint is draining and did not run the request.
	Draining bool
	// Refused is true if all slots of the endpoint were in use and it did not run the
	// request.
	Refused bool
}

// Health is the result of a health probe.
type Health string

// Results of health probes.
const (
	// HealthGood means that the endpoint accepts requests.
	HealthGood Health = "good"
	// HealthBad means that the endpoint answered with a status other than 200.
	HealthBad Health = "bad"
	// HealthDraining means that the endpoint is draining.
	HealthDraining Health = "draining"
	// HealthSilent means that no complete answer arrived.
	HealthSilent Health = "silent"
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

func (e *Exchanger) message(ctx context.Context, x *exchange, request Request) (*http.Request, error) {
	message, err := http.NewRequestWithContext(withTrace(ctx, x), request.Method, "http://"+e.Address+request.Path, nil)
	if err != nil {
		return nil, err
	}
	setBody(message, request.Body)
	for name, values := range request.Header {
		message.Header[name] = values
	}
	// The transport retries requests that have one of these headers.
	message.Header.Del("Idempotency-Key")
	message.Header.Del("X-Idempotency-Key")
	message.Header.Set(HeaderRequest, x.id)
	if request.Key != "" {
		message.Header.Set(HeaderKey, request.Key)
	}
	return message, nil
}

// setBody sets a body that can't be rewound, which prevents the transport from retrying
// the request.
func setBody(message *http.Request, body []byte) {
	switch {
	case len(body) > 0:
		message.Body = io.NopCloser(bytes.NewReader(body))
		message.ContentLength = int64(len(body))
	case message.Method == http.MethodPost:
		message.Body = http.NoBody
	default:
		message.Body = &emptyBody{}
	}
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

// Probe requests the health of the endpoint over one of the open connections, or over a
// new one if fresh is set; it then closes the idle connections first. Without an answer,
// it returns HealthSilent when ctx ends.
func (e *Exchanger) Probe(ctx context.Context, fresh bool) Health {
	e.once.Do(e.build)
	service := e.service
	if fresh {
		e.CloseIdle()
		service = e.fresh
	}
	message, err := http.NewRequestWithContext(withTrace(ctx, nil), http.MethodGet, "http://"+e.Address+probePath, nil)
	if err != nil {
		return HealthBad
	}
	response, err := service.DoRequest(message)
	if err != nil {
		return HealthSilent
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes)); err != nil {
		return HealthSilent
	}
	if response.Header.Get(HeaderDraining) == "true" {
		return HealthDraining
	}
	if response.StatusCode != http.StatusOK {
		return HealthBad
	}
	return HealthGood
}

// pollState queries the state of a running exchange after each delay. If the endpoint
// never received the request, the connection is unresponsive, and pollState revokes and
// cancels the exchange, which then fails as not sent.
func (e *Exchanger) pollState(ctx context.Context, x *exchange, delay time.Duration, cancel context.CancelFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(delay):
		}
		if !x.running() {
			continue
		}
		state, uptime, supported := e.queryState(ctx, x.id)
		if state == StateNever && uptime > e.Clock.Since(x.sendTime()) {
			x.revoke()
			cancel()
			e.CloseIdle()
			return
		}
		if !supported {
			return
		}
	}
}

// queryState queries the state of a request over a new connection. It returns the state
// and the uptime of the endpoint's process, and false if the endpoint answers but doesn't
// support state queries.
func (e *Exchanger) queryState(ctx context.Context, id string) (State, time.Duration, bool) {
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, stateQueryTimeout)
	defer cancel()
	url := "http://" + e.Address + probePath + "/" + id
	message, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return StateUnknown, 0, false
	}
	response, err := e.fresh.DoRequest(message)
	if err != nil {
		return StateUnknown, 0, true
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
	state := State(response.Header.Get(HeaderState))
	milliseconds, err := strconv.ParseInt(response.Header.Get(HeaderUptime), 10, 64)
	if err != nil {
		return StateUnknown, 0, false
	}
	return state, time.Duration(milliseconds) * time.Millisecond, state != StateUnknown
}

// CloseIdle closes the idle connections, so that the next exchange opens a new one.
func (e *Exchanger) CloseIdle() {
	e.once.Do(e.build)
	e.transport.CloseIdleConnections()
}

// OpenConnections returns the number of open connections.
func (e *Exchanger) OpenConnections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

func (e *Exchanger) build() {
	breaker.NoBreakerFor(serviceName)
	e.transport = e.newTransport(false)
	e.service = newService(e.transport)
	e.fresh = newService(e.newTransport(true))
}

func (e *Exchanger) newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            e.dial,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func newService(transport *http.Transport) httpc.Service {
	client := &http.Client{Transport: transport, CheckRedirect: returnRedirect}
	return httpc.NewServiceWithClient(serviceName, client)
}

// returnRedirect makes the client return redirects to the caller, since following one
// would send the request again.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (e *Exchanger) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !e.reserve() {
		return nil, errConnections
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	inner, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		e.unreserve()
		return nil, err
	}
	return &connection{Conn: inner, unreserve: sync.OnceFunc(e.unreserve)}, nil
}

func (e *Exchanger) reserve() bool {
	limit := e.Connections()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open >= limit {
		return false
	}
	e.open++
	return true
}

func (e *Exchanger) unreserve() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
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

// emptyBody is an empty body that the transport can't rewind.
type emptyBody struct{}

// Read implements io.Reader.
func (*emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (*emptyBody) Close() error { return nil }

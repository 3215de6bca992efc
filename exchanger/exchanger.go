// Package exchanger makes whole exchanges with one endpoint: each request gets
// its own complete answer or an error that says whether it was sent.
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
	// HeaderDraining marks a refusal of an endpoint that is leaving.
	HeaderDraining = "Zinnia-Draining"
	// HeaderRefused marks a refusal of an endpoint whose slots are taken.
	HeaderRefused = "Zinnia-Refused"
	// HeaderState carries the State of a request in the answer to a DELETE of
	// its id below the path of probes.
	HeaderState = "Zinnia-State"
	// HeaderUptime carries how long the process of the endpoint has been up, in
	// milliseconds. A process knows nothing of requests to the one before it.
	HeaderUptime = "Zinnia-Uptime-Milliseconds"
)

// State is what an endpoint says of a request by its id.
type State string

// States of requests. An endpoint that knows no states gives none.
const (
	// StateUnknown is no answer to the question.
	StateUnknown State = ""
	// StateRunning is a request that runs.
	StateRunning State = "running"
	// StateDone is a request that ran or was refused.
	StateDone State = "done"
	// StateNever is a request that has not come, and will not run if it does.
	StateNever State = "never"
)

const (
	// DefaultMaxAnswerBytes is the longest answer of an Exchanger whose
	// MaxAnswerBytes is zero.
	DefaultMaxAnswerBytes = 1 << 20
	// DefaultLongestRequest is the longest run of a request of an Exchanger
	// whose LongestRequest is zero.
	DefaultLongestRequest = 10 * time.Second

	serviceName       = "endpoint"
	probePath         = "/healthz"
	dialTimeout       = time.Second
	askTimeout        = 200 * time.Millisecond
	askPeriod         = 50 * time.Millisecond
	idleLimit         = 30 * time.Second
	maxHeaderBytes    = 64 << 10
	maxIdleToEndpoint = 8
	maxProbeBytes     = 4 << 10
)

// Request is what is sent to the endpoint.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Path is the path with its query.
	Path string
	// Key is the idempotency key, if any.
	Key string
	// Header is sent along.
	Header http.Header
	// Body is sent with its length.
	Body []byte
	// Deadline is when the exchange is abandoned at the latest.
	Deadline time.Time
	// Patience is how long no answer is taken for silence, after which the
	// endpoint is asked for the state of the request. Zero never asks.
	Patience time.Duration
	// Confirm reports whether the request may still be sent. It is asked
	// immediately before the first write; nil always confirms.
	Confirm func() bool
}

// Answer is the whole answer of the endpoint.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header is the header.
	Header http.Header
	// Body is the body in full length.
	Body []byte
	// Draining means that the endpoint is leaving and did not run the request.
	Draining bool
	// Refused means that its slots were taken and it did not run the request.
	Refused bool
}

// Health is what a probe found.
type Health string

// Healths of endpoints.
const (
	// HealthGood takes requests.
	HealthGood Health = "good"
	// HealthBad answers, but not well.
	HealthBad Health = "bad"
	// HealthDraining is leaving.
	HealthDraining Health = "draining"
	// HealthSilent gave no answer.
	HealthSilent Health = "silent"
)

// Exchanger makes exchanges with one endpoint over connections of its own. Its
// exported fields are set before the first call. It is safe for concurrent use.
type Exchanger struct {
	// Clock gives the time of deadlines.
	Clock clockwork.Clock
	// Address is the IP address and port of the endpoint.
	Address string
	// Connections returns how many connections may be open now.
	Connections func() int
	// Held reports whether this entry VM may send. It is asked immediately
	// before each send.
	Held func() bool
	// MaxAnswerBytes is the longest answer that is read.
	MaxAnswerBytes int64
	// LongestRequest is how long an endpoint runs a request at most.
	LongestRequest time.Duration

	once      sync.Once
	transport *http.Transport
	service   httpc.Service
	fresh     httpc.Service
	mu        sync.Mutex
	open      int
}

// Exchange sends the request and returns its whole answer. It calls release
// once, when the endpoint no longer runs the request; that can be after it
// returned an *Error. Release is told whether an answer showed it, if only a
// late one. An error is always an *Error.
func (e *Exchanger) Exchange(ctx context.Context, request Request, release func(answered bool)) (Answer, error) {
	e.once.Do(e.build)
	x := &exchange{id: uuid.NewString(), progress: progressFresh, exchanger: e, release: once(release), confirm: request.Confirm}
	deadline := e.Clock.Now().Add(e.longestRequest())
	if request.Deadline.Before(deadline) {
		deadline = request.Deadline
	}
	ctx, cancel := clockwork.WithDeadline(ctx, e.Clock, deadline)
	defer cancel()
	if request.Patience > 0 {
		go e.watch(ctx, x, request.Patience, cancel)
	}
	answer, cause, err := e.exchange(ctx, x, request)
	if err == nil {
		x.finish(true)
		return answer, nil
	}
	cancel()
	return Answer{}, x.fail(cause, err)
}

func once(release func(answered bool)) func(answered bool) {
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
	message, err := http.NewRequestWithContext(traced(ctx, x), request.Method, "http://"+e.Address+request.Path, nil)
	if err != nil {
		return nil, err
	}
	setBody(message, request.Body)
	for name, values := range request.Header {
		message.Header[name] = values
	}
	// The transport sends requests with these headers again by itself.
	message.Header.Del("Idempotency-Key")
	message.Header.Del("X-Idempotency-Key")
	message.Header.Set(HeaderRequest, x.id)
	if request.Key != "" {
		message.Header.Set(HeaderKey, request.Key)
	}
	return message, nil
}

// setBody sets a body that cannot be rewound, which keeps the transport from
// sending it again.
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

// traced ties the connection that the transport chooses to the exchange.
func traced(ctx context.Context, x *exchange) context.Context {
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
		return Answer{}, CauseLength, errNoEnd
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

// Probe asks the endpoint for its health over one of the open connections, or
// over a fresh one if fresh is set. Silence ends it with ctx.
func (e *Exchanger) Probe(ctx context.Context, fresh bool) Health {
	e.once.Do(e.build)
	service := e.service
	if fresh {
		e.CloseIdle()
		service = e.fresh
	}
	message, err := http.NewRequestWithContext(traced(ctx, nil), http.MethodGet, "http://"+e.Address+probePath, nil)
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

// watch asks for the state of an exchange that takes long. If the endpoint
// never got it, its connection is silent: the exchange ends as not sent.
func (e *Exchanger) watch(ctx context.Context, x *exchange, patience time.Duration, cancel context.CancelFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(patience):
		}
		if !x.running() {
			continue
		}
		state, uptime, knows := e.ask(ctx, x.id)
		if state == StateNever && uptime > e.Clock.Since(x.sendTime()) {
			x.revoke()
			cancel()
			e.CloseIdle()
			return
		}
		if !knows {
			return
		}
	}
}

// ask returns what the endpoint says of a request over a fresh connection, and
// how long its process has been up. It reports false where the endpoint answers,
// but knows no states.
func (e *Exchanger) ask(ctx context.Context, id string) (State, time.Duration, bool) {
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, askTimeout)
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

// CloseIdle closes the connections that no exchange uses, so that the next
// exchange dials.
func (e *Exchanger) CloseIdle() {
	e.once.Do(e.build)
	e.transport.CloseIdleConnections()
}

// Open returns how many connections are open.
func (e *Exchanger) Open() int {
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
		MaxIdleConnsPerHost:    maxIdleToEndpoint,
		IdleConnTimeout:        idleLimit,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func newService(transport *http.Transport) httpc.Service {
	client := &http.Client{Transport: transport, CheckRedirect: keepRedirect}
	return httpc.NewServiceWithClient(serviceName, client)
}

// keepRedirect hands redirects to the caller: following one sends again.
func keepRedirect(*http.Request, []*http.Request) error {
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

func (e *Exchanger) longestRequest() time.Duration {
	if e.LongestRequest == 0 {
		return DefaultLongestRequest
	}
	return e.LongestRequest
}

// emptyBody is a body without content that the transport cannot rewind.
type emptyBody struct{}

// Read implements io.Reader.
func (*emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (*emptyBody) Close() error { return nil }

package router

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"zinniashore.example/throttler"
)

// Headers of the requests of callers and of the answers to them.
const (
	// HeaderIdempotencyKey carries the idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt carries the attempt number, counted from one.
	HeaderAttempt = "Zinnia-Attempt"
	// HeaderDeadline carries the time that the caller waits, in milliseconds.
	HeaderDeadline = "Zinnia-Deadline-Milliseconds"
	// HeaderPriority carries the priority; below zero is batch.
	HeaderPriority = "Zinnia-Priority"
	// HeaderOutcome carries the Outcome. If an answer lacks it, the outcome is unknown.
	HeaderOutcome = "Zinnia-Outcome"
	// HeaderRetry carries whether a retry is "safe" or "unsafe".
	HeaderRetry = "Zinnia-Retry"
	// HeaderRetryAfter carries the delay before a retry, in milliseconds.
	HeaderRetryAfter = "Zinnia-Retry-After-Milliseconds"

	retrySafe   = "safe"
	retryUnsafe = "unsafe"
)

const (
	routePrefix      = "/v1/organisations/:organisation/services/:service"
	maxPathDepth     = 8
	routePrefixParts = 6

	answerTimeout = 5 * time.Second
	// bodyRetryAfter is how long a client is to wait after a refusal for lack of memory.
	bodyRetryAfter = time.Second
)

// Middlewares returns the middleware settings of the rest server. All middlewares but
// Recover are disabled because they would make answers wrong: the timeout handler
// answers 503 while a request still runs, and the breaker, the load shedder and the
// limits refuse requests without an outcome.
func Middlewares() rest.MiddlewaresConf {
	return rest.MiddlewaresConf{Recover: true}
}

// Routes returns the HTTP routes for callers. The rest router supports no wildcards, so
// there is one route for each depth of the path below the service.
func (r *Router) Routes() []rest.Route {
	var routes []rest.Route
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		path := routePrefix
		for depth := range maxPathDepth {
			routes = append(routes, rest.Route{Method: method, Path: path, Handler: r.serve})
			path += fmt.Sprintf("/:p%d", depth)
		}
	}
	return routes
}

func (r *Router) serve(w http.ResponseWriter, q *http.Request) {
	vars := pathvar.Vars(q)
	organisation := vars["organisation"]
	if r.Authorizer != nil && !r.Authorizer.Authorize(organisation, bearerToken(q)) {
		r.refuse(w, http.StatusUnauthorized, "not authorised")
		return
	}
	request, err := r.parse(w, q, organisation, vars["service"])
	var badRequest *badRequestError
	if errors.As(err, &badRequest) {
		r.write(w, Response{
			Outcome: OutcomeNotRun, RetrySafe: true, Status: badRequest.status, Detail: badRequest.detail, RetryAfter: badRequest.retryAfter,
		})
		return
	}
	r.write(w, r.Handle(q.Context(), request))
}

// badRequestError reports a request that cannot be read or parsed.
type badRequestError struct {
	status     int
	detail     string
	retryAfter time.Duration
}

// Error implements error.
func (e *badRequestError) Error() string { return e.detail }

func (r *Router) parse(w http.ResponseWriter, q *http.Request, organisation, service string) (Request, error) {
	request := Request{
		Organisation: organisation,
		Service:      service,
		Method:       q.Method,
		Path:         servicePath(q),
		Key:          q.Header.Get(HeaderIdempotencyKey),
		Idempotent:   q.Method == http.MethodGet,
		Header:       forwardedHeader(q.Header),
	}
	waitMilliseconds, err := headerNumber(q, HeaderDeadline)
	if err != nil {
		return Request{}, err
	}
	if waitMilliseconds > 0 {
		request.Deadline = r.Clock.Now().Add(time.Duration(waitMilliseconds) * time.Millisecond)
	}
	if request.Attempt, err = headerNumber(q, HeaderAttempt); err != nil {
		return Request{}, err
	}
	if request.Priority, err = headerNumber(q, HeaderPriority); err != nil {
		return Request{}, err
	}
	request.Body, err = r.readBody(w, q)
	return request, err
}

// readBody reads the body with a timeout and a maximum length, so that a caller that
// stops sending does not hold resources for long.
func (r *Router) readBody(w http.ResponseWriter, q *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(r.bodyTimeout()))
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, r.maxBodyBytes()))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, &badRequestError{status: http.StatusRequestEntityTooLarge, detail: "body too long"}
	}
	var refused *throttler.RefusedError
	if errors.As(err, &refused) {
		return nil, &badRequestError{status: http.StatusServiceUnavailable, detail: "no memory for the body", retryAfter: bodyRetryAfter}
	}
	if err != nil {
		return nil, &badRequestError{status: http.StatusBadRequest, detail: "body not read"}
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

func (r *Router) refuse(w http.ResponseWriter, status int, detail string) {
	r.write(w, Response{Outcome: OutcomeNotRun, RetrySafe: true, Status: status, Detail: detail})
}

func (r *Router) write(w http.ResponseWriter, response Response) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout))
	header := w.Header()
	for name, values := range response.Header {
		if !unforwardedHeaders[name] && !strings.HasPrefix(name, "Zinnia-") {
			header[name] = values
		}
	}
	header.Set(HeaderOutcome, string(response.Outcome))
	header.Set(HeaderRetry, retryUnsafe)
	if response.RetrySafe {
		header.Set(HeaderRetry, retrySafe)
	}
	if response.RetryAfter > 0 {
		seconds := (response.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		header.Set(HeaderRetryAfter, strconv.FormatInt(response.RetryAfter.Milliseconds(), 10))
	}
	body := response.Body
	if response.Detail != "" {
		body = []byte(response.Detail + "\n")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(statusCode(response))
	_, _ = w.Write(body)
}

func statusCode(response Response) int {
	switch {
	case response.Status != 0:
		return response.Status
	case response.Outcome == OutcomeNotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// unforwardedHeaders are headers that apply to one connection or one hop and are not
// forwarded.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Authorization": true, "Idempotency-Key": true, "X-Idempotency-Key": true, "Expect": true, "Retry-After": true,
}

func forwardedHeader(header http.Header) http.Header {
	passed := http.Header{}
	for name, values := range header {
		if !unforwardedHeaders[name] && !strings.HasPrefix(name, "Zinnia-") {
			passed[name] = values
		}
	}
	return passed
}

// servicePath returns the path below the service, including the query.
func servicePath(q *http.Request) string {
	parts := strings.SplitN(strings.TrimPrefix(q.URL.EscapedPath(), "/"), "/", routePrefixParts)
	path := "/"
	if len(parts) == routePrefixParts {
		path += parts[routePrefixParts-1]
	}
	if q.URL.RawQuery != "" {
		path += "?" + q.URL.RawQuery
	}
	return path
}

func headerNumber(q *http.Request, name string) (int, error) {
	text := q.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		return 0, &badRequestError{status: http.StatusBadRequest, detail: name + " is not a number"}
	}
	return value, nil
}

func bearerToken(q *http.Request) string {
	return strings.TrimPrefix(q.Header.Get("Authorization"), "Bearer ")
}

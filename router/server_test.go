package router_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"zinniashore.example/router"
	"zinniashore.example/standin"
	"zinniashore.example/throttler"
)

// tokenAuthorizer implements router.Authorizer and admits a single token.
type tokenAuthorizer string

func (a tokenAuthorizer) Authorize(_, token string) bool { return token == string(a) }

// newServer serves the routes of the router with go-zero and a timeout of 50 ms.
func newServer(t *testing.T, r *router.Router) *httptest.Server {
	t.Helper()
	server, err := rest.NewServer(rest.RestConf{
		ServiceConf: service.ServiceConf{Name: "test", Mode: service.ProMode},
		Timeout:     50, MaxConns: 1, MaxBytes: 10, Middlewares: router.Middlewares(),
	})
	if err != nil {
		t.Fatal(err)
	}
	server.AddRoutes(r.Routes())
	handler, err := rest.NewServerless(server)
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(http.HandlerFunc(handler.Serve))
	t.Cleanup(s.Close)
	return s
}

// TestRoutes checks the HTTP answers to callers against the number of runs at the
// endpoint.
func TestRoutes(t *testing.T) {
	const shop = "/v1/organisations/stockwerk/services/shop"
	type headers map[string]string
	cases := map[string]struct {
		faults  standin.EndpointFaults
		path    string
		headers headers
		body    string
		status  int
		outcome router.Outcome
		retry   string
		answer  string
		runs    int
	}{
		"runs longer than the server's timeout": {path: "/order/new?size=2", body: "one cane", status: 200, outcome: router.OutcomeOK, retry: "unsafe", answer: "one cane", runs: 1},
		"with a key":                            {path: "/order", headers: headers{"Idempotency-Key": "k", "Zinnia-Attempt": "1"}, body: "one cane", status: 200, outcome: router.OutcomeOK, retry: "safe", answer: "one cane", runs: 1},
		"no time":                               {path: "/order", headers: headers{"Zinnia-Deadline-Milliseconds": "30"}, status: 504, outcome: router.OutcomeUnknown, retry: "unsafe", answer: "timeout\n", runs: 1},
		"endpoint's own error":                  {path: "/order", faults: standin.EndpointFaults{FailAll: true}, body: "x", status: 500, outcome: router.OutcomeEndpointError, retry: "unsafe", answer: "x", runs: 1},
		"draining":                              {path: "/order", faults: standin.EndpointFaults{Drain: true}, status: 503, outcome: router.OutcomeNotRun, retry: "safe"},
		"token refused":                         {path: "/order", headers: headers{"Authorization": "Bearer other"}, status: 401, outcome: router.OutcomeNotRun, retry: "safe", answer: "not authorised\n"},
		"body too long":                         {path: "/order", body: strings.Repeat("x", 2000), status: 413, outcome: router.OutcomeNotRun, retry: "safe", answer: "body too long\n"},
		"deadline not a number":                 {path: "/order", headers: headers{"Zinnia-Deadline-Milliseconds": "soon"}, status: 400, outcome: router.OutcomeNotRun, retry: "safe", answer: "Zinnia-Deadline-Milliseconds is not a number\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 4)
			f.vms[0].router.Authorizer = tokenAuthorizer("ours")
			f.vms[0].router.MaxBodyBytes = 1000
			e := f.serve(&standin.Endpoint{Slots: 8, ServiceTime: 100 * time.Millisecond})
			e.SetFaults(c.faults)
			server := newServer(t, f.vms[0].router)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+shop+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer ours")
			for header, value := range c.headers {
				request.Header.Set(header, value)
			}
			response, err := server.Client().Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			body, _ := io.ReadAll(response.Body)
			if response.StatusCode != c.status || c.answer != "" && string(body) != c.answer {
				t.Errorf("answer = %d %q, want %d %q", response.StatusCode, body, c.status, c.answer)
			}
			if outcome := response.Header.Get(router.HeaderOutcome); outcome != string(c.outcome) {
				t.Errorf("outcome = %q, want %q", outcome, c.outcome)
			}
			if retry := response.Header.Get(router.HeaderRetry); retry != c.retry {
				t.Errorf("retry = %q, want %q", retry, c.retry)
			}
			if runs := e.Total(); runs != c.runs {
				t.Errorf("ran %d times, want %d", runs, c.runs)
			}
		})
	}
}

// TestHalfOpenCaller guards against a caller that blocks a request for ever: it sends
// the headers and a part of the body and then stops. The request is refused.
func TestHalfOpenCaller(t *testing.T) {
	f := newFleet(t, 4)
	f.vms[0].router.BodyTimeout = 50 * time.Millisecond
	server := newServer(t, f.vms[0].router)
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, "POST /v1/organisations/stockwerk/services/shop HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc")
	_ = connection.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if got := response.Header.Get(router.HeaderOutcome); got != string(router.OutcomeNotRun) {
		t.Errorf("outcome = %q, want not_run", got)
	}
}

// TestBodyMemory guards against a body that is read without memory for it, and against a refusal
// that doesn't say that nothing has run.
func TestBodyMemory(t *testing.T) {
	r := &router.Router{Clock: clockwork.NewRealClock()}
	limited := throttler.New("callers", throttler.Limits{}, throttler.NewBudget(128<<10), clockwork.NewRealClock(), tally.NoopScope)
	server := httptest.NewServer(limited.Server(newServer(t, r).Config.Handler).Handler)
	t.Cleanup(server.Close)
	answer, err := http.Post(server.URL+"/v1/organisations/stockwerk/services/shop", "text/plain", strings.NewReader(strings.Repeat("b", 256<<10)))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	outcome, retryAfter := answer.Header.Get(router.HeaderOutcome), answer.Header.Get("Retry-After")
	if answer.StatusCode != http.StatusServiceUnavailable || outcome != string(router.OutcomeNotRun) || retryAfter == "" {
		t.Errorf("status %d, outcome %q, Retry-After %q; want 503, not_run and a delay", answer.StatusCode, outcome, retryAfter)
	}
}

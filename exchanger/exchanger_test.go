package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/goleak"

	"zinniashore.example/exchanger"
	"zinniashore.example/standin"
)

const maxRequestDuration = 600 * time.Millisecond

func TestMain(m *testing.M) {
	logx.Disable()
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

func newEndpoint(t *testing.T, e *standin.Endpoint) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	address, err := e.Start(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func newExchanger(t *testing.T, address string) *exchanger.Exchanger {
	t.Helper()
	x := &exchanger.Exchanger{
		Clock:              clockwork.NewRealClock(),
		Address:            address,
		Connections:        func() int { return 4 },
		SendPermitted:      func() bool { return true },
		MaxAnswerBytes:     1000,
		MaxRequestDuration: maxRequestDuration,
	}
	t.Cleanup(x.CloseIdle)
	return x
}

func post(key string, wait time.Duration) exchanger.Request {
	return exchanger.Request{
		Method: http.MethodPost, Path: "/order", Key: key, Body: []byte("body of " + key),
		Header: http.Header{"Idempotency-Key": {key}}, Deadline: time.Now().Add(wait),
	}
}

func TestExchange(t *testing.T) {
	cases := map[string]struct {
		faults       standin.EndpointFaults
		notPermitted bool
		noBody       bool
		cause        exchanger.Cause
		sent         bool
		ran          int
		refused      bool
	}{
		"whole":                     {ran: 1},
		"truncated":                 {faults: standin.EndpointFaults{Truncate: true}, cause: exchanger.CauseConnection, sent: true, ran: 1},
		"oversized":                 {faults: standin.EndpointFaults{OversizeBytes: 2000}, cause: exchanger.CauseOversize, sent: true, ran: 1},
		"of another request":        {faults: standin.EndpointFaults{WrongEcho: true}, cause: exchanger.CauseEcho, sent: true, ran: 1},
		"of another request, empty": {faults: standin.EndpointFaults{WrongEcho: true}, noBody: true, cause: exchanger.CauseEcho, sent: true, ran: 1},
		"late":                      {faults: standin.EndpointFaults{LateMilliseconds: 400}, cause: exchanger.CauseTimeout, sent: true, ran: 1},
		"silent":                    {faults: standin.EndpointFaults{Silent: true}, cause: exchanger.CauseTimeout, sent: true},
		"draining":                  {faults: standin.EndpointFaults{Drain: true}, refused: true},
		"no longer permitted":       {notPermitted: true, cause: exchanger.CauseNotPermitted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := &standin.Endpoint{Slots: 2, ServiceTime: time.Millisecond}
			x := newExchanger(t, newEndpoint(t, e))
			x.SendPermitted = func() bool { return !c.notPermitted }
			e.SetFaults(c.faults)
			request := post("first", 200*time.Millisecond)
			if c.noBody {
				request.Body = nil
			}
			released := make(chan struct{})
			answer, err := x.Exchange(t.Context(), request, func(bool) { close(released) })
			var failure *exchanger.Error
			if errors.As(err, &failure) != (c.cause != "") {
				t.Fatalf("Exchange() error = %v, want cause %q", err, c.cause)
			}
			if failure != nil && (failure.Cause != c.cause || failure.Sent != c.sent) {
				t.Fatalf("Exchange() error = %v, want cause %q, sent %t", err, c.cause, c.sent)
			}
			if failure == nil && !c.refused && string(answer.Body) != "body of first" {
				t.Fatalf("answer = %q, want its own", answer.Body)
			}
			if answer.Draining != c.refused {
				t.Fatalf("draining = %t, want %t", answer.Draining, c.refused)
			}
			<-released
			e.SetFaults(standin.EndpointFaults{})
			x.SendPermitted = func() bool { return true }
			answer, err = x.Exchange(t.Context(), post("second", time.Second), func(bool) {})
			if err != nil || string(answer.Body) != "body of second" {
				t.Fatalf("next answer = %q, %v, want its own", answer.Body, err)
			}
			if got := e.Ran("first"); got != c.ran {
				t.Fatalf("ran %d times, want %d", got, c.ran)
			}
		})
	}
}

// TestReleaseFollowsEndpoint checks that the slot of an exchange that times out is
// released only once the endpoint has finished the request.
func TestReleaseFollowsEndpoint(t *testing.T) {
	e := &standin.Endpoint{Slots: 1, ServiceTime: 300 * time.Millisecond}
	x := newExchanger(t, newEndpoint(t, e))
	inFlight := make(chan int, 1)
	_, err := x.Exchange(t.Context(), post("k", 50*time.Millisecond), func(bool) { inFlight <- e.Counts().InFlight })
	var failure *exchanger.Error
	if !errors.As(err, &failure) || !failure.Sent {
		t.Fatalf("Exchange() error = %v, want a sent request that timed out", err)
	}
	if got := <-inFlight; got != 0 {
		t.Fatalf("slot released with %d requests at the endpoint, want 0", got)
	}
}

// TestSilentConnections makes the open connections unresponsive. A probe on one of them
// fails; a probe on a new connection and the next exchange succeed.
func TestSilentConnections(t *testing.T) {
	e := &standin.Endpoint{Slots: 2, ServiceTime: 50 * time.Millisecond}
	x := newExchanger(t, newEndpoint(t, e))
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() { _, _ = x.Exchange(t.Context(), post("a", time.Second), func(bool) {}) })
	}
	group.Wait()
	if got := e.MaxConnections(); got != 2 {
		t.Fatalf("%d connections open, want 2", got)
	}
	e.SetFaults(standin.EndpointFaults{SilenceOpen: true})
	probe := func(fresh bool) exchanger.Health {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		return x.Probe(ctx, fresh)
	}
	if got := probe(false); got != exchanger.HealthSilent {
		t.Fatalf("probe on an open connection = %q, want %q", got, exchanger.HealthSilent)
	}
	if got := probe(true); got != exchanger.HealthGood {
		t.Fatalf("probe on a fresh connection = %q, want %q", got, exchanger.HealthGood)
	}
	if _, err := x.Exchange(t.Context(), post("b", time.Second), func(bool) {}); err != nil {
		t.Fatal(err)
	}
}

// TestAskedState sends a request over a connection that has become unresponsive or to a
// slow endpoint. If a state query reports that the endpoint never received the request,
// the exchange fails as not sent and releases its slot at once. If the endpoint doesn't
// support state queries, the slot is held for the maximum duration of a request.
func TestAskedState(t *testing.T) {
	cases := map[string]struct {
		faults standin.EndpointFaults
		cause  exchanger.Cause
		sent   bool
		held   bool

		restart bool
	}{
		"endpoint never received it":              {faults: standin.EndpointFaults{SilenceOpen: true}, cause: exchanger.CauseSilent},
		"endpoint does not support state queries": {faults: standin.EndpointFaults{SilenceOpen: true, Old: true}, cause: exchanger.CauseTimeout, sent: true, held: true},
		"endpoint was restarted":                  {faults: standin.EndpointFaults{SilenceOpen: true, Restarted: true}, restart: true, cause: exchanger.CauseTimeout, sent: true},
		"endpoint runs it":                        {faults: standin.EndpointFaults{SlowFactor: 20}, cause: exchanger.CauseTimeout, sent: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := &standin.Endpoint{Slots: 2, ServiceTime: 15 * time.Millisecond}
			x := newExchanger(t, newEndpoint(t, e))
			if _, err := x.Exchange(t.Context(), post("a", time.Second), func(bool) {}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Millisecond)
			e.SetFaults(c.faults)
			request := post("b", 200*time.Millisecond)
			request.StateQueryInterval = 20 * time.Millisecond
			if c.restart {
				time.AfterFunc(10*time.Millisecond, func() { e.SetFaults(c.faults) })
			}
			released := make(chan time.Time, 1)
			sent := time.Now()
			_, err := x.Exchange(t.Context(), request, func(bool) { released <- time.Now() })
			var failure *exchanger.Error
			if !errors.As(err, &failure) || failure.Cause != c.cause || failure.Sent != c.sent {
				t.Fatalf("Exchange() error = %v, want cause %q, sent %t", err, c.cause, c.sent)
			}
			if got := (<-released).Sub(sent) >= maxRequestDuration; got != c.held {
				t.Errorf("slot held for the maximum duration = %t, want %t", got, c.held)
			}
			if got := e.Ran("b"); !c.sent && got != 0 {
				t.Errorf("request reported as not sent ran %d times, want 0", got)
			}
		})
	}
}

// TestNeverResent guards against automatic retries by Go's transport. The server closes
// each reused connection after it has read a request, upon which the transport retries
// requests that it considers idempotent.
func TestNeverResent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var received atomic.Int32
			x := newExchanger(t, closingServer(t, &received))
			request := post("k", time.Second)
			request.Method = method
			if method == http.MethodGet {
				request.Body = nil
			}
			if _, err := x.Exchange(t.Context(), request, func(bool) {}); err != nil {
				t.Fatal(err)
			}
			released := make(chan struct{})
			_, err := x.Exchange(t.Context(), request, func(bool) { close(released) })
			<-released
			var failure *exchanger.Error
			if !errors.As(err, &failure) || !failure.Sent {
				t.Fatalf("Exchange() error = %v, want a sent request without an answer", err)
			}
			if got := received.Load(); got != 2 {
				t.Fatalf("server received %d requests, want 2", got)
			}
		})
	}
}

// closingServer answers the first request of each connection and closes the connection
// after it has read the second.
func closingServer(t *testing.T, received *atomic.Int32) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerOnce(connection, received)
		}
	}()
	return listener.Addr().String()
}

func answerOnce(connection net.Conn, received *atomic.Int32) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for i := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == "/order" {
			received.Add(1)
		}
		if i == 0 {
			id := request.Header.Get(exchanger.HeaderRequest)
			_, _ = io.Copy(connection, strings.NewReader(fmt.Sprintf(
				"HTTP/1.1 200 OK\r\nZinnia-Request: %s\r\nContent-Length: 0\r\n\r\n", id)))
		}
	}
}

package throttler_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"zinniashore.example/throttler"
)

const (
	testConnections = 3
	testBudget      = 1 << 20
	// testWait is above every time limit of the tests.
	testWait = 10 * time.Second
)

// testbed is a server with low limits.
type testbed struct {
	t       *testing.T
	address string
	scope   tally.TestScope
	limited *throttler.Throttler
	server  *http.Server
	// reading is the number of handlers that read a body.
	reading atomic.Int64
	// received is the number of bytes that connections have received.
	received atomic.Int64
	// finish ends the requests to /slow.
	finish chan struct{}
}

// countingListener counts the bytes that its connections receive.
type countingListener struct {
	net.Listener
	received *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConnection{Conn: c, received: l.received}, err
}

type countingConnection struct {
	net.Conn
	received *atomic.Int64
}

func (c countingConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (b *testbed) busy() int { return int(b.reading.Load()) }

// newTestbed serves bodies of any length by a handler that reads them.
func newTestbed(t *testing.T, limits throttler.Limits) *testbed {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	limits.Connections, limits.HeaderBytes, limits.HeaderLines = testConnections, 4<<10, 20
	limits.IdleTime = testWait
	limited := throttler.New("callers", limits, throttler.NewBudget(testBudget), clockwork.NewRealClock(), scope)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &testbed{t: t, address: inner.Addr().String(), scope: scope, limited: limited, finish: make(chan struct{})}
	server := limited.Server(http.HandlerFunc(b.serveBody))
	b.server = server
	done := make(chan struct{})
	listener := limited.Listener(countingListener{Listener: inner, received: &b.received})
	go func() {
		defer close(done)
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return b
}

// serveBody answers with the length of the body, or 503 if it is refused. A request to
// /large gets an answer that no socket holds, one to /unread is answered without its body, one to
// /silent once its connection has ended, and one to /slow once finish is closed.
func (b *testbed) serveBody(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/large" {
		_, _ = w.Write(make([]byte, 64<<20))
		return
	}
	if request.URL.Path == "/silent" {
		b.reading.Add(1)
		<-request.Context().Done()
		b.reading.Add(-1)
		return
	}
	if request.URL.Path == "/slow" {
		b.reading.Add(1)
		<-b.finish
		b.reading.Add(-1)
		return
	}
	if request.URL.Path == "/unread" {
		http.NotFound(w, request)
		return
	}
	b.reading.Add(1)
	body, err := io.ReadAll(request.Body)
	b.reading.Add(-1)
	var refused *throttler.RefusedError
	if errors.As(err, &refused) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	_, _ = fmt.Fprint(w, len(body))
}

func (b *testbed) dial() net.Conn {
	b.t.Helper()
	connection, err := net.Dial("tcp", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(testWait))
	return connection
}

// send sends text and returns the status of the answer, 0 if the connection ends without one.
func (b *testbed) send(connection net.Conn, text string) int {
	b.t.Helper()
	if _, err := io.WriteString(connection, text); err != nil {
		return 0
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// count returns the number of events of a limit.
func (b *testbed) count(limit throttler.Limit) int64 {
	return b.scope.Snapshot().Counters()["client_limits+limit="+string(limit)+",listener=callers"].Value()
}

// unanswered returns the number of requests whose connection ended without an answer.
func (b *testbed) unanswered() int64 {
	return b.scope.Snapshot().Counters()["unanswered_requests+listener=callers"].Value()
}

func (b *testbed) await(what string, reached func() bool) {
	b.t.Helper()
	for end := time.Now().Add(testWait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if reached() {
			return
		}
	}
	b.t.Fatalf("%s: not within %s", what, testWait)
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// TestRequests guards against limits that refuse a request within them, and against requests
// beyond them that are served or aren't counted.
func TestRequests(t *testing.T) {
	fields := func(count int) string { return strings.Repeat("a:\r\n", count) }
	tests := map[string]struct {
		limits  throttler.Limits
		request string
		status  int
		limit   throttler.Limit // that the request exceeds
	}{
		"no body":                {request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", status: 200},
		"a small body":           {request: post(9, "body\n\n\n\n\n"), status: 200},
		"a body of many lines":   {request: post(900, strings.Repeat("\n", 900)), status: 200},
		"a large body":           {request: post(200000, strings.Repeat("b", 200000)), status: 200},
		"chunks":                 {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", status: 200},
		"a header of many lines": {request: "GET / HTTP/1.1\r\nHost: a\r\n" + fields(30) + "\r\n", status: 400, limit: throttler.LimitHeader},
		"a header of many bytes": {request: "GET / HTTP/1.1\r\nHost: a\r\nb: " + strings.Repeat("b", 9000), status: 431, limit: throttler.LimitHeader},
		"a header that stops":    {limits: throttler.Limits{HeaderTime: 50 * time.Millisecond}, request: "GET / HT", status: 400, limit: throttler.LimitHeaderTime},
		"a body that stops":      {limits: throttler.Limits{RequestTime: 50 * time.Millisecond}, request: post(5, "body"), status: 408, limit: throttler.LimitBodyTime},
		"a body above the memory": {
			request: post(400000, strings.Repeat("b", 400000)), status: 503, limit: throttler.LimitBodyMemory,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, test.limits)
			if status := b.send(b.dial(), test.request); status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
			for _, limit := range []throttler.Limit{
				throttler.LimitConnections, throttler.LimitHeader, throttler.LimitHeaderTime,
				throttler.LimitBodyTime, throttler.LimitBodyMemory, throttler.LimitAnswerTime,
			} {
				if counted := b.count(limit) > 0; counted != (limit == test.limit) {
					t.Errorf("limit %s counted: %t", limit, counted)
				}
			}
		})
	}
}

// TestHeaderInPieces guards against an end of a header that isn't found because it arrives in
// several reads.
func TestHeaderInPieces(t *testing.T) {
	b := newTestbed(t, throttler.Limits{})
	connection := b.dial()
	request := post(40, strings.Repeat("\n", 40))
	for i := range request[:len(request)-1] {
		if _, err := io.WriteString(connection, request[i:i+1]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Microsecond)
	}
	if status := b.send(connection, request[len(request)-1:]); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
}

// TestRequestsInTurn guards against state of one request that is counted for the next one on
// the same connection.
func TestRequestsInTurn(t *testing.T) {
	b := newTestbed(t, throttler.Limits{HeaderTime: testWait, RequestTime: testWait, AnswerTime: testWait})
	connection := b.dial()
	for range 30 {
		if status := b.send(connection, post(4, "body")); status != http.StatusOK {
			t.Fatalf("status %d, want 200", status)
		}
	}
}

// TestUnreadAnswer guards against a client that doesn't read its answer and keeps the connection
// for ever.
func TestUnreadAnswer(t *testing.T) {
	b := newTestbed(t, throttler.Limits{AnswerTime: 50 * time.Millisecond})
	if _, err := io.WriteString(b.dial(), "GET /large HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	b.await("end of the write", func() bool { return b.count(throttler.LimitAnswerTime) > 0 })
}

// TestHeldBodies guards against bodies that stop before their end and take all memory, and
// against memory that isn't returned.
func TestHeldBodies(t *testing.T) {
	b := newTestbed(t, throttler.Limits{})
	held := []net.Conn{b.dial(), b.dial()}
	for _, connection := range held {
		if _, err := io.WriteString(connection, post(250000, strings.Repeat("b", 249999))); err != nil {
			t.Fatal(err)
		}
	}
	b.await("a body without memory", func() bool { return b.count(throttler.LimitBodyMemory) > 0 })
	small := b.dial()
	if status := b.send(small, post(8000, strings.Repeat("b", 8000))); status != http.StatusOK {
		t.Errorf("small body: status %d, want 200", status)
	}
	_ = held[0].Close()
	_ = held[1].Close()
	b.await("a large body after the others have ended", func() bool {
		return b.send(b.dial(), post(250000, strings.Repeat("b", 250000))) == http.StatusOK
	})
}

// TestBusyConnections guards against connections beyond the limit that are accepted, and against a
// limit that is still reached once connections have ended.
func TestBusyConnections(t *testing.T) {
	b := newTestbed(t, throttler.Limits{})
	var open []net.Conn
	for range testConnections {
		connection := b.dial()
		if _, err := io.WriteString(connection, post(5, "body")); err != nil {
			t.Fatal(err)
		}
		b.await("a request in progress", func() bool { return b.busy() == len(open)+1 })
		open = append(open, connection)
	}
	if b.count(throttler.LimitConnections) == 0 {
		t.Error("the last free connection isn't counted")
	}
	answered := make(chan int, 1)
	waiting := b.dial()
	go func() { answered <- b.send(waiting, post(4, "body")) }()
	select {
	case status := <-answered:
		t.Fatalf("status %d of a connection beyond the limit", status)
	case <-time.After(50 * time.Millisecond):
	}
	_ = open[0].Close()
	if status := <-answered; status != http.StatusOK {
		t.Errorf("status %d once a connection is free, want 200", status)
	}
}

// TestIdleConnections guards against idle connections, or ones whose header never ends, that keep
// others out.
func TestIdleConnections(t *testing.T) {
	tests := map[string]string{
		"without a request": "",
		"after a request":   post(4, "body"),
		"within a header":   "GET / HTTP/1.1\r\nHost:",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, throttler.Limits{})
			for range 5 * testConnections {
				if _, err := io.WriteString(b.dial(), text); err != nil {
					t.Fatal(err)
				}
			}
			if status := b.send(b.dial(), post(4, "body")); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
			if b.count(throttler.LimitConnections) == 0 {
				t.Error("the limit isn't counted")
			}
		})
	}
}

// TestUnreadBody guards against a client that holds its connection by a body that no handler
// reads.
func TestUnreadBody(t *testing.T) {
	b := newTestbed(t, throttler.Limits{RequestTime: time.Hour})
	request := strings.Replace(post(5, "body"), "POST /", "POST /unread", 1)
	if status := b.send(b.dial(), request); status != http.StatusNotFound {
		t.Errorf("status %d, want 404", status)
	}
}

// TestReserve guards against memory that a request takes beyond the budget.
func TestReserve(t *testing.T) {
	limited := throttler.New("callers", throttler.Limits{}, throttler.NewBudget(testBudget), clockwork.NewRealClock(), tally.NoopScope)
	var reserved, refused error
	handler := limited.Server(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		reserved = throttler.Reserve(request, testBudget/4)
		refused = throttler.Reserve(request, testBudget)
	})).Handler
	for range 2 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/", bytes.NewReader([]byte("body")))
		if err != nil {
			t.Fatal(err)
		}
		handler.ServeHTTP(nil, request)
		var refusal *throttler.RefusedError
		if reserved != nil || !errors.As(refused, &refusal) || refusal.Bytes != testBudget {
			t.Errorf("reserved %v, refused %v", reserved, refused)
		}
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

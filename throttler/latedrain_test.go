package throttler_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"zinniashore.example/throttler"
)

// pausedListener accepts connections whose reader gets no processor from the moment on at which its first read times out: that
// read returns once sent is closed, and the next one begins after pause.
type pausedListener struct {
	net.Listener
	timedOut, sent chan struct{}
	pause          time.Duration
	// once guards the first read that times out, of any connection.
	once *sync.Once
}

func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &pausedConnection{Conn: c, listener: l}, err
}

type pausedConnection struct {
	net.Conn
	listener pausedListener
	pause    time.Duration
}

func (c *pausedConnection) Read(p []byte) (int, error) {
	time.Sleep(c.pause)
	c.pause = 0
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.once.Do(func() {
			close(c.listener.timedOut)
			<-c.listener.sent
			c.pause = c.listener.pause
		})
	}
	return n, err
}

// TestDrainWithoutProcessor guards against a request that lies in the kernel when its connection is ended: the process gets no
// processor between the deadline that it sets for its last read and that read.
func TestDrainWithoutProcessor(t *testing.T) {
	for _, pause := range []time.Duration{0, 3 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) { drainWithPause(t, pause) })
	}
}

func drainWithPause(t *testing.T, pause time.Duration) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	paused := pausedListener{Listener: inner, timedOut: make(chan struct{}), sent: make(chan struct{}), once: new(sync.Once), pause: pause}
	limits := throttler.ClientLimits(testConnections)
	limited := throttler.New("callers", limits, throttler.NewBudget(testBudget), clockwork.NewRealClock(), tally.NoopScope)
	server := limited.Server(http.NotFoundHandler())
	served := make(chan error, 1)
	go func() { served <- server.Serve(limited.Listener(paused)) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testWait))
	for end := time.Now().Add(testWait); limited.Open() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- limited.Drain(t.Context()) }()
	<-paused.timedOut
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	close(paused.sent)
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Errorf("no answer: %v", err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestRoomBesideLateRequest guards against clients that are kept out by a slow body while other connections are idle: the header of
// its request arrives as its connection is ended to make room.
func TestRoomBesideLateRequest(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	paused := pausedListener{Listener: inner, timedOut: make(chan struct{}), sent: make(chan struct{}), once: new(sync.Once)}
	limits := throttler.Limits{Connections: testConnections, HeaderBytes: 4 << 10, HeaderLines: 20}
	limited := throttler.New("callers", limits, throttler.NewBudget(testBudget), clockwork.NewRealClock(), tally.NoopScope)
	server := limited.Server(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
	}))
	served := make(chan error, 1)
	go func() { served <- server.Serve(limited.Listener(paused)) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(testWait))
		return c
	}
	first := dial()
	for range testConnections - 1 {
		dial()
	}
	<-paused.timedOut
	if _, err := io.WriteString(first, post(2, "a")); err != nil {
		t.Fatal(err)
	}
	close(paused.sent)
	further := dial()
	if _, err := io.WriteString(further, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadResponse(bufio.NewReader(further), nil); err != nil {
		t.Errorf("no answer: %v", err)
	}
}

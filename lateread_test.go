package zinniashore

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"zinniashore.example/throttler"
)

const (
	// lateWait is above every time of the tests in this file.
	lateWait = 10 * time.Second
	// idlePolls is the time in which a server that shuts down has closed its idle connections.
	idlePolls = 50 * time.Millisecond
)

// lateListener accepts connections whose reader gets no processor for a while after it has read bytes.
type lateListener struct {
	net.Listener
	// held is true while readers are held up; read gets a value for each, which goes on once released is closed.
	held     chan bool
	read     chan struct{}
	released chan struct{}
}

func newLateListener(t *testing.T) *lateListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &lateListener{Listener: inner, held: make(chan bool, 1), read: make(chan struct{}, 1), released: make(chan struct{})}
	l.held <- false
	return l
}

// hold makes readers wait from now on.
func (l *lateListener) hold() {
	<-l.held
	l.held <- true
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConnection{Conn: c, listener: l}, nil
}

type lateConnection struct {
	net.Conn
	listener *lateListener
}

func (c *lateConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	held := <-c.listener.held
	c.listener.held <- held
	if held && n > 0 {
		c.listener.read <- struct{}{}
		<-c.listener.released
	}
	return n, err
}

// lateClient sends requests over one connection.
type lateClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dialLate(t *testing.T, address string) *lateClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(lateWait)); err != nil {
		t.Fatal(err)
	}
	return &lateClient{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// send sends requests in one piece.
func (c *lateClient) send(paths ...string) {
	c.t.Helper()
	text := ""
	for _, path := range paths {
		text += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	}
	if _, err := fmt.Fprint(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// wantAnswer reads an answer.
func (c *lateClient) wantAnswer(to string) {
	c.t.Helper()
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("the connection ends without an answer to %s: %v", to, err)
	}
	if err := answer.Body.Close(); err != nil {
		c.t.Error(err)
	}
}

// TestRequestReadAtShutdown guards against a request that a process has read and doesn't answer, because the
// shutdown of its server begins before the server handles it.
func TestRequestReadAtShutdown(t *testing.T) {
	tests := map[string]func(c *lateClient, l *lateListener, begin func()){
		"first request of a connection": func(c *lateClient, l *lateListener, begin func()) {
			l.hold()
			c.send("/")
			<-l.read
			begin()
			close(l.released)
			c.wantAnswer("the request")
		},
		"next request of an open connection": func(c *lateClient, l *lateListener, begin func()) {
			c.send("/")
			c.wantAnswer("the first request")
			l.hold()
			c.send("/")
			<-l.read
			begin()
			close(l.released)
			c.wantAnswer("the second request")
		},
		"request behind one in progress": func(c *lateClient, l *lateListener, begin func()) {
			c.send("/waits", "/")
			<-l.read
			begin()
			close(l.released)
			c.wantAnswer("the first request")
			c.wantAnswer("the second request")
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			late := newLateListener(t)
			handler := http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
				if q.URL.Path == "/waits" {
					late.read <- struct{}{}
					<-late.released
				}
			})
			limited := throttler.New("callers", throttler.ClientLimits(8), throttler.NewBudget(1<<20), clockwork.NewRealClock(), tally.NoopScope)
			l := &httpListener{throttler: limited, listener: limited.Listener(late), server: limited.Server(handler)}
			served, stopped := make(chan error, 1), make(chan struct{})
			go func() { served <- l.serve() }()
			begin := func() {
				go func() {
					defer close(stopped)
					ctx, cancel := context.WithTimeout(context.Background(), lateWait)
					defer cancel()
					l.stop(ctx)
				}()
				awaitClosed(t, l.address())
			}
			test(dialLate(t, l.address()), late, begin)
			<-stopped
			if err := <-served; err != nil {
				t.Error(err)
			}
		})
	}
}

// awaitClosed waits until an address refuses connections, and idle connections are closed.
func awaitClosed(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(lateWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(idlePolls)
			return
		}
		_ = c.Close()
	}
	t.Fatalf("%s accepts connections for %s", address, lateWait)
}

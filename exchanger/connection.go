package exchanger

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const drainBufferBytes = 4 << 10

// progress is how far an exchange got.
type progress string

const (
	progressFresh     progress = "fresh"
	progressSent      progress = "sent"
	progressAbandoned progress = "abandoned"
	progressFinished  progress = "finished"
	progressRevoked   progress = "revoked"
)

// exchange is one request on its way.
type exchange struct {
	id        string
	exchanger *Exchanger
	release   func(answered bool)

	mu         sync.Mutex
	progress   progress
	sentAt     time.Time
	connection *connection
	confirm    func() bool
}

// send permits the first write of the exchange, or tells why it must not be.
func (x *exchange) send() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch x.progress {
	case progressSent:
		return nil
	case progressAbandoned, progressFinished, progressRevoked:
		return errAbandoned
	}
	if !x.exchanger.Held() || (x.confirm != nil && !x.confirm()) {
		return errLapsed
	}
	x.progress = progressSent
	x.sentAt = x.exchanger.Clock.Now()
	return nil
}

// revoke ends an exchange that its endpoint never got and will not run.
func (x *exchange) revoke() {
	x.mu.Lock()
	if x.progress == progressSent {
		x.progress = progressRevoked
	}
	x.mu.Unlock()
}

func (x *exchange) finish(answered bool) {
	x.mu.Lock()
	x.progress = progressFinished
	x.mu.Unlock()
	x.release(answered)
}

// fail ends the exchange. If it was sent, its connection is closed and
// releases the slot once the endpoint is done.
func (x *exchange) fail(cause Cause, err error) *Error {
	x.mu.Lock()
	sent := x.progress == progressSent || x.progress == progressFinished
	if x.progress == progressRevoked {
		cause = CauseSilent
	}
	if x.progress == progressFresh {
		x.progress = progressAbandoned
	}
	connection := x.connection
	x.mu.Unlock()
	if sent {
		connection.abandon(x)
	} else {
		x.release(false)
	}
	return &Error{Sent: sent, Cause: cause, Err: err}
}

// running reports whether the endpoint may still run the exchange.
func (x *exchange) running() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.progress == progressSent
}

// connection is a connection to an endpoint that belongs to one exchange at a
// time. When it is closed before the answer was whole, it stays open for
// reading until the endpoint is done, so that the slot is not given away early.
type connection struct {
	net.Conn
	unreserve func()

	current  atomic.Pointer[exchange]
	answered atomic.Bool
	spoiled  atomic.Bool
	readMu   sync.Mutex
	mu       sync.Mutex
	closing  bool
}

// begin gives the connection to an exchange, or to a probe if x is nil.
func (c *connection) begin(x *exchange) {
	c.answered.Store(false)
	c.current.Store(x)
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.connection = c
}

// abandon closes the connection of a failed exchange. If another exchange has
// the connection, the answer to the failed one was read in full: it is done.
func (c *connection) abandon(x *exchange) {
	if c.current.Load() == x {
		_ = c.Close()
		return
	}
	c.spoiled.Store(true)
	x.finish(true)
}

// Write implements net.Conn.
func (c *connection) Write(content []byte) (int, error) {
	if err := c.permit(); err != nil {
		return 0, err
	}
	return c.Conn.Write(content)
}

// permit marks the current exchange as sent, or tells why it must not be. A
// connection that was closed before is none on which anything is sent.
func (c *connection) permit() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return net.ErrClosed
	}
	x := c.current.Load()
	if x == nil {
		return nil
	}
	if c.spoiled.Load() && !x.running() {
		return errAbandoned
	}
	return x.send()
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.isClosing() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.answered.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.mu.Lock()
	closed := c.closing
	c.closing = true
	x := c.current.Load()
	running := x != nil && x.running()
	c.mu.Unlock()
	if closed {
		return nil
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	if !running {
		return c.end()
	}
	go c.linger(x)
	return nil
}

func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *connection) end() error {
	c.unreserve()
	return c.Conn.Close()
}

// linger waits until the endpoint is done with an abandoned exchange. A late
// answer is dropped. Only an answer, the word of the endpoint, or the longest
// time that a request runs shows that it is done; the end of the connection
// does not.
func (c *connection) linger(x *exchange) {
	until := x.end()
	answered := make(chan struct{})
	go func() {
		if c.drop(until) {
			close(answered)
		}
	}()
	got := x.awaitDone(until, answered)
	_ = c.end()
	x.finish(got)
}

// end returns when the endpoint is done with the exchange at the latest.
func (x *exchange) end() time.Time {
	return x.sendTime().Add(x.exchanger.longestRequest())
}

func (x *exchange) sendTime() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sentAt
}

// awaitDone returns once the answer came, the endpoint said that it is done, or
// the time is over. It reports whether the answer came.
func (x *exchange) awaitDone(until time.Time, answered <-chan struct{}) bool {
	clock := x.exchanger.Clock
	ctx, cancel := clockwork.WithDeadline(context.Background(), clock, until)
	defer cancel()
	knows := true
	for {
		pause := until.Sub(clock.Now())
		if knows {
			pause = min(pause, askPeriod)
		}
		select {
		case <-answered:
			return true
		case <-clock.After(pause):
		}
		if !clock.Now().Before(until) {
			return false
		}
		var state State
		if knows {
			state, _, knows = x.exchanger.ask(ctx, x.id)
		}
		if state == StateDone || state == StateNever {
			return false
		}
	}
}

// drop reads what still comes and reports whether an answer came to its end.
func (c *connection) drop(until time.Time) bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	_ = c.Conn.SetReadDeadline(until)
	if half, ok := c.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	buffer := make([]byte, drainBufferBytes)
	for {
		n, err := c.Conn.Read(buffer)
		if n > 0 {
			c.answered.Store(true)
		}
		if err != nil {
			return c.answered.Load() && errors.Is(err, io.EOF)
		}
	}
}

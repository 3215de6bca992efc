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

// progress is the stage that an exchange has reached.
type progress string

const (
	progressUnsent    progress = "fresh"
	progressSent      progress = "sent"
	progressAbandoned progress = "abandoned"
	progressFinished  progress = "finished"
	progressRevoked   progress = "revoked"
)

// exchange is one request to the endpoint in progress.
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

// send marks the exchange as sent before its first write, or returns the reason why it
// must not be sent.
func (x *exchange) send() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch x.progress {
	case progressSent:
		return nil
	case progressAbandoned, progressFinished, progressRevoked:
		return errAbandoned
	}
	if !x.exchanger.SendPermitted() || (x.confirm != nil && !x.confirm()) {
		return errNotPermitted
	}
	x.progress = progressSent
	x.sentAt = x.exchanger.Clock.Now()
	return nil
}

// revoke marks a sent exchange as one that the endpoint never received and will not
// run.
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

// fail ends the exchange with an error. If the request was sent, fail closes the
// connection, which releases the slot once the endpoint is done with the request.
func (x *exchange) fail(cause Cause, err error) *Error {
	x.mu.Lock()
	sent := x.progress == progressSent || x.progress == progressFinished
	if x.progress == progressRevoked {
		cause = CauseSilent
	}
	if x.progress == progressUnsent {
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

// running reports whether the endpoint may still run the request.
func (x *exchange) running() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.progress == progressSent
}

// connection is a connection to an endpoint that serves one exchange at a time. If it
// is closed before the answer is complete, it stays open for reading until the endpoint
// is done, so that the slot is not released too early.
type connection struct {
	net.Conn
	unreserve func()

	current  atomic.Pointer[exchange]
	answered atomic.Bool
	unusable atomic.Bool
	readMu   sync.Mutex
	mu       sync.Mutex
	closing  bool
}

// begin assigns the connection to an exchange, or to a probe if x is nil.
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

// abandon closes the connection of a failed exchange. If the connection already serves
// another exchange, the answer to the failed one was read in full and the endpoint is
// done with it.
func (c *connection) abandon(x *exchange) {
	if c.current.Load() == x {
		_ = c.Close()
		return
	}
	c.unusable.Store(true)
	x.finish(true)
}

// Write implements net.Conn.
func (c *connection) Write(content []byte) (int, error) {
	if err := c.permit(); err != nil {
		return 0, err
	}
	return c.Conn.Write(content)
}

// permit marks the current exchange as sent, or returns the reason why it must not be
// sent. Nothing is sent on a connection that is being closed.
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
	if c.unusable.Load() && !x.running() {
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

// linger waits until the endpoint is done with an abandoned exchange, and discards a
// late answer. The endpoint is done once it answers, once it reports so in a state
// query, or after the maximum duration of a request; the end of the connection doesn't
// imply it.
func (c *connection) linger(x *exchange) {
	deadline := x.latestEnd()
	answered := make(chan struct{})
	go func() {
		if c.drain(deadline) {
			close(answered)
		}
	}()
	complete := x.awaitDone(deadline, answered)
	_ = c.end()
	x.finish(complete)
}

// latestEnd returns the time at which the endpoint is done with the request at the
// latest.
func (x *exchange) latestEnd() time.Time {
	return x.sendTime().Add(x.exchanger.maxRequestDuration())
}

func (x *exchange) sendTime() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sentAt
}

// awaitDone waits for the answer, for a state query that reports the request as done or
// never received, or for the deadline. It reports whether the answer arrived.
func (x *exchange) awaitDone(deadline time.Time, answered <-chan struct{}) bool {
	clock := x.exchanger.Clock
	ctx, cancel := clockwork.WithDeadline(context.Background(), clock, deadline)
	defer cancel()
	supported := true
	for {
		pause := deadline.Sub(clock.Now())
		if supported {
			pause = min(pause, stateQueryPeriod)
		}
		select {
		case <-answered:
			return true
		case <-clock.After(pause):
		}
		if !clock.Now().Before(deadline) {
			return false
		}
		var state State
		if supported {
			state, _, supported = x.exchanger.queryState(ctx, x.id)
		}
		if state == StateDone || state == StateNever {
			return false
		}
	}
}

// drain reads from the connection until the deadline and discards the data. It reports
// whether an answer arrived and the endpoint then closed the connection.
func (c *connection) drain(deadline time.Time) bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	_ = c.Conn.SetReadDeadline(deadline)
	if tcpConnection, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcpConnection.CloseWrite()
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

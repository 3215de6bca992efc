package throttler

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// maxHeaderRead limits a read, in bytes, while a header is expected. What follows the end of
	// the header in the same read isn't checked, and net/http parses it before the next read if
	// the client pipelines its requests.
	maxHeaderRead = 1 << 10
	// headerSlack is how many bytes of a header net/http reads beyond MaxHeaderBytes.
	headerSlack = 4 << 10
)

// headerEnd is the sequence of bytes at the end of a header.
var headerEnd = []byte("\r\n\r\n")

// HeaderError reports a header with too many lines.
type HeaderError struct {
	// Lines is the number of lines that were received.
	Lines int
}

// Error implements error.
func (e *HeaderError) Error() string { return fmt.Sprintf("header of %d lines or more", e.Lines) }

// connection applies the limits to an accepted connection. Its header is only accessed by the
// goroutine that serves the connection.
type connection struct {
	net.Conn
	throttler *Throttler
	header    headerProgress
	// place is the place in the list of waiting connections, nil if it has none. The list's lock
	// guards it.
	place *list.Element
	// request is the progress of the present request.
	request requestProgress
}

// headerProgress is what has been received of the header of a request.
type headerProgress struct {
	// expected is true until a header has been read completely.
	expected     bool
	bytes, lines int
	// ended is true once the end of the header was received, length is its length then.
	ended  bool
	length int
	// tail holds the last bytes, since a read may split the end of the header.
	tail []byte
}

// trackState is the hook of a server for the states of its connections.
func (t *Throttler) trackState(c net.Conn, state http.ConnState) {
	limited, ok := c.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		limited.header = headerProgress{expected: true, tail: limited.header.tail[:0]}
		limited.request.begin()
		t.waiting.add(limited)
		if t.draining.Load() {
			limited.request.endWhenIdle()
		}
		if state == http.StateIdle {
			t.keepOneFree(c.RemoteAddr())
		}
	case http.StateActive:
		limited.header.expected = false
		if limited.request.parsed() {
			t.makeOtherRoom(c.RemoteAddr())
		}
		t.waiting.remove(limited)
	case http.StateClosed, http.StateHijacked:
		t.waiting.remove(limited)
	}
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	if c.header.expected && len(p) > maxHeaderRead {
		p = p[:maxHeaderRead]
	}
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.request.beginLastRead(c.throttler.Clock.Now()) {
		n, err = c.Conn.Read(p)
	}
	// net/http reads a single byte in the background and ends that read by a deadline in
	// the past.
	if err != nil && len(p) > 1 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.reportSlow()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.request.leave()
	}
	if n == 0 {
		return n, err
	}
	expected := c.header.expected
	if expected {
		c.header.add(p[:n])
	}
	if c.request.add(n, int64(c.header.length), c.throttler.Clock.Now()) {
		c.throttler.makeOtherRoom(c.RemoteAddr())
	}
	c.reportUnanswered()
	if !expected {
		return n, err
	}
	if c.header.lines > c.throttler.Limits.HeaderLines {
		c.throttler.report(LimitHeader, c.RemoteAddr())
		return 0, &HeaderError{Lines: c.header.lines}
	}
	if c.header.bytes >= c.throttler.Limits.HeaderBytes+headerSlack && !c.header.ended {
		c.throttler.report(LimitHeader, c.RemoteAddr())
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error { return c.request.setReadDeadline(t) }

// reportSlow reports a read that timed out, unless the connection was idle or ends.
func (c *connection) reportSlow() {
	switch {
	case c.request.isEnding():
	case !c.header.expected:
		c.throttler.report(LimitBodyTime, c.RemoteAddr())
	case c.header.bytes > 0:
		c.throttler.report(LimitHeaderTime, c.RemoteAddr())
	}
}

// add counts the bytes received since the last request, and the lines of the header up to its
// end.
func (h *headerProgress) add(received []byte) {
	before := h.bytes
	h.bytes += len(received)
	if h.ended {
		return
	}
	const kept = 3 // one less than the length of headerEnd
	earlier := len(h.tail)
	h.tail = append(h.tail, received[:min(len(received), kept)]...)
	if at := bytes.Index(h.tail, headerEnd); at >= 0 {
		h.ended = true
		received = received[:at+len(headerEnd)-earlier]
		h.length = before + len(received)
	} else if at := bytes.Index(received, headerEnd); at >= 0 {
		h.ended = true
		h.length = before + at + len(headerEnd)
		received = received[:at]
	}
	h.lines += bytes.Count(received, []byte("\n"))
	if len(received) > kept {
		h.tail = append(h.tail[:0], received[len(received)-kept:]...)
	} else {
		h.tail = append(h.tail[:0], h.tail[max(0, len(h.tail)-kept):]...)
	}
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	if limit := c.throttler.Limits.AnswerTime; limit > 0 {
		if err := c.SetWriteDeadline(c.throttler.Clock.Now().Add(limit)); err != nil {
			return 0, err
		}
	}
	c.request.answer()
	n, err := c.Conn.Write(p)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.throttler.report(LimitAnswerTime, c.RemoteAddr())
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	if first, madeRoom := c.request.close(); first {
		c.throttler.open.Add(-1)
		if madeRoom {
			c.throttler.makingRoom.Add(-1)
		}
		c.reportUnanswered()
	}
	return c.Conn.Close()
}

// reportUnanswered reports the request in progress, if the connection is closed and its client gets nothing of an
// answer.
func (c *connection) reportUnanswered() {
	if r, unanswered := c.request.unanswered(c.throttler.Clock.Now()); unanswered {
		c.throttler.reportUnanswered(c.RemoteAddr(), r)
	}
}

package throttler

import (
	"net"
	"sync"
	"time"
)

// requestPhase is how much of a request a connection has received.
type requestPhase string

const (
	// phaseIdle: nothing of a request was received.
	phaseIdle requestPhase = "idle"
	// phaseHeader: a part of a header was received.
	phaseHeader requestPhase = "header"
	// phaseRequest: a header was received, and its request isn't over.
	phaseRequest requestPhase = "request"
)

// requestProgress is the progress of the request of a connection. It is safe for concurrent use.
type requestProgress struct {
	mu    sync.Mutex
	phase requestPhase
	// received is the number of bytes received since the connection was idle, receivedAt when the last of them
	// were. headerBytes is how many of them belong to the header, 0 until its end was received.
	received, headerBytes int64
	receivedAt            time.Time
	// answering is true once a part of the answer was written.
	answering bool
	// clientLeft is true once the client has closed or reset the connection.
	clientLeft bool
	// reported is true once the request was reported as unanswered.
	reported bool
}

// begin notes that the connection waits for a request.
func (p *requestProgress) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.phase, p.received, p.headerBytes, p.answering = phaseIdle, 0, 0, false
}

// add notes received bytes. headerBytes is the length of the header, 0 if its end hasn't been received.
func (p *requestProgress) add(bytes int, headerBytes int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += int64(bytes)
	p.receivedAt = now
	p.headerBytes = headerBytes
	switch {
	case headerBytes > 0:
		p.phase = phaseRequest
	case p.phase == phaseIdle:
		p.phase = phaseHeader
	}
}

// parsed notes that the server has parsed a header. It had received the header with the request before if the
// client pipelines its requests.
func (p *requestProgress) parsed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase == phaseIdle {
		p.phase = phaseRequest
	}
}

// answer notes that a part of the answer was written.
func (p *requestProgress) answer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answering = true
}

// leave notes that the client has closed or reset the connection.
func (p *requestProgress) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clientLeft = true
}

// unansweredRequest is a request of which nothing was answered when its connection ended.
type unansweredRequest struct {
	client net.Addr
	// bytes is how much of the request was received, age how long ago the last of it.
	bytes int64
	age   time.Duration
	// clientLeft is true if the client ended the connection.
	clientLeft bool
}

// unanswered returns the request in progress, if its header was received and nothing of an answer was written. It
// does so once.
func (p *requestProgress) unanswered(now time.Time) (unansweredRequest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase != phaseRequest || p.answering || p.reported {
		return unansweredRequest{}, false
	}
	p.reported = true
	return unansweredRequest{bytes: p.received, age: now.Sub(p.receivedAt), clientLeft: p.clientLeft}, true
}

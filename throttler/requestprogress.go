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

// requestProgress is the progress of the present request of a connection. It ends the connection where no request gets
// lost by that: it makes reads time out that would wait for a request, so that no request is read any more that the
// server would drop. It is safe for concurrent use.
type requestProgress struct {
	connection net.Conn

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
	// closed is true once the process has closed the connection, reported once the request was reported as
	// unanswered.
	closed, reported bool
	// ending is true if the connection ends once it is idle, endsInHeader if it doesn't wait for the rest of a header
	// either. makesRoom is true from then on, until it is closed or has a request after all.
	ending, endsInHeader, makesRoom bool
	// lastReads is how many times beginLastRead has set a deadline, lastReadEnd the newest of these.
	lastReads   int
	lastReadEnd time.Time
	// readDeadline is the deadline of reads that the server has set. It doesn't apply while the connection ends.
	readDeadline time.Time
}

// pastDeadline makes a read time out at once; one that has received bytes returns them.
var pastDeadline = time.Unix(1, 0)

const (
	// lastReadTime is how long a connection that ends still waits for bytes that the kernel may have received.
	lastReadTime = 2 * time.Millisecond
	// minLastReads and maxLastReads are how many such reads there are. One that the process gets no processor for in time
	// doesn't look at what the kernel has received.
	minLastReads = 2
	maxLastReads = 10
)

// ends reports whether the connection ends now; the caller holds mu.
func (p *requestProgress) ends() bool {
	return p.ending && (p.phase == phaseIdle || p.endsInHeader && p.phase == phaseHeader)
}

// applyDeadline sets the deadline of reads that applies; the caller holds mu.
func (p *requestProgress) applyDeadline() error {
	deadline := p.readDeadline
	if p.ends() {
		deadline = pastDeadline
	}
	return p.connection.SetReadDeadline(deadline)
}

// beginLastRead allows one more read, for bytes that the kernel has received, before the connection ends. It reports
// false if the connection doesn't end, or has had enough of these reads, the last one in time.
func (p *requestProgress) beginLastRead(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := now.Sub(p.lastReadEnd) > lastReadTime
	if !p.ends() || p.lastReads >= minLastReads && !late || p.lastReads == maxLastReads {
		return false
	}
	p.lastReads++
	p.lastReadEnd = now.Add(lastReadTime)
	return p.connection.SetReadDeadline(p.lastReadEnd) == nil
}

// setPhase changes the phase; the caller holds mu.
func (p *requestProgress) setPhase(phase requestPhase) {
	if p.phase == phase {
		return
	}
	p.phase, p.lastReads = phase, 0
	if p.ending {
		_ = p.applyDeadline() // it fails only if the connection is closed
	}
}

// setReadDeadline sets the deadline of reads.
func (p *requestProgress) setReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	return p.applyDeadline()
}

// begin notes that the connection waits for a request.
func (p *requestProgress) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received, p.headerBytes, p.answering = 0, 0, false
	p.setPhase(phaseIdle)
}

// add notes received bytes. headerBytes is the length of the header, 0 if its end hasn't been received. It reports whether the
// connection makes no room any more.
func (p *requestProgress) add(bytes int, headerBytes int64, now time.Time) (stays bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += int64(bytes)
	p.receivedAt = now
	p.headerBytes = headerBytes
	switch {
	case headerBytes > 0:
		p.setPhase(phaseRequest)
	case p.phase == phaseIdle:
		p.setPhase(phaseHeader)
	}
	return p.stay()
}

// stay reports, once, whether the connection has a request although it was ended to make room; the caller holds mu.
func (p *requestProgress) stay() bool {
	stays := p.makesRoom && p.phase == phaseRequest
	p.makesRoom = p.makesRoom && !stays
	return stays
}

// parsed notes that the server has parsed a header. It had received the header with the request before if the
// client pipelines its requests. It reports whether the connection makes no room any more.
func (p *requestProgress) parsed() (stays bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase == phaseIdle {
		p.setPhase(phaseRequest)
	}
	return p.stay()
}

// receivedOnly reports whether the present request, with a body of the given length, is all that was received.
func (p *requestProgress) receivedOnly(bodyBytes int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.headerBytes > 0 && p.received == p.headerBytes+bodyBytes
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

// endWhenIdle ends the connection once it waits for a request.
func (p *requestProgress) endWhenIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = true
	_ = p.applyDeadline() // it fails only if the connection is closed
}

// endUnlessRequested ends the connection unless the header of a request was received or it ends already. It reports
// whether it did.
func (p *requestProgress) endUnlessRequested() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase == phaseRequest || p.closed || p.endsInHeader {
		return false
	}
	p.ending, p.endsInHeader, p.makesRoom = true, true, true
	_ = p.applyDeadline() // it fails only if the connection is closed
	return true
}

// isEnding reports whether the connection ends before its next request.
func (p *requestProgress) isEnding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ending
}

// close notes that the process closes the connection. It reports whether it does so for the first time, and whether
// it makes room.
func (p *requestProgress) close() (first, madeRoom bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first = !p.closed
	p.closed = true
	return first, p.makesRoom
}

// unansweredRequest is a request of which nothing was answered when its connection ended.
type unansweredRequest struct {
	// bytes is how much of the request was received, age how long ago the last of it.
	bytes int64
	age   time.Duration
	// clientLeft is true if the client ended the connection.
	clientLeft bool
}

// unanswered returns the request in progress, if the connection is closed, the header was received and nothing of an
// answer was written. It does so once.
func (p *requestProgress) unanswered(now time.Time) (unansweredRequest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed || p.phase != phaseRequest || p.answering || p.reported {
		return unansweredRequest{}, false
	}
	p.reported = true
	return unansweredRequest{bytes: p.received, age: now.Sub(p.receivedAt), clientLeft: p.clientLeft}, true
}

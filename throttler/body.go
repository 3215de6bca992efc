package throttler

import (
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// firstPart is the part of a body, in bytes, for which memory is taken before its first
	// byte is read. A client that only announces a large body takes memory for this part only.
	firstPart = 16 << 10
	// readFactor is the memory, in bytes, that io.ReadAll takes for each byte: its buffers and
	// their copy.
	readFactor = 2
	// drainTimeout is how long net/http may wait for the rest of a body that the handler didn't
	// read, before it answers and closes the connection.
	drainTimeout = time.Second
)

// body takes memory from a budget before it reads. Its methods are called by one goroutine.
type body struct {
	io.ReadCloser
	throttler *Throttler
	remote    net.Addr
	// length is the announced length in bytes, or negative if it is unknown.
	length int64
	// read is the number of bytes that were read, granted the number for which memory was taken.
	read, granted int64
	// ended is true once the end of the body was read.
	ended bool
	share share
}

// limitBodies returns a handler that gives next bodies that take their memory from the
// budget. The memory is returned once next returns.
func (t *Throttler) limitBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.ContentLength == 0 {
			next.ServeHTTP(w, request)
			return
		}
		original := request.Body
		b := &body{ReadCloser: original, throttler: t, remote: clientAddress(request), length: request.ContentLength, share: share{budget: t.Budget}}
		request.Body = b
		defer func() {
			request.Body = original // net/http examines the type of the body that it made
			b.share.release()
			if !b.ended {
				_ = http.NewResponseController(w).SetReadDeadline(t.Clock.Now().Add(drainTimeout))
			}
		}()
		next.ServeHTTP(w, request)
	})
}

// remoteAddress is the address of a client in the form that net/http gives it.
type remoteAddress string

// Network implements net.Addr.
func (remoteAddress) Network() string { return "tcp" }

// String implements net.Addr.
func (a remoteAddress) String() string { return string(a) }

func clientAddress(request *http.Request) net.Addr { return remoteAddress(request.RemoteAddr) }

// Read implements io.Reader. It returns a *RefusedError if the budget is used up.
func (b *body) Read(p []byte) (int, error) {
	if b.read == b.granted && b.read != b.length {
		if err := b.grant(); err != nil {
			return 0, err
		}
	}
	if unread := b.granted - b.read; unread > 0 && int64(len(p)) > unread {
		p = p[:unread]
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// grant takes the memory for the next part of the body: firstPart, then the rest of an
// announced length, or as much again as was read.
func (b *body) grant() error {
	part := int64(firstPart)
	if b.read > 0 {
		part = b.read
		if b.length >= 0 {
			part = b.length - b.read
		}
	}
	if b.length >= 0 {
		part = min(part, b.length-b.read)
	}
	if err := b.reserve(readFactor * part); err != nil {
		return err
	}
	b.granted += part
	return nil
}

// reserve takes memory from the budget and reports a refusal.
func (b *body) reserve(bytes int64) error {
	err := b.share.take(bytes)
	if err != nil {
		b.throttler.report(LimitBodyMemory, b.remote)
	}
	return err
}

// Reserve takes further memory, in bytes, for a request until its handler returns. It returns a
// *RefusedError if the budget is used up. A request that no Throttler limits takes none.
func Reserve(request *http.Request, bytes int64) error {
	if b, limited := request.Body.(*body); limited {
		return b.reserve(bytes)
	}
	return nil
}

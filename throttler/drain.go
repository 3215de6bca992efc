package throttler

import (
	"context"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

// drainInterval is the interval at which Drain checks for open connections.
const drainInterval = 5 * time.Millisecond

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

// withConnection adds a connection to the context of its requests.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// Withdraw makes the answers from now on tell their clients that the connection closes, so that clients open
// another one, to another process, rather than send a request while the connection ends.
func (t *Throttler) Withdraw() { t.withdrawn.Store(true) }

// Drain ends the connections: each request that was received is answered, and a connection ends once it waits for a
// request. It returns when no connection is left, or with the error of ctx. The listener is closed before.
//
// http.Server.Shutdown can't be used: it drops requests whose header is read later, and those of connections that it
// takes for idle.
func (t *Throttler) Drain(ctx context.Context) error {
	began, open := t.Clock.Now(), t.Open()
	t.Withdraw()
	t.draining.Store(true)
	t.waiting.endAll()
	err := t.awaitClosed(ctx)
	klog.InfoS("Connections drained", "listener", t.Name, "open", open, "left", t.Open(), "took", t.Clock.Now().Sub(began))
	return err
}

// awaitClosed waits until no connection is open or ctx ends.
func (t *Throttler) awaitClosed(ctx context.Context) error {
	for t.Open() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Clock.After(drainInterval):
		}
	}
	return nil
}

// announceClose returns a handler that serves requests by next. Once the Throttler is withdrawn, the answers tell
// that the connection closes, unless it has received more than the request: the server would drop that.
func (t *Throttler) announceClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		c, limited := request.Context().Value(connectionKey{}).(*connection)
		if !limited || !t.withdrawn.Load() {
			next.ServeHTTP(w, request)
			return
		}
		announcing := &announcingWriter{ResponseWriter: w, connection: c, bodyBytes: request.ContentLength}
		next.ServeHTTP(announcing, request)
		announcing.announce()
	})
}

// announcingWriter decides when an answer begins whether it tells that its connection closes: a client may send its next
// request while the answer is being made.
type announcingWriter struct {
	http.ResponseWriter
	connection *connection
	// bodyBytes is the length of the request's body.
	bodyBytes int64
	begun     bool
}

// announce decides, unless the answer has begun.
func (w *announcingWriter) announce() {
	if !w.begun && w.connection.request.receivedOnly(w.bodyBytes) {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

// WriteHeader implements http.ResponseWriter.
func (w *announcingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announce()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *announcingWriter) Write(p []byte) (int, error) {
	w.announce()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (w *announcingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Package throttler limits what the clients of a listener can take up: connections, memory
// of the requests in progress, and time. It ends connections without dropping a request that
// was received.
package throttler

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/net/netutil"
	"k8s.io/klog/v2"

	"zinniashore.example/logger"
)

// Limit names a limit in the metrics and the log.
type Limit string

// Limits that clients may reach.
const (
	// LimitConnections is reached when the last free connection is taken. The connection that
	// has waited longest for a request is closed.
	LimitConnections Limit = "connections"
	// LimitHeader is exceeded by a header of too many bytes or lines.
	LimitHeader Limit = "header"
	// LimitHeaderTime is exceeded by a header that arrives too slowly.
	LimitHeaderTime Limit = "header_time"
	// LimitBodyTime is exceeded by a body that arrives too slowly.
	LimitBodyTime Limit = "body_time"
	// LimitBodyMemory is exceeded by a body that finds the budget used up.
	LimitBodyMemory Limit = "body_memory"
	// LimitAnswerTime is exceeded by a client that doesn't read its answer.
	LimitAnswerTime Limit = "answer_time"
)

// linesPerSecond and lineBurst limit the log lines of each limit of a listener.
const (
	linesPerSecond = 1
	lineBurst      = 5
)

// Limits are the limits of a listener.
type Limits struct {
	// Connections is the number of connections that may be open at the same time. One of them
	// is kept free by closing the one that has waited longest for a request. If all have a
	// request in progress, further connections wait in the queue of the kernel.
	Connections int
	// HeaderBytes and HeaderLines limit the header of a request.
	HeaderBytes, HeaderLines int
	// HeaderTime is how long a client may take to send a header, and RequestTime a header and
	// its body.
	HeaderTime, RequestTime time.Duration
	// IdleTime is how long a connection may stay open without a request.
	IdleTime time.Duration
	// AnswerTime is how long a write of a part of an answer may take. Zero means no limit.
	AnswerTime time.Duration
}

// Throttler applies limits to a listener. Its exported fields are set before the first
// call, and it must be created by New.
type Throttler struct {
	// Name names the listener in the metrics and the log.
	Name string
	// Limits are the limits to apply.
	Limits Limits
	// Budget limits the memory of bodies in progress. Several listeners may share it.
	Budget *Budget
	// Clock must keep the real time, since the deadlines of connections follow it.
	Clock clockwork.Clock

	// open is the number of open connections, makingRoom the number of those that were ended at the limit and haven't
	// been closed yet, waiting are those without a request in progress.
	open, makingRoom atomic.Int64
	waiting          waitingList
	// withdrawn is true if the answers tell clients to use other connections, draining once Drain was called.
	withdrawn, draining atomic.Bool
	events              map[Limit]*eventCounter
	// unanswered counts the requests whose connection ended before anything of an answer was written.
	unanswered *eventCounter
}

// eventCounter counts the events of a limit and limits the rate of their log lines.
type eventCounter struct {
	counter tally.Counter
	limiter *logger.Limiter
}

// New returns a Throttler that reports to scope.
func New(name string, limits Limits, budget *Budget, clock clockwork.Clock, scope tally.Scope) *Throttler {
	t := &Throttler{
		Name: name, Limits: limits, Budget: budget, Clock: clock, events: map[Limit]*eventCounter{},
		unanswered: &eventCounter{
			counter: scope.Tagged(map[string]string{"listener": name}).Counter("unanswered_requests"),
			limiter: logger.NewLimiter(linesPerSecond, lineBurst),
		},
	}
	for _, limit := range []Limit{
		LimitConnections, LimitHeader, LimitHeaderTime, LimitBodyTime, LimitBodyMemory, LimitAnswerTime,
	} {
		t.events[limit] = &eventCounter{
			counter: scope.Tagged(map[string]string{"listener": name, "limit": string(limit)}).Counter("client_limits"),
			limiter: logger.NewLimiter(linesPerSecond, lineBurst),
		}
	}
	return t
}

// Open returns the number of open connections.
func (t *Throttler) Open() int { return int(t.open.Load()) }

// Listener returns a listener that accepts the connections of inner within the limits.
func (t *Throttler) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: netutil.LimitListener(inner, t.Limits.Connections), throttler: t}
}

// Server returns a server of handler for the connections of Listener.
func (t *Throttler) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           t.announceClose(t.limitBodies(handler)),
		ReadHeaderTimeout: t.Limits.HeaderTime,
		ReadTimeout:       t.Limits.RequestTime,
		IdleTimeout:       t.Limits.IdleTime,
		MaxHeaderBytes:    t.Limits.HeaderBytes,
		ConnState:         t.trackState,
		ConnContext:       withConnection,
	}
}

// report counts an event of a limit and logs it.
func (t *Throttler) report(limit Limit, remote net.Addr) {
	event := t.events[limit]
	event.counter.Inc(1)
	if logged, suppressed := event.limiter.Admit(t.Clock.Now()); logged {
		klog.InfoS("Client reached a limit", "listener", t.Name, "limit", limit, "client", remote,
			"connections", t.open.Load(), "left_out", suppressed)
	}
}

// reportUnanswered counts a request without an answer and logs it.
func (t *Throttler) reportUnanswered(client net.Addr, r unansweredRequest) {
	t.unanswered.counter.Inc(1)
	if logged, suppressed := t.unanswered.limiter.Admit(t.Clock.Now()); logged {
		klog.InfoS("Connection ended without an answer to its request", "listener", t.Name, "client", client,
			"clientLeft", r.clientLeft, "bytes", r.bytes, "age", r.age, "left_out", suppressed)
	}
}

// keepOneFree ends the connection that has waited longest for a request, if no connection is free.
func (t *Throttler) keepOneFree(remote net.Addr) {
	if t.open.Load()-t.makingRoom.Load() < int64(t.Limits.Connections) {
		return
	}
	t.report(LimitConnections, remote)
	if t.waiting.endFirst() {
		t.makingRoom.Add(1)
	}
}

// makeOtherRoom ends another connection, as one that was ended to make room has a request after all.
func (t *Throttler) makeOtherRoom(remote net.Addr) {
	t.makingRoom.Add(-1)
	t.keepOneFree(remote)
}

// listener accepts connections and counts them.
type listener struct {
	net.Listener
	throttler *Throttler
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: inner, throttler: l.throttler, request: requestProgress{connection: inner}}
	l.throttler.open.Add(1)
	l.throttler.keepOneFree(inner.RemoteAddr())
	return c, nil
}

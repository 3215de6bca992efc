package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerRequest  = "Zinnia-Request"
	headerKey      = "Zinnia-Key"
	headerDraining = "Zinnia-Draining"
	headerRefused  = "Zinnia-Refused"
	headerState    = "Zinnia-State"
	headerUptime   = "Zinnia-Uptime-Milliseconds"

	probePath = "/healthz"
)

// States of a request, as a DELETE on the probe path returns them. A request in
// stateNever has not arrived and will be refused if it does.
const (
	stateRunning = "running"
	stateDone    = "done"
	stateNever   = "never"
)

// EndpointFaults are the faults that an Endpoint injects.
type EndpointFaults struct {
	// SlowFactor multiplies the service time, if above zero.
	SlowFactor float64 `json:"slow_factor"`
	// Silent makes the endpoint accept connections and read requests, but run and answer
	// none.
	Silent bool `json:"silent"`
	// SilenceOpen silences the connections that are open when the faults are set. Later
	// connections work.
	SilenceOpen bool `json:"silence_open"`
	// Truncate closes the connection after half of the announced length of each answer.
	Truncate bool `json:"truncate"`
	// OversizeBytes replaces each answer by one of this length, if above zero.
	OversizeBytes int `json:"oversize_bytes"`
	// WrongEcho puts the id of another request into each answer.
	WrongEcho bool `json:"wrong_echo"`
	// LateMilliseconds delays each answer after the request has run.
	LateMilliseconds int64 `json:"late_milliseconds"`
	// FailAll answers each request with status 500 after it has run, and each probe.
	FailAll bool `json:"fail_all"`
	// Drain refuses each request before it runs.
	Drain bool `json:"drain"`
	// Old makes the endpoint answer 404 when asked for the state of a request, as endpoints
	// do that don't implement it.
	Old bool `json:"old"`
	// Restarted discards the states of earlier requests and resets the uptime, as a
	// restart of the process does.
	Restarted bool `json:"restarted"`
	// Unhealthy makes probes fail.
	Unhealthy bool `json:"unhealthy"`
}

// EndpointCounts are the counts of requests and connections of an Endpoint.
type EndpointCounts struct {
	// Total is the number of requests that ran.
	Total int `json:"total"`
	// Refused is the number of requests that were refused without running.
	Refused int `json:"refused"`
	// InFlight is the number of requests that are running or queued.
	InFlight int `json:"in_flight"`
	// MaxInFlight is the maximum of requests in flight at once, including those refused
	// because the queue was full.
	MaxInFlight int `json:"max_in_flight"`
	// MaxConnections is the maximum number of connections that were open at once.
	MaxConnections int `json:"max_connections"`
	// Runs is the number of runs by idempotency key.
	Runs map[string]int `json:"runs"`
}

// Endpoint is a stand-in for one endpoint of a service. It runs a request by
// waiting for ServiceTime and answers with the body of the request.
type Endpoint struct {
	// Service is the name of the service.
	Service string
	// Slots is the number of requests that run concurrently; further ones are queued or
	// refused.
	Slots int
	// Connections is the maximum number of open connections; further ones are closed at
	// once. Zero sets no limit.
	Connections int
	// ServiceTime is the time that each request runs.
	ServiceTime time.Duration
	// QueueLength is the maximum number of requests that wait for a slot; further ones are
	// refused.
	QueueLength int

	mu          sync.Mutex
	faults      EndpointFaults
	counts      EndpointCounts
	connections map[*endpointConnection]bool
	states      map[string]string
	started     time.Time
	slots       chan struct{}
}

// Start listens on address and serves until ctx ends. It returns the IP
// address and port that it listens on.
func (e *Endpoint) Start(ctx context.Context, address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	e.mu.Lock()
	e.counts.Runs = map[string]int{}
	e.connections = map[*endpointConnection]bool{}
	e.states = map[string]string{}
	e.started = time.Now()
	e.slots = make(chan struct{}, max(e.Slots, 1))
	e.mu.Unlock()
	server := &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(&endpointListener{Listener: listener, endpoint: e}) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(faults EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	if faults.Restarted {
		e.states = map[string]string{}
		e.started = time.Now()
	}
	if !faults.SilenceOpen {
		return
	}
	for connection := range e.connections {
		connection.silence()
	}
}

// Counts returns a copy of the counts.
func (e *Endpoint) Counts() EndpointCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Runs = map[string]int{}
	for key, runs := range e.counts.Runs {
		counts.Runs[key] = runs
	}
	return counts
}

// Ran returns the number of times that the request with an idempotency key ran.
func (e *Endpoint) Ran(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts.Runs[key]
}

// MaxInFlight returns the maximum of requests in flight at once, including those refused
// because the queue was full.
func (e *Endpoint) MaxInFlight() int { return e.Counts().MaxInFlight }

// MaxConnections returns the maximum number of connections that were open at once.
func (e *Endpoint) MaxConnections() int { return e.Counts().MaxConnections }

// Total returns the number of requests that ran.
func (e *Endpoint) Total() int { return e.Counts().Total }

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/control/faults":
		var faults EndpointFaults
		if readMessage(w, r, &faults) {
			e.SetFaults(faults)
			writeMessage(w, faults)
		}
	case "/control/counts":
		writeMessage(w, e.Counts())
	case probePath:
		e.serveProbe(w, r)
	default:
		if r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, probePath+"/") {
			e.serveState(w, strings.TrimPrefix(r.URL.Path, probePath+"/"))
			return
		}
		e.serveRequest(w, r)
	}
}

// serveState answers with the state of a request. A request that has not arrived yet is
// recorded as stateNever, so that it is refused if it arrives later.
func (e *Endpoint) serveState(w http.ResponseWriter, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Old || e.faults.Silent {
		http.Error(w, "not known", http.StatusNotFound)
		return
	}
	if e.states[id] == "" {
		e.states[id] = stateNever
	}
	w.Header().Set(headerState, e.states[id])
	w.Header().Set(headerUptime, strconv.FormatInt(time.Since(e.started).Milliseconds(), 10))
}

// claimRequest records a request as running. It returns false if the request is in
// stateNever.
func (e *Endpoint) claimRequest(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.states[id] == stateNever {
		return false
	}
	e.states[id] = stateRunning
	return true
}

func (e *Endpoint) finishRequest(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.states[id] = stateDone
}

func (e *Endpoint) serveProbe(w http.ResponseWriter, r *http.Request) {
	faults := e.currentFaults()
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if faults.Unhealthy || faults.FailAll {
		http.Error(w, "unhealthy", http.StatusInternalServerError)
		return
	}
	if faults.Drain {
		w.Header().Set(headerDraining, "true")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (e *Endpoint) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	faults := e.currentFaults()
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if faults.Drain {
		e.refuse(w, headerDraining)
		return
	}
	id := r.Header.Get(headerRequest)
	if !e.claimRequest(id) || !e.acquireSlot() {
		e.finishRequest(id)
		e.refuse(w, headerRefused)
		return
	}
	e.run(r.Header.Get(headerKey), faults)
	e.releaseSlot()
	e.finishRequest(id)
	time.Sleep(time.Duration(faults.LateMilliseconds) * time.Millisecond)
	e.answer(w, body, faults)
}

// acquireSlot waits for a slot and acquires it. It returns false at once if the queue is
// full.
func (e *Endpoint) acquireSlot() bool {
	e.mu.Lock()
	e.counts.InFlight++
	e.counts.MaxInFlight = max(e.counts.MaxInFlight, e.counts.InFlight)
	full := e.counts.InFlight > cap(e.slots)+e.QueueLength
	if full {
		e.counts.InFlight--
	}
	e.mu.Unlock()
	if full {
		return false
	}
	e.slots <- struct{}{}
	return true
}

func (e *Endpoint) run(key string, faults EndpointFaults) {
	duration := e.ServiceTime
	if faults.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * faults.SlowFactor)
	}
	e.mu.Lock()
	e.counts.Total++
	if key != "" {
		e.counts.Runs[key]++
	}
	e.mu.Unlock()
	time.Sleep(duration)
}

func (e *Endpoint) releaseSlot() {
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.InFlight--
}

func (e *Endpoint) refuse(w http.ResponseWriter, header string) {
	e.mu.Lock()
	e.counts.Refused++
	e.mu.Unlock()
	w.Header().Set(header, "true")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (e *Endpoint) answer(w http.ResponseWriter, body []byte, faults EndpointFaults) {
	if faults.OversizeBytes > 0 {
		body = make([]byte, faults.OversizeBytes)
	}
	if faults.WrongEcho {
		w.Header().Set(headerRequest, "another-request")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.FailAll {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if !faults.Truncate {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	dropConnection(w)
}

func (e *Endpoint) currentFaults() EndpointFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// addConnection registers a connection. It returns false if the limit of open connections
// is reached.
func (e *Endpoint) addConnection(connection *endpointConnection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Connections > 0 && len(e.connections) >= e.Connections {
		return false
	}
	e.connections[connection] = true
	e.counts.MaxConnections = max(e.counts.MaxConnections, len(e.connections))
	return true
}

func (e *Endpoint) removeConnection(connection *endpointConnection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.connections, connection)
}

type endpointListener struct {
	net.Listener
	endpoint *Endpoint
}

func (l *endpointListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		connection := &endpointConnection{
			Conn: inner, endpoint: l.endpoint,
			silenced: make(chan struct{}),
		}
		if l.endpoint.addConnection(connection) {
			return connection, nil
		}
		_ = inner.Close()
	}
}

// endpointConnection is a connection that can go silent: it then discards everything that
// it receives or is given to send, and neither side sees an error.
type endpointConnection struct {
	net.Conn
	endpoint    *Endpoint
	silenceOnce sync.Once
	closeOnce   sync.Once
	silenced    chan struct{}
}

func (c *endpointConnection) silence() {
	c.silenceOnce.Do(func() { close(c.silenced) })
}

func (c *endpointConnection) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *endpointConnection) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *endpointConnection) Write(buffer []byte) (int, error) {
	if c.isSilent() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

// Close implements net.Conn.
func (c *endpointConnection) Close() error {
	c.closeOnce.Do(func() { c.endpoint.removeConnection(c) })
	return c.Conn.Close()
}

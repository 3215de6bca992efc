package exchanger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	serviceName        = "endpoint"
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxHeaderBytes     = 64 << 10
	maxIdleConnections = 8
)

// CloseIdle closes the idle connections, so that the next exchange opens a new one.
func (e *Exchanger) CloseIdle() {
	e.once.Do(e.build)
	e.transport.CloseIdleConnections()
}

// OpenConnections returns the number of open connections.
func (e *Exchanger) OpenConnections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

func (e *Exchanger) build() {
	breaker.NoBreakerFor(serviceName)
	e.transport = e.newTransport(false)
	e.service = newService(e.transport)
	e.fresh = newService(e.newTransport(true))
}

func (e *Exchanger) newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            e.dial,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func newService(transport *http.Transport) httpc.Service {
	client := &http.Client{Transport: transport, CheckRedirect: returnRedirect}
	return httpc.NewServiceWithClient(serviceName, client)
}

// returnRedirect makes the client return redirects to the caller, since following one
// would send the request again.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (e *Exchanger) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !e.reserve() {
		return nil, errConnections
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	inner, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		e.unreserve()
		return nil, err
	}
	return &connection{Conn: inner, unreserve: sync.OnceFunc(e.unreserve)}, nil
}

func (e *Exchanger) reserve() bool {
	limit := e.Connections()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open >= limit {
		return false
	}
	e.open++
	return true
}

func (e *Exchanger) unreserve() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
}

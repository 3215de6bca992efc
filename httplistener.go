package zinniashore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"k8s.io/klog/v2"

	"zinniashore.example/loader"
	"zinniashore.example/router"
	"zinniashore.example/throttler"
)

const (
	// forcedQuitDelay is how long go-zero waits after a signal before it kills the
	// process. It exceeds every graceful shutdown.
	forcedQuitDelay = 24 * time.Hour
)

// httpListener serves go-zero routes on one address.
type httpListener struct {
	throttler *throttler.Throttler
	listener  net.Listener
	server    *http.Server
	// stopping is true once stop was called.
	stopping atomic.Bool
}

// listenHTTP binds the address. The handler serves within the limits of t once serve is called.
func listenHTTP(address string, t *throttler.Throttler, handler http.Handler) (*httpListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &httpListener{throttler: t, listener: t.Listener(listener), server: t.Server(handler)}, nil
}

// listenREST binds the address. The routes are served once serve is called.
func listenREST(address string, t *throttler.Throttler, routes []rest.Route) (*httpListener, error) {
	handler, err := restHandler(t.Name, func(server *rest.Server) { server.AddRoutes(routes) })
	if err != nil {
		return nil, err
	}
	return listenHTTP(address, t, handler)
}

// restHandler returns a go-zero server as a handler; add registers its routes. The
// timeouts, breaker, load shedding and connection limit of go-zero are off, because they
// would answer a request whose handler is still running.
func restHandler(name string, add func(*rest.Server), options ...rest.RunOption) (http.Handler, error) {
	configuration := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     name,
			Mode:     service.ProMode,
			Shutdown: proc.ShutdownConf{WaitTime: forcedQuitDelay},
		},
		Middlewares: router.Middlewares(),
	}
	server, err := rest.NewServer(configuration, options...)
	if err != nil {
		return nil, err
	}
	add(server)
	handler, err := rest.NewServerless(server)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(handler.Serve), nil
}

func (l *httpListener) address() string { return l.listener.Addr().String() }

func (l *httpListener) serve() error {
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) || l.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// withdraw makes the answers ask clients to open another connection.
func (l *httpListener) withdraw() { l.throttler.Withdraw() }

// stop accepts no connection any more and waits for the requests that were received until ctx ends, then closes the
// remaining connections.
func (l *httpListener) stop(ctx context.Context) {
	l.stopping.Store(true)
	if err := l.listener.Close(); err != nil {
		klog.ErrorS(err, "Closing a listener failed", "listener", l.throttler.Name)
	}
	if err := l.throttler.Drain(ctx); err != nil {
		klog.ErrorS(err, "Shutdown timed out with requests in flight", "listener", l.throttler.Name)
	}
	_ = l.server.Close() // the listener is closed
}

// configuredLimits returns the limits of a listener of the product's own interface.
func configuredLimits(settings loader.Limits, connections int) throttler.Limits {
	return throttler.Limits{
		Connections: connections, HeaderBytes: settings.HeaderBytes, HeaderLines: settings.HeaderLines,
		HeaderTime: settings.HeaderTime, RequestTime: settings.RequestTime,
		AnswerTime: settings.AnswerTime, IdleTime: settings.IdleTime,
	}
}

package zinniashore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"k8s.io/klog/v2"

	"zinniashore.example/router"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second

	// forcedQuit is how long go-zero waits after a signal before it kills the
	// process. It lies beyond every graceful shutdown.
	forcedQuit = 24 * time.Hour
)

// httpListener serves go-zero routes on one address.
type httpListener struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// listenHTTP listens on address and serves the routes once serve is called.
func listenHTTP(name, address string, routes []rest.Route) (*httpListener, error) {
	handler, err := restHandler(name, func(server *rest.Server) { server.AddRoutes(routes) })
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	return &httpListener{name: name, listener: listener, server: server}, nil
}

// restHandler returns a go-zero server as a handler; add gives it its routes. Its
// timeouts, breaker, shedding and connection limit are off, because they would
// answer for a request that still runs.
func restHandler(name string, add func(*rest.Server), options ...rest.RunOption) (http.Handler, error) {
	configuration := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     name,
			Mode:     service.ProMode,
			Shutdown: proc.ShutdownConf{WaitTime: forcedQuit},
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
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop waits for the requests in flight until ctx ends, then closes what is
// left.
func (l *httpListener) stop(ctx context.Context) {
	if err := l.server.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "Requests were still in flight at the limit of the shutdown", "listener", l.name)
		_ = l.server.Close()
	}
}

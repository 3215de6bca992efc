package bencher

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"zinniashore.example/publisher"
	"zinniashore.example/router"
	"zinniashore.example/standin"
)

const (
	organisation = "bench"
	serviceName  = "service"
	domain       = "domain"

	queueAtEndpoint = 100_000
	maxConnections  = 64
	idleConnections = 512
	naiveRetries    = 3
)

// site is some endpoints and the ways to call them.
type site struct {
	ctx       context.Context
	options   Options
	endpoints []*standin.Endpoint
	addresses []string
	next      atomic.Int64
	client    *http.Client
	direct    *http.Client
}

// newSite starts endpoints that queue requests past their slots, as servers do.
func newSite(ctx context.Context, options Options) (*site, error) {
	s := &site{ctx: ctx, options: options, client: newClient(0), direct: newClient(maxConnections)}
	for range options.Endpoints {
		e := &standin.Endpoint{Slots: options.Slots, ServiceTime: options.ServiceTime, QueueLength: queueAtEndpoint, Connections: maxConnections}
		address, err := e.Start(ctx, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.endpoints = append(s.endpoints, e)
		s.addresses = append(s.addresses, address)
	}
	return s, nil
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, MaxConnsPerHost: connections}}
}

func (s *site) setFaults(faults standin.EndpointFaults, count int) {
	for _, e := range s.endpoints[:count] {
		e.SetFaults(faults)
	}
}

// listed is the endpoint list, every endpoint whose index the filter admits.
func (s *site) listed(admit func(index int) bool) []publisher.Endpoint {
	var listed []publisher.Endpoint
	for i, address := range s.addresses {
		if !admit(i) {
			continue
		}
		listed = append(listed, publisher.Endpoint{
			Task: fmt.Sprint("task-", i), Organisation: organisation, Service: serviceName, Address: address,
			VM: fmt.Sprint("worker-", i), FailureDomain: domain, Slots: s.options.Slots,
			Connections: maxConnections, State: publisher.EndpointReady,
		})
	}
	return listed
}

// fetch makes one GET and reads the whole answer.
func (s *site) fetch(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(router.HeaderDeadline, fmt.Sprint(time.Until(deadline).Milliseconds()))
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// roundRobin calls the endpoints directly in turn.
func (s *site) roundRobin(ctx context.Context) bool {
	index := int(s.next.Add(1)) % len(s.addresses)
	return s.fetch(ctx, s.direct, "http://"+s.addresses[index]+"/")
}

// random calls a random endpoint directly.
func (s *site) random(ctx context.Context) bool {
	return s.fetch(ctx, s.direct, "http://"+s.addresses[rand.IntN(len(s.addresses))]+"/")
}

// naive calls the endpoints in turn, each try with a part of the deadline, and
// retries at once.
func (s *site) naive(ctx context.Context) bool {
	for range naiveRetries + 1 {
		try, cancel := context.WithTimeout(ctx, s.options.deadline()/(naiveRetries+1))
		good := s.roundRobin(try)
		cancel()
		if good {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// wholeShares is the share of the only entry VM, or a part of it.
type wholeShares struct{ slots int }

// Share implements router.Shares.
func (w wholeShares) Share(int) int { return w.slots }

// Connections implements router.Shares.
func (wholeShares) Connections(limit int) int { return limit }

// Held implements router.Shares.
func (wholeShares) Held() bool { return true }

// otherVMs lists the entry VMs beside one.
type otherVMs struct{ peers []router.Peer }

// Peers implements router.Peers.
func (o *otherVMs) Peers() []router.Peer { return o.peers }

// newRouter returns a router with the share of each admitted endpoint.
func (s *site) newRouter(vm string, share int, peers router.Peers, admit func(int) bool) *router.Router {
	r := &router.Router{
		Clock: s.options.Clock, VM: vm, FailureDomain: domain, Shares: wholeShares{slots: share}, Peers: peers,
	}
	r.SetEndpoints(s.listed(admit))
	return r
}

// run runs routers until the site ends.
func (s *site) run(routers ...*router.Router) {
	for _, r := range routers {
		go func() { _ = r.Run(s.ctx) }()
	}
}

func all(int) bool { return true }

// serve serves the routes of a router by go-zero and returns the URL of the
// service.
func (s *site) serve(r *router.Router) (string, error) {
	server, err := rest.NewServer(rest.RestConf{
		ServiceConf: service.ServiceConf{Name: "bencher", Mode: service.ProMode},
		Middlewares: router.Middlewares(),
	})
	if err != nil {
		return "", err
	}
	server.AddRoutes(r.Routes())
	handler, err := rest.NewServerless(server)
	if err != nil {
		return "", err
	}
	address, err := standin.Listen(s.ctx, "127.0.0.1:0", http.HandlerFunc(handler.Serve))
	return fmt.Sprintf("http://%s/v1/organisations/%s/services/%s/", address, organisation, serviceName), err
}

// through returns calls through one entry VM over HTTP.
func (s *site) through() (call, error) {
	r := s.newRouter("vm-0", s.options.Slots, nil, all)
	s.run(r)
	url, err := s.serve(r)
	return func(ctx context.Context) bool { return s.fetch(ctx, s.client, url) }, err
}

// link serves the forwards of a router and returns it as a peer.
func (s *site) link(r *router.Router) (router.Peer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return router.Peer{}, err
	}
	server := grpc.NewServer()
	r.Register(server)
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(s.ctx, server.Stop)
	connection, err := grpc.NewClient(listener.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	if err != nil {
		return router.Peer{}, err
	}
	context.AfterFunc(s.ctx, func() { _ = connection.Close() })
	connection.Connect()
	return router.Peer{VM: r.VM, FailureDomain: domain, Alive: true, Connection: connection}, nil
}

// handle returns calls of random routers in this process.
func handle(clock clockwork.Clock, routers []*router.Router) call {
	return func(ctx context.Context) bool {
		deadline, _ := ctx.Deadline()
		r := routers[rand.IntN(len(routers))]
		response := r.Handle(ctx, router.Request{
			Organisation: organisation, Service: serviceName, Method: http.MethodGet, Path: "/",
			Idempotent: true, Deadline: clock.Now().Add(time.Until(deadline)),
		})
		return response.Outcome == router.OutcomeOK
	}
}

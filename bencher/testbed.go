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
	organisation  = "bench"
	serviceName   = "service"
	failureDomain = "domain"

	endpointQueueLength = 100_000
	maxConnections      = 64
	idleConnections     = 512
	naiveRetries        = 3
)

// testbed is a set of stand-in endpoints with the clients and routers that call them.
type testbed struct {
	ctx          context.Context
	options      Options
	endpoints    []*standin.Endpoint
	addresses    []string
	nextEndpoint atomic.Int64
	routerClient *http.Client
	directClient *http.Client
}

// newTestbed starts the endpoints. As ordinary servers do, they queue the requests that
// exceed their slots.
func newTestbed(ctx context.Context, options Options) (*testbed, error) {
	s := &testbed{ctx: ctx, options: options, routerClient: newClient(0), directClient: newClient(maxConnections)}
	for range options.Endpoints {
		e := &standin.Endpoint{Slots: options.Slots, ServiceTime: options.ServiceTime, QueueLength: endpointQueueLength, Connections: maxConnections}
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

func (s *testbed) setFaults(faults standin.EndpointFaults, count int) {
	for _, e := range s.endpoints[:count] {
		e.SetFaults(faults)
	}
}

// endpointList returns the endpoint list of a router: every endpoint whose index admit
// accepts.
func (s *testbed) endpointList(admit func(index int) bool) []publisher.Endpoint {
	var listed []publisher.Endpoint
	for i, address := range s.addresses {
		if !admit(i) {
			continue
		}
		listed = append(listed, publisher.Endpoint{
			Task: fmt.Sprint("task-", i), Organisation: organisation, Service: serviceName, Address: address,
			VM: fmt.Sprint("worker-", i), FailureDomain: failureDomain, Slots: s.options.Slots,
			Connections: maxConnections, State: publisher.EndpointReady,
		})
	}
	return listed
}

// fetch sends a GET request, reads the whole answer and reports whether its status is 200.
// The deadline of ctx is sent as a header.
func (s *testbed) fetch(ctx context.Context, client *http.Client, url string) bool {
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

// roundRobin calls the next endpoint in turn directly.
func (s *testbed) roundRobin(ctx context.Context) bool {
	index := int(s.nextEndpoint.Add(1)) % len(s.addresses)
	return s.fetch(ctx, s.directClient, "http://"+s.addresses[index]+"/")
}

// random calls a random endpoint directly.
func (s *testbed) random(ctx context.Context) bool {
	return s.fetch(ctx, s.directClient, "http://"+s.addresses[rand.IntN(len(s.addresses))]+"/")
}

// naive calls the endpoints in turn and retries a failed call at once. Each try has an
// equal part of the deadline.
func (s *testbed) naive(ctx context.Context) bool {
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

// fixedShares implements router.Shares with the same number of slots of each endpoint,
// whatever the endpoint's slots are, and with all of its connections.
type fixedShares struct{ slots int }

// Share implements router.Shares.
func (w fixedShares) Share(int) int { return w.slots }

// Connections implements router.Shares.
func (fixedShares) Connections(limit int) int { return limit }

// Held implements router.Shares.
func (fixedShares) Held() bool { return true }

// fixedPeers implements router.Peers with a fixed list of the other entry VMs.
type fixedPeers struct{ peers []router.Peer }

// Peers implements router.Peers.
func (p *fixedPeers) Peers() []router.Peer { return p.peers }

// newRouter returns a router that has share slots of each endpoint that admit accepts.
func (s *testbed) newRouter(vm string, share int, peers router.Peers, admit func(int) bool) *router.Router {
	r := &router.Router{
		Clock: s.options.Clock, VM: vm, FailureDomain: failureDomain, Shares: fixedShares{slots: share}, Peers: peers,
	}
	r.SetEndpoints(s.endpointList(admit))
	return r
}

// run runs routers in the background until the testbed's context ends.
func (s *testbed) run(routers ...*router.Router) {
	for _, r := range routers {
		go func() { _ = r.Run(s.ctx) }()
	}
}

func allEndpoints(int) bool { return true }

// serve serves the routes of a router with go-zero and returns the URL of the service.
func (s *testbed) serve(r *router.Router) (string, error) {
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

// routedCall starts one entry VM and returns a function that calls the service through it
// over HTTP.
func (s *testbed) routedCall() (callFunc, error) {
	r := s.newRouter("vm-0", s.options.Slots, nil, allEndpoints)
	s.run(r)
	url, err := s.serve(r)
	return func(ctx context.Context) bool { return s.fetch(ctx, s.routerClient, url) }, err
}

// connectPeer serves the gRPC methods of a router, which peers forward requests to, and
// returns the router as a connected peer.
func (s *testbed) connectPeer(r *router.Router) (router.Peer, error) {
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
	return router.Peer{VM: r.VM, FailureDomain: failureDomain, Alive: true, Connection: connection}, nil
}

// randomRouterCall returns a function that passes each request to a random one of routers,
// within this process.
func randomRouterCall(clock clockwork.Clock, routers []*router.Router) callFunc {
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

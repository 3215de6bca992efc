// Package zinniashore schedules latency-critical services and batch work on shared VMs.
// It assembles the components of the process of an entry VM.
package zinniashore

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/rest"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"k8s.io/klog/v2"

	"zinniashore.example/administrator"
	"zinniashore.example/configurer"
	"zinniashore.example/deduper"
	"zinniashore.example/evacuator"
	"zinniashore.example/keeper"
	"zinniashore.example/lister"
	"zinniashore.example/loader"
	"zinniashore.example/meter"
	"zinniashore.example/owner"
	"zinniashore.example/publisher"
	"zinniashore.example/recorder"
	"zinniashore.example/router"
	"zinniashore.example/seater"
	"zinniashore.example/throttler"
)

const (
	minPeerPingInterval = time.Second
	leaveTimeout        = 5 * time.Second
)

// Server is the process of an entry VM. Its exported fields are set before
// Listen.
type Server struct {
	// Settings are the validated settings.
	Settings loader.Settings
	// Clock must keep the monotonic reading of the real clock.
	Clock clockwork.Clock

	incarnation    string
	meter          *meter.Meter
	recorder       *recorder.Recorder
	session        *keeper.Session
	mirror         *keeper.Mirror
	lister         *lister.Lister
	seater         *seater.Seater
	deduper        *deduper.Deduper
	configurer     *configurer.Configurer
	evacuator      *evacuator.Evacuator
	owner          *owner.Owner
	router         *router.Router
	administrator  *administrator.Administrator
	callers        *httpListener
	administration *httpListener
	peerListener   net.Listener
	peers          *grpc.Server
	listedPeers    *listedPeers
	draining       atomic.Bool
}

// Listen builds the components and binds the addresses. No call is answered before Run.
func (s *Server) Listen() error {
	s.incarnation = s.Settings.Process + "/" + uuid.NewString()
	s.meter = meter.New(s.Settings.Process, s.Settings.FailureDomain)
	listener, err := net.Listen("tcp", s.Settings.Addresses.Peers)
	if err != nil {
		return err
	}
	s.peerListener = s.throttler("peers", nil, throttler.PeerLimits(s.Settings.Limits.PeerConnections)).Listener(listener)
	s.buildShared()
	s.buildRoles()
	if err := s.listenHTTP(); err != nil {
		return err
	}
	s.servePeers()
	s.subscribe()
	return nil
}

// Addresses returns the bound addresses. It must be called after Listen.
func (s *Server) Addresses() loader.Addresses {
	return loader.Addresses{
		Callers:        s.callers.address(),
		Administration: s.administration.address(),
		Peers:          s.peerListener.Addr().String(),
	}
}

// Ready reports whether the process accepts requests.
func (s *Server) Ready() bool { return !s.draining.Load() && s.configurer.Ready() }

// listedVMs returns the VMs that the platform lists.
func (s *Server) listedVMs() []lister.VM {
	vms, _ := s.lister.VMs()
	return vms
}

func (s *Server) listenHTTP() error {
	limits := s.Settings.Limits
	budget := throttler.NewBudget(limits.RequestBytes)
	callersThrottler := s.throttler("callers", budget, configuredLimits(limits, limits.Connections))
	callers, err := listenREST(s.Settings.Addresses.Callers, callersThrottler, append(s.router.Routes(), s.readiness()))
	if err != nil {
		return err
	}
	routes := append(s.administrator.Routes(), s.readiness(), s.scrape())
	administrationThrottler := s.throttler("administration", budget, configuredLimits(limits, limits.AdministrationConnections))
	administration, err := listenREST(s.Settings.Addresses.Administration, administrationThrottler, routes)
	if err != nil {
		return err
	}
	s.callers = callers
	s.administration = administration
	return nil
}

func (s *Server) throttler(name string, budget *throttler.Budget, limits throttler.Limits) *throttler.Throttler {
	return throttler.New(name, limits, budget, s.Clock, s.meter.Scope)
}

// readiness returns the route of the readiness probe of the platform's load balancer.
func (s *Server) readiness() rest.Route {
	return rest.Route{Method: http.MethodGet, Path: "/readyz", Handler: func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	}}
}

func (s *Server) scrape() rest.Route {
	return rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: s.meter.Handler.ServeHTTP}
}

func (s *Server) servePeers() {
	s.peers = grpc.NewServer(
		grpc.ConnectionTimeout(s.Settings.Limits.HeaderTime),
		grpc.UnaryInterceptor(s.recorder.UnaryServerInterceptor()),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             minPeerPingInterval,
			PermitWithoutStream: true,
		}))
	s.recorder.Register(s.peers)
	s.seater.Register(s.peers)
	s.configurer.Register(s.peers)
	s.router.Register(s.peers)
	s.administrator.Register(s.peers)
}

func (s *Server) subscribe() {
	s.configurer.Follow()
	s.evacuator.Follow()
	s.mirror.Subscribe(publisher.Prefix, func(entries []keeper.Entry) {
		s.router.SetEndpoints(decodeEndpoints(entries))
	})
	s.lister.Subscribe(func(vms []lister.VM) { s.router.SetLeaving(leavingVMs(vms)) })
}

// Run serves until ctx ends, then shuts down gracefully: it withdraws readiness, answers
// the requests in flight, and releases cells and seats.
func (s *Server) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	roles := []func(context.Context) error{
		s.session.Run, s.mirror.Run, s.lister.Run, s.seater.Run,
		s.configurer.Run, s.owner.Run, s.router.Run,
	}
	for _, run := range roles {
		group.Go(func() error { return run(running) })
	}
	group.Go(func() error { return s.peers.Serve(s.peerListener) })
	group.Go(s.callers.serve)
	group.Go(s.administration.serve)
	klog.InfoS("Serving", "process", s.Settings.Process, "failureDomain", s.Settings.FailureDomain,
		"callers", s.callers.address(), "administration", s.administration.address(), "peers", s.peerListener.Addr().String())
	select {
	case <-ctx.Done():
	case <-running.Done():
	}
	s.shutDown()
	stop()
	return group.Wait()
}

func (s *Server) shutDown() {
	klog.InfoS("Shutting down", "process", s.Settings.Process, "limit", s.Settings.Shutdown.Limit)
	ctx, cancel := context.WithTimeout(context.Background(), s.Settings.Shutdown.Limit)
	defer cancel()
	s.draining.Store(true)
	s.callers.withdraw()
	s.seater.Drain()
	if err := s.router.Drain(ctx); err != nil {
		klog.ErrorS(err, "Draining requests did not finish within the shutdown limit")
	}
	s.callers.stop(ctx)
	s.leave(ctx)
	s.administration.stop(ctx)
	s.peers.Stop()
	s.listedPeers.close()
	if err := s.meter.Close(); err != nil {
		klog.ErrorS(err, "Reporting the final metrics failed")
	}
	klog.InfoS("Stopped", "process", s.Settings.Process)
}

// leave releases everything that the store records as held by this process. Each step
// runs even if an earlier one failed; what remains is released when its lease expires.
func (s *Server) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	steps := []struct {
		role  string
		leave func(context.Context) error
	}{
		{role: "cells", leave: s.owner.Leave},
		{role: "seats", leave: s.seater.Leave},
		{role: "configuration", leave: s.configurer.Leave},
		{role: "session", leave: s.session.Revoke},
	}
	for _, step := range steps {
		if err := step.leave(ctx); err != nil {
			klog.ErrorS(err, "Releasing a role failed", "role", step.role)
		}
	}
}

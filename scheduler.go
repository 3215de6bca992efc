package zinniashore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/rest"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"zinniashore.example/acceptor"
	"zinniashore.example/archiver"
	"zinniashore.example/claimer"
	"zinniashore.example/evacuator"
	"zinniashore.example/historian"
	"zinniashore.example/holder"
	"zinniashore.example/meter"
	"zinniashore.example/partitioner"
	"zinniashore.example/platform"
	"zinniashore.example/prober"
	"zinniashore.example/recorder"
	"zinniashore.example/relayer"
	"zinniashore.example/throttler"
	"zinniashore.example/watcher"
)

const (
	// configurationWait is how long a watch call for the configuration waits. A change
	// must be in force within two seconds even if the connection is half-open.
	configurationWait = time.Second
	// drainPollInterval is the interval at which a draining process checks for calls in
	// flight.
	drainPollInterval = 20 * time.Millisecond
	// lameDuckPeriod is how long new calls may still arrive after readiness has been
	// withdrawn.
	lameDuckPeriod = 2500 * time.Millisecond
	// wholeProcessor is how many processors the strongest process is assumed to have until a holder
	// is known.
	wholeProcessor = 1
	// exitReserve is the part of the shutdown grace that is reserved for the process to
	// exit.
	exitReserve = 1500 * time.Millisecond
)

// Scheduler is the process of an entry VM on the users' platform. Its exported
// fields are set before Listen.
type Scheduler struct {
	// Settings are the settings that the platform provides.
	Settings platform.Settings
	// Clock must keep the monotonic reading of the real clock.
	Clock clockwork.Clock

	meter          *meter.Meter
	configurations *configurations
	evacuations    *evacuator.Tracker
	claimer        *claimer.Claimer
	heldCells      *holder.Cells
	acceptor       *acceptor.Acceptor
	intake         *acceptor.Intake
	prober         *prober.Prober
	peerClient     *relayer.Client
	peerServer     *grpc.Server
	peerListener   net.Listener
	store          *platform.Store
	partition      *sharedPartition
	partitioner    *partitioner.Partitioner
	listeners      []*httpListener
	draining       atomic.Bool
	// endRequests makes the acceptor answer the requests in progress at once.
	endRequests context.CancelFunc
}

// Listen builds the components and binds the addresses.
func (s *Scheduler) Listen() error {
	s.meter = meter.New(s.Settings.Process, s.Settings.FailureDomain)
	s.build()
	limits := throttler.DivideVM(s.Settings.Memory, s.Settings.Descriptors)
	budget := throttler.NewBudget(limits.RequestBytes)
	throttle := func(name string, connections int) *throttler.Throttler {
		return throttler.New(name, throttler.ClientLimits(connections), budget, s.Clock, s.meter.Scope)
	}
	listener, err := net.Listen("tcp", s.Settings.PeerAddress)
	if err != nil {
		return err
	}
	s.peerListener = throttler.New("peers", throttler.PeerLimits(limits.Peers), budget, s.Clock, s.meter.Scope).Listener(listener)
	s.peerServer = relayer.NewGRPCServer(&relayer.Server{
		Cells: s.heldCells, ReachesStore: s.prober.StoreReached, Incarnation: s.claimer.Self.Incarnation,
	})
	callers, err := restHandler("callers", func(*rest.Server) {}, rest.WithNotFoundHandler(s.acceptor))
	if err != nil {
		return err
	}
	served := []struct {
		name, address string
		connections   int
		handler       http.Handler
	}{
		{"callers", s.Settings.ClientAddress, limits.Clients, callers},
		{"readiness", s.Settings.ReadinessAddress, limits.Readiness, http.HandlerFunc(s.serveReadiness)},
		{"metrics", s.Settings.MetricsAddress, limits.Metrics, s.meter.Handler},
	}
	for _, l := range served {
		listener, err := listenHTTP(l.address, throttle(l.name, l.connections), l.handler)
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, listener)
	}
	klog.InfoS("Limits on clients", "connections", limits.Clients, "readinessConnections", limits.Readiness,
		"metricsConnections", limits.Metrics, "peerConnections", limits.Peers, "requestBytes", limits.RequestBytes)
	return nil
}

func (s *Scheduler) build() {
	s.store = platform.NewStore(s.Settings.StoreAddress)
	history := &historian.Historian{Clock: s.Clock}
	s.store.Reached = history.Reached
	archive := &archiver.Archiver{Store: s.store}
	s.partition = &sharedPartition{}
	s.partitioner = &partitioner.Partitioner{
		Store: s.store, Clock: s.Clock, Key: archiver.PartitionKey, TermPrefix: archiver.TermPrefix,
	}
	s.configurations = &configurations{clock: s.Clock, suspendedTime: suspendedTime}
	s.peerClient = &relayer.Client{}
	s.heldCells = &holder.Cells{
		Clock: s.Clock, Settings: s.Settings, Store: s.store, Workers: platform.NewWorkers(), Archiver: archive,
		Partition: s.partition, Peers: s.peerClient, History: history, SuspendedTime: suspendedTime,
		Recorder: &eventLog{clock: s.Clock, scope: s.meter.Scope, recorder: &recorder.Recorder{
			Clock: s.Clock, Process: s.Settings.Process, FailureDomain: s.Settings.FailureDomain, Capacity: timeLineCapacity,
		}},
	}
	s.configurations.changed = s.heldCells.SetServices
	s.evacuations = &evacuator.Tracker{Changed: s.heldCells.SetEvacuated}
	s.claimer = &claimer.Claimer{
		Store: s.store, Clock: s.Clock, Prefix: archiver.HolderPrefix, TermPrefix: archiver.TermPrefix,
		Self: claimer.Holder{
			Process: s.Settings.Process, FailureDomain: s.Settings.FailureDomain, Address: s.Settings.PeerAddress,
			Incarnation: uuid.NewString(), Processors: s.Settings.Processors, FullLeaseAge: holder.FullLeaseAge,
			MaxIsolation: holder.IsolationLimit(s.Settings),
		},
		AssumedProcessors: wholeProcessor,
		Hold:              s.heldCells.Run,
		Leases:            s.heldCells.ReleasedLeases,
		Eligible:          func() bool { return !s.draining.Load() },
		Holds:             (&holder.LastHolders{Peers: s.peerClient}).Holds,
		Unanswered:        func(last claimer.Holder) int { return s.peerClient.Unanswered(last.Address) },
		HasWorkers:        (&holder.CellWorkers{Store: s.store, Archiver: archive, Configurations: s.configurations, Partition: s.partition}).Registered,
	}
	selector := &cellSelector{
		failureDomain: s.Settings.FailureDomain, partition: s.partition, claimer: s.claimer, heldCells: s.heldCells, peers: s.peerClient,
		capacities: &capacityQueries{claimer: s.claimer, heldCells: s.heldCells, peers: s.peerClient},
	}
	others := &holder.OtherHolders{
		Self: s.Settings.Process, FailureDomain: s.Settings.FailureDomain, Partition: s.partition, Claimer: s.claimer, Peers: s.peerClient,
	}
	s.prober = &prober.Prober{Store: s.store, Clock: s.Clock, Peers: others}
	s.heldCells.OtherCells, s.heldCells.OthersReachStore, s.heldCells.OutageSeen = selector, others.AnyReachesStore, s.prober.OutageSeen
	s.intake = acceptor.NewIntake(s.Clock, archive)
	serving, endRequests := context.WithCancel(context.Background())
	s.endRequests = endRequests
	s.acceptor = &acceptor.Acceptor{
		Serving: serving,
		Clock:   s.Clock, Configurations: dividedConfigurations{s.configurations, s.partition}, Intake: s.intake, StoreReached: s.prober.StoreReached,
		Jobs: &jobRouter{
			clock: s.Clock, failureDomain: s.Settings.FailureDomain, failureDomains: s.Settings.FailureDomains, self: s.Settings.Process, partition: s.partition,
			claimer: s.claimer, heldCells: s.heldCells,
			archiver: archive, peers: s.peerClient, selector: selector,
			unaccepted: rate.NewLimiter(unacceptedPerSecond, unacceptedBurst),
		},
	}
}

// claimCells claims cells until ctx ends, once the division of the failure domains into cells is
// known.
func (s *Scheduler) claimCells(ctx context.Context) error {
	partition, err := s.partitioner.Partition(ctx)
	if err != nil {
		return err
	}
	s.claimer.HomeCells = partition.Cells(s.Settings.FailureDomain)
	for _, domain := range s.Settings.FailureDomains {
		if domain != s.Settings.FailureDomain {
			s.claimer.OtherCells = append(s.claimer.OtherCells, partition.Cells(domain)...)
		}
	}
	s.partition.set(partition)
	return s.claimer.Run(ctx)
}

// Ready reports whether the process accepts calls.
func (s *Scheduler) Ready() bool {
	_, known := s.configurations.Configuration()
	_, divided := s.partition.get()
	return known && divided && !s.draining.Load() && !s.prober.Isolated()
}

func (s *Scheduler) serveReadiness(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != platform.ReadinessPath {
		http.NotFound(w, q)
		return
	}
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// configurationWatch returns the watch of the operators' keys. A cell uses no worker before its service
// is known, so evacuations come first: none is unknown when the first task starts.
func (s *Scheduler) configurationWatch() watcher.Watcher {
	return watcher.Watcher{
		Store: s.store, Clock: s.Clock, Prefix: platform.OperatorPrefix,
		Handler: watcher.Handlers{s.evacuations, s.configurations},
		Read:    s.configurations.read, Wait: configurationWait,
	}
}

// Run serves until ctx ends, then shuts down gracefully: it withdraws readiness, answers
// calls as long as the platform still sends some, and then releases the cell.
func (s *Scheduler) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	configuration := s.configurationWatch()
	roles := []func(context.Context) error{configuration.Run, s.claimCells, s.intake.Run, s.prober.Run}
	for _, run := range roles {
		group.Go(func() error { return run(running) })
	}
	group.Go(func() error { return s.peerServer.Serve(s.peerListener) })
	for _, l := range s.listeners {
		group.Go(l.serve)
	}
	klog.InfoS("Serving", "process", s.Settings.Process, "failureDomain", s.Settings.FailureDomain,
		"callers", s.Settings.ClientAddress, "peers", s.Settings.PeerAddress, "metrics", s.Settings.MetricsAddress)
	select {
	case <-ctx.Done():
	case <-running.Done():
	}
	s.shutDown(stop)
	err := group.Wait()
	klog.InfoS("Stopped", "process", s.Settings.Process)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (s *Scheduler) shutDown(stop func()) {
	limit := s.Settings.ShutdownGrace - exitReserve
	klog.InfoS("Shutting down", "process", s.Settings.Process, "limit", limit)
	s.draining.Store(true)
	for _, l := range s.listeners {
		l.withdraw()
	}
	end := s.Clock.Now().Add(limit)
	lameDuckEnd := s.Clock.Now().Add(lameDuckPeriod)
	for s.Clock.Now().Before(end) && (s.Clock.Now().Before(lameDuckEnd) || s.acceptor.InFlight() > 0) {
		s.Clock.Sleep(drainPollInterval)
	}
	s.endRequests()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, l := range s.listeners {
		l.stop(ctx)
	}
	stop()
	s.peerServer.Stop()
	s.peerClient.Close()
	if err := s.meter.Close(); err != nil {
		klog.ErrorS(err, "Reporting the final metrics failed")
	}
}

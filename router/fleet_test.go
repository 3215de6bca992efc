package router_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"zinniashore.example/publisher"
	"zinniashore.example/router"
	"zinniashore.example/standin"
)

const maxRequestDuration = 500 * time.Millisecond

func TestMain(m *testing.M) {
	logx.Disable()
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

// shares implements router.Shares with a fixed share of each endpoint.
type shares struct {
	slots   int
	expired atomic.Bool
}

func (s *shares) Share(int) int       { return s.slots }
func (s *shares) Connections(int) int { return 21 }
func (s *shares) Held() bool          { return !s.expired.Load() }

// keys implements router.Keys. The home of a key is a VM of the fleet, chosen by the
// hash of the key.
type keys struct {
	fleet *fleet
	self  int

	mu    sync.Mutex
	known map[string]router.KeyVerdict
}

func (k *keys) Home(key string) router.KeyHome {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	home := int(hash.Sum32()) % len(k.fleet.vms)
	return router.KeyHome{VM: fmt.Sprint("vm-", home), Local: home == k.self, Known: true}
}

func (k *keys) Begin(_ context.Context, key string, _ int) (router.KeyVerdict, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, found := k.known[key]; found {
		return known, nil
	}
	k.known[key] = router.KeyVerdict{Verdict: router.VerdictUnknown}
	return router.KeyVerdict{Verdict: router.VerdictRun}, nil
}

func (k *keys) Finish(key, outcome string, answer []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch router.Outcome(outcome) {
	case router.OutcomeNotRun:
		delete(k.known, key)
	case router.OutcomeOK, router.OutcomeEndpointError:
		k.known[key] = router.KeyVerdict{Verdict: router.VerdictAnswered, Answer: answer}
	}
}

// vm is one entry VM of a fleet.
type vm struct {
	router     *router.Router
	shares     *shares
	connection *grpc.ClientConn
	intercept  func(method string) error
	dead       bool
}

// awaitIdle fails the test if a slot is not released within three seconds.
func (v *vm) awaitIdle(t *testing.T) {
	for range 3000 {
		if v.idle() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("slots of %s were not released: %+v", v.router.VM, v.router.Occupancy())
}

// idle reports whether no slot is in use.
func (v *vm) idle() bool {
	for _, o := range v.router.Occupancy() {
		if o.InFlight != 0 {
			return false
		}
	}
	return true
}

// fleet is a set of entry VMs, connected to each other over gRPC, and their endpoints.
type fleet struct {
	t         *testing.T
	vms       []*vm
	endpoints []*standin.Endpoint
	listed    []publisher.Endpoint
}

// newFleet starts an entry VM in the failure domain "domain" for each number of slots.
func newFleet(t *testing.T, slots ...int) *fleet {
	t.Helper()
	f := &fleet{t: t}
	for i, share := range slots {
		f.vms = append(f.vms, &vm{shares: &shares{slots: share}, intercept: func(string) error { return nil }})
		f.vms[i].router = &router.Router{
			Clock: clockwork.NewRealClock(), VM: fmt.Sprint("vm-", i), FailureDomain: "domain",
			Shares: f.vms[i].shares, Keys: &keys{fleet: f, self: i, known: map[string]router.KeyVerdict{}},
			Peers: peers{fleet: f, self: i}, MaxRequestDuration: maxRequestDuration,
		}
	}
	for _, v := range f.vms {
		f.connect(v)
	}
	return f
}

func (f *fleet) connect(v *vm) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	server := grpc.NewServer(grpc.UnaryInterceptor(func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		answer, err := handle(ctx, request)
		if lost := v.intercept(info.FullMethod); lost != nil {
			return nil, lost
		}
		return answer, err
	}))
	v.router.Register(server)
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(server.Stop)
	v.connection, err = grpc.NewClient(listener.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = v.connection.Close() })
	v.connection.Connect()
	for state := v.connection.GetState(); state != connectivity.Ready; state = v.connection.GetState() {
		v.connection.WaitForStateChange(f.t.Context(), state)
	}
}

// run starts the monitors of all VMs.
func (f *fleet) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, v := range f.vms {
		group.Go(func() { _ = v.router.Run(ctx) })
	}
	f.t.Cleanup(func() { cancel(); group.Wait() })
}

// serve starts an endpoint of the service and adds it to the list of each entry VM.
func (f *fleet) serve(e *standin.Endpoint) *standin.Endpoint {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	address, err := e.Start(ctx, "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.endpoints = append(f.endpoints, e)
	f.listed = append(f.listed, publisher.Endpoint{
		Task: fmt.Sprint("task-", len(f.listed)), Organisation: "stockwerk", Service: "shop", Address: address,
		VM: fmt.Sprint("worker-", len(f.listed)), FailureDomain: "domain", Slots: e.Slots, Connections: 64,
		State: publisher.EndpointReady,
	})
	f.list()
	return e
}

func (f *fleet) list() {
	for _, v := range f.vms {
		v.router.SetEndpoints(f.listed)
	}
	f.t.Cleanup(func() {
		for _, v := range f.vms {
			v.awaitIdle(f.t)
			v.router.SetEndpoints(nil)
		}
	})
}

func (f *fleet) totalRuns() (total int) {
	for _, e := range f.endpoints {
		total += e.Total()
	}
	return total
}

func (f *fleet) runsOf(key string) (runs int) {
	for _, e := range f.endpoints {
		runs += e.Ran(key)
	}
	return runs
}

// peers implements router.Peers with the other VMs of a fleet.
type peers struct {
	fleet *fleet
	self  int
}

func (p peers) Peers() []router.Peer {
	var all []router.Peer
	for i, v := range p.fleet.vms {
		if i != p.self {
			all = append(all, router.Peer{
				VM: v.router.VM, FailureDomain: v.router.FailureDomain, Alive: !v.dead, Connection: v.connection,
			})
		}
	}
	return all
}

func get(wait time.Duration) router.Request {
	return router.Request{
		Organisation: "stockwerk", Service: "shop", Method: http.MethodGet, Path: "/fit",
		Idempotent: true, Deadline: time.Now().Add(wait),
	}
}

func order(key string, attempt int, wait time.Duration) router.Request {
	request := get(wait)
	request.Method, request.Path, request.Idempotent = http.MethodPost, "/order", false
	request.Key, request.Attempt, request.Body = key, attempt, []byte("order "+key)
	return request
}

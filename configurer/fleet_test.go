package configurer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"zinniashore.example/configurer"
	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
	"zinniashore.example/standin"
)

// faultyStore injects faults between one process and the store.
type faultyStore struct {
	keeper.Store

	mu        sync.Mutex
	cut       bool
	thawed    chan struct{} // closed unless frozen
	slow      time.Duration
	skipWatch bool
	random    *rand.Rand
}

var errCut = &keeper.UnavailableError{Operation: "cut", Err: errors.New("cut off")}

// applyFaults delays a call while the store is slow or the process is frozen, and fails
// the call while the process is cut off.
func (g *faultyStore) applyFaults(ctx context.Context) error {
	g.mu.Lock()
	thawed, cut, pause := g.thawed, g.cut, time.Duration(0)
	if g.slow > 0 {
		pause = time.Duration(g.random.Int64N(int64(g.slow)))
	}
	g.mu.Unlock()
	time.Sleep(pause)
	if cut {
		return errCut
	}
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *faultyStore) set(change func(g *faultyStore)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g)
}

func (g *faultyStore) freeze() func() {
	thawed := make(chan struct{})
	g.set(func(g *faultyStore) { g.thawed = thawed })
	return func() { close(thawed) }
}

func (g *faultyStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if err := g.applyFaults(ctx); err != nil {
		return keeper.Entry{}, err
	}
	entry, err := g.Store.Get(ctx, key)
	return entry, errors.Join(err, g.applyFaults(ctx))
}

func (g *faultyStore) Swap(ctx context.Context, key string, expected int64, value []byte, lease keeper.LeaseID) (int64, error) {
	if err := g.applyFaults(ctx); err != nil {
		return 0, err
	}
	version, err := g.Store.Swap(ctx, key, expected, value, lease)
	if late := g.applyFaults(ctx); late != nil {
		return 0, &keeper.UnclearError{Operation: "swap", Err: late}
	}
	return version, err
}

func (g *faultyStore) List(ctx context.Context, prefix string) (keeper.Listing, error) {
	if err := g.applyFaults(ctx); err != nil {
		return keeper.Listing{}, err
	}
	return g.Store.List(ctx, prefix)
}

func (g *faultyStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (keeper.Changes, error) {
	if err := g.applyFaults(ctx); err != nil {
		return keeper.Changes{}, err
	}
	changes, err := g.Store.Watch(ctx, prefix, after, min(wait, time.Second))
	if late := g.applyFaults(ctx); late != nil {
		return keeper.Changes{}, late
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.skipWatch {
		changes.Items = nil
	}
	return changes, err
}

// process is one incarnation of an entry VM's process.
type process struct {
	*configurer.Configurer

	store  *faultyStore
	cancel context.CancelFunc
	done   chan error
}

func (p *process) kill() {
	p.cancel()
	<-p.done
}

// fleet is a stand-in store and the processes of the entry VMs that use it.
type fleet struct {
	t       testing.TB
	store   *standin.Store
	address string
	clock   clockwork.Clock
	domains []string

	mu          sync.Mutex
	incarnation int
	processes   map[string]*process
	servers     map[string]*grpc.ClientConn
}

func newFleet(t testing.TB, clock clockwork.Clock, domains ...string) *fleet {
	f := &fleet{t: t, store: &standin.Store{}, clock: clock, domains: domains}
	f.processes, f.servers = map[string]*process{}, map[string]*grpc.ClientConn{}
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", f.store)
	if err != nil {
		t.Fatal(err)
	}
	f.address = address
	return f
}

// Peers implements configurer.Peers.
func (f *fleet) Peers() []configurer.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []configurer.Peer
	for vm, connection := range f.servers {
		peers = append(peers, configurer.Peer{VM: vm, FailureDomain: f.processes[vm].FailureDomain, Alive: true, Connection: connection})
	}
	return peers
}

func newFaultyStore(address string, seed uint64) *faultyStore {
	thawed := make(chan struct{})
	close(thawed)
	return &faultyStore{Store: keeper.NewClient(address), thawed: thawed, random: rand.New(rand.NewPCG(seed, 1))}
}

// start starts a process on a VM. The process replaces any earlier one on the VM.
func (f *fleet) start(vm, domain string, prepare func(g *faultyStore)) *process {
	f.mu.Lock()
	f.incarnation++
	id := fmt.Sprintf("%s-%d", vm, f.incarnation)
	g := newFaultyStore(f.address, uint64(f.incarnation))
	f.mu.Unlock()
	prepare(g)
	mirror := &keeper.Mirror{Store: g, Clock: f.clock, Prefix: keeper.WatchedPrefix}
	p := &process{store: g, done: make(chan error, 1), Configurer: &configurer.Configurer{
		Clock: f.clock, Keeper: &keeper.Keeper{Store: g, Clock: f.clock, Writer: id}, Mirror: mirror,
		Recorder: &recorder.Recorder{Clock: f.clock, Process: id}, Metrics: tally.NoopScope,
		Process: id, VM: vm, FailureDomain: domain, FailureDomains: f.domains, Peers: f,
		ConfirmWait: 2 * time.Second,
	}}
	p.Follow()
	ctx, cancel := context.WithCancel(f.t.Context())
	p.cancel = cancel
	connection := f.serve(ctx, p)
	f.mu.Lock()
	f.processes[vm], f.servers[vm] = p, connection
	f.mu.Unlock()
	go func() { _ = mirror.Run(ctx) }()
	go func() { p.done <- p.Run(ctx) }()
	return p
}

func (f *fleet) serve(ctx context.Context, p *process) *grpc.ClientConn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	server := grpc.NewServer()
	p.Register(server)
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, server.Stop)
	connection, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = connection.Close() })
	return connection
}

func (f *fleet) process(vm string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[vm]
}

// eventually waits until a condition holds and fails the test if it does not in time.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s: condition not met in time", what)
}

func noFaults(*faultyStore) {}

// fastClock returns a clock that runs faster than the wall clock by the given factor.
func fastClock(t testing.TB, factor int) *clockwork.FakeClock {
	const tick = 2 * time.Millisecond
	clock := clockwork.NewFakeClock()
	stopped := make(chan struct{})
	t.Cleanup(func() { close(stopped) })
	go func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(tick):
				clock.Advance(time.Duration(factor) * tick)
			}
		}
	}()
	return clock
}

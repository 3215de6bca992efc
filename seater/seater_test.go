package seater

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"

	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
	"zinniashore.example/seater/seaterpb"
	"zinniashore.example/standin"
)

const (
	testSlots      = 8
	waitLimit      = 20 * time.Second
	testBeat       = 40 * time.Millisecond
	testTTL        = 400 * time.Millisecond
	testPromise    = 300 * time.Millisecond
	testMaxRequest = 150 * time.Millisecond
	testMargin     = 20 * time.Millisecond
)

var realClock = clockwork.NewRealClock()

// node is one entry VM on the loopback interface.
type node struct {
	*Seater
	stop func()
}

// startNode starts an entry VM of a domain against a store.
func startNode(t *testing.T, store, vm, domain string, domains []string) *node {
	t.Helper()
	return startNodeBehind(t, store, vm, domain, domains, func(address string) string { return address })
}

// startNodeBehind starts an entry VM that registers another address than the one it
// listens on.
func startNodeBehind(t *testing.T, store, vm, domain string, domains []string, publish func(string) string) *node {
	t.Helper()
	const incarnation = "1"
	ctx, cancel := context.WithCancel(t.Context())
	clock := realClock
	client := keeper.NewClient(store)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	process := vm + "/" + incarnation
	s := &Seater{
		Clock:   clock,
		Keeper:  &keeper.Keeper{Store: client, Clock: clock, Writer: process},
		Session: &keeper.Session{Store: client, Clock: clock, Process: process, TTL: testTTL, Renewal: testTTL / 4, DriftMargin: testMargin},
		Mirror:  &keeper.Mirror{Store: client, Clock: clock, Prefix: keeper.WatchedPrefix},
		Recorder: &recorder.Recorder{
			Clock: clock, Process: process, FailureDomain: domain,
		},
		VM: vm, Incarnation: incarnation, FailureDomain: domain, Address: publish(listener.Addr().String()),
		FailureDomains: domains, Seats: 3,
		PromiseLength: testPromise, MaxRequestDuration: testMaxRequest, Heartbeat: testBeat, DriftMargin: testMargin,
	}
	server := grpc.NewServer()
	s.Register(server)
	var running sync.WaitGroup
	for _, run := range []func(context.Context) error{s.Session.Run, s.Mirror.Run, s.Run} {
		running.Go(func() { _ = run(ctx) })
	}
	running.Go(func() { _ = server.Serve(listener) })
	stop := func() {
		cancel()
		server.Stop()
		running.Wait()
	}
	t.Cleanup(stop)
	return &node{Seater: s, stop: stop}
}

func startStore(t *testing.T) (*standin.Store, string) {
	t.Helper()
	store := &standin.Store{}
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	return store, address
}

// eventually waits for a state that must be reached within waitLimit.
func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(testBeat / 4) {
		if reached() {
			return
		}
	}
	t.Fatalf("never reached: %s", what)
}

func TestSeatsSpreadAndFollowTheLiving(t *testing.T) {
	t.Parallel()
	store, address := startStore(t)
	domains := []string{"graz-a", "graz-b"}
	var nodes []*node
	for i := range 3 {
		nodes = append(nodes, startNode(t, address, fmt.Sprintf("vm-%d", i), "graz-a", domains))
	}
	spread := func(want ...int) func() bool {
		return func() bool {
			for i, n := range want {
				if held, _ := nodes[i].usable(); len(held) != n {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "one seat each", spread(1, 1, 1))
	eventually(t, "guards by promise", func() bool {
		known := nodes[0].Status().Rosters[0]
		return !slices.ContainsFunc(known.Members, func(e MemberRecord) bool { return e.Guard != GuardPromise })
	})
	if sum := nodes[0].Share(testSlots) + nodes[1].Share(testSlots) + nodes[2].Share(testSlots); sum != testSlots {
		t.Errorf("shares add up to %d, want %d", sum, testSlots)
	}
	store.SetFaults(standin.StoreFaults{Outage: true})
	time.Sleep(2 * testTTL)
	eventually(t, "seats kept through the outage", spread(1, 1, 1))
	store.SetFaults(standin.StoreFaults{})
	eventually(t, "sessions after the outage", func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool { return !n.Session.Valid() })
	})
	nodes[2].stop()
	eventually(t, "seats of the stopped VM taken over", func() bool {
		a, _ := nodes[0].usable()
		b, _ := nodes[1].usable()
		return len(a)+len(b) == 3
	})
	if err := nodes[1].Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all seats at the last VM", func() bool { return nodes[0].Share(testSlots) == testSlots })
}

// TestPairGoesOnByItsWitness checks two entry VMs of a failure domain that have a
// witness: if one dies during an outage of the store, the other keeps its seats, and
// takes over the seats of the dead one afterwards without an operator.
func TestPairGoesOnByItsWitness(t *testing.T) {
	t.Parallel()
	store, address := startStore(t)
	domains := []string{"curepipe", "vacoas"}
	survivor := startNode(t, address, "vm-0", "curepipe", domains)
	other := startNode(t, address, "vm-1", "curepipe", domains)
	startNode(t, address, "vm-2", "vacoas", domains)
	eventually(t, "a witness, and guards by promise", func() bool {
		known := survivor.Status().Rosters[0]
		byRelease := slices.ContainsFunc(known.Members, func(e MemberRecord) bool { return e.Guard != GuardPromise })
		return len(known.Members) == 3 && !byRelease
	})
	eventually(t, "seats of both", func() bool { return survivor.Share(testSlots)+other.Share(testSlots) == testSlots })
	share := survivor.Share(testSlots)
	store.SetFaults(standin.StoreFaults{Outage: true})
	other.stop()
	time.Sleep(2 * (testTTL + testPromise))
	eventually(t, "the survivor keeps its seats", func() bool { return survivor.Share(testSlots) == share })
	store.SetFaults(standin.StoreFaults{})
	eventually(t, "all seats at the survivor", func() bool { return survivor.Share(testSlots) == testSlots })
}

// TestOperatorReleasesADeadVM checks that the seats of a dead VM wait for the operator
// if no member can distinguish it from one that is cut off, and that a release is
// refused while the session of the VM exists.
func TestOperatorReleasesADeadVM(t *testing.T) {
	t.Parallel()
	_, address := startStore(t)
	domains := []string{"graz-a"}
	survivor := startNode(t, address, "vm-0", "graz-a", domains)
	dead := startNode(t, address, "vm-1", "graz-a", domains)
	eventually(t, "seats of both", func() bool { return survivor.Share(testSlots)+dead.Share(testSlots) == testSlots })
	eventually(t, "guards by release", func() bool {
		members := survivor.Status().Rosters[0].Members
		return len(members) == 2 && members[0].Guard == GuardRelease && members[1].Guard == GuardRelease
	})
	var alive *AliveError
	if err := survivor.Release(t.Context(), "vm-1"); !errors.As(err, &alive) {
		t.Errorf("release of a live VM: %v", err)
	}
	dead.stop()
	share := survivor.Share(testSlots)
	time.Sleep(2 * (testTTL + testPromise + testMaxRequest))
	if got := survivor.Share(testSlots); got > share {
		t.Errorf("took over seats without a release: %d slots, had %d", got, share)
	}
	eventually(t, "release", func() bool { return survivor.Release(t.Context(), "vm-1") == nil })
	eventually(t, "all seats at the survivor", func() bool { return survivor.Share(testSlots) == testSlots })
}

// blackholeProxy forwards connections. From a call of dropOpen on, it drops what
// arrives on the connections that were open then.
type blackholeProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	dropped  []*atomic.Bool
	accepted int
}

func (s *blackholeProxy) serve(t *testing.T) {
	for {
		client, err := s.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		dropping := &atomic.Bool{}
		s.mu.Lock()
		s.dropped = append(s.dropped, dropping)
		s.accepted++
		s.mu.Unlock()
		t.Cleanup(func() { _, _ = client.Close(), server.Close() })
		go forward(client, server, dropping)
		go forward(server, client, dropping)
	}
}

func forward(from, to net.Conn, dropping *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if !dropping.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

func (s *blackholeProxy) dropOpen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, connection := range s.dropped {
		connection.Store(true)
	}
	return s.accepted
}

// TestSilentConnectionIsReplaced checks that a member whose open connections all drop
// what they receive is reached by a new connection and stays a member.
func TestSilentConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	_, address := startStore(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &blackholeProxy{listener: listener}
	domains := []string{"graz-a"}
	startNodeBehind(t, address, "vm-0", "graz-a", domains, func(target string) string {
		proxy.target = target
		return listener.Addr().String()
	})
	go proxy.serve(t)
	t.Cleanup(func() { _ = listener.Close() })
	peer := startNode(t, address, "vm-1", "graz-a", domains)
	answers := func() bool {
		for _, m := range peer.Members() {
			if m.VM != "vm-0" || !m.Alive || m.Connection == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(t.Context(), testBeat)
			defer cancel()
			_, err := seaterpb.NewSeaterClient(m.Connection).Beat(ctx, &seaterpb.BeatRequest{})
			return err == nil
		}
		return false
	}
	eventually(t, "the member answers", answers)
	before := proxy.dropOpen()
	eventually(t, "a new connection", func() bool {
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		return proxy.accepted > before
	})
	eventually(t, "the member answers again", answers)
}

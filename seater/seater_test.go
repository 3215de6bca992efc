package seater

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"

	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
	"zinniashore.example/standin"
)

const (
	testSlots   = 8
	waitLimit   = 20 * time.Second
	testBeat    = 40 * time.Millisecond
	testTTL     = 400 * time.Millisecond
	testPromise = 300 * time.Millisecond
	testLongest = 150 * time.Millisecond
	testMargin  = 20 * time.Millisecond
)

// node is one entry VM on the loopback.
type node struct {
	*Seater
	stop func()
}

// startNode starts an entry VM of a domain against a store.
func startNode(t *testing.T, store, vm, incarnation, domain string, domains []string) *node {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	clock := clockwork.NewRealClock()
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
		VM: vm, Incarnation: incarnation, FailureDomain: domain, Address: listener.Addr().String(),
		FailureDomains: domains, Seats: 3,
		PromiseLength: testPromise, LongestRequest: testLongest, Heartbeat: testBeat, DriftMargin: testMargin,
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

// eventually waits for a state that has to come.
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
	store := &standin.Store{}
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	domains := []string{"graz-a", "graz-b"}
	var nodes []*node
	for i := range 3 {
		nodes = append(nodes, startNode(t, address, fmt.Sprintf("vm-%d", i), "1", "graz-a", domains))
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
		return !slices.ContainsFunc(known.Members, func(e Entrant) bool { return e.Guard != GuardPromise })
	})
	if sum := nodes[0].Share(testSlots) + nodes[1].Share(testSlots) + nodes[2].Share(testSlots); sum != testSlots {
		t.Errorf("shares add up to %d, want %d", sum, testSlots)
	}
	store.SetFaults(standin.StoreFaults{Outage: true})
	time.Sleep(2 * testTTL)
	if !spread(1, 1, 1)() {
		t.Errorf("seats lost during the outage: %+v", nodes[0].Status())
	}
	store.SetFaults(standin.StoreFaults{})
	nodes[2].stop()
	eventually(t, "seats of the dead taken over", func() bool {
		a, _ := nodes[0].usable()
		b, _ := nodes[1].usable()
		return len(a)+len(b) == 3
	})
	if err := nodes[1].Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all seats at the last", func() bool { return nodes[0].Share(testSlots) == testSlots })
}

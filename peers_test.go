package zinniashore

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"zinniashore.example/configurer"
	"zinniashore.example/keeper"
	"zinniashore.example/lister"
	"zinniashore.example/recorder"
	"zinniashore.example/standin"
)

// noPeers is the peer list of a process that has read nothing from the store.
type noPeers struct{}

func (noPeers) Peers() []configurer.Peer { return nil }

func testConfigurer(vm, store string, peers configurer.Peers) *configurer.Configurer {
	clock := clockwork.NewRealClock()
	return &configurer.Configurer{
		Clock: clock, Keeper: &keeper.Keeper{Store: keeper.NewClient(store), Clock: clock, Writer: vm},
		Recorder: &recorder.Recorder{Clock: clock}, Metrics: tally.NoopScope,
		Process: vm, VM: vm, FailureDomain: "graz-a", FailureDomains: []string{"graz-a"}, Peers: peers,
	}
}

func becomesReady(c *configurer.Configurer) bool {
	for range 1000 {
		if c.Ready() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// TestStartWithoutStore checks that a process that starts while the store is down reads
// the configuration from an entry VM on the platform's list.
func TestStartWithoutStore(t *testing.T) {
	store := &standin.Store{}
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first := testConfigurer("first", address, nil)
	go func() { _ = first.Run(ctx) }()
	if !becomesReady(first) {
		t.Fatal("the first process is not ready")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	first.Register(server)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	store.SetFaults(standin.StoreFaults{Outage: true})
	listed := &listedPeers{known: noPeers{}, failureDomain: "graz-a", vms: func() []lister.VM {
		return []lister.VM{
			{ID: "worker", Role: lister.RoleWorker, FailureDomain: "graz-a", Address: "127.0.0.1:1"},
			{ID: "first", Role: lister.RoleEntry, FailureDomain: "graz-a", Address: listener.Addr().String()},
		}
	}}
	defer listed.close()
	second := testConfigurer("second", address, listed)
	go func() { _ = second.Run(ctx) }()
	if !becomesReady(second) {
		t.Error("the second process did not read the configuration from the listed one")
	}
}

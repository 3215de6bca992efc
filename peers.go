package zinniashore

import (
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"k8s.io/klog/v2"

	"zinniashore.example/configurer"
	"zinniashore.example/lister"
)

// listedPeers adds the entry VMs on the platform's list to the peers that are known from
// the store, so that a process that starts while the store is down finds a peer. The
// list holds the address at which an entry VM serves its peers.
type listedPeers struct {
	known         configurer.Peers
	vms           func() []lister.VM
	failureDomain string

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

// Peers implements configurer.Peers.
func (l *listedPeers) Peers() []configurer.Peer {
	peers := l.known.Peers()
	known := map[string]bool{}
	for _, p := range peers {
		known[p.VM] = p.Connection != nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, vm := range l.vms() {
		if vm.Role != lister.RoleEntry || vm.FailureDomain != l.failureDomain || known[vm.ID] {
			continue
		}
		if connection := l.connection(vm.Address); connection != nil {
			peers = append(peers, configurer.Peer{VM: vm.ID, FailureDomain: vm.FailureDomain, Connection: connection})
		}
	}
	return peers
}

// connection returns the connection to an address. The caller must hold mu.
func (l *listedPeers) connection(address string) *grpc.ClientConn {
	if connection, found := l.connections[address]; found {
		return connection
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry())
	if err != nil {
		klog.ErrorS(err, "Creating a connection to a listed peer failed", "address", address)
		return nil
	}
	if l.connections == nil {
		l.connections = map[string]*grpc.ClientConn{}
	}
	l.connections[address] = connection
	return connection
}

// close closes all connections.
func (l *listedPeers) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, connection := range l.connections {
		_ = connection.Close()
		delete(l.connections, address)
	}
}

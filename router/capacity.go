package router

import (
	"context"
	"sync"
	"time"

	"zinniashore.example/router/routerpb"
)

// maxCapacityAge is the age at which a reported capacity expires.
const maxCapacityAge = 3 * time.Second

type capacityKey struct {
	vm      string
	service serviceName
}

// peerCapacity is the free capacity of a peer for a service, as the peer last reported
// it, less the requests forwarded since.
type peerCapacity struct {
	freeSlots  int
	receivedAt time.Time
}

func (r *Router) freeSlotsAt(vm string, name serviceName, now time.Time) int {
	known := r.capacities[capacityKey{vm: vm, service: name}]
	if now.Sub(known.receivedAt) > maxCapacityAge {
		return 0
	}
	return known.freeSlots
}

func (r *Router) recordCapacity(vm string, message *routerpb.Room) {
	if message == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name := serviceName{organisation: message.GetOrganisation(), service: message.GetService()}
	r.capacities[capacityKey{vm: vm, service: name}] = peerCapacity{freeSlots: int(message.GetFree()), receivedAt: r.Clock.Now()}
}

func (r *Router) capacityMessage(name serviceName) *routerpb.Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.encodeCapacity(name)
}

func (r *Router) encodeCapacity(name serviceName) *routerpb.Room {
	message := &routerpb.Room{Organisation: name.organisation, Service: name.service}
	if p := r.pools[name]; p != nil && !r.draining {
		message.Free = int64(max(p.freeSlots(r.Shares, r.Clock.Now())-r.limiter.Waiting(name.queueName()), 0))
	}
	return message
}

// Report implements routerpb.ForwardServer.
func (s *forwardServer) Report(_ context.Context, message *routerpb.ReportRequest) (*routerpb.ReportAnswer, error) {
	r := s.router
	r.observeTimestamp(message.GetTime())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	answer := &routerpb.ReportAnswer{Vm: r.VM, Draining: r.draining, Time: r.timestamp()}
	for name, p := range r.pools {
		if len(p.endpoints) > 0 {
			answer.Rooms = append(answer.Rooms, r.encodeCapacity(name))
		}
	}
	return answer, nil
}

// pollPeers requests the free capacity of the peers in the same failure domain, or of
// all peers if all is true.
func (r *Router) pollPeers(ctx context.Context, all bool) {
	var group sync.WaitGroup
	for _, peer := range r.peers() {
		if peer.ready() && (all || peer.FailureDomain == r.FailureDomain) {
			group.Go(func() { r.pollPeer(ctx, peer) })
		}
	}
	group.Wait()
}

func (r *Router) pollPeer(ctx context.Context, peer Peer) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	message := &routerpb.ReportRequest{From: r.VM, Time: r.timestamp()}
	answer, err := routerpb.NewForwardClient(peer.Connection).Report(ctx, message)
	if err != nil {
		return
	}
	r.observeTimestamp(answer.GetTime())
	for _, capacity := range answer.GetRooms() {
		r.recordCapacity(peer.VM, capacity)
	}
}

package recorder

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"zinniashore.example/recorder/recorderpb"
)

const collectTimeout = 2 * time.Second

// Peers provides the other processes.
type Peers interface {
	// Peers returns the known processes, whether reachable or not.
	Peers() []Peer
}

// Peer is another process.
type Peer struct {
	// Name names the process for the operator.
	Name string
	// Connection is the connection to the process. It may be nil.
	Connection grpc.ClientConnInterface
}

// TimeLine holds the events of several processes.
type TimeLine struct {
	// Events are in causal order.
	Events []Event
	// Unreached names the processes that did not answer, sorted.
	Unreached []string
}

// Collector merges the time lines of all processes that answer. Its exported fields are
// set before the first call.
type Collector struct {
	// Recorder is the recorder of this process.
	Recorder *Recorder
	// Peers provides the other processes. It may be nil.
	Peers Peers
}

// Collect returns the events of all processes that match the filter.
func (c *Collector) Collect(ctx context.Context, filter Filter) TimeLine {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var peers []Peer
	if c.Peers != nil {
		peers = c.Peers.Peers()
	}
	lists := make([][]Event, len(peers)+1)
	reached := make([]bool, len(peers))
	var fetches sync.WaitGroup
	for i, peer := range peers {
		fetches.Go(func() { lists[i], reached[i] = fetchEvents(ctx, peer, filter) })
	}
	lists[len(peers)] = filter.Select(c.Recorder.Events())
	fetches.Wait()
	line := TimeLine{Events: Filter{Limit: filter.Limit}.Select(Merge(lists...))}
	for i, peer := range peers {
		if !reached[i] {
			line.Unreached = append(line.Unreached, peer.Name)
		}
	}
	slices.Sort(line.Unreached)
	return line
}

func fetchEvents(ctx context.Context, peer Peer, filter Filter) ([]Event, bool) {
	if peer.Connection == nil {
		return nil, false
	}
	answer, err := recorderpb.NewTimeLineClient(peer.Connection).Events(ctx, filterRequest(filter))
	if err != nil {
		return nil, false
	}
	events := make([]Event, 0, len(answer.GetEvents()))
	for _, m := range answer.GetEvents() {
		events = append(events, eventFrom(m))
	}
	return events, true
}

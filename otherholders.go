package zinniashore

import (
	"context"

	"zinniashore.example/claimer"
	"zinniashore.example/prober"
	"zinniashore.example/relayer"
)

// otherHolders are the processes that hold the cells of other failure domains.
type otherHolders struct {
	self          string
	failureDomain string
	partition     *sharedPartition
	claimer       *claimer.Claimer
	peers         *relayer.Client
}

var _ prober.Peers = (*otherHolders)(nil)

// ReachStore implements prober.Peers.
func (o *otherHolders) ReachStore(ctx context.Context) (answered, reaching int) {
	cells := o.claimer.Cells()
	answers := make(chan storeStatus, len(cells))
	queried := 0
	for cell, holder := range cells {
		if o.partition.in(cell, o.failureDomain) || holder.Process == o.self {
			continue
		}
		queried++
		go func() {
			status, err := o.peers.PeerStatus(ctx, holder.Address, cell)
			answers <- storeStatus{answered: err == nil, reaching: status.ReachesStore}
		}()
	}
	for range queried {
		answer := <-answers
		if answer.answered {
			answered++
		}
		if answer.reaching {
			reaching++
		}
	}
	return answered, reaching
}

// storeStatus holds whether a peer answered and whether it reaches the store.
type storeStatus struct{ answered, reaching bool }

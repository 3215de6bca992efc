package zinniashore

import (
	"context"

	"zinniashore.example/claimer"
	"zinniashore.example/prober"
	"zinniashore.example/relayer"
)

// otherHolders are the processes that hold the cells of other failure domains.
type otherHolders struct {
	home    string
	claimer *claimer.Claimer
	peers   *relayer.Client
}

var _ prober.Peers = (*otherHolders)(nil)

// ReachStore implements prober.Peers.
func (o *otherHolders) ReachStore(ctx context.Context) (answered, reaching int) {
	cells := o.claimer.Cells()
	answers := make(chan storeAnswer, len(cells))
	asked := 0
	for cell, holder := range cells {
		if cell == o.home {
			continue
		}
		asked++
		go func() {
			standing, err := o.peers.PeerStatus(ctx, holder.Address, cell)
			answers <- storeAnswer{answered: err == nil, reaching: standing.ReachesStore}
		}()
	}
	for range asked {
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

// storeAnswer is a peer's word of the store.
type storeAnswer struct{ answered, reaching bool }

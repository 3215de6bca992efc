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

// anyReachesStore reports whether another process that holds a cell answers that it reaches the store. It reports true if
// no other process is known to hold one.
func (o *otherHolders) anyReachesStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	answers := o.ask(ctx, func(string) bool { return true })
	return answers.Asked == 0 || answers.Reaching > 0
}

// ReachStore implements prober.Peers.
func (o *otherHolders) ReachStore(ctx context.Context) prober.PeerAnswers {
	return o.ask(ctx, func(cell string) bool { return !o.partition.in(cell, o.failureDomain) })
}

// ask asks the other processes that hold one of the cells that meet a condition whether they reach the store.
func (o *otherHolders) ask(ctx context.Context, met func(cell string) bool) prober.PeerAnswers {
	cells := o.claimer.Cells()
	answers := make(chan storeStatus, len(cells))
	var counts prober.PeerAnswers
	for cell, holder := range cells {
		if !met(cell) || holder.Process == o.self {
			continue
		}
		counts.Asked++
		go func() {
			status, err := o.peers.PeerStatus(ctx, holder.Address, cell)
			answers <- storeStatus{answered: err == nil, reaching: status.ReachesStore}
		}()
	}
	for range counts.Asked {
		answer := <-answers
		if answer.answered {
			counts.Answered++
		}
		if answer.reaching {
			counts.Reaching++
		}
	}
	return counts
}

// storeStatus holds whether a peer answered and whether it reaches the store.
type storeStatus struct{ answered, reaching bool }

package holder

import (
	"context"

	"zinniashore.example/claimer"
	"zinniashore.example/prober"
	"zinniashore.example/relayer"
)

// OtherHolders are the processes that hold other cells. Its exported fields are set before the first call.
type OtherHolders struct {
	// Self is the name of this process, and FailureDomain its failure domain.
	Self, FailureDomain string
	Partition           Partition
	Claimer             *claimer.Claimer
	Peers               *relayer.Client
}

var _ prober.Peers = (*OtherHolders)(nil)

// AnyReachesStore reports whether another process that holds a cell answers that it reaches the store. It reports true if
// no other process is known to hold one.
func (o *OtherHolders) AnyReachesStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	answers := o.ask(ctx, func(string) bool { return true })
	return answers.Asked == 0 || answers.Reaching > 0
}

// ReachStore implements prober.Peers. It asks the holders of the cells of other failure domains.
func (o *OtherHolders) ReachStore(ctx context.Context) prober.PeerAnswers {
	return o.ask(ctx, func(cell string) bool { return !o.Partition.In(cell, o.FailureDomain) })
}

// ask asks the other processes that hold one of the cells that meet a condition whether they reach the store.
func (o *OtherHolders) ask(ctx context.Context, met func(cell string) bool) prober.PeerAnswers {
	cells := o.Claimer.Cells()
	answers := make(chan storeStatus, len(cells))
	var counts prober.PeerAnswers
	for cell, holder := range cells {
		if !met(cell) || holder.Process == o.Self {
			continue
		}
		counts.Asked++
		go func() {
			status, err := o.Peers.PeerStatus(ctx, holder.Address, cell)
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

package zinniashore

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/relayer"
)

// yieldTimeout bounds the request to an earlier holder.
const yieldTimeout = 500 * time.Millisecond

// earlierHolders asks the earlier holders of a cell to give it up.
type earlierHolders struct {
	cell  string
	term  claimer.Term
	clock clockwork.Clock
	peers *relayer.Client

	// ended holds the epochs of the holders that have ended, reported is true once one that
	// hasn't was logged. Only Ended uses them, which isn't called concurrently.
	ended    map[int64]bool
	reported bool
	// askedAt is when Ended was first called.
	askedAt time.Time
}

var _ dispatcher.EarlierHolders = (*earlierHolders)(nil)

// describeEarlier names, for logs, the holders of earlier terms that may act on.
func describeEarlier(term claimer.Term) []string {
	var names []string
	for _, e := range term.Earlier {
		names = append(names, fmt.Sprintf("%s (epoch %d)", e.Process, e.Epoch))
	}
	if term.EarlierUnknown {
		names = append(names, "others that aren't known")
	}
	return names
}

// Ended implements dispatcher.EarlierHolders. A holder of a term before that of activeEpoch isn't asked. It may act
// for maxConfirmationAge after that term's holder became active.
func (e *earlierHolders) Ended(ctx context.Context, activeEpoch int64) (time.Time, bool) {
	if e.term.EarlierUnknown {
		return time.Time{}, false
	}
	if e.askedAt.IsZero() {
		e.askedAt = e.clock.Now()
	}
	at := e.term.ClaimedAt
	all := true
	for _, holder := range e.term.Earlier {
		end := e.askedAt.Add(maxConfirmationAge)
		if holder.Epoch >= activeEpoch {
			all = e.holderEnded(ctx, holder) && all
			end = e.clock.Now()
		}
		if end.After(at) {
			at = end
		}
	}
	return at, all
}

// holderEnded reports whether an earlier holder has certainly stopped acting.
func (e *earlierHolders) holderEnded(ctx context.Context, holder claimer.EarlierHolder) bool {
	if e.ended[holder.Epoch] {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	ended, err := e.peers.Yield(ctx, holder.Address, e.cell, holder.Incarnation, e.term.Epoch)
	if ended || !e.reported {
		e.reported = true
		klog.InfoS("Asked an earlier holder to give up the cell", "cell", e.cell, "holder", holder.Process,
			"epoch", holder.Epoch, "ended", ended, "err", err)
	}
	if ended {
		if e.ended == nil {
			e.ended = map[int64]bool{}
		}
		e.ended[holder.Epoch] = true
	}
	return ended
}

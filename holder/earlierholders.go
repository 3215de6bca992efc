package holder

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/historian"
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
	// history tells since when the store has the last write of an earlier holder.
	history *historian.Historian
	// othersReachStore reports whether a holder of another cell reaches the store, unless no other process holds one.
	othersReachStore func(ctx context.Context) bool

	// ended holds the epochs of the holders that have ended, reported is true once one that
	// hasn't was logged. Only Ended uses these, which isn't called concurrently.
	ended    map[int64]bool
	reported bool
	// isolationReported is true once it was logged until when earlier holders may act.
	isolationReported bool
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

// Ended implements dispatcher.EarlierHolders. Holders that don't answer have ended MaxIsolation after their last
// write.
func (e *earlierHolders) Ended(ctx context.Context, records dispatcher.EarlierRecords) (dispatcher.EarlierEnd, bool) {
	if e.term.EarlierUnknown {
		return dispatcher.EarlierEnd{}, false
	}
	if at, ended := e.askAll(ctx, records.ActiveEpoch); ended {
		return dispatcher.EarlierEnd{At: at}, true
	}
	if at, ended := e.isolationEnd(ctx, records.LastWrite); ended {
		return dispatcher.EarlierEnd{At: at, LeasesExpired: true}, true
	}
	return dispatcher.EarlierEnd{}, false
}

// askAll asks the earlier holders whether they have ended, and returns a time by which all have. A holder of a term
// before that of activeEpoch isn't asked. It may act for maxConfirmationAge after that term's holder became active.
func (e *earlierHolders) askAll(ctx context.Context, activeEpoch int64) (time.Time, bool) {
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

// isolationEnd returns when all earlier holders have stopped acting and their leases have expired, and whether that time
// has passed. It follows from the newest write of any of them, or from the last outage of the store, in which they need
// none. Another process has to reach the store too: this one may be partitioned from all others.
func (e *earlierHolders) isolationEnd(ctx context.Context, lastWrite int64) (time.Time, bool) {
	isolation := e.term.EarlierIsolation()
	if isolation == 0 {
		return time.Time{}, false
	}
	for _, holder := range e.term.Earlier {
		lastWrite = max(lastWrite, holder.Epoch)
	}
	since, known := e.history.Since(lastWrite)
	if !known {
		return time.Time{}, false
	}
	end := dispatcher.IsolationEnd(since, isolation)
	if now := e.clock.Now(); now.Before(end) {
		e.reportIsolation(lastWrite, since, end.Sub(now))
		return time.Time{}, false
	}
	if !e.othersReachStore(ctx) {
		return time.Time{}, false
	}
	klog.InfoS("Earlier holders of the cell have ended, as their last write is old", "cell", e.cell,
		"lastWrite", lastWrite, "for", e.clock.Since(since))
	return end, true
}

// reportIsolation logs once until when the earlier holders may act.
func (e *earlierHolders) reportIsolation(lastWrite int64, since time.Time, left time.Duration) {
	if e.isolationReported {
		return
	}
	e.isolationReported = true
	klog.InfoS("Earlier holders of the cell that don't answer may act for a while", "cell", e.cell,
		"lastWrite", lastWrite, "for", e.clock.Since(since), "left", left)
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

package dispatcher

import (
	"fmt"

	"zinniashore.example/fencer"
	"zinniashore.example/recorder"
)

// RevisionProven records that a write of the holder has got a revision of the store on condition of its term. Each later
// term begins at a higher revision, so that fencing tokens up to this one are below those of all later holders.
func (c *Cell) RevisionProven(revision int64) {
	c.provenRevision = max(c.provenRevision, revision)
	c.needsRevision = false
}

// newFence returns the state of the fencing tokens of a worker that the cell doesn't know. It may have forgotten it.
func (c *Cell) newFence() fencer.Fence {
	if c.forgottenToken > 0 {
		return fencer.After(c.forgottenToken)
	}
	return fencer.New(c.Epoch)
}

// raiseFence returns the fencing token for a poll that changes nothing. If its answer comes from a life of the worker, that life
// executes no earlier start, lease or acknowledgement any more. Without a proven revision that is left the token isn't raised.
func (c *Cell) raiseFence(w *worker) int64 {
	if !w.fence.Raise(c.provenRevision) {
		c.needsRevision = true
	}
	return w.fence.Token()
}

// established reports whether the worker's present life executes no start, lease or acknowledgement for an earlier one.
func (w *worker) established() bool { return w.fence.Established(w.boot) }

// handleFenced handles that a worker has seen a higher token than that of an order. It reports whether that is a newer holder's:
// only such a one has a token above the newest that this holder has chosen for the worker.
func (c *Cell) handleFenced(w *worker, token int64) bool {
	if token < w.fence.Token() {
		return false
	}
	c.superseded = true
	c.record(recorder.Event{Kind: KindCell, VM: w.registration.ID, Detail: fmt.Sprintf("the worker has seen a token above %d", token)})
	return true
}

// reportForgottenEnds records ends of a worker that it no longer lists although this holder hasn't acknowledged them: it has
// executed an acknowledgement of another holder, or one for its former life.
func (c *Cell) reportForgottenEnds(w *worker, listing Listing) {
	rows := listing.Ended
	if len(rows) == 0 || rows[0].Number <= w.lastEnd+1 || w.restored || listing.Incomplete {
		return
	}
	c.record(recorder.Event{
		Kind: KindEndsForgotten, VM: w.registration.ID,
		Detail: fmt.Sprintf("lists ends from %d on, %d was the last one before", rows[0].Number, w.lastEnd),
	})
}

// noteFence records that a life of the worker has answered a poll that changes nothing, with a fencing token.
func (c *Cell) noteFence(w *worker, token, boot int64) {
	w.fence.Answered(token, boot)
	if token > w.unresolvedToken {
		w.unresolvedToken = 0
	}
}

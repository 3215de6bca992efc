package dispatcher

import "time"

// fullPercent is the throttle level of a run that isn't throttled, and the progress of
// a long-running task that serves, in percent.
const fullPercent = 100

// NextPoll returns the next poll of a worker, and whether the worker is known. The
// lease of a worker that has been unresponsive isn't extended, so that it can expire.
// A worker that didn't answer the last poll may have restarted under its id and counts
// its clock and its ends anew, so it gets no acknowledgement and no lease before it has
// answered again, at once; any other poll names the boot that answered.
func (c *Cell) NextPoll(now time.Time, id string) (PollOrder, bool) {
	w, known := c.workers[id]
	if !known {
		return PollOrder{}, false
	}
	order := PollOrder{Worker: w.registration}
	if w.epochAccepted && w.boot != 0 && w.established() && w.unresolvedToken == 0 && w.answeredAt.After(w.unansweredAt) {
		order.Boot = w.boot
		order.Acknowledged = w.acknowledgeable(now)
		order.Epoch = w.fence.Grant()
	} else {
		order.Epoch = c.raiseFence(w)
		order.Urgent = now.Before(w.lateStartsUntil)
	}
	if order.Boot != 0 && c.mayAct(now) && w.responsive(now) {
		order.LeaseEnd = c.extendLease(now, w)
	}
	if w.epochAccepted && w.lastEnd == w.acknowledgedEnd && len(w.heldEnds) == 0 && w.answeredAt.After(w.unansweredAt) {
		order.Wait = c.pollWait(now)
	}
	return order, true
}

// pollWait returns how long a worker may wait for a run to end before it answers a poll. Leases count from the
// answers of the workers while the store doesn't confirm the holder, so they answer sooner then.
func (c *Cell) pollWait(now time.Time) time.Duration {
	if now.Sub(c.termCheckedAt) > 2*c.Limits.FullLeaseAge {
		return c.Limits.PollWait / 2
	}
	return c.Limits.PollWait
}

// extendLease returns a new lease end on the worker's clock and records it.
func (c *Cell) extendLease(now time.Time, w *worker) time.Duration {
	end := w.minClock(now) + c.leaseDuration(now)
	w.leaseEnd = max(w.leaseEnd, end)
	w.grantedAt = now
	return end
}

// HandlePollAnswer applies the outcome of a poll that was sent at the time sent.
func (c *Cell) HandlePollAnswer(now, sent time.Time, order PollOrder, listing Listing, answer Answer) {
	w, known := c.workers[order.Worker.ID]
	if !known || w.registration.Address != order.Worker.Address {
		return
	}
	if answer == AnswerFenced && !c.handleFenced(w, order.Epoch) {
		return
	}
	if answer != AnswerAccepted {
		c.handleUnansweredPoll(now, sent, w, answer)
		return
	}
	w.connectionRefused, w.addressTaken = false, false
	if listing.Boot != 0 && listing.Boot != w.boot {
		if !sent.After(w.bootSince) {
			c.handleEarlierBoot(now, w, listing.Ended)
			return
		}
		c.setBoot(now, w, listing.Boot)
	}
	if order.Boot == 0 && (listing.Boot != 0 || w.boot == 0) {
		c.noteFence(w, order.Epoch, listing.Boot)
	}
	c.handleListing(now, sent, w, order.Epoch, listing)
}

// handleUnansweredPoll applies a poll that the worker hasn't accepted.
func (c *Cell) handleUnansweredPoll(now, sent time.Time, w *worker, answer Answer) {
	if answer == AnswerConnectionRefused && !sent.Before(w.answeredAt) {
		w.connectionRefused = true
		c.noteCrash(now, w)
	}
	if answer == AnswerRestarted && !sent.Before(w.answeredAt) {
		w.addressTaken = true
	}
	if sent.After(w.unansweredAt) {
		w.unansweredAt = sent
	}
}

// handleListing applies a listing of the present boot of a worker, which has answered a poll with a fencing token.
func (c *Cell) handleListing(now, sent time.Time, w *worker, token int64, listing Listing) {
	c.observeEnds(now, w, listing)
	listedAt := w.latestTime(now, listing.Clock)
	if listing.Clock >= w.clock || !w.epochAccepted {
		w.clock = listing.Clock
		w.clockAt = now
	}
	if !w.epochAccepted {
		w.leaseEnd = max(w.leaseEnd, listing.Clock+c.Limits.LeaseDuration, c.formerLeaseEnd(w))
		w.noteBoot(now.Add(-listing.Clock))
	}
	w.epochAccepted = true
	w.expiredYoung = nil
	if sent.After(w.answeredAt) && sent.After(c.resumedAt) {
		w.answeredAt, w.heardAt = sent, now
	}
	w.listedIncompletely = listing.Incomplete
	w.endsListed = w.endsListed || !listing.MoreEnds && !listing.Incomplete
	c.handleEnds(now, w, listing)
	c.handleRunning(now, sent, listedAt, w, token, listing)
	c.observeTails(now, w)
	c.activate(now)
}

// handleEarlierBoot applies a late answer of an earlier boot of a worker. What it lists as active
// may have ended since, but what was done is done.
func (c *Cell) handleEarlierBoot(now time.Time, w *worker, rows []EndedRow) {
	for _, row := range rows {
		t := c.task(now, row.Task)
		if t == nil || row.Ending != EndingDone {
			continue
		}
		c.recordEnd(w, row)
		c.taskDone(now, t)
	}
}

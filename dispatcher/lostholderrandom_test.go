package dispatcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// maxActivation is how long after the loss of a holder, or the return of the store if that was silent, the next
	// one is active at the latest. It claims the cell a little before.
	maxActivation = maxTakeover
	claimToActive = 200 * time.Millisecond
	// placementTime is how long a task that no longer waits takes to start at most.
	placementTime = 300 * time.Millisecond
)

// timeWithoutRun returns how long after the loss of a holder, or the return of the store, a long-running task may have no
// run while workers have capacity for it.
func timeWithoutRun() time.Duration {
	lease := time.Duration(float64(limits.LeaseDuration) / 0.98)
	return maxActivation + limits.FullLeaseAge + lease + placementTime
}

// TestRandomLostHolder guards against long-running tasks that wait for longer than the leases of a lost holder last: it
// is lost for good while workers leave without a trace and the store may be away.
func TestRandomLostHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(5, 9).Draw(t, "workers")
		n := newNetwork(workers, rapid.Uint64().Draw(t, "seed"))
		n.slow = float64(rapid.IntRange(0, 10).Draw(t, "slow")) / 10
		n.advance(300 * time.Millisecond)
		for i := range rapid.IntRange(1, 3).Draw(t, "jobs") {
			n.submit(longRunningJob(fmt.Sprintf("%016x", 0xe0+i), rapid.IntRange(1, 3).Draw(t, "count"), 500))
		}
		n.moveJob(t, "short", fmt.Sprintf("%016x", 0xf0))
		n.advance(drawSpan(t, "before", 10, 60))
		n.calm = true
		n.advance(drawSpan(t, "calm before", 0, 20))
		lostAt := n.loseHolder(t, rapid.IntRange(1, (workers-1)/2).Draw(t, "vanishing"))
		n.advance(drawSpan(t, "takeover", 25, int((maxActivation-claimToActive)/(100*time.Millisecond))))
		n.addHolder()
		n.advance(timeWithoutRun() - n.now.Sub(lostAt))
		n.requireKept(t)
		if waiting := n.waiting(); len(waiting) > 0 {
			n.fail(t, fmt.Sprintf("without a run %v after the loss of the holder: %s", n.now.Sub(lostAt), strings.Join(waiting, ", ")))
		}
		n.advance(10 * time.Second)
		n.requireKept(t)
	})
}

// loseHolder loses the holder for good and has some workers vanish, while the store may be away. It returns when the
// holder was lost, or the store was back if that was later.
func (n *network) loseHolder(t *rapid.T, vanishing int) time.Time {
	for _, w := range n.workers[:vanishing] {
		if rapid.Bool().Draw(t, "drains") {
			w.leave(time.Hour, 0, false)
		}
		n.after(drawSpan(t, "vanishes after", 0, 20), w.vanish)
	}
	away, drops := drawSpan(t, "store away", 0, 90), rapid.Bool().Draw(t, "drops")
	awayAt := n.now.Add(drawSpan(t, "store away after", 0, 20))
	if away > 0 {
		n.after(awayAt.Sub(n.now), func() { n.startOutage(away, drops) })
	}
	n.advance(drawSpan(t, "lost after", 0, 20))
	n.logf("the holder is lost")
	n.holder().ended, n.holder().lost = true, true
	lostAt := n.now
	if back := awayAt.Add(away + networkTick); away > 0 && back.After(lostAt) {
		n.advance(back.Sub(lostAt))
		lostAt = back
	}
	return lostAt
}

// waiting returns the tasks of long-running jobs that have no run.
func (n *network) waiting() []string {
	var waiting []string
	for id, job := range n.jobs {
		if job.Steps[0].LongRunning && !n.allRun(job) {
			waiting = append(waiting, id)
		}
	}
	return waiting
}

package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/dispatcher"
)

// TestRandomNetworkReleases guards against two runs of a task: holders release the cell in turn, some before they are
// active, and report too little of the leases on runs of workers that don't answer, or of processes of workers that shut
// down while their next one answers. Drains are seen: TestUnseenExitWhileRunsLast is about others.
func TestRandomNetworkReleases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(3, 6).Draw(t, "workers"), rapid.Uint64().Draw(t, "seed"))
		n.slow = float64(rapid.IntRange(0, 10).Draw(t, "slow")) / 10
		n.advance(300 * time.Millisecond)
		for i := range rapid.IntRange(4, 20).Draw(t, "moves") {
			w := n.workers[rapid.IntRange(0, len(n.workers)-1).Draw(t, "worker")]
			switch move := rapid.SampledFrom(releaseMoves).Draw(t, "move"); move {
			case "long-running", "short":
				n.moveJob(t, move, fmt.Sprintf("%016x", 0xe0+i))
			case "release":
				n.release()
			case "take":
				n.moveControl(t, move)
			case "heal":
				n.moveShared(t, move, i)
			case "shut down":
				n.logf("%s: %s", w.registration.ID, move)
				w.leaveAndReturn(drawSpan(t, "drain", 20, 50), drawSpan(t, "away", 0, 10), drawSpan(t, "linger", 20, 80))
			default:
				n.moveWorker(t, move, w)
			}
			n.advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "pause")) * 50 * time.Millisecond)
			n.requireKept(t)
		}
		n.settle()
		n.advance(2 * maxGrant)
		n.requireKept(t)
	})
}

// releaseMoves are the random changes of TestRandomNetworkReleases.
var releaseMoves = []string{
	"long-running", "long-running", "short", "release", "release", "release", "release", "take",
	"shut down", "shut down", "restart", "cut", "cut", "mute", "freeze", "heal",
}

// release has the newest holder release the cell, and the next one claim it.
func (n *network) release() {
	h := n.holder()
	if h.ended || h.paused() {
		return
	}
	silent, processes := h.cell.LeasesOfSilentWorkers(h.now()), h.cell.LeasesOfEarlierProcesses(h.now())
	runs := h.cell.ReportedRuns(h.now())
	n.logf("holder of epoch %d releases the cell: silent %v, earlier processes %v, runs %v", h.cell.Epoch, silent, processes, runs)
	h.end()
	n.addHolder()
	next := n.holder().cell
	next.EarlierLeaseEnds, next.EarlierProcessLeaseEnds = map[string]time.Time{}, map[dispatcher.ProcessID]time.Time{}
	next.EarlierRuns = dispatcher.NewReportedRuns(runs)
	for worker, left := range silent {
		next.EarlierLeaseEnds[worker] = n.now.Add(left)
	}
	for process, left := range processes {
		next.EarlierProcessLeaseEnds[process] = n.now.Add(left)
	}
}

// leaveAndReturn drains the worker, which then takes its registration back and closes its address. Its runs last for a time,
// and another process of it answers after another one.
func (w *remoteWorker) leaveAndReturn(drain, away, linger time.Duration) {
	if w.ended || w.leaving {
		return
	}
	w.leave(drain, linger, false)
	w.n.after(drain+away, func() {
		if w.cut {
			return
		}
		next := *w
		w.registration.ID += earlierSuffix
		next.leaving, next.deregistered, next.keepsConnections, next.returning = false, false, false, false
		next.registration.Remaining = 0
		next.boot()
		w.n.workers = append(w.n.workers, &next)
		w.n.entries[next.registration.ID] = next.registration
		w.n.logf("%s boots beside its process before", next.registration.ID)
	})
}

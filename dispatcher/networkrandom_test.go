package dispatcher_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// settleLimit is how long after the last fault all jobs have to be done.
	settleLimit = 60 * time.Second
	// settleStep is how often that is checked.
	settleStep = time.Second
	// reportedEvents is how many of the latest events a failure reports.
	reportedEvents = 400
	// maxNetworkHolders is the number of changes of the holder.
	maxNetworkHolders = 4
	// maxSuspension keeps the holder's time of day within what two VMs may differ.
	maxSuspension = 2500 * time.Millisecond
)

// TestRandomNetwork guards against two runs of a task, starts after a run was done, and jobs that
// are left without a run, while requests and answers overtake each other and are executed late, workers shut down
// slowly, restart or are frozen, the store is away, and holders pause and change.
func TestRandomNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(2, 6).Draw(t, "workers"), rapid.Uint64().Draw(t, "seed"))
		n.slow = float64(rapid.IntRange(0, 10).Draw(t, "slow")) / 10
		n.advance(300 * time.Millisecond)
		for i := range rapid.IntRange(3, 16).Draw(t, "moves") {
			n.move(t, i)
			n.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "pause")) * 50 * time.Millisecond)
			n.requireKept(t)
		}
		n.settle()
		for passed := time.Duration(0); passed < settleLimit && len(n.unfinished()) > 0; passed += settleStep {
			n.advance(settleStep)
			n.requireKept(t)
		}
		if unfinished := n.unfinished(); len(unfinished) > 0 {
			n.fail(t, "left after "+settleLimit.String()+": "+strings.Join(unfinished, "; "))
		}
	})
}

// requireKept fails if a guarantee was violated.
func (n *network) requireKept(t *rapid.T) {
	if len(n.violations) > 0 {
		n.fail(t, n.violations[0])
	}
}

// fail reports a problem with the events before it.
func (n *network) fail(t *rapid.T, problem string) {
	trace := *n.trace
	t.Log(strings.Join(trace[max(0, len(trace)-reportedEvents):], "\n"))
	t.Fatal(problem)
}

// Random changes of a network.
var (
	jobMoves     = []string{"short", "short", "short", "gang", "long-running", "failing", "cancel"}
	workerMoves  = []string{"leave", "leave", "leave", "cut", "cut from store", "restart", "freeze", "mute", "refuse"}
	controlMoves = []string{"outage", "pause", "pause", "suspend", "take", "take", "refuse holder"}
	sharedMoves  = []string{"heal", "join", "cut all", "restart some"}
)

// move makes a random change.
func (n *network) move(t *rapid.T, number int) {
	w := n.workers[rapid.IntRange(0, len(n.workers)-1).Draw(t, "worker")]
	switch rapid.SampledFrom([]string{"job", "job", "job", "worker", "worker", "worker", "control", "control", "shared"}).Draw(t, "kind") {
	case "job":
		n.moveJob(t, rapid.SampledFrom(jobMoves).Draw(t, "move"), fmt.Sprintf("%016x", 0xe0+number))
	case "worker":
		n.moveWorker(t, rapid.SampledFrom(workerMoves).Draw(t, "move"), w)
	case "control":
		n.moveControl(t, rapid.SampledFrom(controlMoves).Draw(t, "move"))
	case "shared":
		n.moveShared(t, rapid.SampledFrom(sharedMoves).Draw(t, "move"), number)
	}
}

// drawSpan draws a time in tenths of a second.
func drawSpan(t *rapid.T, label string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * 100 * time.Millisecond
}

// moveJob submits or cancels jobs.
func (n *network) moveJob(t *rapid.T, move, id string) {
	switch move {
	case "short", "failing":
		job := plainJob(id, rapid.IntRange(1, 5).Draw(t, "count"), drawSpan(t, "length", 3, 80), rapid.IntRange(1, 2).Draw(t, "steps"))
		if move == "failing" {
			job.Spec = failingSpec
		}
		n.submit(job)
	case "gang":
		job := plainJob(id, rapid.IntRange(2, 3).Draw(t, "count"), drawSpan(t, "length", 3, 80), 1)
		job.Steps[0].Gang = true
		n.submit(job)
	case "long-running":
		n.submit(longRunningJob(id, rapid.IntRange(1, 3).Draw(t, "count"), 500))
	case "cancel":
		for _, id := range slices.Sorted(maps.Keys(n.jobs)) {
			if rapid.IntRange(0, 2).Draw(t, "cancelled") == 0 {
				n.cancel(id)
			}
		}
	}
}

// moveWorker changes a worker.
func (n *network) moveWorker(t *rapid.T, move string, w *remoteWorker) {
	n.logf("%s: %s", w.registration.ID, move)
	switch move {
	case "leave":
		w.leave(drawSpan(t, "drain", 20, 50), drawSpan(t, "linger", 0, 40), rapid.Bool().Draw(t, "successor"))
	case "cut":
		w.cut = !w.cut
	case "cut from store":
		w.cutFromStore = !w.cutFromStore
	case "restart":
		w.restart(drawSpan(t, "away", 0, 30))
	case "freeze":
		w.frozenUntil = n.now.Add(drawSpan(t, "freeze", 2, 60))
	case "mute":
		w.mute = true
	case "refuse":
		w.refuse(drawSpan(t, "refusal", 2, 100))
	}
}

// moveControl changes the store or the newest holder.
func (n *network) moveControl(t *rapid.T, move string) {
	n.logf("%s", move)
	switch move {
	case "outage":
		if !n.storeOut {
			n.startOutage(drawSpan(t, "outage", 60, 350), rapid.Bool().Draw(t, "drops"))
		}
	case "pause":
		n.holder().pause(drawSpan(t, "holder pause", 1, 80), false)
	case "suspend":
		if length := drawSpan(t, "suspension", 1, 60); n.holder().behind+length <= maxSuspension {
			n.holder().pause(length, true)
		}
	case "take":
		if !n.storeOut && len(n.holders) <= maxNetworkHolders {
			n.addHolder()
		}
	case "refuse holder":
		n.holder().storeRefuses = true
	}
}

// moveShared changes several workers.
func (n *network) moveShared(t *rapid.T, move string, number int) {
	n.logf("%s", move)
	switch move {
	case "heal":
		for _, w := range n.workers {
			w.heal()
		}
		n.holder().storeRefuses = false
	case "join":
		n.addWorker("")
	case "cut all":
		fromStore := rapid.Bool().Draw(t, "from store")
		for _, w := range n.workers {
			w.cut, w.cutFromStore = true, fromStore
		}
	case "restart some":
		for i := number % 2; i < len(n.workers); i += 2 {
			n.workers[i].restart(drawSpan(t, "away", 0, 30))
		}
	}
}

// TestRandomNetworkPair guards against the same as TestRandomNetwork while tasks and jobs change between two cells.
func TestRandomNetworkPair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetworkPair(rapid.IntRange(1, 4).Draw(t, "workers"), rapid.IntRange(1, 4).Draw(t, "other workers"), rapid.Uint64().Draw(t, "seed"))
		n.slow = float64(rapid.IntRange(0, 10).Draw(t, "slow")) / 10
		n.other.slow = n.slow
		n.advancePair(300 * time.Millisecond)
		for i := range rapid.IntRange(3, 16).Draw(t, "moves") {
			n.movePair(t, i)
			n.advancePair(time.Duration(rapid.IntRange(1, 80).Draw(t, "pause")) * 50 * time.Millisecond)
			n.requireKept(t)
			n.other.requireKept(t)
		}
		n.requireSettled(t)
	})
}

// requireSettled ends all faults of both cells, adds workers, and fails unless all jobs end or run.
func (n *network) requireSettled(t *rapid.T) {
	n.settle()
	n.other.settle()
	for range pairReserve {
		n.addWorker("")
		n.other.addWorker("")
	}
	for passed := time.Duration(0); passed < settleLimit && len(n.unfinished()) > 0; passed += settleStep {
		n.advancePair(settleStep)
		n.requireKept(t)
		n.other.requireKept(t)
	}
	if unfinished := n.unfinished(); len(unfinished) > 0 {
		n.fail(t, "left after "+settleLimit.String()+": "+strings.Join(unfinished, "; "))
	}
}

// pairReserve is the number of workers that are added to each cell at the end, so that all tasks have a place.
const pairReserve = 12

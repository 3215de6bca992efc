package dispatcher_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRandomNetworkPairReleases guards against two runs of a task: the holders of two cells release them in turn, while
// tasks and jobs change between the cells, and report too few of the runs on workers that don't answer the next one.
func TestRandomNetworkPairReleases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetworkPair(rapid.IntRange(1, 4).Draw(t, "workers"), rapid.IntRange(1, 4).Draw(t, "other workers"), rapid.Uint64().Draw(t, "seed"))
		n.slow = float64(rapid.IntRange(0, 10).Draw(t, "slow")) / 10
		n.other.slow = n.slow
		n.advancePair(300 * time.Millisecond)
		for i := range rapid.IntRange(3, 20).Draw(t, "moves") {
			switch rapid.SampledFrom([]string{"pair", "release", "release other"}).Draw(t, "release move") {
			case "pair":
				n.movePair(t, i)
			case "release":
				n.release()
			case "release other":
				n.other.release()
			}
			n.advancePair(time.Duration(rapid.IntRange(1, 50).Draw(t, "pause")) * 50 * time.Millisecond)
			n.requireKept(t)
			n.other.requireKept(t)
		}
		n.requireSettled(t)
	})
}

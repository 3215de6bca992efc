package dispatcher_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/dispatcher"
)

// The size of the random load: two hot racks of 8 places each, and a rack that always has a place for
// each task.
const (
	hotRacks       = 2
	hotRackWorkers = 2
	spareWorkers   = 6
	spareCapacity  = 400000
	maxRandomTasks = 12
	rackWaitSlack  = 200 * time.Millisecond
	maxRandomRatio = 3.0
	// ratioResolution is how far learned ratios may be above the actual ones: an end is seen up to 100 ms
	// late, of runs of 1 s, and the histogram rounds up by a sixteenth.
	ratioResolution = 1.2
	// maxRandomSpan is longer than the longest run elsewhere, after the loss of one before it.
	maxRandomSpan = 150 * time.Second
)

// TestRandomRackWaits guards against tasks that wait for a rack beyond the cost of running elsewhere or
// beyond their objective, are lost, run twice or bring a worker over its capacity, while the workers of
// the racks drain, return, are cut off or fill with long runs, run times differ from their estimates and
// the holder changes.
func TestRandomRackWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := rapid.SampledFrom([]float64{1.5, 2, 4}).Draw(t, "factor")
		s := newRackSimulation(factor, hotRackWorkers, hotRackWorkers, spareWorkers)
		for _, f := range s.inRack(fmt.Sprintf("rack-%d", hotRacks)) {
			f.registration.Capacity = dispatcher.Size{MilliProcessors: spareCapacity, Megabytes: spareCapacity}
			s.register(f)
		}
		s.runTimeRatio = rapid.SampledFrom([]float64{0.4, 1, maxRandomRatio}).Draw(t, "ratio")
		held := s.now
		for i := range rapid.IntRange(3, 20).Draw(t, "moves") {
			if s.rackMove(t, i) {
				held = s.now
			}
			s.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause")) * 50 * time.Millisecond)
		}
		s.heal()
		s.advance(maxRandomSpan)
		s.checkWaits(t, held)
		for _, problem := range s.violations {
			t.Error(problem)
		}
	})
}

// rackMove makes a random change. It reports whether the holder has changed.
func (s *rackSimulation) rackMove(t *rapid.T, number int) bool {
	id := fmt.Sprintf("%016x", 0xe0+number)
	rack := fmt.Sprintf("rack-%d", rapid.IntRange(0, hotRacks-1).Draw(t, "rack"))
	switch rapid.SampledFrom([]string{"job", "job", "job", "job", "gang", "long-running", "drain", "return", "cut", "holder"}).Draw(t, "move") {
	case "job", "gang":
		job := dataJob(id, rapid.IntRange(1, maxRandomTasks).Draw(t, "count"), time.Duration(rapid.IntRange(10, 50).Draw(t, "length"))*100*time.Millisecond)
		job.Queue.Stretch, job.Queue.Target = 2, time.Duration(rapid.IntRange(0, 10).Draw(t, "target"))*time.Second
		step := &job.Steps[0]
		step.DataRack = rack
		step.Gang = rapid.Bool().Draw(t, "gang")
		step.RackLocal = step.Gang && rapid.Bool().Draw(t, "rack-local")
		step.BestEffort = !step.Gang && rapid.IntRange(0, 3).Draw(t, "best effort") == 0
		s.submit(job)
	case "long-running":
		job := longRunningJob(id, rapid.IntRange(1, 2).Draw(t, "count"), 1000)
		job.Steps[0].DataRack = rack
		s.submit(job)
	case "drain":
		s.drain(rack)
	case "return":
		for _, f := range s.inRack(rack) {
			f.reachable, f.registration.Phase = true, dispatcher.PhaseReady
			s.register(f)
		}
	case "cut":
		for _, f := range s.inRack(rack) {
			f.reachable = false
		}
	case "holder":
		for _, f := range s.workers {
			f.reachable = true
		}
		s.changeHolder(s.workers...)
		s.advance(500 * time.Millisecond)
		return true
	}
	return false
}

// checkWaits checks when the tasks of the jobs first started that were submitted under the last holder,
// which held the cell since held: one that has waited under an earlier holder may begin anew.
func (s *rackSimulation) checkWaits(t *rapid.T, held time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		job := s.jobs[id]
		step := job.Steps[0]
		if step.LongRunning {
			continue
		}
		longest := time.Duration((s.remoteFactor - 1) * max(s.runTimeRatio*ratioResolution, 1) * float64(step.Estimate))
		for index := range step.Count {
			task := dispatcher.TaskID{Job: id, Index: index}
			start, started := s.starts[task.String()]
			if !started || !s.done[task] && !step.Gang {
				t.Errorf("%s has started: %v, is done: %v", task, started, s.done[task])
				continue
			}
			waited := start.at.Sub(job.Accepted)
			if job.Accepted.Before(held) {
				continue
			}
			if waited > longest+rackWaitSlack {
				t.Errorf("%s has waited for %s, want %s at most", task, waited, longest)
			}
			due := job.Queue.Target + time.Duration(job.Queue.Stretch*float64(step.Estimate))
			if waited > due+rackWaitSlack {
				t.Errorf("%s has waited for %s, beyond its objective after %s", task, waited, due)
			}
		}
	}
}

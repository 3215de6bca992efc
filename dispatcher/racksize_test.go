package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// The load of the cells in which tasks wait for racks: half of the racks are hot. Their runs take all of
// their processors, and as many tasks wait for them as they will then have places for.
const (
	workersPerRack  = 20
	tasksPerHotRack = workersPerRack * loadedMilliCapacity / 1000
	tasksPerHotJob  = 64
)

// newHotCell returns a cell in which tasks wait for racks. No run ends.
func newHotCell(workers int) *loadedCell {
	s := newSimulation(workers)
	for i, f := range s.workers {
		f.registration.Capacity = dispatcher.Size{MilliProcessors: loadedMilliCapacity, Megabytes: 64000}
		f.registration.Rack = fmt.Sprintf("rack-%d", i/workersPerRack)
		f.registration.Labels = []string{f.registration.Rack}
	}
	s.remoteFactor = 2
	s.changeHolder(s.workers...)
	s.cell.Recorder = discard{}
	s.runFor(500 * time.Millisecond)
	next := 0
	for range 2 {
		for rack := range max(workers/workersPerRack/2, 1) {
			for range tasksPerHotRack / tasksPerHotJob {
				job := dataJob(fmt.Sprintf("%016x", next), tasksPerHotJob, time.Hour)
				job.Steps[0].DataRack = fmt.Sprintf("rack-%d", rack)
				s.submit(job)
				next++
			}
		}
		s.runFor(500 * time.Millisecond)
	}
	return &loadedCell{simulation: s, listings: s.servingListings()}
}

// TestHotCell checks the load of the benchmark: all tasks that wait for a rack have a place elsewhere.
func TestHotCell(t *testing.T) {
	l := newHotCell(2 * workersPerRack)
	running := 0
	for _, f := range l.workers {
		running += len(f.running)
	}
	if total := 2 * tasksPerHotRack; running != tasksPerHotRack {
		t.Errorf("%d of %d tasks run, want %d", running, total, tasksPerHotRack)
	}
}

// BenchmarkRackWaits measures plans in which each waiting task is decided.
func BenchmarkRackWaits(b *testing.B) {
	for _, workers := range cellSizes {
		l := newHotCell(workers)
		b.Run(fmt.Sprintf("poll_and_plan/%d_workers", workers), func(b *testing.B) {
			for b.Loop() {
				l.answerPoll()
				l.cell.Plan(l.now)
			}
		})
	}
}

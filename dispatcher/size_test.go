package dispatcher_test

import (
	"fmt"
	"testing"

	"zinniashore.example/dispatcher"
)

// cellSizes are the numbers of workers of the cells whose costs are compared.
var cellSizes = []int{20, 60, 110, 220}

// offeredSteps are the steps for which other processes ask for the free capacity of a cell.
var offeredSteps = map[string]dispatcher.Step{
	"short":        {Count: 13, Size: dispatcher.Size{MilliProcessors: 2000, Megabytes: 4000}},
	"best_effort":  {Count: 40, Size: dispatcher.Size{MilliProcessors: 1500, Megabytes: 2000}, BestEffort: true, Image: "camera"},
	"long_running": {Count: 24, Size: dispatcher.Size{MilliProcessors: 3000, Megabytes: 6000}, LongRunning: true, WorkerLimit: 4},
}

// waitingPerJob is the number of tasks of a long-running job that waits in a cell of the benchmarks,
// waitingMilliProcessors what each of them needs: more than any worker has left.
const (
	waitingPerJob          = 24
	waitingMilliProcessors = 12000
)

// newWaitingCell returns a loaded cell in which wide long-running jobs wait as well.
func newWaitingCell(workers int) *loadedCell {
	const firstID = 1 << 20
	l := newLoadedCell(workers)
	for i := range workers / workersPerLoadedJob {
		l.submit(longRunningJob(fmt.Sprintf("%016x", firstID+i), waitingPerJob, waitingMilliProcessors))
	}
	return l
}

// benchmarkCells runs a benchmark of each size of cell.
func benchmarkCells(b *testing.B, name string, run func(*loadedCell)) {
	for _, workers := range cellSizes {
		l := newWaitingCell(workers)
		b.Run(fmt.Sprintf("%s/%d_workers", name, workers), func(b *testing.B) {
			for b.Loop() {
				run(l)
			}
		})
	}
}

func BenchmarkFreeCapacity(b *testing.B) {
	for name, step := range offeredSteps {
		benchmarkCells(b, name, func(l *loadedCell) { l.cell.FreeCapacity(l.now, testService, dispatcher.StepID{}, &step) })
	}
}

func BenchmarkCellPlan(b *testing.B) {
	benchmarkCells(b, "poll_and_plan", func(l *loadedCell) {
		l.answerPoll()
		l.cell.Plan(l.now)
	})
}

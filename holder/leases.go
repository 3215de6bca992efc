package holder

import (
	"sync"
	"time"

	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
)

// releases holds, by cell that was held, the leases that its release reports. It is safe for concurrent use.
type releases struct {
	mu     sync.Mutex
	byCell map[string]claimer.Leases
}

// set sets the leases that the release of a cell reports.
func (r *releases) set(cell string, leases claimer.Leases) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byCell == nil {
		r.byCell = map[string]claimer.Leases{}
	}
	r.byCell[cell] = leases
}

// leases returns the leases that the release of a cell reports.
func (r *releases) leases(cell string) claimer.Leases {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byCell[cell]
}

// leasesOf returns what the release of a cell reports of the leases that its runner knows.
func leasesOf(runner *dispatcher.Runner) claimer.Leases {
	leases := claimer.Leases{Workers: runner.LeasesOfSilentWorkers(), Runs: map[string][]claimer.Task{}}
	for worker, tasks := range runner.ReportedRuns() {
		leases.Runs[worker] = nil
		for _, t := range tasks {
			leases.Runs[worker] = append(leases.Runs[worker], claimer.Task(t))
		}
	}
	for process, left := range runner.LeasesOfEarlierProcesses() {
		leases.EarlierProcesses = append(leases.EarlierProcesses, claimer.ProcessLease{Worker: process.Worker, Boot: process.Boot, Left: left})
	}
	return leases
}

// setEarlierLeases tells a cell until when the leases last that the release before its term reported, and on runs of which tasks.
func setEarlierLeases(state *dispatcher.Cell, term claimer.Term) {
	state.EarlierLeaseEnds = map[string]time.Time{}
	for worker, left := range term.Leases.Workers {
		state.EarlierLeaseEnds[worker] = term.ClaimedAt.Add(left)
	}
	runs := make(map[string][]dispatcher.TaskID, len(term.Leases.Runs))
	for worker, tasks := range term.Leases.Runs {
		runs[worker] = nil
		for _, t := range tasks {
			runs[worker] = append(runs[worker], dispatcher.TaskID(t))
		}
	}
	state.EarlierRuns = dispatcher.NewReportedRuns(runs)
	state.EarlierProcessLeaseEnds = map[dispatcher.ProcessID]time.Time{}
	for _, p := range term.Leases.EarlierProcesses {
		state.EarlierProcessLeaseEnds[dispatcher.ProcessID{Worker: p.Worker, Boot: p.Boot}] = term.ClaimedAt.Add(p.Left)
	}
}

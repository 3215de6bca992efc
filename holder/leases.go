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
	leases := claimer.Leases{Workers: runner.LeasesOfSilentWorkers()}
	for process, left := range runner.LeasesOfEarlierProcesses() {
		leases.EarlierProcesses = append(leases.EarlierProcesses, claimer.ProcessLease{Worker: process.Worker, Boot: process.Boot, Left: left})
	}
	return leases
}

// setEarlierLeases tells a cell until when the leases last that the release before its term reported.
func setEarlierLeases(state *dispatcher.Cell, term claimer.Term) {
	state.EarlierLeaseEnds = map[string]time.Time{}
	for worker, left := range term.Leases.Workers {
		state.EarlierLeaseEnds[worker] = term.ClaimedAt.Add(left)
	}
	state.EarlierProcessLeaseEnds = map[dispatcher.ProcessID]time.Time{}
	for _, p := range term.Leases.EarlierProcesses {
		state.EarlierProcessLeaseEnds[dispatcher.ProcessID{Worker: p.Worker, Boot: p.Boot}] = term.ClaimedAt.Add(p.Left)
	}
}

package standin

import (
	"fmt"
	"sort"
	"sync"
)

// RunState is the state of one run of an attempt at a worker.
type RunState string

// States of runs.
const (
	// RunRunning has not ended.
	RunRunning RunState = "running"
	// RunDone did all its work.
	RunDone RunState = "done"
	// RunFailed ended with an error.
	RunFailed RunState = "failed"
	// RunStopped was stopped without a checkpoint; its work is lost.
	RunStopped RunState = "stopped"
	// RunCheckpointed was stopped with a checkpoint.
	RunCheckpointed RunState = "checkpointed"
	// RunLapsed was ended by its lease; its work is lost.
	RunLapsed RunState = "lapsed"
	// RunKilled ended with its worker; its work is lost.
	RunKilled RunState = "killed"
)

// Run is one interval in which an attempt of a task ran on a worker. Times are
// nanoseconds of the wall clock, work is in milliseconds.
type Run struct {
	Task    string   `json:"task"`
	Attempt int64    `json:"attempt"`
	Worker  string   `json:"worker"`
	Cell    string   `json:"cell"`
	Epoch   int64    `json:"epoch"`
	Service bool     `json:"service,omitempty"`
	From    int64    `json:"from_milliseconds"`
	To      int64    `json:"to_milliseconds"`
	Started int64    `json:"started"`
	Ended   int64    `json:"ended"`
	State   RunState `json:"state"`
	// Discarded tells that the result or the checkpoint was discarded because
	// the lease ended before the owner acknowledged it.
	Discarded bool `json:"discarded,omitempty"`
}

// Ledger keeps the exact history of the runs of several workers. It is safe
// for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	runs     []*Run
	overruns []string
}

// Runs returns a copy of the history.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make([]Run, len(l.runs))
	for i, run := range l.runs {
		runs[i] = *run
	}
	return runs
}

// Overruns tells each start that took a worker past its capacity.
func (l *Ledger) Overruns() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.overruns...)
}

// Problems returns every breach of the history: tasks that ran in two places,
// work done twice or skipped, workers past their capacity.
func (l *Ledger) Problems() []string {
	return append(CheckRuns(l.Runs()), l.Overruns()...)
}

func (l *Ledger) begin(run *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
}

func (l *Ledger) overrun(problem string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overruns = append(l.overruns, problem)
}

func (l *Ledger) change(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// CheckRuns returns every breach of a history of runs, which may come from
// several workers with the same wall clock.
func CheckRuns(runs []Run) []string {
	byTask := map[string][]Run{}
	for _, run := range runs {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	var problems []string
	for _, history := range byTask {
		problems = append(problems, checkPlaces(history)...)
		if !history[0].Service {
			problems = append(problems, checkWork(history)...)
		}
	}
	sort.Strings(problems)
	return problems
}

func checkPlaces(history []Run) []string {
	sort.Slice(history, func(i, j int) bool { return history[i].Started < history[j].Started })
	var problems []string
	for i, earlier := range history {
		for _, later := range history[i+1:] {
			if earlier.Ended == 0 || later.Started < earlier.Ended {
				problems = append(problems, fmt.Sprintf("%s: attempt %d on %s and attempt %d on %s ran at the same time",
					earlier.Task, earlier.Attempt, earlier.Worker, later.Attempt, later.Worker))
			}
			if earlier.Attempt >= later.Attempt {
				problems = append(problems, fmt.Sprintf("%s: attempt %d on %s began after attempt %d",
					earlier.Task, later.Attempt, later.Worker, earlier.Attempt))
			}
		}
	}
	return problems
}

// checkWork follows the recorded checkpoints from attempt to attempt: each
// begins where an earlier one was recorded, and a result stands once.
func checkWork(history []Run) []string {
	sort.Slice(history, func(i, j int) bool { return history[i].Attempt < history[j].Attempt })
	var problems []string
	recorded := int64(0)
	for i, run := range history {
		if run.From != recorded {
			problems = append(problems, fmt.Sprintf("%s: attempt %d on %s resumed at %d ms, recorded was %d ms",
				run.Task, run.Attempt, run.Worker, run.From, recorded))
		}
		last := i == len(history)-1
		if run.State == RunDone && !run.Discarded && !last {
			problems = append(problems, fmt.Sprintf("%s: attempt %d on %s was done and attempt %d followed",
				run.Task, run.Attempt, run.Worker, history[i+1].Attempt))
		}
		if run.State != RunCheckpointed || last {
			continue
		}
		if !run.Discarded || history[i+1].From == run.To {
			recorded = run.To
		}
	}
	return problems
}

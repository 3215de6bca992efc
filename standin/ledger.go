package standin

import (
	"fmt"
	"sort"
	"sync"
)

// RunState is the state of one run of an attempt on a worker.
type RunState string

// States of runs.
const (
	// RunRunning is a run that has not ended.
	RunRunning RunState = "running"
	// RunDone is a run that completed its work.
	RunDone RunState = "done"
	// RunFailed is a run that ended with an error.
	RunFailed RunState = "failed"
	// RunStopped is a run that was stopped without a checkpoint; its work is lost.
	RunStopped RunState = "stopped"
	// RunCheckpointed is a run that was stopped with a checkpoint.
	RunCheckpointed RunState = "checkpointed"
	// RunExpired is a run that ended because its lease expired; its work is lost.
	RunExpired RunState = "lapsed"
	// RunKilled is a run that ended because its worker was killed; its work is lost.
	RunKilled RunState = "killed"
)

// Run is one interval in which an attempt of a task ran on a worker. Started and Ended
// are wall clock times in nanoseconds, From and To are progress in milliseconds of work.
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
	// Discarded is true if the result or the checkpoint was discarded because the lease
	// ended before the owner acknowledged it, that is, before the owner had the worker
	// forget the attempt.
	Discarded bool `json:"discarded,omitempty"`
}

// Ledger records the exact history of the runs of several workers. It is safe for
// concurrent use.
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

// Overruns describes each start or resize that made a worker exceed its capacity.
func (l *Ledger) Overruns() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.overruns...)
}

// Problems describes every violation in the history: tasks that ran in two places at
// once, work done twice or skipped, and workers that exceeded their capacity.
func (l *Ledger) Problems() []string {
	return append(CheckRuns(l.Runs()), l.Overruns()...)
}

func (l *Ledger) addRun(run *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
}

func (l *Ledger) addOverrun(problem string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overruns = append(l.overruns, problem)
}

func (l *Ledger) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// CheckRuns describes every violation in a history of runs. The runs may come from
// several workers that share a wall clock.
func CheckRuns(runs []Run) []string {
	byTask := map[string][]Run{}
	for _, run := range runs {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	var problems []string
	for _, history := range byTask {
		problems = append(problems, checkOverlaps(history)...)
		if !history[0].Service {
			problems = append(problems, checkCheckpoints(history)...)
		}
	}
	sort.Strings(problems)
	return problems
}

func checkOverlaps(history []Run) []string {
	sort.Slice(history, func(i, j int) bool { return history[i].Started < history[j].Started })
	var problems []string
	for i, earlier := range history {
		for _, later := range history[i+1:] {
			if earlier.Ended == 0 || later.Started < earlier.Ended {
				problems = append(problems, fmt.Sprintf("%s: attempt %d on %s and attempt %d on %s ran at the same time",
					earlier.Task, earlier.Attempt, earlier.Worker, later.Attempt, later.Worker))
			}
			if earlier.Attempt >= later.Attempt {
				problems = append(problems, fmt.Sprintf("%s: attempt %d on %s started after attempt %d",
					earlier.Task, later.Attempt, later.Worker, earlier.Attempt))
			}
		}
	}
	return problems
}

// checkCheckpoints follows the recorded checkpoint from attempt to attempt. Each attempt
// must resume from the recorded checkpoint, and no attempt may follow one that is done
// unless its result was discarded. A discarded checkpoint counts as recorded if the next
// attempt resumes from it.
func checkCheckpoints(history []Run) []string {
	sort.Slice(history, func(i, j int) bool { return history[i].Attempt < history[j].Attempt })
	var problems []string
	recorded := int64(0)
	for i, run := range history {
		if run.From != recorded {
			problems = append(problems, fmt.Sprintf("%s: attempt %d on %s resumed at %d ms, want the recorded checkpoint at %d ms",
				run.Task, run.Attempt, run.Worker, run.From, recorded))
		}
		last := i == len(history)-1
		if run.State == RunDone && !run.Discarded && !last {
			problems = append(problems, fmt.Sprintf("%s: attempt %d on %s was done, but attempt %d followed",
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

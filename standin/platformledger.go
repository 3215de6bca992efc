package standin

import (
	"sync"
	"time"
)

// PlatformEvent is something that happened on a worker.
type PlatformEvent struct {
	// Time is when it happened, on the test's clock.
	Time time.Time
	// Kind is start, end, acknowledged, lapsed (the lease of the worker) or restart.
	Kind string
	// Worker is the id of the worker, and Life counts its restarts before the event.
	Worker string
	Life   int
	// Task and Run name the run, if it is an event of a run.
	Task string
	Run  int64
	// Outcome is how the run ended.
	Outcome string
	// Epoch and Caller are those of the call, if a call caused it.
	Epoch  int64
	Caller string
}

// PlatformLedger counts the runs of each task on all workers.
type PlatformLedger struct {
	mu       sync.Mutex
	events   []PlatformEvent
	running  map[string]int
	done     map[string]int
	problems []string
}

// Problems describes every start of a task that was already running or done.
func (l *PlatformLedger) Problems() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.problems...)
}

// Done returns the number of runs of a task that ended as done.
func (l *PlatformLedger) Done(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done[task]
}

// Running returns the number of runs of a task that have not ended.
func (l *PlatformLedger) Running(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running[task]
}

// Events returns what happened on all workers, in the order in which it was recorded.
func (l *PlatformLedger) Events() []PlatformEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]PlatformEvent(nil), l.events...)
}

func (l *PlatformLedger) record(event PlatformEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event)
}

func (l *PlatformLedger) startRun(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running, l.done = map[string]int{}, map[string]int{}
	}
	l.running[task]++
	if l.running[task] > 1 {
		l.problems = append(l.problems, task+" has two runs at the same time")
	}
	if l.done[task] > 0 {
		l.problems = append(l.problems, task+" was started again after it was done")
	}
}

func (l *PlatformLedger) endRun(task, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[task]--
	if outcome == "done" {
		l.done[task]++
	}
}

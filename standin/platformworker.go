package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// PlatformWorker is a stand-in for a worker of the users' platform that implements its
// published protocol. Its exported fields are set before its first call. Its tasks run
// for Length and end as done; long-running ones run until they are stopped, for at most
// an hour.
type PlatformWorker struct {
	// Length is the run time of a task.
	Length time.Duration
	// LongRunning reports whether a task runs until it is stopped.
	LongRunning func(task string) bool
	// Ledger records the runs of all workers.
	Ledger *PlatformLedger

	mu             sync.Mutex
	booted         time.Time
	epoch          int64
	leaseUntil     int64
	runs           map[string]*platformRun
	highestRun     map[string]int64
	unacknowledged []platformEnd
	endCount       int64
}

type platformRun struct {
	number  int64
	endsAt  time.Time
	outcome string
}

type platformEnd struct {
	number  int64
	task    string
	run     int64
	outcome string
}

// PlatformLedger counts the runs of each task on all workers.
type PlatformLedger struct {
	mu       sync.Mutex
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

type platformCommand struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Deadline int64  `json:"deadline-ms"`
	Epoch    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// ServeHTTP implements http.Handler.
func (w *PlatformWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var command platformCommand
	if !readMessage(rw, r, &command) {
		return
	}
	call := strings.TrimPrefix(r.URL.Path, "/api/")
	deadline := time.Now().Add(time.Duration(command.Wait) * time.Millisecond)
	for {
		answer, status, wait := w.execute(call, command)
		if !wait || time.Now().After(deadline) {
			rw.Header().Set("Content-Type", "application/json")
			rw.WriteHeader(status)
			// The error is ignored: the client may have disconnected.
			_ = json.NewEncoder(rw).Encode(answer)
			return
		}
		time.Sleep(tickPeriod)
	}
}

func (w *PlatformWorker) clock() int64 { return time.Since(w.booted).Milliseconds() }

func (w *PlatformWorker) execute(call string, command platformCommand) (map[string]any, int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.booted = time.Now()
		w.runs, w.highestRun = map[string]*platformRun{}, map[string]int64{}
	}
	w.endDueRuns()
	if command.Epoch < w.epoch {
		return w.conflict("fence")
	}
	w.epoch = command.Epoch
	w.leaseUntil = max(w.leaseUntil, command.Deadline)
	switch call {
	case "run-start":
		return w.start(command)
	case "run-stop":
		w.stop(command)
	case "hold":
		return w.hold(command)
	}
	return map[string]any{"clock-ms": w.clock()}, http.StatusOK, false
}

func (w *PlatformWorker) conflict(reason string) (map[string]any, int, bool) {
	return map[string]any{"clock-ms": w.clock(), "reason": reason}, http.StatusConflict, false
}

func (w *PlatformWorker) start(command platformCommand) (map[string]any, int, bool) {
	run := w.runs[command.Task]
	switch {
	case command.Deadline < w.clock():
		return w.conflict("late")
	case run != nil && run.number == command.Run:
	case run != nil || command.Run <= w.highestRun[command.Task]:
		return w.conflict("old")
	default:
		endsAt := time.Now().Add(w.Length)
		if w.LongRunning != nil && w.LongRunning(command.Task) {
			endsAt = time.Now().Add(time.Hour)
		}
		w.runs[command.Task] = &platformRun{number: command.Run, endsAt: endsAt, outcome: "done"}
		w.Ledger.startRun(command.Task)
	}
	return map[string]any{"clock-ms": w.clock()}, http.StatusOK, false
}

func (w *PlatformWorker) stop(command platformCommand) {
	w.highestRun[command.Task] = max(w.highestRun[command.Task], command.Run)
	if run := w.runs[command.Task]; run != nil && run.number == command.Run {
		run.endsAt, run.outcome = time.Now(), "stopped"
	}
}

// endDueRuns ends the runs whose lease has expired or whose end is due; the caller holds
// the mutex.
func (w *PlatformWorker) endDueRuns() {
	for task, run := range w.runs {
		outcome := ""
		switch {
		case w.clock() > w.leaseUntil:
			outcome = "lapsed"
		case time.Now().After(run.endsAt):
			outcome = run.outcome
		default:
			continue
		}
		delete(w.runs, task)
		w.highestRun[task] = max(w.highestRun[task], run.number)
		w.endCount++
		w.unacknowledged = append(w.unacknowledged, platformEnd{number: w.endCount, task: task, run: run.number, outcome: outcome})
		w.Ledger.endRun(task, outcome)
	}
}

func (w *PlatformWorker) hold(command platformCommand) (map[string]any, int, bool) {
	running, finished := []any{}, []any{}
	for task, run := range w.runs {
		running = append(running, []any{task, run.number, "", 100, 5})
	}
	var remaining []platformEnd
	for _, end := range w.unacknowledged {
		if end.number > command.LastSeen {
			remaining = append(remaining, end)
			finished = append(finished, []any{end.number, end.task, end.run, end.outcome, ""})
		}
	}
	w.unacknowledged = remaining
	answer := map[string]any{"clock-ms": w.clock(), "born": w.booted.UnixMilli(), "running": running, "finished": finished}
	return answer, http.StatusOK, len(finished) == 0
}

// PlatformRegistration returns the JSON value of the store's entry for a worker.
func PlatformRegistration(address, failureDomain, service string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,`+
		`"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-1"],"seq":1}`, service, address, failureDomain)
}

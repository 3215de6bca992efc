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
	// LengthOf, if set, returns the run time of a task in place of Length.
	LengthOf func(task string) time.Duration
	// LongRunning reports whether a task runs until it is stopped.
	LongRunning func(task string) bool
	// OutcomeOf, if set, returns how a run ends that isn't stopped, in place of done.
	OutcomeOf func(task string, run int64) string
	// CrashedBy, if set, reports whether a start of a task crashes the worker, which then
	// restarts after CrashTime.
	CrashedBy func(task string) bool
	// CrashTime is how long the worker answers nothing after such a crash.
	CrashTime time.Duration
	// StopTime is how long a stop of a run takes.
	StopTime time.Duration
	// ID, if set, is the id that calls have to name as the intended worker.
	ID string
	// MaxLease, if above 0, is the longest lease that is granted.
	MaxLease time.Duration
	// ClockRate is the rate of the worker's clock; 0 means 1.
	ClockRate float64
	// Fits, if set, reports whether a task fits beside those that run; a start of one that
	// doesn't is refused.
	Fits func(task string, running []string) bool
	// Gangs, if set, are the gangs that tasks of this worker and of others belong to.
	Gangs *PlatformGangs
	// Caller, if set, names the process at the remote address of a call.
	Caller func(remote string) string
	// Ledger records the runs of all workers.
	Ledger *PlatformLedger

	mu             sync.Mutex
	faults         PlatformWorkerFaults
	calls          int
	life           int
	connections    map[string]workerConnection
	down           bool
	crashedUntil   time.Time
	frozenUntil    time.Time
	lapsed         bool
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
	// gang is nil for a run that belongs to none.
	gang *platformGang
}

// due returns when and how a run ends while the lease lasts.
func (r *platformRun) due(task string) (time.Time, string) {
	if r.gang == nil {
		return r.endsAt, r.outcome
	}
	end, outcome := r.gang.due(task)
	if r.outcome == "stopped" && r.endsAt.Before(end) {
		return r.endsAt, r.outcome
	}
	return end, outcome
}

// end notes how a run has ended.
func (r *platformRun) end(end time.Time, outcome string) {
	if r.gang != nil && outcome != "done" {
		r.gang.leave(end)
	}
}

type platformEnd struct {
	number  int64
	task    string
	run     int64
	outcome string
}

type platformCommand struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Deadline int64  `json:"deadline-ms"`
	Epoch    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`

	caller string
}

// Restart ends all runs without a trace, closes all connections and forgets everything,
// as a restart under the same id does.
func (w *PlatformWorker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart()
}

// restart carries out Restart; the caller holds the mutex.
func (w *PlatformWorker) restart() {
	w.boot()
	w.endDueRuns()
	for task, run := range w.runs {
		run.end(time.Now(), "crashed")
		w.Ledger.endRun(task, "crashed")
		w.record(PlatformEvent{Time: time.Now(), Kind: "end", Task: task, Run: run.number, Outcome: "crashed"})
	}
	w.runs = nil
	w.record(PlatformEvent{Time: time.Now(), Kind: "restart"})
	w.life++
	w.boot()
	for _, c := range w.connections {
		// The error is ignored: the client may have closed the connection.
		_ = c.connection.Close()
	}
}

// SetDown makes the worker break off every call without carrying it out, or carry out
// calls again.
func (w *PlatformWorker) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// Up reports whether the worker carries out calls.
func (w *PlatformWorker) Up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.isDown()
}

func (w *PlatformWorker) isDown() bool { return w.down || time.Now().Before(w.crashedUntil) }

// Born returns the time of the worker's start, in Unix milliseconds.
func (w *PlatformWorker) Born() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot()
	return w.booted.UnixMilli()
}

// Advance ends the runs whose end is due; every call does so, too.
func (w *PlatformWorker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot()
	w.endDueRuns()
}

// boot starts the worker if it hasn't started; the caller holds the mutex.
func (w *PlatformWorker) boot() {
	if w.runs != nil {
		return
	}
	w.booted = time.Now()
	w.runs, w.highestRun = map[string]*platformRun{}, map[string]int64{}
	w.unacknowledged, w.endCount, w.epoch, w.leaseUntil, w.lapsed = nil, 0, 0, 0, false
}

func (w *PlatformWorker) record(event PlatformEvent) {
	event.Worker, event.Life = w.ID, w.life
	w.Ledger.record(event)
}

// ServeHTTP implements http.Handler.
func (w *PlatformWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var command platformCommand
	if !readMessage(rw, r, &command) {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); w.ID != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.Caller != nil {
		command.caller = w.Caller(r.RemoteAddr)
	}
	call := strings.TrimPrefix(r.URL.Path, "/api/")
	deadline := time.Now().Add(time.Duration(command.Wait) * time.Millisecond)
	life, faults := w.admit(r.RemoteAddr)
	if faults.refused {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(faults.late)
	for {
		w.awaitThaw()
		answer, status, wait := w.execute(call, command, life)
		if answer == nil || faults.drop && !wait {
			dropConnection(rw)
			return
		}
		if !wait || time.Now().After(deadline) {
			time.Sleep(faults.delay)
			rw.Header().Set("Content-Type", "application/json")
			rw.WriteHeader(status)
			// The error is ignored: the client may have disconnected.
			_ = json.NewEncoder(rw).Encode(answer)
			return
		}
		time.Sleep(tickPeriod)
	}
}

func (w *PlatformWorker) rate() float64 {
	if w.ClockRate == 0 {
		return 1
	}
	return w.ClockRate
}

func (w *PlatformWorker) clock() int64 {
	return int64(float64(time.Since(w.booted)) * w.rate() / float64(time.Millisecond))
}

func (w *PlatformWorker) leaseEnd() time.Time {
	return w.booted.Add(time.Duration(float64(w.leaseUntil) * float64(time.Millisecond) / w.rate()))
}

// execute carries out a call. It returns no answer if the worker is down, was
// restarted since the call arrived, or crashes.
func (w *PlatformWorker) execute(call string, command platformCommand, life int) (map[string]any, int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDown() || w.life != life {
		return nil, 0, false
	}
	w.boot()
	w.endDueRuns()
	if command.Epoch < w.epoch {
		return w.conflict("fence")
	}
	w.epoch = command.Epoch
	w.extendLease(command.Deadline)
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

func (w *PlatformWorker) extendLease(deadline int64) {
	if w.MaxLease > 0 {
		deadline = min(deadline, w.clock()+w.MaxLease.Milliseconds())
	}
	if deadline > w.leaseUntil {
		w.leaseUntil, w.lapsed = deadline, false
	}
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
	case !w.fits(command.Task):
		return w.conflict("room")
	default:
		length, outcome := w.Length, "done"
		if w.LengthOf != nil {
			length = w.LengthOf(command.Task)
		}
		if w.OutcomeOf != nil {
			outcome = w.OutcomeOf(command.Task, command.Run)
		}
		endsAt := time.Now().Add(length)
		if w.LongRunning != nil && w.LongRunning(command.Task) {
			endsAt = time.Now().Add(time.Hour)
		}
		gang := w.Gangs.join(command.Task, command.Run, length, outcome)
		w.runs[command.Task] = &platformRun{number: command.Run, endsAt: endsAt, outcome: outcome, gang: gang}
		w.Ledger.startRun(command.Task)
		w.record(PlatformEvent{Time: time.Now(), Kind: "start", Task: command.Task, Run: command.Run, Epoch: command.Epoch, Caller: command.caller})
		if w.CrashedBy != nil && w.CrashedBy(command.Task) {
			w.restart()
			w.crashedUntil = time.Now().Add(w.CrashTime)
			return nil, 0, false
		}
	}
	return map[string]any{"clock-ms": w.clock()}, http.StatusOK, false
}

// fits reports whether a task fits beside those that run; the caller holds the mutex.
func (w *PlatformWorker) fits(task string) bool {
	if w.Fits == nil {
		return true
	}
	running := make([]string, 0, len(w.runs))
	for other := range w.runs {
		running = append(running, other)
	}
	return w.Fits(task, running)
}

func (w *PlatformWorker) stop(command platformCommand) {
	w.highestRun[command.Task] = max(w.highestRun[command.Task], command.Run)
	if run := w.runs[command.Task]; run != nil && run.number == command.Run {
		due, _ := run.due(command.Task)
		run.endsAt = due
		if end := time.Now().Add(w.StopTime); end.Before(due) {
			run.endsAt = end
		}
		run.outcome = "stopped"
	}
}

// endDueRuns ends the runs whose lease has expired or whose end is due; the caller holds
// the mutex.
func (w *PlatformWorker) endDueRuns() {
	now, leaseEnd := time.Now(), w.leaseEnd()
	if now.After(leaseEnd) && !w.lapsed {
		w.lapsed = true
		w.record(PlatformEvent{Time: leaseEnd, Kind: "lapsed"})
	}
	for task, run := range w.runs {
		end, outcome := run.due(task)
		if leaseEnd.Before(end) {
			end, outcome = leaseEnd, "lapsed"
		}
		if !now.After(end) {
			continue
		}
		delete(w.runs, task)
		run.end(end, outcome)
		w.highestRun[task] = max(w.highestRun[task], run.number)
		w.endCount++
		w.unacknowledged = append(w.unacknowledged, platformEnd{number: w.endCount, task: task, run: run.number, outcome: outcome})
		w.Ledger.endRun(task, outcome)
		w.record(PlatformEvent{Time: end, Kind: "end", Task: task, Run: run.number, Outcome: outcome})
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
			continue
		}
		w.record(PlatformEvent{
			Time: time.Now(), Kind: "acknowledged", Task: end.task, Run: end.run, Outcome: end.outcome, Epoch: command.Epoch, Caller: command.caller,
		})
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

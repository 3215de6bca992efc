package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"zinniashore.example/commander"
	"zinniashore.example/placer"
)

const (
	tickPeriod                 = 2 * time.Millisecond
	defaultUsageLag            = time.Second
	defaultServiceMilliseconds = 5
)

// Behaviour describes how the tasks of a template really behave.
type Behaviour struct {
	// WorkFactor is the ratio of the true work to the declared work, 1 if zero.
	WorkFactor float64 `json:"work_factor"`
	// UseFactor is the ratio of the processors used to those reserved, 1 if zero.
	UseFactor float64 `json:"use_factor"`
	// Fails makes each task of the template fail.
	Fails bool `json:"fails"`
	// ServiceMilliseconds is the service time of a service instance, 5 ms if zero.
	ServiceMilliseconds int64 `json:"service_milliseconds"`
	// Slowdown is, by template, the factor by which one co-located task of that template
	// slows down a task of this one.
	Slowdown map[string]float64 `json:"slowdown"`
}

// WorkerFaults are the faults that a Worker injects.
type WorkerFaults struct {
	// FailAll makes each task fail.
	FailAll bool `json:"fail_all"`
	// Frozen leaves commands unanswered and halts the progress of tasks, while leases
	// still expire. Commands that arrive meanwhile take effect when the fault ends.
	Frozen bool `json:"frozen"`
	// Cut closes each connection before a command takes effect.
	Cut bool `json:"cut"`
	// LoseAnswers is the number of coming answers to lose after the command took effect.
	LoseAnswers int `json:"lose_answers"`
	// LoseEvery loses every LoseEvery-th answer after the command took effect, if above
	// zero.
	LoseEvery int `json:"lose_every"`
}

// Worker is a stand-in for a worker of the platform. Its exported fields are
// set before Start.
type Worker struct {
	// ID is the worker's id.
	ID string
	// FailureDomain is the worker's failure domain.
	FailureDomain string
	// Rack is the worker's rack.
	Rack string
	// Capacity is the worker's capacity.
	Capacity placer.Size
	// Templates are the behaviours of tasks, by template.
	Templates map[string]Behaviour
	// UsageLag is the minimum time between updates of a task's reported usage, one second
	// if zero.
	UsageLag time.Duration
	// Ledger records the history of runs. Workers may share it. Start sets it if it is nil.
	Ledger *Ledger

	ctx           context.Context
	incarnation   string
	booted        time.Time
	mu            sync.Mutex
	faults        WorkerFaults
	thawed        chan struct{}
	advancedAt    time.Time
	answerCount   int
	calls         map[string]int64
	templateSizes map[string]placer.Size
	endpoints     []*Endpoint
	killed        bool
	callBytes     int64
	cells         map[string]*workerCell
}

// workerCell is the state that a worker keeps for one cell.
type workerCell struct {
	epoch      int64
	leaseUntil time.Duration
	tasks      map[string]*workerTask
	// fences are, by task, the latest attempt that may not start before the clock has
	// passed the time of the fence.
	fences map[string]workerFence
}

type workerFence struct {
	attempt int64
	until   time.Duration
}

// Start listens on address and serves until ctx ends, which kills the worker. It returns
// the IP address and port that it listens on.
func (w *Worker) Start(ctx context.Context, address string) (string, error) {
	w.ctx = ctx
	w.booted = time.Now()
	w.advancedAt = w.booted
	w.incarnation = w.ID + "-" + strconv.FormatInt(w.booted.UnixNano(), 36)
	w.thawed = make(chan struct{})
	close(w.thawed)
	w.cells = map[string]*workerCell{}
	w.calls = map[string]int64{}
	w.templateSizes = map[string]placer.Size{}
	if w.Ledger == nil {
		w.Ledger = &Ledger{}
	}
	go w.runTicker(ctx)
	return Listen(ctx, address, w)
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(faults WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if faults.Frozen && !w.faults.Frozen {
		w.thawed = make(chan struct{})
	}
	if !faults.Frozen && w.faults.Frozen {
		close(w.thawed)
	}
	w.faults = faults
}

// Calls returns the number of commands by operation, and the bytes of their requests and
// answers in total.
func (w *Worker) Calls() (map[string]int64, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls := map[string]int64{}
	for operation, count := range w.calls {
		calls[operation] = count
	}
	return calls, w.callBytes
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/control/faults":
		var faults WorkerFaults
		if readMessage(rw, r, &faults) {
			w.SetFaults(faults)
			writeMessage(rw, faults)
		}
		return
	case "/control/counts":
		writeMessage(rw, w.Counts())
		return
	case "/control/history":
		writeMessage(rw, historyMessage{Runs: w.Ledger.Runs(), Overruns: w.Ledger.Overruns()})
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil || !w.awaitDelivery() {
		dropConnection(rw)
		return
	}
	w.serve(rw, r, strings.TrimPrefix(r.URL.Path, "/v1/"), content)
}

type historyMessage struct {
	Runs     []Run    `json:"runs"`
	Overruns []string `json:"overruns"`
}

// awaitDelivery waits while the worker is frozen and reports whether the command reaches
// the worker.
func (w *Worker) awaitDelivery() bool {
	w.mu.Lock()
	thawed := w.thawed
	w.mu.Unlock()
	select {
	case <-thawed:
	case <-w.ctx.Done():
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.faults.Cut && w.ctx.Err() == nil
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request, operation string, content []byte) {
	status, answer := w.execute(operation, content)
	body, err := json.Marshal(answer)
	if err != nil || w.shouldLoseAnswer(operation, len(content)+len(body)) {
		dropConnection(rw)
		return
	}
	writeCompressed(rw, r, status, body)
}

// shouldLoseAnswer counts a command and reports whether its answer is to be lost.
func (w *Worker) shouldLoseAnswer(operation string, size int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[operation]++
	w.callBytes += int64(size)
	w.answerCount++
	if w.faults.LoseAnswers > 0 {
		w.faults.LoseAnswers--
		return true
	}
	return w.faults.LoseEvery > 0 && w.answerCount%w.faults.LoseEvery == 0
}

// execute applies one command and returns the HTTP status and the answer.
func (w *Worker) execute(operation string, content []byte) (int, commander.AnswerMessage) {
	var start commander.StartMessage
	var tasks commander.TasksMessage
	if json.Unmarshal(content, &start) != nil || json.Unmarshal(content, &tasks) != nil {
		return http.StatusBadRequest, commander.AnswerMessage{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.killed {
		return http.StatusServiceUnavailable, commander.AnswerMessage{}
	}
	w.advance()
	answer := commander.AnswerMessage{Incarnation: w.incarnation, ClockMicroseconds: w.clock().Microseconds()}
	header := tasks.HeaderMessage
	cell := w.cell(header.Cell)
	answer.Epoch = cell.epoch
	if header.Epoch < cell.epoch {
		return http.StatusConflict, answer
	}
	cell.epoch = header.Epoch
	answer.Epoch = cell.epoch
	if header.Incarnation != "" && header.Incarnation != w.incarnation {
		answer.Refused = "another incarnation"
		return http.StatusOK, answer
	}
	cell.leaseUntil = max(cell.leaseUntil, time.Duration(header.UntilMicroseconds)*time.Microsecond)
	answer.Tasks, answer.Refused = w.apply(operation, cell, start, tasks)
	return http.StatusOK, answer
}

func (w *Worker) apply(operation string, cell *workerCell, start commander.StartMessage, tasks commander.TasksMessage) ([]commander.ReportMessage, string) {
	until := time.Duration(tasks.UntilMicroseconds) * time.Microsecond
	switch operation {
	case "start":
		return w.start(cell, start)
	case "renew":
		return cell.reports(), ""
	case "stop", "checkpoint":
		return w.stop(cell, tasks.Tasks, until, operation == "checkpoint"), ""
	case "throttle":
		return cell.throttle(tasks), ""
	case "resize":
		return w.resize(cell, tasks), ""
	case "forget":
		cell.forget(tasks.Tasks, until)
		return nil, ""
	}
	return nil, "unknown command"
}

func (w *Worker) start(cell *workerCell, start commander.StartMessage) ([]commander.ReportMessage, string) {
	known := cell.tasks[start.Task]
	switch {
	case known != nil && known.message.Attempt == start.Attempt:
		return []commander.ReportMessage{known.report()}, ""
	case known != nil && known.message.Attempt > start.Attempt:
		return nil, "a newer attempt is known"
	case known != nil && !known.state.Ended():
		return nil, "an older attempt runs"
	case cell.fences[start.Task].attempt >= start.Attempt && cell.fences[start.Task].attempt > 0:
		return nil, "the attempt has ended"
	case w.clock() >= time.Duration(start.UntilMicroseconds)*time.Microsecond:
		return nil, "the lease has lapsed"
	}
	task := w.newTask(start)
	cell.tasks[start.Task] = task
	w.checkCapacity(start.Task)
	return []commander.ReportMessage{task.report()}, ""
}

// trueSize returns the usage of a task, which does not depend on the task's own
// reservation: it is the reservation of the first task of its template.
func (w *Worker) trueSize(start commander.StartMessage) placer.Size {
	size, known := w.templateSizes[start.Template]
	if !known {
		size = placer.Size{Processors: start.Processors, Memory: start.Memory, Accelerators: start.Accelerators}
		w.templateSizes[start.Template] = size
	}
	return size
}

// resize changes the reservations of running attempts.
func (w *Worker) resize(cell *workerCell, tasks commander.TasksMessage) []commander.ReportMessage {
	var reports []commander.ReportMessage
	for _, ref := range tasks.Tasks {
		task := cell.tasks[ref.Task]
		if task == nil || tasks.Size == nil || task.message.Attempt != ref.Attempt || task.state.Ended() {
			continue
		}
		task.message.Processors = tasks.Size.Processors
		task.message.Memory = tasks.Size.Memory
		task.message.Accelerators = tasks.Size.Accelerators
		w.checkCapacity("the resize of " + ref.Task)
		reports = append(reports, task.report())
	}
	return reports
}

// Counts returns the counts of all endpoints that the worker has ever run: Total and Runs
// as sums, MaxInFlight and MaxConnections as the maximum of any one endpoint. Refused and
// InFlight are zero.
func (w *Worker) Counts() EndpointCounts {
	w.mu.Lock()
	endpoints := slices.Clone(w.endpoints)
	w.mu.Unlock()
	total := EndpointCounts{Runs: map[string]int{}}
	for _, endpoint := range endpoints {
		counts := endpoint.Counts()
		total.Total += counts.Total
		total.MaxInFlight = max(total.MaxInFlight, counts.MaxInFlight)
		total.MaxConnections = max(total.MaxConnections, counts.MaxConnections)
		for key, runs := range counts.Runs {
			total.Runs[key] += runs
		}
	}
	return total
}

// Reserved returns the sum of the reservations of the running tasks.
func (w *Worker) Reserved() placer.Size {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reserved()
}

func (w *Worker) reserved() placer.Size {
	var used placer.Size
	for _, cell := range w.cells {
		for _, task := range cell.tasks {
			if !task.state.Ended() {
				used = used.Plus(placer.Size{Processors: task.message.Processors, Memory: task.message.Memory, Accelerators: task.message.Accelerators})
			}
		}
	}
	return used
}

func (w *Worker) checkCapacity(cause string) {
	if used := w.reserved(); !used.Within(w.Capacity) {
		w.Ledger.addOverrun(fmt.Sprintf("%s: %+v is past %+v with %s", w.ID, used, w.Capacity, cause))
	}
}

func (w *Worker) stop(cell *workerCell, refs []commander.RefMessage, until time.Duration, checkpoint bool) []commander.ReportMessage {
	var reports []commander.ReportMessage
	for _, ref := range refs {
		task := cell.tasks[ref.Task]
		if task == nil || task.message.Attempt < ref.Attempt {
			cell.fence(ref, until)
			reports = append(reports, commander.ReportMessage{Task: ref.Task, Attempt: ref.Attempt, State: string(commander.TaskStopped)})
			continue
		}
		if task.message.Attempt == ref.Attempt && !task.state.Ended() {
			w.stopTask(task, checkpoint)
		}
		reports = append(reports, task.report())
	}
	return reports
}

func (w *Worker) cell(name string) *workerCell {
	cell := w.cells[name]
	if cell == nil {
		cell = &workerCell{tasks: map[string]*workerTask{}, fences: map[string]workerFence{}}
		w.cells[name] = cell
	}
	return cell
}

func (w *Worker) clock() time.Duration { return time.Since(w.booted) }

func (w *Worker) runTicker(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.Kill()
			return
		case <-ticker.C:
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}
}

// Kill ends the worker and its tasks at once. Later commands have no effect.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.killed {
		return
	}
	w.killed = true
	for _, cell := range w.cells {
		for _, task := range cell.tasks {
			if !task.state.Ended() {
				w.endTask(task, commander.TaskExpired, RunKilled, time.Now())
				continue
			}
			w.Ledger.update(func() { task.run.Discarded = true })
		}
	}
}

func (c *workerCell) reports() []commander.ReportMessage {
	var reports []commander.ReportMessage
	for _, task := range c.tasks {
		reports = append(reports, task.report())
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Task < reports[j].Task })
	return reports
}

func (c *workerCell) throttle(message commander.TasksMessage) []commander.ReportMessage {
	var reports []commander.ReportMessage
	for _, ref := range message.Tasks {
		task := c.tasks[ref.Task]
		if task != nil && task.message.Attempt == ref.Attempt {
			task.throttle = message.Throttle
			reports = append(reports, task.report())
		}
	}
	return reports
}

func (c *workerCell) forget(refs []commander.RefMessage, until time.Duration) {
	for _, ref := range refs {
		task := c.tasks[ref.Task]
		if task != nil && task.message.Attempt == ref.Attempt && task.state.Ended() {
			delete(c.tasks, ref.Task)
			c.fence(ref, until)
		}
	}
}

// fence makes the worker refuse the attempt and earlier ones until the lease of every
// start of it that is still in transit has expired.
func (c *workerCell) fence(ref commander.RefMessage, until time.Duration) {
	fence := c.fences[ref.Task]
	c.fences[ref.Task] = workerFence{attempt: max(fence.attempt, ref.Attempt), until: max(fence.until, until)}
}

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
	workerStep       = 2 * time.Millisecond
	defaultUsageLag  = time.Second
	defaultServiceMs = 5
)

// Behaviour is what the tasks of a template really do.
type Behaviour struct {
	// WorkFactor is the true run time over the declared one, 1 if zero.
	WorkFactor float64 `json:"work_factor"`
	// UseFactor is the true use of processors over the reserved, 1 if zero.
	UseFactor float64 `json:"use_factor"`
	// Fails makes each task of the template fail.
	Fails bool `json:"fails"`
	// ServiceMilliseconds is the service time of a service instance.
	ServiceMilliseconds int64 `json:"service_milliseconds"`
	// Slowdown is the factor by which one task of another template beside it
	// slows a task of this one.
	Slowdown map[string]float64 `json:"slowdown"`
}

// WorkerFaults are the faults that a Worker shows.
type WorkerFaults struct {
	// FailAll makes each task fail.
	FailAll bool `json:"fail_all"`
	// Frozen leaves commands unanswered, and tasks do not proceed. Leases end.
	// Commands that came meanwhile take effect when it is over.
	Frozen bool `json:"frozen"`
	// Cut closes each connection before a command takes effect.
	Cut bool `json:"cut"`
	// LoseAnswers is the number of coming answers to lose after the effect.
	LoseAnswers int `json:"lose_answers"`
	// LoseEvery loses each answer of that ordinal after the effect, if above zero.
	LoseEvery int `json:"lose_every"`
}

// Worker is a stand-in for a worker of the platform. Its exported fields are
// set before Start.
type Worker struct {
	// ID names the worker.
	ID string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Rack is its rack.
	Rack string
	// Capacity is what it can carry.
	Capacity placer.Size
	// Templates are the behaviours by template.
	Templates map[string]Behaviour
	// UsageLag is how old reported usage is, a second if zero.
	UsageLag time.Duration
	// Ledger keeps the history. It may be shared by workers.
	Ledger *Ledger

	ctx         context.Context
	incarnation string
	booted      time.Time
	mu          sync.Mutex
	faults      WorkerFaults
	thawed      chan struct{}
	settled     time.Time
	answers     int
	calls       map[string]int64
	sizes       map[string]placer.Size
	endpoints   []*Endpoint
	dead        bool
	bytes       int64
	cells       map[string]*workerCell
}

// workerCell is what a worker keeps of one cell.
type workerCell struct {
	epoch int64
	until time.Duration
	tasks map[string]*workerTask
	// fences are attempts that can never start, until the clock is past the value.
	fences map[string]workerFence
}

type workerFence struct {
	attempt int64
	until   time.Duration
}

// Start listens on address and serves until ctx ends, which kills its tasks. It
// returns the IP address and port that it listens on.
func (w *Worker) Start(ctx context.Context, address string) (string, error) {
	w.ctx = ctx
	w.booted = time.Now()
	w.settled = w.booted
	w.incarnation = w.ID + "-" + strconv.FormatInt(w.booted.UnixNano(), 36)
	w.thawed = make(chan struct{})
	close(w.thawed)
	w.cells = map[string]*workerCell{}
	w.calls = map[string]int64{}
	w.sizes = map[string]placer.Size{}
	if w.Ledger == nil {
		w.Ledger = &Ledger{}
	}
	go w.work(ctx)
	return Listen(ctx, address, w)
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(faults WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if faults.Frozen && !w.faults.Frozen {
		w.thawed = make(chan struct{})
	}
	if !faults.Frozen && w.faults.Frozen {
		close(w.thawed)
	}
	w.faults = faults
}

// Calls returns the number of commands by operation, and their bytes both ways.
func (w *Worker) Calls() (map[string]int64, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls := map[string]int64{}
	for operation, count := range w.calls {
		calls[operation] = count
	}
	return calls, w.bytes
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
	if err != nil || !w.arrive() {
		dropConnection(rw)
		return
	}
	w.serve(rw, r, strings.TrimPrefix(r.URL.Path, "/v1/"), content)
}

type historyMessage struct {
	Runs     []Run    `json:"runs"`
	Overruns []string `json:"overruns"`
}

// arrive waits while the worker is frozen and reports whether the command
// reaches it.
func (w *Worker) arrive() bool {
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
	if err != nil || w.loseAnswer(operation, len(content)+len(body)) {
		dropConnection(rw)
		return
	}
	writeCompressed(rw, r, status, body)
}

func (w *Worker) loseAnswer(operation string, size int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[operation]++
	w.bytes += int64(size)
	w.answers++
	if w.faults.LoseAnswers > 0 {
		w.faults.LoseAnswers--
		return true
	}
	return w.faults.LoseEvery > 0 && w.answers%w.faults.LoseEvery == 0
}

// execute gives one command its effect.
func (w *Worker) execute(operation string, content []byte) (int, commander.AnswerMessage) {
	var start commander.StartMessage
	var tasks commander.TasksMessage
	if json.Unmarshal(content, &start) != nil || json.Unmarshal(content, &tasks) != nil {
		return http.StatusBadRequest, commander.AnswerMessage{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return http.StatusServiceUnavailable, commander.AnswerMessage{}
	}
	w.settle()
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
	cell.until = max(cell.until, time.Duration(header.UntilMicroseconds)*time.Microsecond)
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
	task := w.begin(start)
	cell.tasks[start.Task] = task
	w.checkCapacity(start.Task)
	return []commander.ReportMessage{task.report()}, ""
}

// trueSize returns what a task uses whatever is reserved for it: what was
// reserved for the first task of its template.
func (w *Worker) trueSize(start commander.StartMessage) placer.Size {
	size, known := w.sizes[start.Template]
	if !known {
		size = placer.Size{Processors: start.Processors, Memory: start.Memory, Accelerators: start.Accelerators}
		w.sizes[start.Template] = size
	}
	return size
}

// resize changes what is reserved for an attempt that runs.
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

// Counts returns the counts of all endpoints that the worker ever ran: sums, but
// the most of one endpoint for what was at once.
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

// Reserved returns what the tasks that run were given.
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
		w.Ledger.overrun(fmt.Sprintf("%s: %+v is past %+v with %s", w.ID, used, w.Capacity, cause))
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
			w.halt(task, checkpoint)
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

func (w *Worker) work(ctx context.Context) {
	ticker := time.NewTicker(workerStep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.Kill()
			return
		case <-ticker.C:
			w.mu.Lock()
			w.settle()
			w.mu.Unlock()
		}
	}
}

// Kill ends the worker with its tasks at once. No command takes effect afterwards.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.dead = true
	for _, cell := range w.cells {
		for _, task := range cell.tasks {
			if !task.state.Ended() {
				w.end(task, commander.TaskExpired, RunKilled, time.Now())
				continue
			}
			w.Ledger.change(func() { task.run.Discarded = true })
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

// fence refuses the attempt until every start of it that is under way has lapsed.
func (c *workerCell) fence(ref commander.RefMessage, until time.Duration) {
	fence := c.fences[ref.Task]
	c.fences[ref.Task] = workerFence{attempt: max(fence.attempt, ref.Attempt), until: max(fence.until, until)}
}

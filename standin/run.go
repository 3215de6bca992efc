package standin

import (
	"context"
	"strconv"
	"time"

	"zinniashore.example/commander"
	"zinniashore.example/placer"
)

type workerTask struct {
	message commander.StartMessage
	// size is the true usage of the task before its Behaviour's UseFactor applies.
	size         placer.Size
	run          *Run
	state        commander.TaskState
	progress     float64
	throttle     float64
	checkpoint   string
	address      string
	reason       string
	usageUpdated time.Time
	usage        placer.Size
	slowdown     float64
	stopEndpoint context.CancelFunc
}

func (w *Worker) newTask(start commander.StartMessage) *workerTask {
	now := time.Now()
	from, _ := strconv.ParseInt(start.Checkpoint, 10, 64)
	service := start.Class == string(placer.ClassService)
	task := &workerTask{
		message: start, size: w.trueSize(start), state: commander.TaskRunning, progress: float64(from), throttle: 1,
		usageUpdated: now, slowdown: 0, checkpoint: "",
		run: &Run{
			Task: start.Task, Attempt: start.Attempt, Worker: w.ID, Cell: start.Cell, Epoch: start.Epoch,
			Service: service, From: from, Started: now.UnixNano(), State: RunRunning,
		},
	}
	w.Ledger.addRun(task.run)
	if service {
		w.startEndpoint(task)
	}
	return task
}

// startEndpoint starts the endpoint of a service instance. If that fails, the task fails.
func (w *Worker) startEndpoint(task *workerTask) {
	milliseconds := w.Templates[task.message.Template].ServiceMilliseconds
	if milliseconds == 0 {
		milliseconds = defaultServiceMilliseconds
	}
	ctx, cancel := context.WithCancel(w.ctx)
	endpoint := &Endpoint{
		Service: task.message.Task, Slots: task.message.Slots, Connections: task.message.Connections,
		ServiceTime: time.Duration(milliseconds) * time.Millisecond,
	}
	address, err := endpoint.Start(ctx, "127.0.0.1:0")
	task.stopEndpoint = cancel
	if err != nil {
		w.endTask(task, commander.TaskFailed, RunFailed, time.Now())
		task.reason = err.Error()
		return
	}
	task.address = address
	w.endpoints = append(w.endpoints, endpoint)
}

func (w *Worker) stopTask(task *workerTask, checkpoint bool) {
	state := RunStopped
	if checkpoint && !task.run.Service {
		task.checkpoint = strconv.FormatInt(int64(task.progress), 10)
		state = RunCheckpointed
	}
	w.endTask(task, commander.TaskStopped, state, time.Now())
}

// endTask ends a running task and records the end in the ledger.
func (w *Worker) endTask(task *workerTask, state commander.TaskState, runState RunState, at time.Time) {
	task.state = state
	if task.stopEndpoint != nil {
		task.stopEndpoint()
	}
	w.Ledger.update(func() {
		task.run.State = runState
		task.run.Ended = at.UnixNano()
		task.run.To = int64(task.progress)
	})
}

// advance expires leases and advances the progress of tasks up to now; the caller holds
// the mutex.
func (w *Worker) advance() {
	now := time.Now()
	elapsed := now.Sub(w.advancedAt)
	w.advancedAt = now
	for _, cell := range w.cells {
		w.expireLeases(cell)
	}
	if w.faults.Frozen {
		return
	}
	templateCounts := w.countTemplates()
	for _, cell := range w.cells {
		for _, task := range cell.tasks {
			if !task.state.Ended() {
				w.advanceTask(task, now, elapsed, templateCounts)
			}
		}
	}
}

// expireLeases removes the expired fences of a cell. If the cell's lease has expired, it
// ends the cell's running tasks and discards unacknowledged results and checkpoints.
func (w *Worker) expireLeases(cell *workerCell) {
	clock := w.clock()
	for task, fence := range cell.fences {
		if clock >= fence.until {
			delete(cell.fences, task)
		}
	}
	if clock < cell.leaseUntil {
		return
	}
	for _, task := range cell.tasks {
		switch task.state {
		case commander.TaskRunning:
			w.endTask(task, commander.TaskExpired, RunExpired, w.booted.Add(cell.leaseUntil))
		case commander.TaskDone, commander.TaskStopped:
			task.state = commander.TaskExpired
			task.checkpoint = ""
			w.Ledger.update(func() { task.run.Discarded = true })
		}
	}
}

func (w *Worker) countTemplates() map[string]int {
	count := map[string]int{}
	for _, cell := range w.cells {
		for _, task := range cell.tasks {
			if !task.state.Ended() {
				count[task.message.Template]++
			}
		}
	}
	return count
}

func (w *Worker) advanceTask(task *workerTask, now time.Time, elapsed time.Duration, templateCounts map[string]int) {
	behaviour := w.Templates[task.message.Template]
	if w.faults.FailAll || behaviour.Fails {
		task.reason = "exit status 1"
		w.endTask(task, commander.TaskFailed, RunFailed, now)
		return
	}
	slowdown := behaviour.slowdown(task.message.Template, templateCounts)
	w.updateUsage(task, now, behaviour, slowdown)
	if task.run.Service {
		return
	}
	ran := min(elapsed, now.Sub(time.Unix(0, task.run.Started)))
	task.progress += float64(ran) / float64(time.Millisecond) * task.throttle / slowdown
	work := float64(task.message.WorkMilliseconds)
	if behaviour.WorkFactor > 0 {
		work *= behaviour.WorkFactor
	}
	if task.progress >= work {
		task.progress = work
		w.endTask(task, commander.TaskDone, RunDone, now)
	}
}

// updateUsage updates the reported usage and slowdown of a task, at most once per
// UsageLag.
func (w *Worker) updateUsage(task *workerTask, now time.Time, behaviour Behaviour, slowdown float64) {
	lag := w.UsageLag
	if lag == 0 {
		lag = defaultUsageLag
	}
	if now.Sub(task.usageUpdated) < lag {
		return
	}
	task.usageUpdated = now
	task.usage = task.size
	if behaviour.UseFactor > 0 {
		task.usage.Processors = int64(float64(task.size.Processors) * behaviour.UseFactor)
	}
	if task.run.Service {
		task.slowdown = slowdown
	}
}

func (b Behaviour) slowdown(template string, templateCounts map[string]int) float64 {
	slowdown := 1.0
	for other, count := range templateCounts {
		if other == template {
			count--
		}
		if factor := b.Slowdown[other]; factor > 0 {
			slowdown += (factor - 1) * float64(count)
		}
	}
	return slowdown
}

func (t *workerTask) report() commander.ReportMessage {
	return commander.ReportMessage{
		Task: t.message.Task, Attempt: t.message.Attempt, State: string(t.state),
		Address: t.address, Checkpoint: t.checkpoint, Processors: t.usage.Processors,
		Memory: t.usage.Memory, Accelerators: t.usage.Accelerators,
		Slowdown: t.slowdown, Reason: t.reason,
	}
}

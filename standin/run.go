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
	// size is what the task really uses before its Behaviour's UseFactor.
	size       placer.Size
	run        *Run
	state      commander.TaskState
	progress   float64
	throttle   float64
	checkpoint string
	address    string
	reason     string
	reported   time.Time
	usage      placer.Size
	slowdown   float64
	close      context.CancelFunc
}

func (w *Worker) begin(start commander.StartMessage) *workerTask {
	now := time.Now()
	from, _ := strconv.ParseInt(start.Checkpoint, 10, 64)
	service := start.Class == string(placer.ClassService)
	task := &workerTask{
		message: start, size: w.trueSize(start), state: commander.TaskRunning, progress: float64(from), throttle: 1,
		reported: now, slowdown: 0, checkpoint: "",
		run: &Run{
			Task: start.Task, Attempt: start.Attempt, Worker: w.ID, Cell: start.Cell, Epoch: start.Epoch,
			Service: service, From: from, Started: now.UnixNano(), State: RunRunning,
		},
	}
	w.Ledger.begin(task.run)
	if service {
		w.open(task)
	}
	return task
}

// open starts the endpoint of a service instance.
func (w *Worker) open(task *workerTask) {
	milliseconds := w.Templates[task.message.Template].ServiceMilliseconds
	if milliseconds == 0 {
		milliseconds = defaultServiceMs
	}
	ctx, cancel := context.WithCancel(w.ctx)
	endpoint := &Endpoint{
		Service: task.message.Task, Slots: task.message.Slots, Connections: task.message.Connections,
		ServiceTime: time.Duration(milliseconds) * time.Millisecond,
	}
	address, err := endpoint.Start(ctx, "127.0.0.1:0")
	task.close = cancel
	if err != nil {
		w.end(task, commander.TaskFailed, RunFailed, time.Now())
		task.reason = err.Error()
		return
	}
	task.address = address
	w.endpoints = append(w.endpoints, endpoint)
}

func (w *Worker) halt(task *workerTask, checkpoint bool) {
	state := RunStopped
	if checkpoint && !task.run.Service {
		task.checkpoint = strconv.FormatInt(int64(task.progress), 10)
		state = RunCheckpointed
	}
	w.end(task, commander.TaskStopped, state, time.Now())
}

// end ends a running task.
func (w *Worker) end(task *workerTask, state commander.TaskState, runState RunState, at time.Time) {
	task.state = state
	if task.close != nil {
		task.close()
	}
	w.Ledger.change(func() {
		task.run.State = runState
		task.run.Ended = at.UnixNano()
		task.run.To = int64(task.progress)
	})
}

// settle brings leases and progress up to now; the caller holds the mutex.
func (w *Worker) settle() {
	now := time.Now()
	elapsed := now.Sub(w.settled)
	w.settled = now
	for _, cell := range w.cells {
		w.lapse(cell)
	}
	if w.faults.Frozen {
		return
	}
	neighbours := w.templates()
	for _, cell := range w.cells {
		for _, task := range cell.tasks {
			if !task.state.Ended() {
				w.proceed(task, now, elapsed, neighbours)
			}
		}
	}
}

// lapse ends the tasks of a cell whose lease is over.
func (w *Worker) lapse(cell *workerCell) {
	clock := w.clock()
	for task, fence := range cell.fences {
		if clock >= fence.until {
			delete(cell.fences, task)
		}
	}
	if clock < cell.until {
		return
	}
	for _, task := range cell.tasks {
		switch task.state {
		case commander.TaskRunning:
			w.end(task, commander.TaskExpired, RunLapsed, w.booted.Add(cell.until))
		case commander.TaskDone, commander.TaskStopped:
			task.state = commander.TaskExpired
			task.checkpoint = ""
			w.Ledger.change(func() { task.run.Discarded = true })
		}
	}
}

func (w *Worker) templates() map[string]int {
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

func (w *Worker) proceed(task *workerTask, now time.Time, elapsed time.Duration, neighbours map[string]int) {
	behaviour := w.Templates[task.message.Template]
	if w.faults.FailAll || behaviour.Fails {
		task.reason = "exit status 1"
		w.end(task, commander.TaskFailed, RunFailed, now)
		return
	}
	slowdown := behaviour.slowdown(task.message.Template, neighbours)
	w.measure(task, now, behaviour, slowdown)
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
		w.end(task, commander.TaskDone, RunDone, now)
	}
}

// measure refreshes what is reported of a task once the lag has passed.
func (w *Worker) measure(task *workerTask, now time.Time, behaviour Behaviour, slowdown float64) {
	lag := w.UsageLag
	if lag == 0 {
		lag = defaultUsageLag
	}
	if now.Sub(task.reported) < lag {
		return
	}
	task.reported = now
	task.usage = task.size
	if behaviour.UseFactor > 0 {
		task.usage.Processors = int64(float64(task.size.Processors) * behaviour.UseFactor)
	}
	if task.run.Service {
		task.slowdown = slowdown
	}
}

func (b Behaviour) slowdown(template string, neighbours map[string]int) float64 {
	slowdown := 1.0
	for other, count := range neighbours {
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

package owner

import (
	"sort"
	"strings"
	"time"

	"zinniashore.example/placer"
)

// Status is the status of the cells that a process owns.
type Status struct {
	// Process is the name of the process.
	Process string
	// Cells are the owned cells, sorted by id.
	Cells []CellStatus
}

// CellStatus is the status of one owned cell.
type CellStatus struct {
	// Cell is the id of the cell.
	Cell string
	// Epoch is the fencing epoch of the ownership.
	Epoch int64
	// Granting is true if new tasks are started. Without a valid session it is
	// false, and tasks that were started keep running.
	Granting bool
	// Workers are the workers of the cell, sorted by id.
	Workers []WorkerStatus
	// Tasks are the tasks of the cell, sorted by id. Waiting tasks without a record
	// are included only if the last decision gave a reason for them.
	Tasks []TaskStatus
	// OmittedTasks is the number of waiting tasks that Tasks does not include.
	OmittedTasks int
}

// WorkerStatus is the status of one worker.
type WorkerStatus struct {
	// Worker is the id of the worker.
	Worker string
	// State is the state of the worker.
	State placer.WorkerState
	// Reserved is the sum of the reservations of all tasks that may run on the worker.
	Reserved placer.Size
	// Quarantined is when the worker was quarantined, zero if it is not.
	Quarantined time.Time
	// Capacity is the total size of the tasks that the worker can run at once.
	Capacity placer.Size
}

// TaskStatus is the status of one task.
type TaskStatus struct {
	// Task is the id of the task.
	Task string
	// State is the phase of the task.
	State string
	// Worker is the id of the worker where the task may run, empty if none.
	Worker string
	// Attempt is the number of the last attempt.
	Attempt int64
	// Reserved is the size reserved on the worker, zero if the task has none.
	Reserved placer.Size
	// Code is the code of the reason why the task waits.
	Code placer.ReasonCode
	// Reason is the reason in words.
	Reason string
}

// Status returns the status of the owned cells.
func (o *Owner) Status() Status {
	o.initialise()
	status := Status{Process: o.Process}
	for _, h := range o.sortedHolderStates() {
		o.mu.Lock()
		c := h.cell
		o.mu.Unlock()
		if c == nil {
			continue
		}
		if s, ok := c.requestStatus(); ok {
			status.Cells = append(status.Cells, s)
		}
	}
	return status
}

// requestStatus returns the status of the cell as its goroutine sees it. It reports
// false if the cell has ended.
func (c *cell) requestStatus() (CellStatus, bool) {
	answer := make(chan CellStatus, 1)
	select {
	case <-c.ctx.Done():
		return CellStatus{}, false
	case c.inbox <- func() { answer <- c.status() }:
		return <-answer, true
	}
}

func (c *cell) status() CellStatus {
	s := CellStatus{Cell: c.spec.ID, Epoch: c.tenure.epoch, Granting: c.mayStartTasks()}
	used, now := c.reservedByWorker(), c.now()
	for _, w := range c.sortedWorkers() {
		state := c.workerState(w, now)
		if c.failures.isQuarantined(w.vm.ID) {
			state = placer.WorkerQuarantined
		}
		s.Workers = append(s.Workers, WorkerStatus{
			Worker: w.vm.ID, State: state, Reserved: used[w.vm.ID], Capacity: w.vm.Capacity,
			Quarantined: c.failures.quarantinedSince(w.vm.ID),
		})
	}
	for _, t := range c.sortedTasks() {
		w := c.waitReasons[t.record.id]
		s.Tasks = append(s.Tasks, TaskStatus{
			Task: t.record.id, State: string(t.phase), Worker: t.worker(), Attempt: t.record.attempt,
			Reserved: t.reservation(), Code: w.Code, Reason: w.Detail,
		})
	}
	listed := c.addWaiting(&s)
	s.OmittedTasks = c.countWaiting() - listed
	sort.Slice(s.Tasks, func(i, j int) bool { return s.Tasks[i].Task < s.Tasks[j].Task })
	return s
}

// addWaiting adds the waiting tasks that have no record to s and returns their number.
func (c *cell) addWaiting(s *CellStatus) int {
	count := 0
	for id, w := range c.waitReasons {
		if c.tasks[id] == nil {
			count++
			s.Tasks = append(s.Tasks, TaskStatus{Task: id, State: string(phaseWaiting), Code: w.Code, Reason: w.Detail})
		}
	}
	return count
}

func (c *cell) countWaiting() int {
	count := 0
	for _, view := range c.jobs {
		if view.wanted() {
			ended := view.progress.done.count() + view.progress.failed.count()
			count += view.job.Tasks - ended - len(view.activeTasks)
		}
	}
	return count
}

func sortWorkers(workers []*workerView) {
	sort.Slice(workers, func(i, j int) bool { return workers[i].vm.ID < workers[j].vm.ID })
}

// serviceName returns the name of a service from the key of its group.
func serviceName(group string) string { return group[strings.LastIndexByte(group, '/')+1:] }

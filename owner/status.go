package owner

import (
	"sort"
	"strings"
	"time"

	"zinniashore.example/placer"
)

// Status is what a process knows of the cells that it owns.
type Status struct {
	// Process is the process.
	Process string
	// Cells are the owned cells, sorted by id.
	Cells []CellStatus
}

// CellStatus is the status of one owned cell.
type CellStatus struct {
	// Cell is the id of the cell, and Epoch the epoch of its ownership.
	Cell string
	// Epoch is the fencing epoch.
	Epoch int64
	// Granting tells that new tasks are started; without a valid session what
	// was granted goes on.
	Granting bool
	// Workers are the workers of the cell, sorted by id.
	Workers []WorkerStatus
	// Tasks are the tasks of the cell, sorted by id; of the waiting ones as
	// many as the last decision saw.
	Tasks []TaskStatus
	// Unseen is the number of waiting tasks behind those.
	Unseen int
}

// WorkerStatus is the status of one worker.
type WorkerStatus struct {
	// Worker is the id of the worker.
	Worker string
	// State is its state.
	State placer.WorkerState
	// Reserved is what everything that may run there reserves.
	Reserved placer.Size
	// Quarantined is when its quarantine began, zero without one.
	Quarantined time.Time
	// Capacity is what it can carry.
	Capacity placer.Size
}

// TaskStatus is the status of one task.
type TaskStatus struct {
	// Task is the id of the task.
	Task string
	// State is how far it has come.
	State string
	// Worker is where it may run, empty if nowhere.
	Worker string
	// Attempt is the number of its last attempt.
	Attempt int64
	// Reserved is what it takes of its worker, zero if it has none.
	Reserved placer.Size
	// Code and Reason tell why it waits.
	Code placer.ReasonCode
	// Reason is the exact reason.
	Reason string
}

// Status returns the status of the owned cells.
func (o *Owner) Status() Status {
	o.initialise()
	status := Status{Process: o.Process}
	for _, h := range o.sortedHoldings() {
		o.mu.Lock()
		c := h.cell
		o.mu.Unlock()
		if c == nil {
			continue
		}
		if s, ok := c.ask(); ok {
			status.Cells = append(status.Cells, s)
		}
	}
	return status
}

// ask returns the status of a cell that runs.
func (c *cell) ask() (CellStatus, bool) {
	answer := make(chan CellStatus, 1)
	select {
	case <-c.ctx.Done():
		return CellStatus{}, false
	case c.inbox <- func() { answer <- c.status() }:
		return <-answer, true
	}
}

func (c *cell) status() CellStatus {
	s := CellStatus{Cell: c.spec.ID, Epoch: c.tenure.epoch, Granting: c.sound()}
	used, now := c.used(), c.now()
	for _, l := range c.sortedLinks() {
		state := c.state(l, now)
		if c.blamer.isQuarantined(l.vm.ID) {
			state = placer.WorkerQuarantined
		}
		s.Workers = append(s.Workers, WorkerStatus{
			Worker: l.vm.ID, State: state, Reserved: used[l.vm.ID], Capacity: l.vm.Capacity,
			Quarantined: c.blamer.since(l.vm.ID),
		})
	}
	for _, t := range c.sortedTasks() {
		w := c.waiting[t.record.id]
		s.Tasks = append(s.Tasks, TaskStatus{
			Task: t.record.id, State: string(t.phase), Worker: t.worker(), Attempt: t.record.attempt,
			Reserved: t.held(), Code: w.Code, Reason: w.Detail,
		})
	}
	seen := c.statusOfWaiting(&s)
	s.Unseen = c.countWaiting() - seen
	sort.Slice(s.Tasks, func(i, j int) bool { return s.Tasks[i].Task < s.Tasks[j].Task })
	return s
}

// statusOfWaiting adds the waiting tasks that have no record.
func (c *cell) statusOfWaiting(s *CellStatus) int {
	seen := 0
	for id, w := range c.waiting {
		if c.tasks[id] == nil {
			seen++
			s.Tasks = append(s.Tasks, TaskStatus{Task: id, State: string(phaseWaiting), Code: w.Code, Reason: w.Detail})
		}
	}
	return seen
}

func (c *cell) countWaiting() int {
	count := 0
	for _, view := range c.jobs {
		if view.wanted() {
			ended := view.progress.done.count() + view.progress.failed.count()
			count += view.job.Tasks - ended - len(view.active)
		}
	}
	return count
}

func sortLinks(links []*link) {
	sort.Slice(links, func(i, j int) bool { return links[i].vm.ID < links[j].vm.ID })
}

// serviceName returns the name of a service from the key of its group.
func serviceName(group string) string { return group[strings.LastIndexByte(group, '/')+1:] }

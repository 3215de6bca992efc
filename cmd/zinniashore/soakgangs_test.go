package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"zinniashore.example/standin"
)

const (
	// soakGangTimeout is how long a task of a gang waits for the others.
	soakGangTimeout = 3 * time.Second
	// soakGangTasks bounds the number of tasks of a gang, one of which are soakGangEvery steps of a
	// long case.
	soakGangTasks, soakGangEvery = 5, 6
)

// soakGangs are the numbers of tasks of the steps that are gangs.
type soakGangs struct {
	mu    sync.Mutex
	sizes map[string]int
	all   *standin.PlatformGangs
}

// platform returns the gangs as the workers know them.
func (g *soakGangs) platform() *standin.PlatformGangs {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.all == nil {
		g.all = &standin.PlatformGangs{Timeout: soakGangTimeout, Size: g.size}
	}
	return g.all
}

// add notes the gangs of a job that nobody has submitted yet.
func (g *soakGangs) add(job *soakJob) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sizes == nil {
		g.sizes = map[string]int{}
	}
	for i, step := range job.steps {
		if step.Gang {
			g.sizes[fmt.Sprintf("%s.0.%d", job.id, i)] = step.Count
		}
	}
}

func stepOf(task string) string {
	return task[:max(strings.LastIndex(task, "."), 0)]
}

// size returns the number of tasks in the gang of a task; 0 if it has none.
func (g *soakGangs) size(task string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sizes[stepOf(task)]
}

// members returns the tasks in the gang of a task; the task alone if it has none.
func (g *soakGangs) members(task string) []string {
	size := g.size(task)
	if size == 0 {
		return []string{task}
	}
	var members []string
	for i := range size {
		members = append(members, fmt.Sprintf("%s.%d", stepOf(task), i))
	}
	return members
}

// done returns how many runs of tasks of gangs ended as done.
func (g *soakGangs) done(h *soakHistory) int {
	count := 0
	for task, runs := range h.runs {
		for _, r := range runs {
			if r.outcome == "done" && g.size(task) > 0 {
				count++
			}
		}
	}
	return count
}

// countDone returns how many runs of a task, or of its gang, ended as done.
func (s *soak) countDone(task string) int {
	count := 0
	for _, member := range s.gangs.members(task) {
		count += s.ledger.Done(member)
	}
	return count
}

// countFailed returns how many runs of a task, or of its gang, have failed.
func (s *soak) countFailed(task string) int {
	count := 0
	for _, member := range s.gangs.members(task) {
		count += s.countEnds(member, "failed")
	}
	return count
}

// checkGang checks the runs of a task against those of its gang: one end as done that was
// acknowledged represents all, and no task waits in vain while nothing disturbs the system.
func (s *soak) checkGang(h *soakHistory, task string, runs []*soakRun) {
	if s.gangs.size(task) == 0 {
		return
	}
	job := s.job(strings.Split(task, ".")[0])
	for _, later := range runs {
		for _, member := range s.gangs.members(task) {
			for _, earlier := range h.runs[member] {
				if member != task && earlier.outcome == "done" && earlier.noted() && later.start.After(earlier.acknowledged) {
					s.report(fmt.Sprintf("TWICE: run %d of %s started after run %d of its gang was done, and that was acknowledged", later.run, task, earlier.run), task, member)
				}
			}
		}
		if later.outcome == "alone" && job != nil && !job.cancelledBefore(later.end) && s.calm(later.start, later.end) {
			s.report(fmt.Sprintf("GANG: run %d of %s waited for the others in vain", later.run, task), s.gangs.members(task)...)
		}
	}
}

// cancelledBefore reports whether a client had begun to cancel the job before a time.
func (j *soakJob) cancelledBefore(t time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.cancelSent.IsZero() && j.cancelSent.Before(t)
}

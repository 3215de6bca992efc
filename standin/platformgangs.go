package standin

import (
	"strings"
	"sync"
	"time"
)

// PlatformGangs are the gangs of tasks on all workers. The tasks of a gang are those of one
// step that have the same run number; they work from the moment when all of them are present,
// and end together. Its exported fields are set before its first use.
type PlatformGangs struct {
	// Timeout is how long a task of a gang waits for the others.
	Timeout time.Duration
	// Size returns the number of tasks in the gang of a task; 0 for a task without one.
	Size func(task string) int

	mu    sync.Mutex
	gangs map[gangName]*platformGang
}

type gangName struct {
	step string
	run  int64
}

// platformGang is one run of a gang.
type platformGang struct {
	gangs *PlatformGangs
	size  int
	// joined is when each task started, and ends how those that are present would end.
	joined map[string]time.Time
	ends   map[string]string
	// length is the run time of the task that takes longest.
	length time.Duration
	// endsAt is when the work is done; zero while tasks are missing.
	endsAt time.Time
	// brokenAt is when the first task ended before the work was done; zero while none has.
	brokenAt time.Time
}

// join adds a run that starts to its gang; it returns nil for a task that belongs to none.
func (g *PlatformGangs) join(task string, run int64, length time.Duration, outcome string) *platformGang {
	if g == nil || g.Size(task) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	name := gangName{task[:strings.LastIndex(task, ".")], run}
	gang := g.gangs[name]
	if gang == nil {
		if g.gangs == nil {
			g.gangs = map[gangName]*platformGang{}
		}
		gang = &platformGang{gangs: g, size: g.Size(task), joined: map[string]time.Time{}, ends: map[string]string{}}
		g.gangs[name] = gang
	}
	gang.joined[task], gang.ends[task] = time.Now(), outcome
	gang.length = max(gang.length, length)
	if len(gang.joined) == gang.size && gang.endsAt.IsZero() && gang.brokenAt.IsZero() {
		gang.endsAt = time.Now().Add(gang.length)
	}
	return gang
}

// due returns when and how a task of the gang ends by itself.
func (g *platformGang) due(task string) (time.Time, string) {
	g.gangs.mu.Lock()
	defer g.gangs.mu.Unlock()
	end, outcome := g.joined[task].Add(g.gangs.Timeout), "alone"
	if !g.endsAt.IsZero() {
		end, outcome = g.endsAt, g.outcome(task)
	}
	if joined := g.joined[task]; !g.brokenAt.IsZero() && g.brokenAt.Before(end) {
		end, outcome = g.brokenAt, "broken"
		if joined.After(end) {
			end = joined
		}
	}
	return end, outcome
}

// outcome returns how a task ends when the work of the gang does; the caller holds the mutex.
func (g *platformGang) outcome(task string) string {
	for _, outcome := range g.ends {
		if outcome != "done" && g.ends[task] == "done" {
			return "broken"
		}
	}
	return g.ends[task]
}

// leave notes that a task has ended otherwise than as done.
func (g *platformGang) leave(end time.Time) {
	g.gangs.mu.Lock()
	defer g.gangs.mu.Unlock()
	if g.brokenAt.IsZero() || end.Before(g.brokenAt) {
		g.brokenAt = end
	}
}

package dispatcher_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/dispatcher"
)

// shortTaskTime is how long busyWorker runs each task that isn't long-running.
const shortTaskTime = 800 * time.Millisecond

// busyRun is a run of a busyWorker.
type busyRun struct {
	row         dispatcher.RunningRow
	endsAt      time.Time
	longRunning bool
}

// busyWorker is a single worker that runs each task whose job begins with shortPrefix for
// shortTaskTime, and any other until it is stopped.
type busyWorker struct {
	idleWorkers

	mu      sync.Mutex
	booted  time.Time
	running []busyRun
	ended   []dispatcher.EndedRow
	ends    int64
}

// shortPrefix begins the ids of the jobs whose tasks aren't long-running.
const shortPrefix = "5"

func (w *busyWorker) Start(_ context.Context, order dispatcher.StartOrder) (dispatcher.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = append(w.running, busyRun{
		row:         dispatcher.RunningRow{Task: order.Task, Run: order.Run, Percent: 100},
		endsAt:      time.Now().Add(shortTaskTime),
		longRunning: order.Task.Job[:1] != shortPrefix,
	})
	return dispatcher.AnswerAccepted, nil
}

func (w *busyWorker) Stop(_ context.Context, order dispatcher.StopOrder) (dispatcher.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endRuns(dispatcher.EndingStopped, func(r busyRun) bool { return r.row.Task == order.Task && r.row.Run == order.Run })
	return dispatcher.AnswerAccepted, nil
}

func (w *busyWorker) Poll(_ context.Context, order dispatcher.PollOrder) (dispatcher.Listing, dispatcher.Answer, error) {
	time.Sleep(5 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.endRuns(dispatcher.EndingDone, func(r busyRun) bool { return !r.longRunning && !now.Before(r.endsAt) })
	listing := dispatcher.Listing{Clock: now.Sub(w.booted), Boot: 1}
	for _, r := range w.running {
		listing.Running = append(listing.Running, r.row)
	}
	for _, row := range w.ended {
		if row.Number > order.Acknowledged {
			listing.Ended = append(listing.Ended, row)
		}
	}
	return listing, dispatcher.AnswerAccepted, nil
}

// endRuns ends the runs that meet a condition; the caller holds mu.
func (w *busyWorker) endRuns(ending dispatcher.Ending, met func(busyRun) bool) {
	var rest []busyRun
	for _, r := range w.running {
		if !met(r) {
			rest = append(rest, r)
			continue
		}
		w.ends++
		w.ended = append(w.ended, dispatcher.EndedRow{Number: w.ends, Task: r.row.Task, Run: r.row.Run, Ending: ending})
	}
	w.running = rest
}

// countRuns returns the number of long-running tasks that run.
func (w *busyWorker) countRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, r := range w.running {
		if r.longRunning {
			count++
		}
	}
	return count
}

// connectedCells are cells that delegate tasks to one another.
type connectedCells struct {
	runners map[string]*dispatcher.Runner
	workers map[string]*busyWorker
}

// FindCell implements dispatcher.OtherCells.
func (c *connectedCells) FindCell(_ context.Context, leftOut []string, service string, id dispatcher.StepID, step dispatcher.Step, later bool) (string, int) {
	time.Sleep(5 * time.Millisecond)
	best, places := "", 0
	for _, name := range slices.Sorted(maps.Keys(c.runners)) {
		if slices.Contains(leftOut, name) {
			continue
		}
		free := c.runners[name].FreeCapacity(service, id, step)
		count := free.Places
		if count == 0 && later {
			count = free.LaterPlaces
		}
		if count > places {
			best, places = name, count
		}
	}
	return best, places
}

// Deliver implements dispatcher.OtherCells.
func (c *connectedCells) Deliver(_ context.Context, part dispatcher.Part) {
	c.runners[part.Cell].Add(part.Job, true)
}

// newConnectedCells runs cells of one worker each until the test ends.
func newConnectedCells(t *testing.T, names ...string) *connectedCells {
	loaded := make(chan struct{})
	close(loaded)
	c := &connectedCells{runners: map[string]*dispatcher.Runner{}, workers: map[string]*busyWorker{}}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i, name := range names {
		c.workers[name] = &busyWorker{booted: time.Now().Add(-time.Minute)}
		runner := dispatcher.NewRunner(
			dispatcher.NewCell(name, int64(i+1), limits, &events{}), clockwork.NewRealClock(),
			c.workers[name], &slowStore{slowArchive{released: loaded}},
		)
		runner.OtherCells = c
		c.runners[name] = runner
		runner.SetWorkers([]dispatcher.Registration{{
			ID: "w" + name, Address: fmt.Sprintf("127.0.0.1:%d", 7000+i), Service: testService,
			Phase: dispatcher.PhaseReady, Boot: 1, Capacity: fullCapacity,
		}})
	}
	for _, name := range names {
		running.Add(1)
		go func() {
			defer running.Done()
			_ = c.runners[name].Run(ctx)
		}()
	}
	running.Add(1)
	go func() { // the watch of the registry
		defer running.Done()
		for ctx.Err() == nil {
			for _, runner := range c.runners {
				runner.RegistryRead(time.Now())
			}
			time.Sleep(700 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return c
}

// add adds a job to a cell.
func (c *connectedCells) add(cell string, job dispatcher.Job) {
	job.Queue.Service, job.Occurrences, job.Accepted = testService, 1, time.Now()
	c.runners[cell].Add(job, false)
}

// addShort adds jobs of short tasks to a cell that keep its worker busy for about a minute.
func (c *connectedCells) addShort(cell string) {
	for i := range 100 {
		c.add(cell, plainJob(fmt.Sprintf("%s%015x", shortPrefix, i), 3, shortTaskTime, 1))
	}
}

// TestLongRunningTaskBesideFullCells guards against a long-running task that waits without end
// in a cell that is full of such tasks, while other cells start one short task after another.
func TestLongRunningTaskBesideFullCells(t *testing.T) {
	const home, other = "graz-a", "graz-b"
	const blockingID, largeID = "00000000000000f0", "00000000000000f1"
	tests := map[string]struct {
		// fill fills the cells.
		fill func(c *connectedCells)
		// wantHome and wantOther are the numbers of long-running tasks that run in the end.
		wantHome, wantOther int
	}{
		"home full of long-running tasks, the other cell of short ones": {
			fill: func(c *connectedCells) {
				c.add(home, longRunningJob(blockingID, 2, 1900))
				c.addShort(other)
			},
			wantHome: 2, wantOther: 2,
		},
		"home with a place for some, the other cell full of short tasks": {
			fill: func(c *connectedCells) {
				c.add(home, longRunningJob(blockingID, 1, 1900))
				c.addShort(other)
			},
			wantHome: 2, wantOther: 1,
		},
		"a larger task waits in the other cell": {
			fill: func(c *connectedCells) {
				c.add(home, longRunningJob(blockingID, 2, 1900))
				c.add(other, longRunningJob(otherID, 1, 1900))
				c.add(other, longRunningJob(largeID, 1, 3000))
				c.addShort(other)
			},
			wantHome: 2, wantOther: 2,
		},
		"both full of short tasks": {
			fill: func(c *connectedCells) {
				c.addShort(home)
				c.addShort(other)
			},
			wantHome: 2,
		},
		"both full of long-running tasks": {
			fill: func(c *connectedCells) {
				c.add(home, longRunningJob(blockingID, 2, 1900))
				c.add(other, longRunningJob(otherID, 2, 1900))
			},
			wantHome: 2, wantOther: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newConnectedCells(t, home, other)
				test.fill(c)
				time.Sleep(2 * time.Second)
				c.add(home, longRunningJob(jobID, 2, 1900))
				time.Sleep(6 * time.Second)
				if got := c.workers[home].countRuns(); got != test.wantHome {
					t.Errorf("%d long-running tasks run at home, want %d", got, test.wantHome)
				}
				if got := c.workers[other].countRuns(); got != test.wantOther {
					t.Errorf("%d long-running tasks run in the other cell, want %d", got, test.wantOther)
				}
			})
		})
	}
}

// TestLimitedTasksBesideFullCells guards against tasks that are sent to a cell whose only worker
// runs as many tasks of their step as it may, and that wait there without end.
func TestLimitedTasksBesideFullCells(t *testing.T) {
	const home, second, third = "graz-a", "graz-b", "graz-c"
	synctest.Test(t, func(t *testing.T) {
		c := newConnectedCells(t, home, second, third)
		c.add(home, longRunningJob("00000000000000f0", 2, 1900))
		c.addShort(second)
		c.addShort(third)
		time.Sleep(2 * time.Second)
		limited := longRunningJob(jobID, 2, 1000)
		limited.Steps[0].WorkerLimit = 1
		c.add(home, limited)
		time.Sleep(6 * time.Second)
		for _, cell := range []string{second, third} {
			if got := c.workers[cell].countRuns(); got != 1 {
				t.Errorf("%d tasks run in %s, want 1", got, cell)
			}
		}
	})
}

// TestPartWaitsForShortTasks guards against long-running tasks that are stopped to make room for
// a delegated one, although short tasks are about to do so.
func TestPartWaitsForShortTasks(t *testing.T) {
	s := newActiveSimulation(1)
	s.submit(longRunningJob(jobID, 1, 1900))
	s.submit(plainJob(shortPrefix+"000000000000001", 2, 3*time.Second, 1))
	s.advance(500 * time.Millisecond)
	part := longRunningJob(otherID, 1, 1900)
	part.Part = []dispatcher.TaskID{{Job: otherID}}
	s.add(part, false)
	for range 40 {
		s.advance(50 * time.Millisecond)
		if id, _, moves := s.cell.NextToMove(s.now); moves {
			t.Fatalf("%s is to be moved for the part", id)
		}
	}
	s.advance(3 * time.Second)
	if got := s.running[part.Part[0]]; got != 1 {
		t.Errorf("the delegated task has %d runs, want 1", got)
	}
	requireNoViolations(t, s)
}

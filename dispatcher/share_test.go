package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
	"zinniashore.example/recorder"
)

// The cell of the tests of the share of short tasks, and the tasks of the deployment that showed
// its lack: workers of 32 processors, long-running tasks of 6.4 each of which one in 70 ends each
// second while others wait, and short tasks of 3 to 12 processors.
const (
	sharedWorkers         = 24
	sharedMilliCapacity   = 32000
	longRunningProcessors = 6400
	longRunningEnd        = 70 * time.Second
	waitingLongRunning    = 30
	sharedTick            = 50 * time.Millisecond
)

// sharedCell is a cell with long-running tasks for all of its processors and a flow of short
// tasks.
type sharedCell struct {
	*simulation
	random *rand.Rand
	jobs   int
	// longRunning are the jobs of one long-running task that aren't cancelled.
	longRunning []string
	// readyAt are the times at which the short tasks became ready, startedAt when they started.
	readyAt, startedAt map[string]time.Time
	// arrives is the number of processors, in thousandths, times seconds of the short tasks that
	// have yet to arrive.
	arrives float64
	// freeSince is since when a worker has had room for a long-running task, longestFree the
	// longest such time.
	freeSince   map[*fakeWorker]time.Time
	longestFree time.Duration
}

func newSharedCell(workers int) *sharedCell {
	s := &sharedCell{simulation: newSimulation(workers), random: rand.New(rand.NewPCG(1, 2)), readyAt: map[string]time.Time{}, startedAt: map[string]time.Time{}, freeSince: map[*fakeWorker]time.Time{}}
	for _, f := range s.workers {
		f.registration.Capacity = dispatcher.Size{MilliProcessors: sharedMilliCapacity, Megabytes: 1 << 20}
	}
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	return s
}

// newFullCell returns a cell that long-running tasks have filled, while others wait.
func newFullCell(workers int) *sharedCell {
	s := newSharedCell(workers)
	for range workers*sharedMilliCapacity/longRunningProcessors + waitingLongRunning {
		s.addLongRunning()
	}
	s.runFor(2 * time.Second)
	// Ends leave the fragments of a cell that has run for long.
	for range 10 {
		s.endLongRunning()
	}
	return s
}

func (s *sharedCell) nextID() string {
	s.jobs++
	return fmt.Sprintf("%016x", s.jobs)
}

func (s *sharedCell) addLongRunning() {
	job := longRunningJob(s.nextID(), 1, longRunningProcessors)
	s.submit(job)
	s.longRunning = append(s.longRunning, job.ID)
}

// endLongRunning ends one of the long-running tasks and lets another one arrive.
func (s *sharedCell) endLongRunning() {
	i := s.random.IntN(len(s.longRunning))
	s.cell.Cancel(s.now, s.longRunning[i])
	s.longRunning = slices.Delete(s.longRunning, i, i+1)
	s.addLongRunning()
}

func (s *sharedCell) addShort(processors int64, length time.Duration) string {
	job := plainJob(s.nextID(), 1, length, 1)
	job.Steps[0].Size.MilliProcessors = processors
	s.submit(job)
	s.readyAt[job.ID] = s.now
	return job.ID
}

// flow runs the cell for a span in which short tasks of 3 to 12 processors arrive that need a
// number of processors, in thousandths, on average.
func (s *sharedCell) flow(span time.Duration, processors float64) {
	for range span / sharedTick {
		s.arrives += processors * sharedTick.Seconds()
		for s.arrives > 0 {
			size, length := int64(3000+s.random.IntN(10)*1000), time.Duration(1000+s.random.IntN(3000))*time.Millisecond
			s.addShort(size, length)
			s.arrives -= float64(size) * length.Seconds()
		}
		if s.random.Float64() < float64(s.countRunning(true))*sharedTick.Seconds()/longRunningEnd.Seconds() {
			s.endLongRunning()
		}
		s.tick()
	}
}

// tick runs the cell for a tick and notes the starts of short tasks.
func (s *sharedCell) tick() {
	s.step(sharedTick)
	for _, f := range s.workers {
		for id := range f.running {
			if _, short := s.readyAt[id.Job]; short && s.startedAt[id.Job].IsZero() {
				s.startedAt[id.Job] = s.now
			}
		}
		s.noteFree(f)
	}
}

// noteFree notes for how long the worker has had room for a long-running task.
func (s *sharedCell) noteFree(f *fakeWorker) {
	since, free := s.freeSince[f]
	switch fits := s.freeProcessors(f) >= longRunningProcessors && f.reachable && f.registration.Phase == dispatcher.PhaseReady; {
	case !fits:
		delete(s.freeSince, f)
	case !free:
		s.freeSince[f] = s.now
	default:
		s.longestFree = max(s.longestFree, s.now.Sub(since))
	}
}

// freeProcessors returns what the runs of a worker leave of its processors, in thousandths.
func (s *sharedCell) freeProcessors(f *fakeWorker) int64 {
	free := f.registration.Capacity.MilliProcessors
	for id := range f.running {
		free -= s.simulation.jobs[id.Job].Steps[id.Step].Size.MilliProcessors
	}
	return free
}

// runTicks runs the cell for a span without new tasks.
func (s *sharedCell) runTicks(span time.Duration) {
	for range span / sharedTick {
		s.tick()
	}
}

// setAside returns the workers that are set aside by the recorded events.
func (s *sharedCell) setAside() []*fakeWorker {
	set := map[string]bool{}
	for _, e := range s.events.recorded {
		switch e.Kind {
		case dispatcher.KindSetAside:
			set[e.VM] = true
		case dispatcher.KindGivenBack:
			delete(set, e.VM)
		}
	}
	var workers []*fakeWorker
	for _, f := range s.workers {
		if set[f.registration.ID] {
			workers = append(workers, f)
		}
	}
	return workers
}

// countRunning returns the number of runs that are long-running, or that aren't.
func (s *sharedCell) countRunning(longRunning bool) int {
	count := 0
	for _, f := range s.workers {
		for id := range f.running {
			if s.simulation.jobs[id.Job].Steps[id.Step].LongRunning == longRunning {
				count++
			}
		}
	}
	return count
}

// waits returns how long the short tasks that became ready in a span, and meet a condition, have
// waited until they started or until now, the longest last.
func (s *sharedCell) waits(from, until time.Time, met func(size int64) bool) []time.Duration {
	var waits []time.Duration
	for id, ready := range s.readyAt {
		if ready.Before(from) || !ready.Before(until) || !met(s.simulation.jobs[id].Steps[0].Size.MilliProcessors) {
			continue
		}
		started, end := s.startedAt[id], s.now
		if !started.IsZero() {
			end = started
		}
		waits = append(waits, end.Sub(ready))
	}
	slices.Sort(waits)
	return waits
}

func (s *sharedCell) requireNoViolations(t *testing.T) {
	t.Helper()
	if len(s.violations) > 0 {
		t.Errorf("%d violations, the first: %s", len(s.violations), s.violations[0])
	}
}

// countEvents returns the number of recorded events of a kind.
func (s *sharedCell) countEvents(kind recorder.Kind) int {
	count := 0
	for _, e := range s.events.recorded {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

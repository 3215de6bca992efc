package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
	"zinniashore.example/recorder"
)

// The size of the loaded cell: workers of 16 processors, and jobs of each kind whose
// tasks take all capacity and leave about 15 tasks a worker without a place.
const (
	loadedWorkers       = 98
	workersPerLoadedJob = 5
	longRunningPerJob   = 10
	shortPerStep        = 64
	bestEffortPerStep   = 64
	pollsPerSecond      = 100
	loadedMilliCapacity = 16000
)

// discard drops the events of a cell.
type discard struct{}

func (discard) Record(recorder.Event) recorder.Timestamp { return recorder.Timestamp{} }

// loadedCell is a cell that a new holder has taken over. Its tasks take all capacity of
// its workers, and more are ready than find a place. No run ends.
type loadedCell struct {
	*simulation
	listings []dispatcher.Listing
	next     int
}

func newLoadedCell(workers int) *loadedCell {
	s := newSimulation(workers)
	s.submitLoad()
	s.runFor(2 * time.Second)
	s.changeHolder(s.workers...)
	s.cell.Recorder = discard{}
	s.runFor(500 * time.Millisecond)
	return &loadedCell{simulation: s, listings: s.servingListings()}
}

// submitLoad starts a holder and submits the jobs that take all capacity of the workers.
func (s *simulation) submitLoad() {
	images := []string{"camera", "sorter", "index"}
	for i, f := range s.workers {
		f.registration.Capacity = dispatcher.Size{MilliProcessors: loadedMilliCapacity, Megabytes: 64000}
		f.registration.Labels = []string{fmt.Sprintf("rack-%d", i%8)}
	}
	s.changeHolder(s.workers...)
	s.cell.Recorder = discard{}
	for i := range (len(s.workers) + workersPerLoadedJob - 1) / workersPerLoadedJob {
		serving := longRunningJob(fmt.Sprintf("%016x", 3*i), longRunningPerJob, 3500)
		serving.Steps[0].Image = images[i%len(images)]
		s.submit(serving)
		s.submit(loadJob(3*i+1, i, shortPerStep, dispatcher.Step{}))
		s.submit(loadJob(3*i+2, i, bestEffortPerStep, dispatcher.Step{BestEffort: true, Checkpoints: true, Image: images[i%2]}))
	}
}

// servingListings returns the listings of all workers, with the usage of runs that have
// begun.
func (s *simulation) servingListings() []dispatcher.Listing {
	var listings []dispatcher.Listing
	for _, f := range s.workers {
		order, _ := s.cell.NextPoll(s.now, f.registration.ID)
		listing, _ := f.poll(order)
		for i := range listing.Running {
			row := &listing.Running[i]
			row.Percent, row.Usage = 100, 800
			if s.jobs[row.Task.Job].Steps[row.Task.Step].LongRunning {
				row.Usage = 12
			}
		}
		listings = append(listings, listing)
	}
	return listings
}

// loadJob returns a job of two steps whose tasks don't end during a benchmark.
func loadJob(number, variant, count int, step dispatcher.Step) dispatcher.Job {
	job := plainJob(fmt.Sprintf("%016x", number), count, time.Hour, 2)
	job.Queue.Priority = variant % 3
	for i := range job.Steps {
		s := &job.Steps[i]
		s.BestEffort, s.Checkpoints, s.Image = step.BestEffort, step.Checkpoints, step.Image
		s.Size.MilliProcessors = int64(1000 + 250*(variant%4))
		if variant%5 == 0 {
			s.WorkerLimit = 4
		}
		if variant%2 == 0 {
			s.DataRack = fmt.Sprintf("rack-%d", variant%8)
		}
	}
	return job
}

// answerPoll advances the clock by the time between two polls and handles the answer of
// the worker whose turn it is.
func (l *loadedCell) answerPoll() {
	l.now = l.now.Add(time.Second / pollsPerSecond)
	f, listing := l.workers[l.next], &l.listings[l.next]
	l.next = (l.next + 1) % len(l.workers)
	order, _ := l.cell.NextPoll(l.now, f.registration.ID)
	f.leaseEnd = max(f.leaseEnd, order.LeaseEnd)
	listing.Clock = f.clock()
	l.cell.HandlePollAnswer(l.now, l.now, order, *listing, dispatcher.AnswerAccepted)
}

// TestLoadedCell checks the size of the cell of the benchmarks.
func TestLoadedCell(t *testing.T) {
	l := newLoadedCell(loadedWorkers)
	running, total := 0, 0
	for _, f := range l.workers {
		running += len(f.running)
	}
	for _, job := range l.jobs {
		total += job.Steps[0].Count
	}
	if waiting := total - running; running < 800 || waiting < 1200 {
		t.Errorf("%d runs and %d ready tasks, want at least 800 and 1,200", running, waiting)
	}
	t.Logf("%d runs, %d ready tasks", running, total-running)
}

// TestPlanningPass compares the choices of a planning pass with those without one, while
// an empty cell fills up and while a full one learns from reports.
func TestPlanningPass(t *testing.T) {
	s := newSimulation(loadedWorkers)
	s.submitLoad()
	s.save()
	s.pollAll()
	placed, differing := dispatcher.PlaceAndCompare(s.cell, s.now)
	if placed == 0 || len(differing) > 0 {
		t.Errorf("new cell: %d tasks placed, choices differ for %v", placed, differing)
	}
	l := newLoadedCell(loadedWorkers)
	for range 3 * loadedWorkers {
		l.answerPoll()
	}
	for _, f := range l.workers[:loadedWorkers/3] {
		f.registration.Capacity = f.registration.Capacity.Plus(f.registration.Capacity)
		l.register(f)
	}
	placed, differing = dispatcher.PlaceAndCompare(l.cell, l.now)
	if placed == 0 || len(differing) > 0 {
		t.Errorf("cell with reports: %d tasks placed, choices differ for %v", placed, differing)
	}
}

func BenchmarkPollAnswer(b *testing.B) {
	l := newLoadedCell(loadedWorkers)
	for b.Loop() {
		l.answerPoll()
	}
}

func BenchmarkPollAnswerAndPlan(b *testing.B) {
	l := newLoadedCell(loadedWorkers)
	for b.Loop() {
		l.answerPoll()
		l.cell.Plan(l.now)
	}
}

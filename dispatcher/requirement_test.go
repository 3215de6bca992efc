package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// wholeWorkers returns a job of one step, each of whose tasks takes all of a worker.
func wholeWorkers(id string, count int, length time.Duration) dispatcher.Job {
	job := plainJob(id, count, length, 1)
	job.Steps[0].Size = fullCapacity
	return job
}

// fillingJobID is the id of the job of fillWithLongRunning.
const fillingJobID = "00000000000000ff"

// fillWithLongRunning makes long-running tasks take some of the workers.
func fillWithLongRunning(s *simulation, count int) {
	job := longRunningJob(fillingJobID, count, fullCapacity.MilliProcessors)
	job.Steps[0].Size = fullCapacity
	s.submit(job)
	s.runFor(time.Second)
}

// loseFreeWorkers makes the workers exit silently on which no long-running task runs, and leave the registry.
func loseFreeWorkers(s *simulation) {
	for _, f := range s.workers {
		if f.runs(fillingJobID) {
			continue
		}
		f.reboot()
		f.reachable = false
		s.unregister(f)
	}
}

// runs reports whether the worker runs a task of a job.
func (w *fakeWorker) runs(job string) bool {
	for task := range w.running {
		if task.Job == job {
			return true
		}
	}
	return false
}

// TestJobWithoutCapacityIsRelocated guards against a job that waits forever in a cell that is full of long-running tasks, while
// other cells have free capacity: a worker that could run it if it were empty never becomes empty.
func TestJobWithoutCapacityIsRelocated(t *testing.T) {
	gang := wholeWorkers(jobID, 3, 2*time.Second)
	gang.Steps[0].Gang = true
	later := wholeWorkers(jobID, 1, time.Second)
	later.Steps = append(later.Steps, later.Steps[0])
	later.Steps[0].Size, later.Steps[1].After = dispatcher.Size{MilliProcessors: 1, Megabytes: 1}, []int{0}
	bestEffort := wholeWorkers(jobID, 2, 2*time.Second)
	bestEffort.Steps[0].BestEffort = true
	bestEffort.Steps[0].Size.Megabytes = 1
	labelled := wholeWorkers(jobID, 2, 2*time.Second)
	labelled.Steps[0].Label = "kind-b"
	tests := map[string]struct {
		job dispatcher.Job
		// longRunning is how many of the four workers long-running tasks take, lost is true if the others are lost
		// under the job.
		longRunning int
		lost        bool
		moves       bool
		// places is how many places another cell must have, later whether ones that are free later will do.
		places int
		later  bool
	}{
		"its workers are lost, the others full":   {job: wholeWorkers(jobID, 2, 30*time.Second), longRunning: 2, lost: true, moves: true, places: 1},
		"all workers are full":                    {job: wholeWorkers(jobID, 2, 2*time.Second), longRunning: 4, moves: true, places: 1},
		"a later step doesn't fit":                {job: later, longRunning: 4, moves: true, places: 1},
		"a gang is wider than what is left":       {job: gang, longRunning: 2, moves: true, places: 3},
		"a gang that no empty cell of ours holds": {job: gang, longRunning: 2, lost: true, moves: true, places: 3, later: true},
		"one worker is left":                      {job: wholeWorkers(jobID, 3, 2*time.Second), longRunning: 3},
		"short tasks are about to end":            {job: wholeWorkers(jobID, 8, 2*time.Second)},
		"it takes what others leave unused":       {job: bestEffort, longRunning: 3},
		"it needs a label that no worker has":     {job: labelled, moves: true, places: 1, later: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(4)
			fillWithLongRunning(s, test.longRunning)
			s.submit(test.job)
			s.runFor(500 * time.Millisecond)
			if test.lost {
				loseFreeWorkers(s)
			}
			id, moves := awaitRelocation(s, 15*time.Second)
			if moves != test.moves {
				t.Fatalf("the job is to be relocated: %v, want %v", moves, test.moves)
			}
			if !moves {
				return
			}
			if places, later := s.cell.PlacesToRelocate(s.now, id); places != test.places || later != test.later {
				t.Errorf("it needs %d places, later ones will do: %v; want %d, %v", places, later, test.places, test.later)
			}
			if !s.cell.Relocate(s.now, id, "graz-b") {
				t.Error("it isn't relocated")
			}
			requireNoViolations(t, s)
		})
	}
}

// TestOffersOfGangWithoutPlaces guards against jobs that are never offered to other cells, as a gang that no cell holds is
// offered again and again.
func TestOffersOfGangWithoutPlaces(t *testing.T) {
	s := newActiveSimulation(2)
	fillWithLongRunning(s, 2)
	gang := wholeWorkers(jobID, 2, 2*time.Second)
	gang.Steps[0].Gang = true
	s.submit(gang)
	s.submit(wholeWorkers(otherID, 1, 2*time.Second))
	s.runFor(2 * time.Second)
	offered := map[string]int{}
	for end := s.now.Add(10 * time.Second); s.now.Before(end); s.step(150 * time.Millisecond) {
		if id, _, found := s.cell.NextToRelocate(s.now); found {
			offered[id.Job]++
			s.cell.RelocationUnplaced(s.now, id)
		}
	}
	if offered[jobID] < 3 || offered[otherID] < 3 {
		t.Errorf("the jobs were offered %v times, want each 3 times at least in 10 s", offered)
	}
}

// TestManyJobsWithoutCapacity guards against a crowd of waiting jobs that all move at once to the places that one cell has free.
func TestManyJobsWithoutCapacity(t *testing.T) {
	const jobs = 40
	s := newActiveSimulation(2)
	fillWithLongRunning(s, 2)
	for i := range jobs {
		s.submit(wholeWorkers(fmt.Sprintf("%016x", i), 1, time.Second))
	}
	s.runFor(2 * time.Second)
	for range 10 {
		id, _, found := s.cell.NextToRelocate(s.now)
		if !found || !s.cell.Relocate(s.now, id, "graz-b") {
			t.Fatal("no job is relocated")
		}
		if next, _, found := s.cell.NextToRelocate(s.now); found {
			t.Fatalf("%s is to be relocated before the store has the move of %s", next, id)
		}
		s.step(50 * time.Millisecond)
	}
	if len(s.archive.relocations) != 10 {
		t.Errorf("%d jobs were relocated, want 10", len(s.archive.relocations))
	}
}

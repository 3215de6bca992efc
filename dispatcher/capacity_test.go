package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestFreeCapacity checks that the free capacity of a cell depends on the kind of the tasks,
// and that waiting tasks of the same kind come first.
func TestFreeCapacity(t *testing.T) {
	size := func(processors int64) dispatcher.Size {
		return dispatcher.Size{MilliProcessors: processors, Megabytes: 100}
	}
	largeShort := plainJob(jobID, 3, time.Minute, 1)
	largeShort.Steps[0].Size.MilliProcessors = 3000
	tests := map[string]struct {
		submit []dispatcher.Job
		step   dispatcher.Step
		want   int
	}{
		"an empty cell has places for short tasks by their size": {step: dispatcher.Step{Size: size(1500)}, want: 4},
		"a spread limit bounds each worker":                      {step: dispatcher.Step{Size: size(1000), WorkerLimit: 1}, want: 2},
		"long-running tasks take capacity from short tasks": {
			submit: []dispatcher.Job{longRunningJob(jobID, 2, 3500)}, step: dispatcher.Step{Size: size(1000)}, want: 0,
		},
		"best-effort tasks use what long-running tasks leave idle": {
			submit: []dispatcher.Job{longRunningJob(jobID, 2, 3500)}, step: dispatcher.Step{Size: size(400), BestEffort: true, Image: "sorter"}, want: 4,
		},
		"waiting tasks come first": {
			submit: []dispatcher.Job{plainJob(jobID, 10, time.Minute, 1)}, step: dispatcher.Step{Size: size(500)}, want: 0,
		},
		"a large waiting long-running task takes no place of a small one": {
			submit: []dispatcher.Job{longRunningJob(jobID, 2, 3000), longRunningJob(otherID, 1, 2000)},
			step:   dispatcher.Step{Size: size(900), LongRunning: true}, want: 2,
		},
		"waiting tasks of another kind don't count": {
			submit: []dispatcher.Job{largeShort}, step: dispatcher.Step{Size: size(500), LongRunning: true}, want: 4,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(2)
			s.changeHolder(s.workers...)
			s.runFor(200 * time.Millisecond)
			for _, job := range test.submit {
				s.submit(job)
			}
			s.runFor(300 * time.Millisecond)
			if free := s.cell.FreeCapacity(s.now, testService, dispatcher.StepID{}, &test.step); free.Places != test.want {
				t.Errorf("places = %d, want %d (load %.2f)", free.Places, test.want, free.Load)
			}
		})
	}
}

// TestPlacesBesideSiblings guards against a task with a limit a worker that goes to and fro between cells: a cell counts places
// on workers that run as many tasks of the step already as they may.
func TestPlacesBesideSiblings(t *testing.T) {
	limited := longRunningJob(jobID, 3, 500)
	limited.Steps[0].WorkerLimit = 2
	tests := map[string]struct {
		id   dispatcher.StepID
		want int
	}{
		"of the same step":         {id: dispatcher.StepID{Job: jobID}, want: 1},
		"of another job":           {id: dispatcher.StepID{Job: otherID}, want: 4},
		"of no step in particular": {want: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(2)
			s.submit(limited)
			s.runFor(time.Second)
			free := s.cell.FreeCapacity(s.now, testService, test.id, &limited.Steps[0])
			if free.Places != test.want || free.LaterPlaces != test.want {
				t.Errorf("places = %d, later %d; want %d", free.Places, free.LaterPlaces, test.want)
			}
		})
	}
}

// TestLaterPlaces guards against long-running tasks of a cell without workers that find no place in
// others: short tasks take each place there that becomes free.
func TestLaterPlaces(t *testing.T) {
	s := newActiveSimulation(1)
	s.submit(longRunningJob(otherID, 1, 2000))
	s.submit(plainJob(jobID, 40, 10*time.Second, 1))
	s.runFor(500 * time.Millisecond)
	step := longRunningJob(jobID, 1, 2000).Steps[0]
	free := s.cell.FreeCapacity(s.now, testService, dispatcher.StepID{}, &step)
	want := int(fullCapacity.MilliProcessors/step.Size.MilliProcessors) - 1
	if free.Places != 0 || free.LaterPlaces != want {
		t.Errorf("places = %d, later %d; want 0 and %d", free.Places, free.LaterPlaces, want)
	}
}

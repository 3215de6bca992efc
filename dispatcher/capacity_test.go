package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestRoom: what a cell offers depends on the kind of the tasks, and those that
// wait already have the first claim.
func TestRoom(t *testing.T) {
	size := func(processors int64) dispatcher.Size {
		return dispatcher.Size{MilliProcessors: processors, Megabytes: 100}
	}
	largeQuick := plainJob(jobID, 3, time.Minute, 1)
	largeQuick.Steps[0].Size.MilliProcessors = 3000
	tests := map[string]struct {
		submit []dispatcher.Job
		step   dispatcher.Step
		want   int
	}{
		"an empty cell takes quick tasks by their size": {step: dispatcher.Step{Size: size(1500)}, want: 4},
		"a spread limit bounds each worker":             {step: dispatcher.Step{Size: size(1000), WorkerLimit: 1}, want: 2},
		"lasting tasks take room from quick ones": {
			submit: []dispatcher.Job{lastingJob(jobID, 2, 3500)}, step: dispatcher.Step{Size: size(1000)}, want: 0,
		},
		"fillers use what lasting tasks leave idle": {
			submit: []dispatcher.Job{lastingJob(jobID, 2, 3500)}, step: dispatcher.Step{Size: size(400), Filler: true, Image: "sorter"}, want: 4,
		},
		"tasks that wait come first": {
			submit: []dispatcher.Job{plainJob(jobID, 10, time.Minute, 1)}, step: dispatcher.Step{Size: size(500)}, want: 0,
		},
		"a large lasting task that waits takes no small place": {
			submit: []dispatcher.Job{lastingJob(jobID, 2, 3000), lastingJob(otherID, 1, 2000)},
			step:   dispatcher.Step{Size: size(900), Lasting: true}, want: 2,
		},
		"tasks of another kind that wait don't count": {
			submit: []dispatcher.Job{largeQuick}, step: dispatcher.Step{Size: size(500), Lasting: true}, want: 4,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2)
			w.take(w.workers...)
			w.runFor(200 * time.Millisecond)
			for _, job := range test.submit {
				w.submit(job)
			}
			w.runFor(300 * time.Millisecond)
			if room := w.cell.Room(w.now, testService, &test.step); room.Places != test.want {
				t.Errorf("places = %d, want %d (load %.2f)", room.Places, test.want, room.Load)
			}
		})
	}
}

package dispatcher_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// leftTests are the cases of TestLeftIsLogged: what happens, and what the line of the holder that stops tells.
var leftTests = map[string]struct {
	happen func(s *simulation)
	want   []string
}{
	"all tasks run": {
		func(s *simulation) { s.submit(longRunningJob(jobID, 3, 1000)) },
		[]string{"stopped, active for ", "without a run: 0 long-running tasks, 0 others; runs: 3, 0 stopping", "0 starts without an answer;"},
	},
	"tasks without a place": {
		func(s *simulation) { s.submit(longRunningJob(jobID, 3, 1_000_000)) },
		[]string{"without a run: 3 long-running tasks, 0 others; " + jobID + ".0.0.0-2, of which " + jobID + ".0.0.0 for 2s, no run under this holder;"},
	},
	"tasks whose last run is known": {
		func(s *simulation) {
			s.submit(longRunningJob(jobID, 1, 1000))
			s.runFor(time.Second)
			for _, f := range s.workers {
				f.reachable = false
				s.unregister(f)
			}
			s.runFor(8 * time.Second)
		},
		[]string{"without a run: 1 long-running tasks, 0 others; ", " removed ", " ago: lease lapsed"},
	},
	"short tasks without a place": {
		func(s *simulation) {
			job := plainJob(jobID, 2, time.Second, 1)
			job.Steps[0].Size.MilliProcessors = 1_000_000
			s.submit(job)
		},
		[]string{"without a run: 0 long-running tasks, 2 others; "},
	},
	"a start without an answer": {
		func(s *simulation) {
			s.nextFate = func() startFate { return fateAnswerLost }
			s.submit(plainJob(jobID, 1, time.Minute, 1))
			for _, f := range s.workers {
				f.reachable = false
			}
		},
		[]string{"runs: 1, 0 stopping, 0 of earlier processes of workers, 1 starts without an answer: " + jobID + ".0.0.0 run "},
	},
	"an end that isn't stored": {
		func(s *simulation) {
			s.submit(plainJob(jobID, 1, 200*time.Millisecond, 1))
			s.runFor(100 * time.Millisecond)
			s.storeDown = true
		},
		[]string{"ends that aren't acknowledged: 1, 0 held, 0 of unknown jobs", "changed jobs that aren't stored: 1"},
	},
}

// TestLeftIsLogged guards against a change of the holder after which nobody can tell which tasks had no run,
// and since when.
func TestLeftIsLogged(t *testing.T) {
	for name, test := range leftTests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(3)
			test.happen(s)
			s.runFor(2 * time.Second)
			s.events.recorded = nil
			dispatcher.RecordLeft(s.cell, s.now)
			if lines := s.events.of(string(dispatcher.KindLeft)); len(lines) != 1 {
				t.Fatalf("%d lines, want 1", len(lines))
			}
			s.requireDetail(t, dispatcher.KindLeft, test.want)
		})
	}
}

// TestTermIsLogged guards against a job that no holder has without a trace: the log tells what a holder has loaded,
// from where it has each job, and what reached it after its end.
func TestTermIsLogged(t *testing.T) {
	log := &events{}
	archive := &slowArchive{
		stored: dispatcher.StoredCell{
			Jobs: []dispatcher.StoredJob{
				{Job: longRunningJob(jobID, 3, 1000)},
				{Job: dispatcher.Job{ID: otherID}, Progress: &dispatcher.Progress{State: dispatcher.StateCompleted}},
			},
			Workers: []dispatcher.Registration{{ID: "w0", Address: "127.0.0.1:7000", Service: testService}},
		},
		released: make(chan struct{}),
	}
	archive.stored.Jobs[0].Job.Occurrences = 1
	close(archive.released)
	runner := newTestRunner(archive)
	runner.Cell.Recorder = log
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- runner.Run(ctx) }()
	<-runner.Loaded()
	const watched, delivered, late = "00000000000000c1", "00000000000000c2", "00000000000000c3"
	job := plainJob(watched, 1, time.Second, 1)
	job.Occurrences = 1
	runner.AddWatched(job)
	job.ID = delivered
	runner.Add(job, true)
	runner.CancelStored(watched)
	cancel()
	<-ended
	job.ID = late
	runner.Add(job, true)
	var lines strings.Builder
	for _, event := range log.recorded {
		lines.WriteString(string(event.Kind) + " " + event.Key + " " + event.Detail + "\n")
	}
	wants := []string{
		"job_added " + jobID + " watch, loaded\n",
		"cell_loaded  1 jobs, 0 parts of jobs of other cells, 1 final; 0 were cancelled in the store; open tasks: 3 long-running, 0 others, 0 delegated; 1 workers may have runs",
		"job_added " + watched + " quotes, watch\n",
		"job_added " + delivered + " quotes, delivered\n",
		"job_cancelled " + watched + " watch\n",
		"cell_left  stopped, never active; without a run: 3 long-running tasks, 1 others; " + jobID + ".0.0.0-2, of which ",
		"no run under this holder, which has loaded the job ",
		"job_not_added " + late + " delivered, but the holder has ended",
	}
	for _, want := range wants {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("no line with %q in\n%s", want, lines.String())
		}
	}
}

// TestListedTasks checks that a list of tasks names consecutive ones as a range, and has a bounded length.
func TestListedTasks(t *testing.T) {
	id := func(step, index int) dispatcher.TaskID {
		return dispatcher.TaskID{Job: jobID, Step: step, Index: index}
	}
	var many []dispatcher.TaskID
	for index := 0; index < 40; index += 2 {
		many = append(many, id(0, index))
	}
	tests := map[string]struct {
		ids  []dispatcher.TaskID
		want string
	}{
		"none":           {},
		"one":            {ids: []dispatcher.TaskID{id(0, 3)}, want: jobID + ".0.0.3"},
		"a range":        {ids: []dispatcher.TaskID{id(0, 2), id(0, 0), id(0, 1)}, want: jobID + ".0.0.0-2"},
		"of two steps":   {ids: []dispatcher.TaskID{id(1, 1), id(0, 0), id(0, 2)}, want: jobID + ".0.0.0, " + jobID + ".0.0.2, " + jobID + ".0.1.1"},
		"many, far away": {ids: many, want: jobID + ".0.0.14 and 12 more"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := dispatcher.ListTaskIDs(test.ids); !strings.HasSuffix(got, test.want) || test.want == "" && got != "" {
				t.Errorf("the list is %q, want %q at its end", got, test.want)
			}
		})
	}
}

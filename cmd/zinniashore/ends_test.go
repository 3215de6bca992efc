package main_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"zinniashore.example/keeper"
	"zinniashore.example/standin"
	"zinniashore.example/submitter"
)

// storedJob is what the store held about the tasks of a job, from its first write to
// its last. The revision of a write orders it.
type storedJob struct {
	// record is the last record of the job.
	record submitter.Job
	// ends is, by task, the first revision that held the end of the task as done.
	ends map[string]int64
	// placements is, by task and attempt, the first revision that held the placement.
	placements map[string]map[int64]int64
}

// journalSegment is the stored form of a segment of the journal of a cell.
type journalSegment struct {
	Entries []struct {
		Key  string `json:"key"`
		Task *struct {
			State   string `json:"state"`
			Attempt int64  `json:"attempt"`
		} `json:"task"`
		Job *struct {
			Done []byte `json:"done"`
		} `json:"job"`
	} `json:"entries"`
}

// storedJob reads all writes of the store and returns what they say about a job.
func (s *system) storedJob(t *testing.T, job string, tasks int) storedJob {
	t.Helper()
	changes, err := keeper.NewClient(s.platform.address("store")).Watch(t.Context(), "", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	stored := storedJob{ends: map[string]int64{}, placements: map[string]map[int64]int64{}}
	key := "stockwerk/" + job
	for _, change := range changes.Items {
		entry := change.Entry
		switch {
		case change.Deleted:
		case strings.HasPrefix(entry.Key, submitter.Prefix) && strings.HasSuffix(entry.Key, "/"+job):
			stored.record, err = submitter.DecodeJob(entry)
			if err != nil {
				t.Fatal(err)
			}
			if stored.record.State == submitter.JobDone && stored.record.DoneTasks == tasks {
				stored.addEnds(key, tasks, func(int) bool { return true }, entry.Version)
			}
		case strings.HasPrefix(entry.Key, "cells/") && strings.Contains(entry.Key, "/tasks/"):
			stored.addSegment(t, entry, key, tasks)
		}
	}
	return stored
}

func (s *storedJob) addEnds(job string, tasks int, done func(index int) bool, revision int64) {
	for i := range tasks {
		task := fmt.Sprintf("%s/%d", job, i)
		if s.ends[task] == 0 && done(i) {
			s.ends[task] = revision
		}
	}
}

func (s *storedJob) addSegment(t *testing.T, entry keeper.Entry, job string, tasks int) {
	t.Helper()
	document, err := keeper.DecodeDocument(entry)
	if err != nil {
		t.Fatal(err)
	}
	var segment journalSegment
	if document.Body == nil {
		return
	}
	if err := json.Unmarshal(document.Body, &segment); err != nil {
		t.Fatal(err)
	}
	for _, e := range segment.Entries {
		if e.Job != nil && e.Key == job {
			s.addEnds(job, tasks, func(i int) bool {
				return i/8 < len(e.Job.Done) && e.Job.Done[i/8]&(1<<(i%8)) != 0
			}, entry.Version)
		}
		if e.Task == nil || e.Task.State != "placed" || !strings.HasPrefix(e.Key, job+"/") {
			continue
		}
		if s.placements[e.Key] == nil {
			s.placements[e.Key] = map[int64]int64{}
		}
		if s.placements[e.Key][e.Task.Attempt] == 0 {
			s.placements[e.Key][e.Task.Attempt] = entry.Version
		}
	}
}

// jobRuns returns the runs of the tasks of a job on all workers.
func (s *system) jobRuns(t *testing.T, job string) []standin.Run {
	t.Helper()
	var runs []standin.Run
	for _, worker := range s.workers {
		var history struct {
			Runs     []standin.Run `json:"runs"`
			Overruns []string      `json:"overruns"`
		}
		fetch(t, "http://"+worker.lastField()+"/control/history", &history)
		if len(history.Overruns) > 0 {
			t.Errorf("capacity of a worker was exceeded: %v", history.Overruns)
		}
		for _, run := range history.Runs {
			if strings.Contains(run.Task, "/"+job+"/") {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// checkJob waits until the job is done and checks it against the histories of the
// workers and of the store: the store counts each task as done, the last run of each was
// done, none was placed again after the store held its end, none ran again after a run
// whose end the worker was told to forget, and no worker exceeded its capacity.
//
// A run may be discarded although its end is stored: its owner died before it told the
// worker to forget the run, and the lease of the worker expired. It counts as done if no
// run followed.
func (s *system) checkJob(t *testing.T, job string, tasks int) {
	t.Helper()
	eventually(t, "job to be done", func() bool {
		return strings.Contains(s.operate(t, "get", "--jobs", "--organisation", "stockwerk", "--json"), `"state": "done"`)
	})
	for _, problem := range jobProblems(s.storedJob(t, job, tasks), s.jobRuns(t, job), tasks) {
		t.Error(problem)
	}
}

// jobProblems describes every violation of checkJob's rules.
func jobProblems(stored storedJob, runs []standin.Run, tasks int) []string {
	problems := standin.CheckRuns(runs)
	if stored.record.DoneTasks != tasks || stored.record.FailedTasks != 0 {
		problems = append(problems, fmt.Sprintf("the store counts %d of %d tasks as done and %d as failed",
			stored.record.DoneTasks, tasks, stored.record.FailedTasks))
	}
	last := map[string]standin.Run{}
	kept := map[string]int{}
	for _, run := range runs {
		if run.Attempt > last[run.Task].Attempt {
			last[run.Task] = run
		}
		if run.State == standin.RunDone && !run.Discarded {
			kept[run.Task]++
		}
	}
	done := 0
	for task, run := range last {
		if run.State == standin.RunDone && stored.ends[task] != 0 {
			done++
		}
		if kept[task] > 1 {
			problems = append(problems, fmt.Sprintf("task %s was done %d times", task, kept[task]))
		}
		for attempt, revision := range stored.placements[task] {
			if end := stored.ends[task]; end != 0 && revision > end {
				problems = append(problems, fmt.Sprintf("task %s was placed again as attempt %d at revision %d after the store held its end at %d",
					task, attempt, revision, end))
			}
		}
	}
	if done != tasks || len(stored.ends) != tasks {
		problems = append(problems, fmt.Sprintf("%d of %d tasks done, %d ends stored", done, tasks, len(stored.ends)))
	}
	return problems
}

// TestJobProblems checks that jobProblems tells an end that survived in the store from
// work that was done again.
func TestJobProblems(t *testing.T) {
	done := standin.Run{Task: "stockwerk/friday/0", Attempt: 1, State: standin.RunDone, Started: 1, Ended: 2, To: 5}
	discarded := done
	discarded.Discarded = true
	again := standin.Run{Task: done.Task, Attempt: 2, State: standin.RunDone, Started: 3, Ended: 4, To: 5}
	lapsed := again
	lapsed.State = standin.RunExpired
	tests := map[string]struct {
		runs       []standin.Run
		placements map[int64]int64
		end        int64
		doneTasks  int
		want       int
	}{
		"done once":                              {runs: []standin.Run{done}, placements: map[int64]int64{1: 1}, end: 2, doneTasks: 1},
		"discarded after its end was stored":     {runs: []standin.Run{discarded}, placements: map[int64]int64{1: 1}, end: 2, doneTasks: 1},
		"discarded before its end was stored":    {runs: []standin.Run{discarded, again}, placements: map[int64]int64{1: 1, 2: 2}, end: 3, doneTasks: 1},
		"run again after its end was stored":     {runs: []standin.Run{discarded, again}, placements: map[int64]int64{1: 1, 2: 3}, end: 2, doneTasks: 1, want: 1},
		"placed again after its end was stored":  {runs: []standin.Run{done}, placements: map[int64]int64{1: 1, 2: 3}, end: 2, doneTasks: 1, want: 1},
		"run again after it was forgotten":       {runs: []standin.Run{done, again}, placements: map[int64]int64{1: 1, 2: 2}, end: 3, doneTasks: 1, want: 2},
		"counted but last run not done":          {runs: []standin.Run{discarded, lapsed}, placements: map[int64]int64{1: 1, 2: 2}, end: 3, doneTasks: 1, want: 1},
		"done at its worker, not in the store":   {runs: []standin.Run{done}, placements: map[int64]int64{1: 1}, want: 2},
		"counted by the store but never started": {end: 2, doneTasks: 1, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			stored := storedJob{ends: map[string]int64{}, placements: map[string]map[int64]int64{done.Task: test.placements}}
			stored.record.DoneTasks = test.doneTasks
			if test.end != 0 {
				stored.ends[done.Task] = test.end
			}
			if got := jobProblems(stored, test.runs, 1); len(got) != test.want {
				t.Errorf("%d problems, want %d: %q", len(got), test.want, got)
			}
		})
	}
}

// TestEndsOutliveTheirOwner kills the owner of a job's cell and takes the store down once
// the store holds ends of which the owner has not told the worker, until the leases of
// the worker have expired. The ends must count and the tasks must not run again.
func TestEndsOutliveTheirOwner(t *testing.T) {
	t.Parallel()
	s := newSystem(t, "graz-a", "graz-b", "graz-a", "graz-b")
	s.startShop(t)
	s.operate(t, "submit", "friday", "--organisation", "stockwerk", "--workload", "engraving", "--tasks", "12")
	var stored storedJob
	for deadline := time.Now().Add(stepLimit); len(stored.ends) == 0 && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		stored = s.storedJob(t, "friday", 12)
	}
	s.setStore(`{"outage": true}`)
	// The entry VMs are in the failure domains of newSystem in turn, each with one cell.
	for i, entry := range s.entries {
		if stored.record.Cell == []string{"graz-a", "graz-b"}[i%2] {
			entry.kill()
		}
	}
	time.Sleep(4 * time.Second)
	s.setStore(`{}`)
	for i, entry := range s.entries {
		if entry.command.ProcessState != nil {
			s.entries[i] = launch(t, entry.command.Args[1:]...)
		}
	}
	s.awaitReady(t)
	s.checkJob(t, "friday", 12)
	discarded := 0
	for _, run := range s.jobRuns(t, "friday") {
		if run.State == standin.RunDone && run.Discarded {
			discarded++
		}
	}
	t.Logf("%d ends stored at the kill, %d runs discarded after they were done", len(stored.ends), discarded)
}

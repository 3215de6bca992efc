package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// activeTasks returns how many tasks of a job run.
func activeTasks(s *simulation, job string) int {
	count := 0
	for id, runs := range s.running {
		if id.Job == job && runs > 0 {
			count++
		}
	}
	return count
}

// TestLongRunningJobsShare guards against a long-running job of which nothing runs while others have all of
// their tasks: places went to the jobs in the order of their objectives.
func TestLongRunningJobsShare(t *testing.T) {
	places := int(fullCapacity.MilliProcessors / 2000) // on each worker
	tests := map[string]struct {
		workers int
		// first and second are the numbers of tasks of two jobs, submitted together, and wantFirst and
		// wantSecond how many of them run.
		first, second         int
		wantFirst, wantSecond int
	}{
		"room for all":               {workers: 2, first: places, second: places, wantFirst: places, wantSecond: places},
		"twice the room":             {workers: 2, first: 2 * places, second: 2 * places, wantFirst: places, wantSecond: places},
		"four times the room":        {workers: 1, first: 2 * places, second: 2 * places, wantFirst: places / 2, wantSecond: places / 2},
		"a small one beside a large": {workers: 2, first: 4 * places, second: 1, wantFirst: 2*places - 1, wantSecond: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(test.workers)
			s.submit(longRunningJob(jobID, test.first, 2000))
			s.submit(longRunningJob(otherID, test.second, 2000))
			s.runFor(3 * time.Second)
			first, second := activeTasks(s, jobID), activeTasks(s, otherID)
			if first != test.wantFirst || second != test.wantSecond {
				t.Errorf("%d and %d tasks run, want %d and %d", first, second, test.wantFirst, test.wantSecond)
			}
			requireNoViolations(t, s)
		})
	}
}

// TestLateLongRunningJob guards against a job that arrives at a full cell and gets none of the places that
// become free, because jobs that wait for their last tasks come first.
func TestLateLongRunningJob(t *testing.T) {
	s := newActiveSimulation(2)
	places := 2 * int(fullCapacity.MilliProcessors/2000)
	s.submit(longRunningJob(jobID, 2*places, 2000))
	s.runFor(10 * time.Second)
	s.submit(longRunningJob(otherID, 2, 2000))
	s.runFor(time.Second)
	for _, f := range s.workers {
		for _, r := range f.running {
			f.end(r, dispatcher.EndingFailed)
			break
		}
	}
	s.runFor(3 * time.Second)
	if count := activeTasks(s, otherID); count != 2 {
		t.Errorf("%d tasks of the job that came last run, want 2", count)
	}
}

package dispatcher_test

import (
	"errors"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// malformedRecords are stored jobs that no version of this program writes.
var malformedRecords = map[string]string{
	"a step after a later one":         `{"id":"a1","occurrences":1,"steps":[{"count":1,"after":[1]},{"count":1}]}`,
	"a step after none":                `{"id":"a1","occurrences":1,"steps":[{"count":1,"after":[-1]}]}`,
	"a step after one that is missing": `{"id":"a1","occurrences":1,"steps":[{"count":1},{"count":1,"after":[7]}]}`,
	"a done task below 0":              `{"id":"a1","occurrences":1,"steps":[{"count":1}],"progress":{"state":"running","done":[{"occurrence":0,"step":-1,"tasks":[0]},{"occurrence":0,"step":0,"tasks":[-1]}]}}`,
	"a failure of a missing step":      `{"id":"a1","occurrences":1,"steps":[{"count":1}],"progress":{"state":"running","failures":[{"occurrence":-1,"step":-4,"task":-1,"runs":[1]}]}}`,
	"a part below 0":                   `{"id":"a1","occurrences":1,"steps":[{"count":1}],"part":[{"step":-1,"task":-1}]}`,
	"a count below 0":                  `{"id":"a1","occurrences":1,"steps":[{"count":-3}]}`,
	"no steps":                         `{"id":"a1","occurrences":1}`,
	"no occurrences":                   `{"id":"a1","steps":[{"count":1}]}`,
}

// useRecord decodes a stored job and, if that succeeds, runs it in a cell.
func useRecord(content []byte) error {
	job, err := dispatcher.DecodeJob(content)
	if err != nil {
		return err
	}
	s := newSimulation(2)
	s.changeHolder(s.workers...)
	s.cell.AddJob(s.now, job, nil, true)
	for range 3 {
		s.now = s.now.Add(time.Second)
		s.cell.Plan(s.now)
	}
	s.cell.Cancel(s.now, job.ID)
	s.cell.NextBatch(s.now, 4)
	return nil
}

// TestMalformedRecords guards against one stored or delivered job that ends the process of each
// holder that reads it.
func TestMalformedRecords(t *testing.T) {
	for name, record := range malformedRecords {
		t.Run(name, func(t *testing.T) {
			var rejected *dispatcher.JobRecordError
			if err := useRecord([]byte(record)); err != nil && !errors.As(err, &rejected) {
				t.Errorf("the record is rejected with %v, want a JobRecordError", err)
			}
		})
	}
}

func FuzzJobRecord(f *testing.F) {
	for _, record := range malformedRecords {
		f.Add([]byte(record))
	}
	f.Fuzz(func(_ *testing.T, content []byte) {
		const maxTasks = 1000
		job, err := dispatcher.DecodeJob(content)
		if err != nil {
			return
		}
		for _, step := range job.Steps {
			if step.Count > maxTasks {
				return // bounded where a job is accepted
			}
		}
		// An error means that the record is rejected, which is what it should be.
		_ = useRecord(content)
	})
}

// TestManyOccurrences guards against a job that takes all memory of each holder of its cell, as
// all of its occurrences are due at once.
func TestManyOccurrences(t *testing.T) {
	const occurrences, most = 1 << 30, 200
	s := newSimulation(4)
	s.changeHolder(s.workers...)
	job := plainJob("00000000000000a1", 1, 200*time.Millisecond, 1)
	job.Timed, job.Occurrences, job.FirstDue = true, occurrences, s.now
	began := time.Now()
	s.submit(job)
	s.runFor(5 * time.Second)
	if took := time.Since(began); took > time.Minute {
		t.Errorf("the job took %s", took)
	}
	if len(s.running) > len(s.done)+most {
		t.Errorf("%d occurrences have begun and %d are done, want at most %d open", len(s.running), len(s.done), most)
	}
	if len(s.done) <= most {
		t.Errorf("%d occurrences are done after 5 s, want more than may be open at a time", len(s.done))
	}
}

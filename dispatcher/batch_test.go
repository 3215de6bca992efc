package dispatcher_test

import (
	"fmt"
	"testing"

	"zinniashore.example/dispatcher"
)

// TestBatchOfPartsFitsTransaction guards against a cell that can store nothing any more: jobs
// with parts in several cells were cancelled at once, and the store refuses a transaction of
// more rows than it takes.
func TestBatchOfPartsFitsTransaction(t *testing.T) {
	const limit, maxRows = 9, 27
	s := newActiveSimulation(1)
	for i := range limit {
		job := longRunningJob(fmt.Sprintf("00000000000000c%d", i), 3, 9000)
		s.submit(job)
		for index := range 3 {
			s.cell.Delegate(s.now, dispatcher.TaskID{Job: job.ID, Index: index}, fmt.Sprintf("graz-%d", index), 1)
			s.save()
		}
	}
	for id := range s.jobs {
		s.cell.Cancel(s.now, id)
	}
	stored := 0
	for batch := s.cell.NextBatch(s.now, limit); batch != nil; batch = s.cell.NextBatch(s.now, limit) {
		rows := 0
		for _, j := range batch.Jobs {
			rows += 2 + len(j.CancelIn)
			stored++
		}
		if rows > maxRows {
			t.Errorf("a batch takes %d rows, want at most %d", rows, maxRows)
		}
		s.cell.BatchStored(s.now, batch)
	}
	if stored != limit {
		t.Errorf("%d jobs were stored, want %d", stored, limit)
	}
}

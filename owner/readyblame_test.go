package owner

import (
	"testing"
	"time"

	"zinniashore.example/commander"
	"zinniashore.example/placer"
	"zinniashore.example/submitter"
)

// TestBlameBeforeAllAnswer guards against a batch task that is found at fault, for good, after one failure because
// the other workers of its cell haven't answered for a moment, or not yet under a new owner.
func TestBlameBeforeAllAnswer(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		others workerView
		want   bool
	}{
		"all answer":                    {others: workerView{listed: true, answered: true}},
		"the others are silent":         {others: workerView{listed: true, answered: true, missedCalls: unreachableMisses}},
		"the owner is new":              {others: workerView{listed: true}},
		"the others have left":          {others: workerView{answered: true}, want: true},
		"the others are about to leave": {others: workerView{listed: true, answered: true, vm: WorkerVM{Leaving: true}}, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, w := newIdleCell(&fakeEvacuations{known: true})
			for _, id := range []string{"w2", "w3"} {
				other := test.others
				other.vm.ID = id
				c.workers[id] = &other
			}
			c.journal = newJournal(nil, c.spec.ID, 1, 0)
			placed := c.addPlaced(phaseRunning, true)
			group, index, err := splitTask(placed.record.id)
			if err != nil {
				t.Fatal(err)
			}
			placed.demand = demand{id: placed.record.id, group: group, index: index, class: placer.ClassBatch}
			view := &jobView{job: submitter.Job{Organisation: "moka", Name: "night", Tasks: 1, Work: time.Hour}, activeTasks: map[int]bool{index: true}}
			c.jobs[group] = view
			c.handleReport(w, commander.TaskReport{Ref: commander.Ref{Task: placed.record.id, Attempt: 1}, State: commander.TaskFailed, Reason: "exit 1"})
			if got := view.progress.failed.count() == 1; got != test.want {
				t.Errorf("the task failed for good: %t, want %t", got, test.want)
			}
		})
	}
}

package delayer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/delayer"
)

// TestDecide guards against waits that cost more than a start elsewhere, go beyond the objective or last
// longer than their bound, and against starts elsewhere although a place in the rack of the data becomes free first.
func TestDecide(t *testing.T) {
	task := delayer.Task{RunTime: 10 * time.Second, RemoteFactor: 1.5}
	withSlack := func(slack time.Duration) delayer.Task {
		task := task
		task.Slack, task.HasObjective = slack, true
		return task
	}
	withFactor := func(factor float64) delayer.Task {
		task := task
		task.RemoteFactor = factor
		return task
	}
	tests := map[string]struct {
		task       delayer.Task
		in         time.Duration
		unexpected bool
		want       delayer.Verdict
	}{
		"a place before the cost":               {task: task, in: 4 * time.Second, want: delayer.VerdictWait},
		"a place at once":                       {task: task, want: delayer.VerdictWait},
		"a place at the cost":                   {task: task, in: 5 * time.Second, want: delayer.VerdictTooLong},
		"a place after the cost":                {task: task, in: 6 * time.Second, want: delayer.VerdictTooLong},
		"no place":                              {task: task, unexpected: true, want: delayer.VerdictNoPlace},
		"a place within the rest of the bound":  {task: task.WithWaited(2 * time.Second), in: 2 * time.Second, want: delayer.VerdictWait},
		"a place after the rest of the bound":   {task: task.WithWaited(2 * time.Second), in: 4 * time.Second, want: delayer.VerdictTooLong},
		"a wait that has reached its bound":     {task: task.WithWaited(5 * time.Second), want: delayer.VerdictTooLong},
		"a place before the objective":          {task: withSlack(3 * time.Second), in: 3 * time.Second, want: delayer.VerdictWait},
		"a place after the objective":           {task: withSlack(3 * time.Second), in: 4 * time.Second, want: delayer.VerdictObjective},
		"an objective that can't be met":        {task: withSlack(0), want: delayer.VerdictObjective},
		"no cost elsewhere":                     {task: withFactor(1), want: delayer.VerdictTooLong},
		"a task that is faster elsewhere":       {task: withFactor(0.5), want: delayer.VerdictTooLong},
		"a factor that isn't known":             {task: withFactor(0), want: delayer.VerdictTooLong},
		"a task without an expected run time":   {task: delayer.Task{RemoteFactor: 2}, want: delayer.VerdictTooLong},
		"a factor of three allows longer waits": {task: withFactor(3), in: 19 * time.Second, want: delayer.VerdictWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := delayer.Decide(test.task, test.in, !test.unexpected); got != test.want {
				t.Errorf("verdict %s, want %s", got, test.want)
			}
		})
	}
}

// TestDecideIsBounded guards against a task that waits beyond the cost of running elsewhere or beyond its
// objective, whatever is expected.
func TestDecideIsBounded(t *testing.T) {
	span := rapid.Int64Range(-int64(time.Minute), int64(time.Hour))
	rapid.Check(t, func(t *rapid.T) {
		task := delayer.Task{
			RunTime: time.Duration(max(span.Draw(t, "run time"), 0)), RemoteFactor: rapid.Float64Range(0, 5).Draw(t, "factor"),
			Waited: time.Duration(max(span.Draw(t, "waited"), 0)),
			Slack:  time.Duration(span.Draw(t, "slack")), HasObjective: rapid.Bool().Draw(t, "objective"),
		}
		in := time.Duration(max(span.Draw(t, "in"), 0))
		if delayer.Decide(task, in, rapid.Bool().Draw(t, "expected")) != delayer.VerdictWait {
			return
		}
		if task.Waited+in >= task.RemoteCost() {
			t.Errorf("a wait of %s and %s costs more than %s", task.Waited, in, task.RemoteCost())
		}
		if task.HasObjective && in > task.Slack {
			t.Errorf("a wait of %s goes beyond the objective, which is in %s", in, task.Slack)
		}
	})
}

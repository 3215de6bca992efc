package owner_test

import (
	"sync"
	"testing"
	"time"

	"zinniashore.example/owner"
	"zinniashore.example/placer"
	"zinniashore.example/submitter"
)

// endLearner counts the run times it receives by template, and estimates nothing.
type endLearner struct {
	mu   sync.Mutex
	ends map[string]int
}

func (l *endLearner) View(time.Time) placer.Estimates               { return l }
func (*endLearner) Size(_ string, declared placer.Size) placer.Size { return declared }
func (*endLearner) Slowdown(string, []string) float64               { return 1 }
func (*endLearner) Measured(string) float64                         { return 1 }
func (*endLearner) Observe(time.Time, []owner.UsageReport)          {}

func (l *endLearner) ObserveEnd(template string, declared, ran time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if declared > 0 && ran > 0 {
		l.ends[template]++
	}
}

// throttleAll starts every task and throttles each running one to half its share.
type throttleAll struct{}

// Decide implements owner.Decider.
func (throttleAll) Decide(s placer.Snapshot) placer.Plan {
	var plan placer.Plan
	for _, t := range s.Tasks {
		if t.State == placer.TaskWaiting {
			plan.Actions = append(plan.Actions, placer.Action{Kind: placer.ActionStart, Task: t.ID, Worker: "w0"})
			continue
		}
		plan.Actions = append(plan.Actions, placer.Action{Kind: placer.ActionThrottle, Task: t.ID, Worker: "w0", Throttle: 0.5})
	}
	return plan
}

// TestRunTimesAreLearnedFromWholeAttempts checks that the learner receives one run time
// for each task done in one attempt, and none for a throttled task.
func TestRunTimesAreLearnedFromWholeAttempts(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		decider owner.Decider
		want    int
	}{
		"never evicted": {decider: &evictingDecider{random: newRandom(1)}, want: 3},
		"throttled":     {decider: throttleAll{}, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 1)
			l := &endLearner{ends: map[string]int{}}
			env.process("a", func(o *owner.Owner) { o.Learner, o.Decider = l, test.decider })
			env.submit(submitter.Job{Name: "night", Tasks: 3, Work: 300 * time.Millisecond})
			env.ended("night")
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.ends["sorting"] != test.want {
				t.Errorf("%d run times learned, want %d", l.ends["sorting"], test.want)
			}
		})
	}
}

package owner_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniashore.example/owner"
	"zinniashore.example/standin"
	"zinniashore.example/submitter"
)

// TestJobRunsToItsEnd runs jobs through one owner without faults.
func TestJobRunsToItsEnd(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, 3)
	w.process("a", func(o *owner.Owner) { o.Decider = &evictingDecider{random: newRandom(1), budget: 6} })
	w.submit(submitter.Job{Name: "night", Tasks: 20, Work: 100 * time.Millisecond})
	job := w.ended("night")
	if job.State != submitter.JobDone || job.DoneTasks != 20 {
		t.Errorf("job ended %q with %d done: %s", job.State, job.DoneTasks, job.Reason)
	}
	w.check()
}

// TestCrashAtEachStep kills the owner before and after calls of each kind. A
// standby takes over and every unit of work is done once, in one place.
func TestCrashAtEachStep(t *testing.T) {
	t.Parallel()
	steps := map[string]struct {
		call   string
		counts []int
	}{
		"take":       {call: "swap cells/vacoas-1/owner", counts: []int{1}},
		"load":       {call: "list cells/", counts: []int{1}},
		"record":     {call: "swap cells/vacoas-1/tasks/", counts: []int{1, 4}},
		"start":      {call: "start", counts: []int{1, 4, 9}},
		"renew":      {call: "renew", counts: []int{1, 5, 12}},
		"checkpoint": {call: "checkpoint", counts: []int{1, 3}},
		"forget":     {call: "forget", counts: []int{1, 3}},
		"stop":       {call: "stop", counts: []int{1}},
		"outcome":    {call: "swap watched/jobs/", counts: []int{1, 2}},
	}
	for name, step := range steps {
		for _, count := range step.counts {
			for _, after := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %d after %t", name, count, after), func(t *testing.T) {
					t.Parallel()
					crashAt(t, step.call, count, after)
				})
			}
		}
	}
}

func crashAt(t *testing.T, step string, count int, after bool) {
	w := newTestEnv(t, 3)
	first := w.process("a", func(o *owner.Owner) { o.Decider = &evictingDecider{random: newRandom(uint64(count)), budget: 20} })
	calls := 0
	var mu sync.Mutex
	hook := func(call string) bool {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(call, step) {
			calls++
		}
		return calls == count && strings.HasPrefix(call, step)
	}
	first.gate.set(func(v *callGate) {
		if after {
			v.after = hook
		} else {
			v.before = hook
		}
	})
	w.submit(submitter.Job{Name: "night", Tasks: 10, Work: 150 * time.Millisecond})
	w.submit(submitter.Job{Name: "unwanted", Tasks: 3, Work: time.Hour})
	w.eventually("the owner starts tasks of both jobs or crashes", func() bool { return w.hasRun("moka/unwanted/") || first.isCrashed() })
	w.process("b", func(o *owner.Owner) { o.Decider = &evictingDecider{random: newRandom(uint64(count)), budget: 5} })
	if _, err := w.submitter("operator2").Cancel(w.ctx, "moka", "unwanted"); err != nil {
		t.Fatal(err)
	}
	if job := w.ended("night"); job.State != submitter.JobDone || job.DoneTasks != 10 {
		t.Errorf("job ended %q with %d done: %s", job.State, job.DoneTasks, job.Reason)
	}
	if job := w.ended("unwanted"); job.State != submitter.JobCancelled {
		t.Errorf("cancelled job ended %q", job.State)
	}
	w.eventually("the step to crash at is reached", first.isCrashed)
	w.check()
}

// TestFrozenOwnerIsFenced freezes the owner past its lease at a call, twice,
// and thaws it once a successor has started tasks.
func TestFrozenOwnerIsFenced(t *testing.T) {
	t.Parallel()
	steps := map[string]string{
		"before start": "start", "before record": "swap cells/vacoas-1/tasks/", "before checkpoint": "checkpoint", "before renew": "renew",
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, 3)
			processes := []*process{
				w.process("a", func(o *owner.Owner) { o.Decider = &evictingDecider{random: newRandom(3), budget: 30} }),
				w.process("b", func(o *owner.Owner) { o.Decider = &evictingDecider{random: newRandom(4), budget: 30} }),
			}
			w.submit(submitter.Job{Name: "night", Tasks: 24, Work: 250 * time.Millisecond})
			for range 2 {
				w.freezeAt(processes, step)
			}
			if job := w.ended("night"); job.DoneTasks != 24 {
				t.Errorf("job ended %q with %d done: %s", job.State, job.DoneTasks, job.Reason)
			}
			w.check()
		})
	}
}

// freezeAt freezes the owning process at its next call of the step until
// another process owns the cell.
func (w *testEnv) freezeAt(processes []*process, step string) {
	w.t.Helper()
	var holder, other *process
	w.eventually("a process owns the cell", func() bool {
		for i, p := range processes {
			if p.owns() {
				holder, other = p, processes[1-i]
				return true
			}
		}
		return false
	})
	var once sync.Once
	holder.gate.set(func(v *callGate) {
		v.before = func(call string) bool {
			if strings.HasPrefix(call, step) {
				once.Do(v.freeze)
			}
			return false
		}
	})
	w.eventually("another process owns the cell", func() bool { return other.owns() })
	time.Sleep(testLease / 4)
	holder.gate.set(func(v *callGate) { v.before = nil })
	holder.gate.thaw()
}

// TestStoreOutage takes the store away for longer than every lease: what runs
// goes on, nothing is started, and what was done meanwhile is recorded once.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, 2)
	p := w.process("a", func(o *owner.Owner) { o.Outage = time.Minute })
	w.submit(submitter.Job{Name: "long", Tasks: 4, Work: 3 * time.Second})
	w.submit(submitter.Job{Name: "short", Tasks: 3, Work: time.Second})
	w.eventually("all tasks run", func() bool { return len(w.ledger.Runs()) == 7 })
	w.store.SetFaults(standin.StoreFaults{Outage: true})
	w.eventually("the session lapses", func() bool { return !p.session.Valid() })
	started := len(w.ledger.Runs())
	w.eventually("short tasks are done", func() bool { return w.count(standin.RunDone) == 3 })
	time.Sleep(2 * testLease)
	if got := len(w.ledger.Runs()); got != started {
		t.Errorf("%d attempts started during the outage", got-started)
	}
	w.store.SetFaults(standin.StoreFaults{LoseAnswers: 5})
	if job := w.ended("short"); job.DoneTasks != 3 {
		t.Errorf("short job ended %+v", job)
	}
	if job := w.ended("long"); job.DoneTasks != 4 {
		t.Errorf("long job ended %+v", job)
	}
	if got := len(w.ledger.Runs()); got != 7 {
		t.Errorf("%d attempts, want one of each of 7 tasks", got)
	}
	w.check()
}

func (w *testEnv) hasRun(prefix string) bool {
	for _, run := range w.ledger.Runs() {
		if strings.HasPrefix(run.Task, prefix) {
			return true
		}
	}
	return false
}

func (w *testEnv) count(state standin.RunState) int {
	count := 0
	for _, run := range w.ledger.Runs() {
		if run.State == state {
			count++
		}
	}
	return count
}

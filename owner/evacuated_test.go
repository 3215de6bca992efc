package owner_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"zinniashore.example/owner"
	"zinniashore.example/placer"
	"zinniashore.example/submitter"
)

// domainSwitch are owner.Evacuations that tests switch.
type domainSwitch struct{ evacuated, known atomic.Bool }

// Evacuated implements owner.Evacuations.
func (d *domainSwitch) Evacuated(string) (evacuated, known bool) {
	return d.evacuated.Load(), d.known.Load()
}

// TestEvacuation guards against tasks that start in an evacuated failure domain or before
// the evacuations are known, against the end of tasks that run there, and against tasks
// that wait on after the domain was taken back.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 3)
	domain := &domainSwitch{}
	p := env.process("a", func(o *owner.Owner) { o.Decider, o.Evacuations = &placer.Placer{}, domain })
	env.submit(submitter.Job{Name: "endless", Tasks: 2, Work: time.Hour})
	env.waitsFor(p, "moka/endless/0", "it is not known yet whether an operator has evacuated vacoas")
	domain.known.Store(true)
	env.eventually("both tasks run", func() bool { return p.running("moka/endless/") == 2 })

	domain.evacuated.Store(true)
	env.submit(submitter.Job{Name: "night", Tasks: 4, Work: 50 * time.Millisecond})
	env.waitsFor(p, "moka/night/0", "an operator has evacuated vacoas")
	if got := p.running("moka/endless/"); got != 2 {
		t.Errorf("%d tasks run on in the evacuated failure domain, want 2", got)
	}

	domain.evacuated.Store(false)
	if job := env.ended("night"); job.State != submitter.JobDone || job.DoneTasks != 4 {
		t.Errorf("job ended %q with %d done: %s", job.State, job.DoneTasks, job.Reason)
	}
	if got := p.running("moka/endless/"); got != 2 {
		t.Errorf("%d tasks run on after the evacuation, want 2", got)
	}
	env.check()
}

// waitsFor waits until the status gives the reason for which a task waits, and fails the
// test if its job runs within some periods from then on.
func (e *testEnv) waitsFor(p *process, task, reason string) {
	e.t.Helper()
	e.eventually(task+" waits: "+reason, func() bool {
		for _, c := range p.owner.Status().Cells {
			for _, s := range c.Tasks {
				if s.Task == task && s.Code == placer.ReasonEvacuated && s.Reason == reason {
					return true
				}
			}
		}
		return false
	})
	time.Sleep(10 * testPeriod)
	if e.hasRun(task[:strings.LastIndexByte(task, '/')+1]) {
		e.t.Errorf("tasks of the job of %s have run", task)
	}
}

// running returns the number of tasks with the prefix that run.
func (p *process) running(prefix string) int {
	count := 0
	for _, c := range p.owner.Status().Cells {
		for _, s := range c.Tasks {
			if strings.HasPrefix(s.Task, prefix) && s.State == "running" {
				count++
			}
		}
	}
	return count
}

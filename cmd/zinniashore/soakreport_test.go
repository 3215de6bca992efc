package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

type soakSpan struct {
	from, to time.Time
	// kind and process are those of the fault, if it is one.
	kind, process string
}

// report notes a broken rule and the tasks concerned.
func (s *soak) report(text string, tasks ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, soakProblem{text: fmt.Sprintf("at %.3fs: %s", time.Since(s.began).Seconds(), text), tasks: tasks})
}

func (s *soak) since(t time.Time) string { return fmt.Sprintf("%.3fs", t.Sub(s.began).Seconds()) }

// calm reports whether no unplanned fault was active in a span or shortly before it.
func (s *soak) calm(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.faults {
		if f.from.Before(to) && (f.to.IsZero() || f.to.Add(soakContact).After(from)) {
			return false
		}
	}
	return true
}

// checkLoss reports a connection that ended without an answer, if a planned stop is the
// only cause there can be.
func (s *soak) checkLoss(p *soakProcess, what string, sent time.Time, err error) {
	now := time.Now()
	if now.Sub(sent) < lossSlack || now.Sub(sent) > soakPatience {
		return
	}
	p.mu.Lock()
	planned := !p.stopping.IsZero()
	p.mu.Unlock()
	if planned && s.calm(sent, now) {
		s.report(fmt.Sprintf("LOST: %s ended the connection of %s, sent %s, without an answer in a planned stop: %v", p.name, what, s.since(sent), err))
	}
}

// conclude fails the test if there were problems, and keeps the logs.
func (s *soak) conclude(plan []soakFault, history *soakHistory) {
	s.mu.Lock()
	problems := s.problems
	accepted, refused := 0, 0
	for _, job := range s.jobs {
		job.mu.Lock()
		if job.refused() {
			refused++
		} else if !job.accepted.IsZero() {
			accepted++
		}
		job.mu.Unlock()
	}
	s.t.Logf("seed %d: %d processes, %d faults, %d jobs (%d accepted, %d refused, %d given up), %d tasks started, %d starts on shrunk workers, %d versions, %d answers checked for them, %s, longest pause %s", s.seed, len(s.processes),
		len(plan), len(s.jobs), accepted, refused, len(s.innocent), len(history.runs), history.shrunk, len(s.versions.acknowledged), s.versions.checked, time.Since(s.began).Round(time.Second), s.longestPause.Round(time.Millisecond))
	s.mu.Unlock()
	s.t.Logf("seed %d: ends of runs %v, %d tasks of gangs done", s.seed, history.outcomes(), s.gangs.done(history))
	if s.refusals {
		s.t.Logf("seed %d: workers counted as crashed under a run %d times, %d tasks given up", s.seed, s.countLogged("task_crash"), s.countLogged("task_given_up"))
	}
	if s.lostHolder || s.lostDomain {
		s.t.Logf("seed %d: %s", s.seed, s.describeRestarts(history))
	}
	if s.planned {
		s.t.Logf("seed %d: %s", s.seed, s.describePlanned(history))
	}
	if accepted == 0 || len(history.runs) == 0 {
		s.t.Errorf("seed %d: nothing ran", s.seed)
	}
	if len(problems) == 0 && !s.t.Failed() {
		if s.notes.killed == 0 || !s.planned {
			_ = os.RemoveAll(s.logs)
			return
		}
		s.t.Logf("seed %d: a stop took longer than the grace; logs of the processes (seconds count from %s): %s", s.seed, s.began.UTC().Format("15:04:05.000"), s.logs)
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d failed; logs of the processes (seconds count from %s): %s\n", s.seed, s.began.UTC().Format("15:04:05.000"), s.logs)
	for _, f := range plan {
		fmt.Fprintf(&b, "  fault %s\n", f)
	}
	described := map[string]bool{}
	for _, problem := range problems {
		fmt.Fprintf(&b, "  %s\n", problem.text)
		for _, task := range problem.tasks {
			if described[task] {
				continue
			}
			described[task] = true
			b.WriteString(history.describe(task, s.began))
			if job := s.job(strings.Split(task, ".")[0]); job != nil && !described[job.id] {
				described[job.id] = true
				fmt.Fprintf(&b, "    job %s %+v: %s; cancelled %s, acknowledged %s\n", job.id, job.steps, strings.Join(job.attempts, "; "),
					s.since(job.cancelSent), s.since(job.cancelAcknowledged))
			}
		}
	}
	_ = os.WriteFile(filepath.Join(s.logs, "report.txt"), []byte(b.String()), 0o600)
	s.t.Error(b.String())
}

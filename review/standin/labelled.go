package main

import (
	"fmt"
	"syscall"
	"time"
)

// labelledJobLost hands in a job whose label only minions of one zone have, while that zone's
// process that holds them is frozen for a few seconds.
func labelledJobLost(s *site, trouble bool) (bool, error) {
	const label, perZone = "b", 6
	for _, zone := range s.zones {
		for range perZone {
			if zone == s.zones[2] {
				s.addMinion(zone, label)
			} else {
				s.addMinion(zone, "a")
			}
		}
	}
	for range 2 {
		for _, zone := range s.zones {
			if _, err := s.addProcess(zone); err != nil {
				return false, err
			}
		}
	}
	if !s.awaitReady(15 * time.Second) {
		return false, fmt.Errorf("%w: a process isn't ready", errNotRun)
	}
	time.Sleep(5 * time.Second)
	phase := map[string]any{"count": 4, "cpu": 2000, "mem-mb": 1000, "estimate-ms": 1000, "requirements": label}
	const before, job = "00000000000000b0", "00000000000000b1"
	p := s.processes[0]
	if !s.submit(p, before, phase) {
		return false, fmt.Errorf("%w: the first job wasn't accepted", errNotRun)
	}
	time.Sleep(4 * time.Second)
	if state := s.state(p, before); state != "completed" {
		return false, fmt.Errorf("%w: the first job is %q, before any disruption", errNotRun, state)
	}
	holder := s.holder(s.zones[2])
	if holder == nil {
		return false, fmt.Errorf("%w: the zone has no holder", errNotRun)
	}
	if trouble {
		s.signal(holder, syscall.SIGSTOP)
		time.Sleep(500 * time.Millisecond)
	}
	accepted := s.submit(p, job, phase)
	if trouble {
		time.Sleep(3500 * time.Millisecond)
		s.signal(holder, syscall.SIGCONT)
	}
	if !accepted {
		return false, fmt.Errorf("%w: the job wasn't accepted", errNotRun)
	}
	return s.lostAtEnd(p, job), nil
}

// lostAtEnd applies the rule LOST to a job after the end of the traffic: finish_s later a job
// must not have nothing running for 3 s, unless all its tasks have ended. All minions are idle
// then but for this job.
func (s *site) lostAtEnd(p *process, job string) bool {
	s.record.add("check", "end of the traffic; the job is looked at %d s later", finishS)
	time.Sleep(finishS * time.Second)
	idleSince := time.Now()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		active := 0
		for _, m := range s.minions {
			active += m.runsOf(job)
		}
		if active > 0 {
			idleSince = time.Now()
		}
	}
	state := s.state(p, job)
	idle := time.Since(idleSince).Round(100 * time.Millisecond)
	started := 0
	for _, r := range s.allRuns() {
		if len(r.task) > len(job) && r.task[:len(job)] == job {
			started++
		}
	}
	s.record.add("check", "job %s: state %q, %d runs in all, nothing running for %v", job, state, started, idle)
	if state == "completed" || state == "failed" || state == "cancelled" {
		return false
	}
	if idle >= 3*time.Second {
		s.record.add("check", "LOST: job %s was accepted and has nothing running for %v, with all minions idle", job, idle)
		return true
	}
	return false
}

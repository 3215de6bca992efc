package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	freezeTime = 4 * time.Second
	// giveUpTime is when the requester leaves: less than half of its objective of 1,000 ms.
	giveUpTime = 300 * time.Millisecond
	cancelMS   = 3000
)

// frozenSubmission hands in a job at a process that is frozen for a few seconds and holds no
// cell, gives it up, cancels it at another process, and looks whether it runs later than
// cancel_ms after the cancelling was acknowledged.
func frozenSubmission(s *site, trouble bool) (bool, error) {
	for range 2 {
		for _, zone := range s.zones {
			if _, err := s.addProcess(zone); err != nil {
				return false, err
			}
		}
	}
	for _, zone := range s.zones {
		for range 6 {
			s.addMinion(zone)
		}
	}
	if !s.awaitReady(15 * time.Second) {
		return false, fmt.Errorf("%w: a process isn't ready", errNotRun)
	}
	time.Sleep(5 * time.Second)
	const job = "00000000000000d1"
	var first *process
	holder := s.holder(s.zones[0])
	for _, p := range s.processes {
		if p.zone == s.zones[0] && p != holder {
			first = p
		}
	}
	if holder == nil || first == nil {
		return false, fmt.Errorf("%w: the zone has no holder", errNotRun)
	}
	s.record.add("check", "%s holds the cell of %s", holder.name, s.zones[0])
	began := time.Now()
	if trouble {
		s.signal(first, syscall.SIGSTOP)
	}
	body := map[string]any{"spec": "ms=1000", "phases": []any{map[string]any{"count": 4, "cpu": 2000, "mem-mb": 1000, "estimate-ms": 1000}}}
	status, _ := s.requestWithin(first, giveUpTime, http.MethodPost, queuePath+job, body)
	s.record.add("requester", "submission ended with status %d; the requester cancels the job", status)
	acknowledged, err := s.cancelJob(s.processes[1], job)
	if err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(time.Until(began.Add(freezeTime)))
		s.signal(first, syscall.SIGCONT)
	}
	time.Sleep(10 * time.Second)
	broken := false
	for _, r := range s.allRuns() {
		if strings.HasPrefix(r.task, job) && r.began.After(acknowledged.Add(cancelMS*time.Millisecond)) {
			broken = true
			s.record.add("check", "UNASKED: %v starts %.3f s after the cancelling was acknowledged and ends as %q",
				&r, r.began.Sub(acknowledged).Seconds(), r.how)
		}
	}
	s.state(s.processes[1], job)
	return broken, nil
}

// cancelJob cancels a job, with retries, and returns when that was acknowledged.
func (s *site) cancelJob(p *process, job string) (time.Time, error) {
	for range 5 {
		status, _ := s.request(p, http.MethodDelete, queuePath+job, nil)
		if status/100 == 2 || status == http.StatusGone {
			return time.Now(), nil
		}
		time.Sleep(time.Second)
	}
	return time.Time{}, fmt.Errorf("%w: the cancelling wasn't acknowledged", errNotRun)
}

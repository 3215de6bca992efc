package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lostWindow is how long the store loses answers, and lateBy how late it executes these writes.
	lostWindow = 2 * time.Second
	lateBy     = 6 * time.Second
)

// lateSubmission hands in a job while the store loses the answers of its writes, gives it up,
// cancels it, and looks whether it runs later than cancel_ms after the cancelling was
// acknowledged. Other jobs are handed in meanwhile.
func lateSubmission(s *site, trouble bool) (bool, error) {
	if err := begin(s, 3); err != nil {
		return false, err
	}
	const job = "00000000000000d1"
	var mu sync.Mutex
	lost, writes := 0, 0
	var lostUntil time.Time
	s.store.late = func(keys []string) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if time.Now().After(lostUntil) {
			return 0
		}
		writes++
		for _, key := range keys {
			if strings.HasSuffix(key, "/ids/"+job) {
				lost++
				s.record.add("platform", "the write of %s gets no answer and is executed %v later", key, lateBy)
				return lateBy
			}
		}
		return 0
	}
	mu.Lock()
	if trouble {
		lostUntil = time.Now().Add(lostWindow)
	}
	mu.Unlock()
	go func() {
		for n := range 15 {
			s.submit(s.processes[1+n%2], fmt.Sprintf("00000000000e%04d", n), map[string]any{"count": 2, "cpu": 1000, "mem-mb": 1000, "estimate-ms": 1000})
			time.Sleep(300 * time.Millisecond)
		}
	}()
	first, second := s.processes[0], s.processes[1]
	body := map[string]any{"spec": "ms=4000", "phases": []any{map[string]any{"count": 4, "cpu": 2000, "mem-mb": 1000, "estimate-ms": 4000}}}
	submitted := make(chan int, 1)
	go func() {
		status, _ := s.requestWithin(first, 500*time.Millisecond, http.MethodPost, queuePath+job, body)
		submitted <- status
	}()
	status := <-submitted
	s.record.add("requester", "submission ended with %d; the requester gives up and cancels", status)
	acknowledged, err := s.cancelJob(second, job)
	if err != nil {
		return false, err
	}
	time.Sleep(20 * time.Second)
	mu.Lock()
	s.record.add("platform", "answers of %d of %d writes were lost", lost, writes)
	mu.Unlock()
	broken := false
	limit := acknowledged.Add(cancelMS * time.Millisecond)
	for _, r := range s.allRuns() {
		if !strings.HasPrefix(r.task, job) {
			continue
		}
		end := r.ended
		if end.IsZero() {
			end = time.Now()
		}
		if r.began.After(limit) {
			broken = true
			s.record.add("check", "UNASKED: %v from %.3f s to %.3f s after the cancelling was acknowledged", &r,
				r.began.Sub(acknowledged).Seconds(), end.Sub(acknowledged).Seconds())
		}
	}
	s.state(second, job)
	return broken, nil
}

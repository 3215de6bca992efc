package dispatcher_test

import (
	"strings"
	"testing"
	"time"
)

// TestEarlierProcessAnswersOnceMore guards against two runs of a task: while a worker doesn't answer, a
// process before it that is still shutting down answers a poll over a connection from before.
func TestEarlierProcessAnswersOnceMore(t *testing.T) {
	s := newActiveSimulation(3)
	s.submit(plainJob(jobID, 3, 12*time.Second, 1))
	s.runFor(500 * time.Millisecond)
	earlier := s.workers[0]
	s.drain(earlier)
	next := s.succeed(earlier)
	s.register(next)
	s.runFor(500 * time.Millisecond)
	s.submit(plainJob(otherID, 9, 12*time.Second, 1))
	s.runFor(time.Second)
	if len(next.running) == 0 || len(earlier.running) == 0 {
		t.Fatalf("%d and %d runs", len(earlier.running), len(next.running))
	}
	next.reachable = false
	s.runFor(100 * time.Millisecond)
	earlier.registration.ID = strings.TrimSuffix(earlier.registration.ID, earlierSuffix)
	s.runFor(100 * time.Millisecond)
	earlier.registration.ID += earlierSuffix
	next.reachable = true
	s.runFor(40 * time.Second)
	requireNoViolations(t, s)
}

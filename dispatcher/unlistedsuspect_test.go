package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestSuspectsOfUnlistedRuns guards against jobs that end late because the tasks that stood on restarted
// workers are tried one after the other: a crash counts as prompt if the run wasn't listed, and a poll that
// its worker held for a second, until the crash, never had an answer.
func TestSuspectsOfUnlistedRuns(t *testing.T) {
	const span = 12 * time.Second
	for name, held := range map[string]time.Duration{"polls are answered at once": 0, "polls are held": time.Second} {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(3)
			s.comesBack = time.Second
			for i := range 20 {
				s.submit(smallJob(fmt.Sprintf("000000000000dd%02d", i), 3, 1500*time.Millisecond))
			}
			s.crashAllAtAge(250 * time.Millisecond)
			s.advanceToRun()
			for _, f := range s.workers {
				f.answerDelay = held
			}
			s.crashAllAtAge(900 * time.Millisecond)
			for _, f := range s.workers {
				f.answerDelay, f.lateAnswer = 0, nil
			}
			s.advance(span)
			for id := range s.jobs {
				requireState(t, s, id, dispatcher.StateCompleted)
			}
			requireNoViolations(t, s)
		})
	}
}

// advanceToRun advances until a task runs.
func (s *simulation) advanceToRun() {
	for started := false; !started; {
		s.advance(50 * time.Millisecond)
		for _, count := range s.running {
			started = started || count > 0
		}
	}
}

// crashAllAtAge crashes all workers at an age of the first runs on them.
func (s *simulation) crashAllAtAge(age time.Duration) {
	s.advanceToRun()
	s.advance(age)
	for _, f := range s.workers {
		s.crash(f)
	}
}

package dispatcher_test

import (
	"slices"
	"testing"
	"time"
)

// lateLeaseTest is a case of TestLeasesAfterLossOfMajority.
type lateLeaseTest struct {
	// delay is how long after a poll its answer is handled.
	delay time.Duration
	// standstill is how long the holder stands still when it loses the majority.
	standstill time.Duration
}

// TestLeasesAfterLossOfMajority guards against two runs of a task at the same time: a holder
// that handles answers late extends leases beyond the time for which its successor waits.
func TestLeasesAfterLossOfMajority(t *testing.T) {
	tests := map[string]lateLeaseTest{
		"answers at once":                   {},
		"answers after 1.8 s":               {delay: 1800 * time.Millisecond},
		"answers after 3 s":                 {delay: 3 * time.Second},
		"answers after 6 s":                 {delay: 6 * time.Second},
		"the holder stands still for 3.5 s": {standstill: 3500 * time.Millisecond},
		"late, and stands still for 2 s":    {delay: 1800 * time.Millisecond, standstill: 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test.run(t) })
	}
}

// run takes the majority of the workers away from a holder and compares the ends of the
// leases of the others with what a successor assumes.
func (l *lateLeaseTest) run(t *testing.T) {
	s := newSimulation(5)
	s.changeHolder(s.workers...)
	s.submit(longRunningJob(jobID, 5, 3500))
	s.runFor(time.Second)
	for _, f := range s.workers {
		f.answerDelay = l.delay
	}
	s.runFor(5 * time.Second)
	superseded := s.now
	for _, f := range s.workers[:3] {
		f.epoch++
		f.answersLost = true
	}
	s.now = s.now.Add(l.standstill)
	s.runFor(20 * time.Second)
	longest := time.Duration(float64(limits.LeaseDuration) / 0.98)
	bound := superseded.Add(limits.MaxConfirmationAge + longest + 50*time.Millisecond)
	for _, f := range s.workers {
		end := f.bootedAt.Add(time.Duration(float64(f.leaseEnd) / f.clockRate))
		if end.After(bound) {
			t.Errorf("%s: lease ends %v after the loss of the majority, want at most %v", f.registration.ID, end.Sub(superseded), bound.Sub(superseded))
		}
	}
}

// TestClockThatStoodStill guards against the second run of a task at the same time: the
// holder kept a reading from before the worker's clock stood still, and took a lease that
// the worker still held for expired.
func TestClockThatStoodStill(t *testing.T) {
	s := newActiveSimulation(3)
	s.submit(longRunningJob(jobID, 1, 3500))
	s.runFor(time.Second)
	i := slices.IndexFunc(s.workers, func(f *fakeWorker) bool { return len(f.running) > 0 })
	f := s.workers[i]
	const pause = 2 * time.Second
	s.now = s.now.Add(pause)
	f.stoodStill = pause
	s.runFor(time.Second)
	f.answersLost = true
	s.runFor(10 * time.Second)
	requireNoViolations(t, s)
}

package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// listingPartTests are the cases of TestPartOfListing.
var listingPartTests = map[string]struct {
	// storeAway is how long the store is away from the new holder.
	storeAway time.Duration
	steps     int
}{
	"the store answers":                        {steps: 1},
	"the store answers, with a step to follow": {steps: 2},
	"the store is away from the new holder":    {steps: 1, storeAway: 3 * time.Second},
}

// TestPartOfListing guards against the second run of a task that was done: a worker has more ends
// than it lists at a time, and a new holder takes the first part of them for all.
func TestPartOfListing(t *testing.T) {
	for name, test := range listingPartTests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1)
			s.workers[0].maxListedEnds = 50
			s.workers[0].registration.Capacity = dispatcher.Size{MilliProcessors: 80000, Megabytes: 800000}
			s.changeHolder(s.workers...)
			s.runFor(200 * time.Millisecond)
			s.storeDown = true
			s.submit(plainJob(jobID, 60, 200*time.Millisecond, test.steps))
			s.runFor(150 * time.Millisecond)
			s.pauseHolder(time.Second)
			s.changeHolder(s.workers...)
			s.runFor(test.storeAway)
			s.storeDown = false
			s.runFor(5 * time.Second)
			requireState(t, s, jobID, dispatcher.StateCompleted)
			if len(s.violations) > 0 {
				t.Errorf("%d violations, the first: %s", len(s.violations), s.violations[0])
			}
		})
	}
}

// TestPartOfListingUnregistered guards against the second run of a task that was done: a worker that answers, but
// isn't registered, lists its ends in parts, and a new holder takes it for lost.
func TestPartOfListingUnregistered(t *testing.T) {
	s := newSimulation(2)
	f, spare := s.workers[0], s.workers[1]
	f.maxListedEnds = 50
	f.registration.Capacity = dispatcher.Size{MilliProcessors: 80000, Megabytes: 800000}
	spare.registration.Capacity = dispatcher.Size{}
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	s.storeDown = true
	s.submit(plainJob(jobID, 60, 200*time.Millisecond, 1))
	s.runFor(150 * time.Millisecond)
	s.pauseHolder(time.Second)
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	s.setCapacity(spare, fullCapacity)
	s.unregister(f)
	s.runFor(15 * time.Second)
	if len(spare.ended)+len(spare.running) > 0 {
		t.Errorf("%d tasks that are done run again", len(spare.ended)+len(spare.running))
	}
	s.storeDown = false
	s.runFor(5 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// soakEvacuate is the time after the request for an evacuation from which no task starts in the
	// failure domain.
	soakEvacuate      = 5 * time.Second
	soakEvacuateEvery = 3 * time.Second
)

// soakEvacuationKinds are the kinds of faults of a plan with evacuations. Most excuse no start in an
// evacuated failure domain.
var soakEvacuationKinds = []soakKind{
	{"evacuation", 4}, {"stop a process", 2}, {"change the configuration", 1}, {"stops in series", 1}, {"kill a holder", 1},
}

// soakEvacuation is the span in which a failure domain was evacuated. It lasts while to is zero.
type soakEvacuation struct {
	domain   string
	from, to time.Time
}

func evacuationPlan(seed uint64, length time.Duration) []soakFault {
	return drawFaults(rand.New(rand.NewPCG(seed, 6<<32)), soakEvacuationKinds, soakEvacuateEvery, length)
}

// evacuate evacuates a failure domain and takes it back after soakEvacuate and the length of the fault.
// It does nothing if the domain is evacuated already.
func (s *soak) evacuate(f soakFault, domain string) {
	s.mu.Lock()
	for _, e := range s.evacuations {
		if e.domain == domain && e.to.IsZero() {
			s.mu.Unlock()
			return
		}
	}
	key := "op/evacuate/" + domain
	s.store.Put(key, []byte("{}"))
	evacuation := &soakEvacuation{domain: domain, from: time.Now()}
	s.evacuations = append(s.evacuations, evacuation)
	s.mu.Unlock()
	time.Sleep(soakEvacuate + f.length)
	s.mu.Lock()
	defer s.mu.Unlock()
	evacuation.to = time.Now()
	s.store.Remove(key)
}

// checkEvacuations reports the starts in evacuated failure domains.
func (s *soak) checkEvacuations(task string, runs []*soakRun) {
	for _, run := range runs {
		for _, e := range s.evacuations {
			late := run.start.After(e.from.Add(soakEvacuate)) && (e.to.IsZero() || run.start.Before(e.to))
			if late && s.domainOf(run.worker) == e.domain && s.calm(run.start.Add(-soakEvacuate), run.start) {
				s.report(fmt.Sprintf("EVAC: run %d of %s started %s after the evacuation of %s", run.run, task, run.start.Sub(e.from), e.domain), task)
			}
		}
	}
}

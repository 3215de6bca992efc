package dispatcher

import (
	"slices"

	"zinniashore.example/recorder"
)

// SetEvacuated sets the evacuated failure domains. No task starts on their workers, which offer no free
// capacity. Runs there continue, and the workers keep their votes on the holder of the cell.
func (c *Cell) SetEvacuated(evacuated FailureDomains) {
	earlier := c.evacuated
	c.evacuated = evacuated
	for _, domain := range c.failureDomains() {
		switch isEvacuated := evacuated.Contains(domain); {
		case isEvacuated == earlier.Contains(domain):
		case isEvacuated:
			c.record(recorder.Event{Kind: KindEvacuation, Detail: "of " + domain + " has begun"})
		default:
			c.record(recorder.Event{Kind: KindEvacuation, Detail: "of " + domain + " has ended"})
		}
	}
}

// failureDomains returns the failure domains of the cell's workers, sorted.
func (c *Cell) failureDomains() []string {
	var domains []string
	for _, w := range c.workers {
		if !slices.Contains(domains, w.registration.FailureDomain) {
			domains = append(domains, w.registration.FailureDomain)
		}
	}
	slices.Sort(domains)
	return domains
}

// takesStarts reports whether a worker has registered as one that takes starts, in a failure domain
// that isn't evacuated.
func (c *Cell) takesStarts(w *worker) bool {
	return w.registered && w.registration.Phase == PhaseReady && !c.evacuated.Contains(w.registration.FailureDomain)
}

// SetEvacuated sets the evacuated failure domains of the cell and triggers a plan.
func (r *Runner) SetEvacuated(evacuated FailureDomains) {
	r.mu.Lock()
	r.Cell.SetEvacuated(evacuated)
	r.mu.Unlock()
	signal(r.wake)
}

package dispatcher

import (
	"maps"
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// SetServices sets the names of the configured services. A worker of another service that no holder
// has used isn't polled and has no vote, until a later configuration names its service.
func (c *Cell) SetServices(now time.Time, services map[string]bool) {
	c.services = services
	for _, id := range slices.Sorted(maps.Keys(c.unnamed)) {
		if registration := c.unnamed[id]; services[registration.Service] {
			delete(c.unnamed, id)
			c.SetWorker(now, registration)
		}
	}
}

func (c *Cell) setUnnamed(registration Registration) {
	if _, known := c.unnamed[registration.ID]; !known {
		detail := "left out: the configuration doesn't name its service " + registration.Service
		c.record(recorder.Event{Kind: KindWorker, VM: registration.ID, Detail: detail})
	}
	c.unnamed[registration.ID] = registration
}

// removeUnnamed removes the registrations of unnamed services that aren't listed any more.
func (c *Cell) removeUnnamed(listed map[string]bool) {
	maps.DeleteFunc(c.unnamed, func(id string, _ Registration) bool { return !listed[id] })
}

// SetServices sets the names of the configured services.
func (r *Runner) SetServices(services map[string]bool) {
	r.mu.Lock()
	r.Cell.SetServices(r.Clock.Now(), services)
	r.mu.Unlock()
	signal(r.wake)
}

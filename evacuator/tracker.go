package evacuator

import (
	"sync"

	"k8s.io/klog/v2"

	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

// Tracker follows the keys by which operators evacuate failure domains on the users' platform. Its
// exported fields are set before the first call.
type Tracker struct {
	// Changed is called with the evacuated domains after each change.
	Changed func(dispatcher.FailureDomains)

	mu      sync.Mutex
	domains dispatcher.FailureDomains
}

// Replace implements watcher.Handler.
func (t *Tracker) Replace(items []platform.Item) {
	var names []string
	for _, item := range items {
		if name, found := platform.DecodeEvacuation(item.Key); found {
			names = append(names, name)
		}
	}
	t.set(dispatcher.NewFailureDomains(names...))
}

// Apply implements watcher.Handler.
func (t *Tracker) Apply(events ...platform.Event) {
	t.mu.Lock()
	domains := t.domains
	t.mu.Unlock()
	for _, event := range events {
		name, found := platform.DecodeEvacuation(event.Key)
		switch {
		case !found:
		case event.Removed:
			domains = domains.Without(name)
		default:
			domains = domains.With(name)
		}
	}
	t.set(domains)
}

// set replaces the evacuated domains, and calls Changed if they differ.
func (t *Tracker) set(domains dispatcher.FailureDomains) {
	t.mu.Lock()
	changed := !t.domains.Equal(domains)
	t.domains = domains
	t.mu.Unlock()
	if changed {
		klog.InfoS("Evacuated failure domains changed", "evacuated", domains.Names())
		t.Changed(domains)
	}
}

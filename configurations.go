package zinniashore

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/platform"
)

// configurations holds the newest configuration received. It ignores older versions.
type configurations struct {
	clock clockwork.Clock
	// suspendedTime returns for how long in all the VM has been suspended.
	suspendedTime func() time.Duration
	// changed, if set, is called with each newer configuration.
	changed func(platform.Configuration)

	mu      sync.Mutex
	current platform.Configuration
	known   bool
	// answered is when the store last answered the watch of the configuration, and suspended
	// the value of suspendedTime then.
	answered  time.Time
	suspended time.Duration
}

// Configuration implements acceptor.ConfigurationSource.
func (c *configurations) Configuration() (platform.Configuration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.known
}

// Age implements acceptor.ConfigurationSource.
func (c *configurations) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Sub(c.answered) + c.suspendedTime() - c.suspended
}

// read notes an answer of the store.
func (c *configurations) read(time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered, c.suspended = c.clock.Now(), c.suspendedTime()
}

// Replace implements watcher.Handler.
func (c *configurations) Replace(items []platform.Item) {
	for _, item := range items {
		c.update(item)
	}
}

// Apply implements watcher.Handler.
func (c *configurations) Apply(events ...platform.Event) {
	for _, event := range events {
		if !event.Removed {
			c.update(event.Item)
		}
	}
}

func (c *configurations) update(item platform.Item) {
	if item.Key != platform.ConfigurationKey {
		return
	}
	configuration, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		klog.ErrorS(err, "Decoding the configuration failed", "revision", item.Revision)
		return
	}
	if c.replace(configuration) && c.changed != nil {
		c.changed(configuration)
	}
}

// replace puts a configuration in force, and reports whether it is newer.
func (c *configurations) replace(configuration platform.Configuration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known && configuration.Version <= c.current.Version {
		return false
	}
	klog.InfoS("Configuration in force", "version", configuration.Version, "queues", len(configuration.Queues))
	c.current = configuration
	c.known = true
	return true
}

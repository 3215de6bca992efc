package zinniashore

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/platform"
)

// TestConfigurationNeverReverts checks that an older version doesn't replace a newer one, in
// whatever order lists and changes arrive, and that a value that can't be read replaces none.
func TestConfigurationNeverReverts(t *testing.T) {
	c := &configurations{clock: clockwork.NewFakeClock(), suspendedTime: func() time.Duration { return 0 }}
	item := func(value string) platform.Item {
		return platform.Item{Key: platform.ConfigurationKey, Value: []byte(value)}
	}
	c.Replace([]platform.Item{item(`{"version":5,"routes":[{"name":"new"}]}`)})
	c.Replace([]platform.Item{item(`{"version":3}`)})
	c.Apply(platform.Event{Item: item(`{"version":4}`)})
	c.Apply(platform.Event{Item: item(`{"routes":[]}`)})
	c.Apply(platform.Event{Item: item(""), Removed: true})
	c.Replace(nil)
	current, known := c.Configuration()
	if !known || current.Version != 5 || len(current.Queues) != 1 {
		t.Errorf("configuration %+v, known %t; want version 5", current, known)
	}
}

// TestAgeOfConfiguration checks that the age counts from the last answer of the store and
// includes the time in which the VM was suspended.
func TestAgeOfConfiguration(t *testing.T) {
	clock, suspended := clockwork.NewFakeClock(), 10*time.Second
	c := &configurations{clock: clock, suspendedTime: func() time.Duration { return suspended }}
	c.read(clock.Now().Add(-time.Second))
	clock.Advance(time.Second)
	suspended += 4 * time.Second
	if age := c.Age(); age != 5*time.Second {
		t.Errorf("age %s after 1 s and a suspension of 4 s, want 5 s", age)
	}
	c.read(clock.Now())
	if age := c.Age(); age != 0 {
		t.Errorf("age %s after an answer, want 0", age)
	}
}

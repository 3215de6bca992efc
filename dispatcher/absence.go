package dispatcher

import (
	"fmt"
	"time"
)

// absenceUnit is the unit to which the ages in descriptions of absence are rounded.
const absenceUnit = 100 * time.Millisecond

// absence describes what the holder knows of a worker that it may have to treat as gone.
func (c *Cell) absence(now time.Time, w *worker) string {
	registry := "registered"
	if !w.registered {
		registry = "unregistered for " + age(now, w.absentSince)
	}
	address := "silent"
	switch {
	case w.addressTaken:
		address = "address taken by another worker"
	case w.connectionRefused:
		address = "connections refused"
	}
	return fmt.Sprintf("%s, %s, last answered poll: %s, lease expired: %t", registry, address, age(now, w.answeredAt), w.leaseExpired(now))
}

// age returns how long ago a time was, or "never" for the zero time.
func age(now, since time.Time) string {
	if since.IsZero() {
		return "never"
	}
	return now.Sub(since).Round(absenceUnit).String()
}

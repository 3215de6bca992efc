package dispatcher

import (
	"fmt"
	"strings"
	"time"

	"zinniashore.example/recorder"
)

// absenceUnit is the unit to which the ages in descriptions of absence are rounded.
const absenceUnit = 100 * time.Millisecond

const (
	// inactivityReportInterval separates reports of why the cell starts nothing.
	inactivityReportInterval = 2 * time.Second
	// maxReportedWorkers is the number of workers that a report names at most.
	maxReportedWorkers = 4
)

// reportInactivity records, from time to time, why the holder doesn't act: which of the workers
// that count towards a majority haven't confirmed its epoch recently.
func (c *Cell) reportInactivity(now time.Time) {
	if c.Confirmed(now) {
		c.inactiveSince = time.Time{}
		return
	}
	if c.inactiveSince.IsZero() {
		c.inactiveSince, c.inactivityReportedAt = now, now
	}
	if now.Sub(c.inactivityReportedAt) < inactivityReportInterval {
		return
	}
	c.inactivityReportedAt = now
	c.record(recorder.Event{Kind: KindCell, Detail: "doesn't act for " + age(now, c.inactiveSince) + ": " + c.missingVotes(now)})
}

// missingVotes describes the workers that keep the holder from a majority.
func (c *Cell) missingVotes(now time.Time) string {
	voters, confirming := 0, 0
	var missing []string
	for _, id := range c.Workers() {
		w := c.workers[id]
		if !c.isVoter(now, w) {
			continue
		}
		voters++
		if c.confirms(now, w) {
			confirming++
		} else if len(missing) < maxReportedWorkers {
			missing = append(missing, id+" ("+c.absence(now, w)+")")
		}
	}
	return fmt.Sprintf("%d of %d workers confirm it, active: %t; missing: %s", confirming, voters, c.active, strings.Join(missing, "; "))
}

// absence describes, for logs, since when a worker hasn't been registered or answered.
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

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
	if c.mayAct(now) {
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
	return fmt.Sprintf("%d of %d workers confirm it, active: %t; authority renewed %s ago, isolated: %t; earlier holders ended: %t; missing: %s",
		confirming, voters, c.active, age(now, c.renewedAt), c.isolated(now), !c.earlierEndedAt.IsZero(), strings.Join(missing, "; "))
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

// describe describes, for logs, what is known of a worker: as what it was last registered, and since when it
// hasn't been registered or answered.
func (c *Cell) describe(now time.Time, w *worker) string {
	phase := w.registration.Phase
	if phase == "" {
		phase = "phase unknown"
	}
	return fmt.Sprintf("worker: %s at %s, boot %d (registered %d), %s", phase, w.registration.Address, w.boot, w.registration.Boot, c.absence(now, w))
}

// describe describes, for logs, what is known of a run.
func (r *run) describe(now time.Time) string {
	return fmt.Sprintf("%s, last listed: %s, %s", r.phase, age(now, r.listedAt), r.ageAtLastAnswer())
}

// otherRuns describes, for logs, the run that a task has while another one is adopted, or its last one.
func (t *task) otherRuns() string {
	switch last := t.lastRun; {
	case len(t.runs) > 0:
		other := t.runs[0]
		return fmt.Sprintf("beside run %d on %s (%s)", other.number, other.worker.registration.ID, other.phase)
	case last.reason != "":
		return fmt.Sprintf("after run %d on %s: %s", last.number, last.worker, last.reason)
	}
	return ""
}

// earlierRuns describes, for logs, why a task may start although it may have run before: how its last run
// ended. It is empty for a first start.
func (c *Cell) earlierRuns(now time.Time, t *task) string {
	last := t.lastRun
	switch {
	case last.reason != "":
		return fmt.Sprintf("after run %d on %s, removed %s ago: %s", last.number, last.worker, age(now, last.at), last.reason)
	case c.mayBeStarted(t.job()):
		return "an earlier holder may have started it, no run is listed"
	}
	return ""
}

// age returns how long ago a time was, or "never" for the zero time.
func age(now, since time.Time) string {
	if since.IsZero() {
		return "never"
	}
	return now.Sub(since).Round(absenceUnit).String()
}

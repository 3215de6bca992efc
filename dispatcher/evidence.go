package dispatcher

import (
	"fmt"
	"strings"
	"time"
)

// acknowledged reports whether the worker has accepted the start of the run, or listed it.
func (r *run) acknowledged() bool { return r.observed || r.acceptedStart }

// describeFailures describes the failed runs of the task, or of the members of its gang, which count
// as a number of attempts.
func (t *task) describeFailures(now time.Time, attempts int) string {
	var runs []string
	for _, member := range t.startedTogether() {
		for _, f := range member.failures {
			runs = append(runs, fmt.Sprintf("%s run %d %s", member.id, f.number, f.describe(now)))
		}
	}
	return fmt.Sprintf("failed %d of %d attempts: %s", attempts, t.job().job.Queue.Attempts, strings.Join(runs, ", "))
}

// describe describes who listed the failure, and when.
func (f failedRun) describe(now time.Time) string {
	if f.worker == "" {
		return "(listed to an earlier holder)"
	}
	return fmt.Sprintf("on %s (listed %s ago)", f.worker, age(now, f.at))
}

// describeCrashes describes the crashes that count against a task: their signs, the age of each, and what is
// known of the worker now.
func (c *Cell) describeCrashes(now time.Time, t *task) string {
	crashes := make([]string, len(t.crashes))
	for i, crash := range t.crashes {
		crashes[i] = c.describeCrash(now, crash)
	}
	return fmt.Sprintf("crashed %d workers: %s", len(crashes), strings.Join(crashes, "; "))
}

func (c *Cell) describeCrash(now time.Time, crash Crash) string {
	worker := "not known here"
	if w := c.workers[crash.Worker]; w != nil {
		worker = fmt.Sprintf("boot now %d, %s", w.boot, c.absence(now, w))
	}
	return fmt.Sprintf("%s run %d (boot %d): %s, confirmed: %t, in another cell: %t, prompt: %t, attributed: %t, recorded %s ago (worker: %s)",
		crash.Worker, crash.Run, crash.Boot, crash.Sign, crash.Confirmed, crash.Elsewhere, crash.Prompt, crash.Attributed, age(now, crash.At), worker)
}

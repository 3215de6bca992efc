package dispatcher

import (
	"fmt"
	"strings"
	"time"
)

// minLateStart is how long a long-running task has waited at least when its start is reported as late.
const minLateStart = 3 * time.Second

// addWaited adds the time since the scan before to what a long-running task has waited for a cause.
func (t *task) addWaited(now, since time.Time, cause WaitCause, scannedBefore time.Time) {
	if !t.step.step.LongRunning {
		return
	}
	if t.waited == nil {
		t.waited = map[WaitCause]time.Duration{}
	}
	t.waited[cause] += now.Sub(latest(since, scannedBefore))
}

// recordLateStart records what a long-running task that starts has waited for under this holder, if that was long.
func (c *Cell) recordLateStart(now time.Time, r *run) {
	t := r.task
	waited := t.waited
	t.waited = nil
	total := time.Duration(0)
	var parts []string
	for _, cause := range waitCauses {
		if span := waited[cause]; span > 0 {
			total += span
			parts = append(parts, fmt.Sprintf("%s %s", cause, span.Round(absenceUnit)))
		}
	}
	if total < minLateStart {
		return
	}
	c.recordRun(KindLateStart, r, fmt.Sprintf("active for %s, part: %t, %s; waited: %s",
		age(now, c.activeAt), t.job().job.Part != nil, t.lastRunAccount(now), strings.Join(parts, ", ")))
}

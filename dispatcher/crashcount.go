package dispatcher

import "time"

const (
	// maxCrashes and maxPromptCrashes are the numbers of crashes, and of prompt ones, after
	// which a task, and with it its job, fails.
	maxCrashes       = 4
	maxPromptCrashes = 3
	// minAttributedCrashes is how many crashes must be attributed for maxPromptCrashes to apply.
	minAttributedCrashes = 2
	// minReviewedCrashes is how many crashes must be ones that this cell can take back, or of workers that
	// were more than silent.
	minReviewedCrashes = 2
	// forgottenCrashAge is the age from which the crash of a worker that was only missing ends a job: by
	// then most workers that were cut off are back.
	forgottenCrashAge = 40 * time.Second
)

// crashCount counts crashes.
type crashCount struct{ all, prompt, attributed, reviewed int }

// countCrashes counts the crashes of the task that meet a condition.
func (t *task) countCrashes(met func(Crash) bool) crashCount {
	var count crashCount
	for _, crash := range t.crashes {
		if !met(crash) {
			continue
		}
		count.all++
		if crash.Prompt {
			count.prompt++
		}
		if crash.Attributed {
			count.attributed++
		}
		if crash.certain() || crash.Sign == SignClosed || !crash.Elsewhere {
			count.reviewed++
		}
	}
	return count
}

// tooMany reports whether a task is given up for the crashes. One under a start without an answer may have had
// nothing to do with the task; one of another cell's worker that was only silent may have been none.
func (n crashCount) tooMany() bool {
	if n.reviewed < minReviewedCrashes {
		return false
	}
	return n.all >= maxCrashes || n.prompt >= maxPromptCrashes && n.attributed >= minAttributedCrashes
}

// certain reports whether the boot that the crash is of has ended for certain.
func (c Crash) certain() bool {
	return c.Confirmed && c.Sign != SignForgotten && c.Sign != SignClosed
}

// mayEndJob reports whether the crash counts for the decision to give its task up.
func (c Crash) mayEndJob(now time.Time) bool {
	return c.certain() || c.Confirmed && (c.Elsewhere || now.Sub(c.knownAt) >= forgottenCrashAge)
}

func anyCrash(Crash) bool { return true }

// crashesTooMany reports whether the task is given up, and with it its job.
func (t *task) crashesTooMany(now time.Time) bool {
	return len(t.crashes) >= maxPromptCrashes && t.countCrashes(func(crash Crash) bool { return crash.mayEndJob(now) }).tooMany()
}

// awaitsCrashReview reports whether the task would be given up if all of its crashes counted. It starts nowhere
// until that is decided.
func (t *task) awaitsCrashReview() bool { return t.countCrashes(anyCrash).tooMany() }

func (t *task) promptCrashes() int { return t.countCrashes(anyCrash).prompt }

package dispatcher

import (
	"slices"
	"time"
)

// failedRun is a run that a worker has listed as failed.
type failedRun struct {
	number int64
	// worker is the id of the worker, and at when the end was handled; both are zero if an earlier
	// holder handled it.
	worker string
	at     time.Time
}

// hasFailed reports whether a worker has listed the task's run of a number as failed.
func (t *task) hasFailed(number int64) bool {
	return slices.ContainsFunc(t.failures, func(f failedRun) bool { return f.number == number })
}

// failedAttempts returns how many runs of the task have failed, or of its gang: the members of a gang share the
// number of a run, which has failed once however many of them have.
func (t *task) failedAttempts() int {
	failed := map[int64]bool{}
	for _, member := range t.startedTogether() {
		for _, f := range member.failures {
			failed[f.number] = true
		}
	}
	return len(failed)
}

// failedRuns returns the numbers of the failed runs, in the order in which they were listed.
func (t *task) failedRuns() []int64 {
	numbers := make([]int64, len(t.failures))
	for i, f := range t.failures {
		numbers[i] = f.number
	}
	return numbers
}

// restoreFailures sets the failed runs that an earlier holder has stored.
func (t *task) restoreFailures(numbers []int64) {
	t.failures = make([]failedRun, len(numbers))
	for i, number := range numbers {
		t.failures[i].number = number
	}
}

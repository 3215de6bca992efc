package placer

import (
	"fmt"
	"slices"
	"strings"
)

const (
	milliPerProcessor = 1000
	bytesPerGigabyte  = 1 << 30
)

// never returns the reason for which no worker of the cell could run a task even
// when empty.
func never(l *ledger, task *Task, size Size) (string, bool) {
	var largest Size
	inDomain := 0
	for _, r := range l.rooms {
		if !inDomains(task, r.worker) {
			continue
		}
		inDomain++
		largest = largest.Max(r.worker.Capacity)
		if size.Within(r.worker.Capacity) {
			return "", false
		}
	}
	place := placeName(task)
	if inDomain == 0 {
		return fmt.Sprintf("%s has no workers", place), true
	}
	return excessDetail(size, largest, place), true
}

// excessDetail names the first resource that no worker has enough of.
func excessDetail(size, largest Size, place string) string {
	switch {
	case size.Accelerators > largest.Accelerators:
		return fmt.Sprintf("needs %d accelerators, the largest worker of %s has %d",
			size.Accelerators, place, largest.Accelerators)
	case size.Processors > largest.Processors:
		return fmt.Sprintf("needs %s processors, the largest worker of %s has %s",
			processors(size), place, processors(largest))
	case size.Memory > largest.Memory:
		return fmt.Sprintf("needs %s of memory, the largest worker of %s has %s",
			memory(size), place, memory(largest))
	}
	return fmt.Sprintf("needs %s together, no worker of %s has all of it", describe(size), place)
}

func placeName(task *Task) string {
	if len(task.FailureDomains) == 0 {
		return "the cell"
	}
	return strings.Join(task.FailureDomains, " or ")
}

// waitingDetail tells why no worker admitted a task: how many workers each
// reason ruled out.
func waitingDetail(l *ledger, task *Task, size Size, code ReasonCode) string {
	if code == ReasonInterference {
		return "the workers with room run services that it would slow down"
	}
	var best Size
	usable, closed, excluded := 0, 0, 0
	for _, r := range l.rooms {
		switch {
		case !inDomains(task, r.worker):
		case slices.Contains(task.Excluded, r.worker.ID):
			excluded++
		case r.worker.State != WorkerReady:
			closed++
		default:
			usable++
			best = best.Max(r.free)
		}
	}
	if usable == 0 {
		return fmt.Sprintf("needs %s; of the workers of %s, %d are not ready and %d are excluded for it",
			describe(size), placeName(task), closed, excluded)
	}
	return fmt.Sprintf("needs %s; the most that is free on a worker of %s is %s",
		describe(size), placeName(task), describe(best.Max(Size{})))
}

func describe(size Size) string {
	text := fmt.Sprintf("%s processors, %s", processors(size), memory(size))
	if size.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", size.Accelerators)
	}
	return text
}

func processors(size Size) string {
	return trimNumber(float64(size.Processors) / milliPerProcessor)
}

func memory(size Size) string {
	return trimNumber(float64(size.Memory)/bytesPerGigabyte) + " GiB"
}

// trimNumber formats a number with at most two decimals.
func trimNumber(value float64) string {
	text := fmt.Sprintf("%.2f", value)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}

package placer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	milliPerProcessor = 1000
	bytesPerGigabyte  = 1 << 30
)

// neverFits reports whether no worker of the cell could run a task even if it were empty,
// and the reason.
func neverFits(l *ledger, task *Task, size Size) (string, bool) {
	var largest Size
	inDomain := 0
	for _, info := range l.workers {
		if !inDomains(task, info.worker) {
			continue
		}
		inDomain++
		largest = largest.Max(info.worker.Capacity)
		if size.Within(info.worker.Capacity) {
			return "", false
		}
	}
	domains := domainsText(task)
	if inDomain == 0 {
		return fmt.Sprintf("%s has no workers", domains), true
	}
	return shortageDetail(size, largest, domains), true
}

// shortageDetail describes the first resource of which no worker has enough.
func shortageDetail(size, largest Size, domains string) string {
	switch {
	case size.Accelerators > largest.Accelerators:
		return fmt.Sprintf("needs %d accelerators, the largest worker of %s has %d",
			size.Accelerators, domains, largest.Accelerators)
	case size.Processors > largest.Processors:
		return fmt.Sprintf("needs %s processors, the largest worker of %s has %s",
			formatProcessors(size), domains, formatProcessors(largest))
	case size.Memory > largest.Memory:
		return fmt.Sprintf("needs %s of memory, the largest worker of %s has %s",
			formatMemory(size), domains, formatMemory(largest))
	}
	return fmt.Sprintf("needs %s together, no worker of %s has all of it", formatSize(size), domains)
}

func domainsText(task *Task) string {
	if len(task.FailureDomains) == 0 {
		return "the cell"
	}
	return strings.Join(task.FailureDomains, " or ")
}

// waitingReason returns the reason why no worker admitted a task, in general and in
// detail. The filters gave the reason code.
func waitingReason(l *ledger, task *Task, size Size, code ReasonCode) (ReasonCode, string) {
	if code == ReasonInterference {
		return code, "the workers with room run services that it would slow down"
	}
	counts := countWorkers(l, task)
	switch {
	case counts.usable > 0:
		return ReasonCapacity, fmt.Sprintf("needs %s; the most that is free on a worker of %s is %s",
			formatSize(size), domainsText(task), formatSize(counts.best.Max(Size{})))
	case len(counts.unknown) > 0:
		return ReasonEvacuated, "it is not known yet whether an operator has evacuated " + joinDomains(counts.unknown)
	case len(counts.evacuated) > 0:
		return ReasonEvacuated, "an operator has evacuated " + joinDomains(counts.evacuated)
	}
	return ReasonCapacity, fmt.Sprintf("needs %s; of the workers of %s, %d are not ready and %d are excluded for it",
		formatSize(size), domainsText(task), counts.notReady, counts.excluded)
}

// workerCounts are the workers in the failure domains of a task, by what keeps the task
// from them.
type workerCounts struct {
	usable, notReady, excluded int
	// best is the most of each resource that is free on a usable worker.
	best Size
	// evacuated and unknown are the failure domains of the workers in these states.
	evacuated, unknown map[string]bool
}

func countWorkers(l *ledger, task *Task) workerCounts {
	counts := workerCounts{evacuated: map[string]bool{}, unknown: map[string]bool{}}
	for _, info := range l.workers {
		switch {
		case !inDomains(task, info.worker):
		case slices.Contains(task.Excluded, info.worker.ID):
			counts.excluded++
		case info.worker.State == WorkerEvacuated:
			counts.evacuated[info.worker.FailureDomain] = true
		case info.worker.State == WorkerUnknown:
			counts.unknown[info.worker.FailureDomain] = true
		case info.worker.State != WorkerReady:
			counts.notReady++
		default:
			counts.usable++
			counts.best = counts.best.Max(info.free)
		}
	}
	return counts
}

func joinDomains(domains map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(domains)), " and ")
}

func formatSize(size Size) string {
	text := fmt.Sprintf("%s processors, %s", formatProcessors(size), formatMemory(size))
	if size.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", size.Accelerators)
	}
	return text
}

func formatProcessors(size Size) string {
	return formatNumber(float64(size.Processors) / milliPerProcessor)
}

func formatMemory(size Size) string {
	return formatNumber(float64(size.Memory)/bytesPerGigabyte) + " GiB"
}

// formatNumber formats a number with at most two decimals.
func formatNumber(value float64) string {
	text := fmt.Sprintf("%.2f", value)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}

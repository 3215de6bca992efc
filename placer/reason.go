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

// waitingDetail describes why no worker admitted a task.
func waitingDetail(l *ledger, task *Task, size Size, code ReasonCode) string {
	if code == ReasonInterference {
		return "the workers with room run services that it would slow down"
	}
	var best Size
	usable, notReady, excluded := 0, 0, 0
	for _, info := range l.workers {
		switch {
		case !inDomains(task, info.worker):
		case slices.Contains(task.Excluded, info.worker.ID):
			excluded++
		case info.worker.State != WorkerReady:
			notReady++
		default:
			usable++
			best = best.Max(info.free)
		}
	}
	if usable == 0 {
		return fmt.Sprintf("needs %s; of the workers of %s, %d are not ready and %d are excluded for it",
			formatSize(size), domainsText(task), notReady, excluded)
	}
	return fmt.Sprintf("needs %s; the most that is free on a worker of %s is %s",
		formatSize(size), domainsText(task), formatSize(best.Max(Size{})))
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

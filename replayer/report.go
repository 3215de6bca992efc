package replayer

import (
	"time"

	"zinniashore.example/estimator"
	"zinniashore.example/placer"
)

// delayedReport is a usage report that is delivered at its due time.
type delayedReport struct {
	due    time.Time
	report estimator.Report
}

// report measures all workers once every report period and delivers the reports that
// are due to the estimator.
func (w *world) report() {
	if w.now.Sub(w.lastReport) >= reportPeriod {
		w.lastReport = w.now
		for _, n := range w.order {
			if !n.failed && len(n.jobs) > 0 {
				w.reports = append(w.reports, delayedReport{due: w.now.Add(reportLag), report: w.measure(n)})
			}
		}
	}
	due := 0
	for due < len(w.reports) && !w.reports[due].due.After(w.now) {
		w.estimates.Observe(w.reports[due].report)
		due++
	}
	w.reports = w.reports[due:]
}

// measure returns the usage report of a worker at the current time.
func (w *world) measure(n *node) estimator.Report {
	contention := w.contention(n)
	report := estimator.Report{Worker: n.worker.ID, Time: w.now}
	for _, j := range n.jobs {
		measured := estimator.TaskReport{
			Task:     j.task.ID,
			Template: j.template.Name,
			Class:    j.task.Class,
			Age:      w.now.Sub(j.started),
			Declared: j.task.Declared,
			Usage:    w.usage(j),
			Throttle: j.task.Throttle,
		}
		if j.task.Class == placer.ClassService {
			measured.Slowdown = w.slowdown(n, j, contention)
		}
		report.Tasks = append(report.Tasks, measured)
	}
	return report
}

package estimator_test

import (
	"fmt"
	"testing"
	"time"

	"zinniashore.example/estimator"
)

// BenchmarkObserve observes one report of 17 tasks from each worker of a cell and makes
// a view.
func BenchmarkObserve(b *testing.B) {
	for _, workers := range []int{42, 83, 166, 332} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var e estimator.Estimator
			at := start
			b.ReportAllocs()
			for b.Loop() {
				at = at.Add(6 * time.Second)
				for i := range workers {
					e.Observe(cellReport(fmt.Sprint("w", i), i, at))
				}
				e.View(at)
			}
		})
	}
}

func cellReport(worker string, index int, at time.Time) estimator.Report {
	report := estimator.Report{Worker: worker, Time: at}
	for j := range 15 {
		template := fmt.Sprint("batch", (index+j)%40)
		report.Tasks = append(report.Tasks, batchReport(fmt.Sprint("b", index, "-", j), template, 0.5))
	}
	for j := range 2 {
		service := batchReport(fmt.Sprint("s", index, "-", j), fmt.Sprint("service", (index+j)%10), 0.5)
		service.Class, service.Slowdown = "service", 1.02
		report.Tasks = append(report.Tasks, service)
	}
	return report
}

package placer_test

import (
	"fmt"
	"testing"
	"time"

	"zinniashore.example/estimator"
	"zinniashore.example/placer"
)

// cell returns a snapshot of a cell with running services, running batch tasks and
// waiting tasks.
func cell(workers, services, batch, waiting int) placer.Snapshot {
	s := placer.Snapshot{Now: noon, Estimates: learnedEstimates()}
	for i := range workers {
		s.Workers = append(s.Workers, placer.Worker{
			ID:            fmt.Sprintf("w%d", i),
			FailureDomain: fmt.Sprintf("d%d", i%5),
			Rack:          fmt.Sprintf("r%d", i/8),
			Capacity:      size(64, 250),
			State:         placer.WorkerReady,
		})
	}
	for i := range services {
		task := placedTask(fmt.Sprintf("s%d", i), s.Workers[i%(workers/2)].ID, size(1, 4))
		task.Class, task.Template, task.Group = placer.ClassService, fmt.Sprintf("service%d", i%10), fmt.Sprintf("group%d", i%10)
		s.Tasks = append(s.Tasks, task)
	}
	for i := range batch {
		task := placedTask(fmt.Sprintf("b%d", i), s.Workers[i%workers].ID, size(2, 6))
		task.Template, task.Organisation = fmt.Sprintf("batch%d", i%40), fmt.Sprintf("org%d", i%36)
		s.Tasks = append(s.Tasks, task)
	}
	for i := range waiting {
		task := waitingTask(fmt.Sprintf("q%d", i), size(1+int64(i%4), 2))
		task.Template, task.Organisation = fmt.Sprintf("batch%d", i%40), fmt.Sprintf("org%d", i%36)
		task.Deadline, task.Work = noon.Add(time.Duration(i)*time.Minute), time.Hour
		s.Tasks = append(s.Tasks, task)
	}
	for i := range 36 {
		s.Quotas = append(s.Quotas, placer.Quota{Organisation: fmt.Sprintf("org%d", i), Limit: size(2000, 8000)})
	}
	return s
}

// learnedEstimates returns estimates of 40 batch and 10 service templates.
func learnedEstimates() *estimator.View {
	var e estimator.Estimator
	for i := range 40 {
		report := estimator.Report{Worker: fmt.Sprintf("w%d", i), Time: noon}
		for j := range 10 {
			report.Tasks = append(report.Tasks, estimator.TaskReport{
				Task: fmt.Sprintf("s%d", j), Template: fmt.Sprintf("service%d", j), Class: placer.ClassService,
				Age: time.Hour, Declared: size(1, 4), Usage: size(1, 3), Slowdown: 1.01,
			})
		}
		report.Tasks = append(report.Tasks, estimator.TaskReport{
			Task: fmt.Sprintf("b%d", i), Template: fmt.Sprintf("batch%d", i), Class: placer.ClassBatch,
			Age: time.Hour, Declared: size(2, 6), Usage: size(2, 5),
		})
		e.Observe(report)
	}
	return e.View(noon)
}

func BenchmarkDecide(b *testing.B) {
	shapes := []struct{ workers, services, batch, waiting int }{
		{166, 0, 0, 1000},
		{42, 85, 600, 10},
		{83, 170, 1200, 10},
		{166, 340, 2400, 10},
		{332, 680, 4800, 10},
		{166, 340, 2400, 100},
		{166, 340, 2400, 1000},
	}
	for _, s := range shapes {
		name := fmt.Sprintf("workers=%d/services=%d/batch=%d/waiting=%d", s.workers, s.services, s.batch, s.waiting)
		b.Run(name, func(b *testing.B) {
			snapshot := cell(s.workers, s.services, s.batch, s.waiting)
			p := placer.Placer{Seed: 1}
			b.ReportAllocs()
			for b.Loop() {
				p.Decide(snapshot)
			}
		})
	}
}

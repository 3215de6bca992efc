package zinniashore

import (
	"context"
	"time"

	"zinniashore.example/configurer"
	"zinniashore.example/estimator"
	"zinniashore.example/lister"
	"zinniashore.example/loader"
	"zinniashore.example/owner"
	"zinniashore.example/placer"
)

// workerList provides the workers on the platform's list.
type workerList struct{ lister *lister.Lister }

// Workers implements owner.WorkerList.
func (w workerList) Workers(context.Context) ([]owner.WorkerVM, error) { return w.list(), nil }

func (w workerList) list() []owner.WorkerVM {
	vms, _ := w.lister.VMs()
	var workers []owner.WorkerVM
	for _, vm := range vms {
		if vm.Role != lister.RoleWorker {
			continue
		}
		workers = append(workers, owner.WorkerVM{
			ID:            vm.ID,
			Address:       vm.Address,
			FailureDomain: vm.FailureDomain,
			Rack:          vm.Rack,
			Capacity:      vm.Capacity,
			Leaving:       vm.State == lister.StateLeaving,
		})
	}
	return workers
}

// workloads provides the services and quotas of the configuration in force to the owner.
type workloads struct {
	configurer *configurer.Configurer
	cells      []loader.Cell
}

// Services implements owner.Workloads. It returns nil until a configuration is known,
// and an empty slice if the configuration has no services.
func (w workloads) Services() []owner.Service {
	if !w.configurer.Ready() {
		return nil
	}
	services := []owner.Service{}
	for _, s := range w.configurer.Current().Services {
		services = append(services, owner.Service{
			Organisation:   s.Organisation,
			Name:           s.Name,
			Template:       s.Template,
			Instances:      s.Instances,
			Size:           s.Size,
			Priority:       s.Priority,
			FailureDomains: s.FailureDomains,
			Slots:          s.Slots,
			Connections:    s.Connections,
		})
	}
	return services
}

// Quotas implements owner.Workloads. A quota covers all workers, so each cell gets an
// equal part of it.
func (w workloads) Quotas() []placer.Quota {
	var quotas []placer.Quota
	for _, q := range w.configurer.Current().Quotas {
		quotas = append(quotas, placer.Quota{
			Organisation: q.Organisation,
			Limit:        q.Limit.Divided(len(w.cells)),
		})
	}
	return quotas
}

func ownerCells(cells []loader.Cell) []owner.Cell {
	var converted []owner.Cell
	for _, c := range cells {
		converted = append(converted, owner.Cell{ID: c.ID, FailureDomain: c.FailureDomain, Racks: c.Racks})
	}
	return converted
}

// usageLearner passes the usage reports of workers to the estimator.
type usageLearner struct{ estimator *estimator.Estimator }

// View implements owner.Learner.
func (u usageLearner) View(now time.Time) placer.Estimates { return u.estimator.View(now) }

// Observe implements owner.Learner.
func (u usageLearner) Observe(now time.Time, reports []owner.UsageReport) {
	byWorker := map[string]estimator.Report{}
	for _, r := range reports {
		report := byWorker[r.Worker]
		report.Worker = r.Worker
		report.Time = now
		report.Tasks = append(report.Tasks, taskReport(r))
		byWorker[r.Worker] = report
	}
	for _, report := range byWorker {
		u.estimator.Observe(report)
	}
}

// ObserveEnd implements owner.Learner.
func (u usageLearner) ObserveEnd(template string, declared, ran time.Duration) {
	u.estimator.ObserveCompletion(estimator.Completion{Template: template, Declared: declared, Took: ran})
}

func taskReport(r owner.UsageReport) estimator.TaskReport {
	return estimator.TaskReport{
		Task:     r.Task,
		Template: r.Template,
		Class:    r.Class,
		Age:      r.Age,
		Throttle: r.Throttle,
		Declared: r.Declared,
		Usage:    r.Used,
		Slowdown: r.Slowdown,
	}
}

package configurer

import (
	"errors"
	"fmt"
	"slices"
)

// StepKind is the kind of a Step.
type StepKind string

// Kinds of steps.
const (
	// StepStart starts additional instances of a service.
	StepStart StepKind = "start"
	// StepStop stops instances of a service.
	StepStop StepKind = "stop"
	// StepMove replaces instances whose size, template or failure domains change.
	StepMove StepKind = "move"
	// StepUpdate changes a workload or a quota without a restart.
	StepUpdate StepKind = "update"
	// StepAdd makes a kind of batch job available.
	StepAdd StepKind = "add"
	// StepRemove makes a kind of batch job unavailable.
	StepRemove StepKind = "remove"
)

// Step is one action that a change would cause.
type Step struct {
	// Kind is the kind of the action.
	Kind StepKind
	// Organisation is the name of the organisation.
	Organisation string
	// Workload is the name of the service or kind of batch job, or empty for a quota.
	Workload string
	// Instances is the number of affected instances of a service.
	Instances int
	// Detail describes the difference.
	Detail string
}

// Preview is the effect that a change would have.
type Preview struct {
	// Result has the state rejected, conflict or valid. A valid one has the revision
	// that the change would create or, if it was applied before, has created.
	Result Result
	// Steps are the actions that the change would cause: first those of services, then
	// of kinds of batch jobs, then of quotas.
	Steps []Step
}

// Preview returns the effect that a change would have on the configuration in force in
// this process. It modifies nothing and does not access the store.
func (c *Configurer) Preview(change Change) Preview {
	next, err := change.apply(c.Document(), c.FailureDomains)
	var rejected *rejectedError
	var conflict *conflictError
	var repeated *repeatedError
	switch {
	case errors.As(err, &rejected):
		return Preview{Result: Result{State: StateRejected, Faults: rejected.faults}}
	case errors.As(err, &conflict):
		return Preview{Result: Result{State: StateConflict, Revision: conflict.revision}}
	case errors.As(err, &repeated):
		return Preview{Result: Result{State: StateValid, Revision: repeated.revision}}
	}
	configuration, _ := Expand(next.Templates, next.Organisations, c.FailureDomains)
	return Preview{
		Result: Result{State: StateValid, Revision: next.Revision},
		Steps:  Difference(c.Current(), configuration),
	}
}

// Difference returns the steps that lead from one configuration to another. It is a
// pure function.
func Difference(from, to Configuration) []Step {
	var steps []Step
	for _, service := range to.Services {
		old, found := from.Service(service.Organisation, service.Name)
		if !found {
			old = Service{}
		}
		steps = append(steps, serviceSteps(old, service)...)
	}
	for _, service := range from.Services {
		if _, found := to.Service(service.Organisation, service.Name); !found {
			steps = append(steps, Step{Kind: StepStop, Organisation: service.Organisation, Workload: service.Name, Instances: service.Instances, Detail: "removed"})
		}
	}
	steps = append(steps, batchSteps(from, to)...)
	return append(steps, quotaSteps(from, to)...)
}

func serviceSteps(old, service Service) []Step {
	step := Step{Organisation: service.Organisation, Workload: service.Name}
	var steps []Step
	kept := min(old.Instances, service.Instances)
	moved := old.Size != service.Size || old.Template != service.Template || !slices.Equal(old.FailureDomains, service.FailureDomains)
	changed := old.Priority != service.Priority || old.Slots != service.Slots || old.Connections != service.Connections
	if kept > 0 && moved {
		step.Kind, step.Instances, step.Detail = StepMove, kept, "size, template or failure domains change"
		steps = append(steps, step)
	}
	if kept > 0 && changed && !moved {
		step.Kind, step.Instances, step.Detail = StepUpdate, kept, "priority, slots or connections change"
		steps = append(steps, step)
	}
	if more := service.Instances - old.Instances; more > 0 {
		step.Kind, step.Instances, step.Detail = StepStart, more, fmt.Sprintf("from %d to %d instances", old.Instances, service.Instances)
		steps = append(steps, step)
	}
	if fewer := old.Instances - service.Instances; fewer > 0 {
		step.Kind, step.Instances, step.Detail = StepStop, fewer, fmt.Sprintf("from %d to %d instances", old.Instances, service.Instances)
		steps = append(steps, step)
	}
	return steps
}

func batchSteps(from, to Configuration) []Step {
	var steps []Step
	for _, batch := range to.Batches {
		old, found := from.Batch(batch.Organisation, batch.Name)
		step := Step{Organisation: batch.Organisation, Workload: batch.Name}
		switch {
		case !found:
			step.Kind, step.Detail = StepAdd, "jobs may be submitted"
		case !sameBatch(old, batch):
			step.Kind, step.Detail = StepUpdate, "holds for jobs submitted from now on"
		default:
			continue
		}
		steps = append(steps, step)
	}
	for _, batch := range from.Batches {
		if _, found := to.Batch(batch.Organisation, batch.Name); !found {
			steps = append(steps, Step{Kind: StepRemove, Organisation: batch.Organisation, Workload: batch.Name, Detail: "no more jobs may be submitted"})
		}
	}
	return steps
}

func sameBatch(a, b Batch) bool {
	domainsEqual := slices.Equal(a.FailureDomains, b.FailureDomains)
	return domainsEqual && a.Template == b.Template && a.Size == b.Size && a.Priority == b.Priority &&
		a.Urgent == b.Urgent && a.Window == b.Window && a.RunTime == b.RunTime
}

func quotaSteps(from, to Configuration) []Step {
	old := map[string]Quota{}
	for _, quota := range from.Quotas {
		old[quota.Organisation] = quota
	}
	var steps []Step
	for _, quota := range to.Quotas {
		if old[quota.Organisation] != quota {
			steps = append(steps, Step{Kind: StepUpdate, Organisation: quota.Organisation, Detail: "quota changes"})
		}
		delete(old, quota.Organisation)
	}
	for _, quota := range from.Quotas {
		if _, left := old[quota.Organisation]; left {
			steps = append(steps, Step{Kind: StepUpdate, Organisation: quota.Organisation, Detail: "quota is removed"})
		}
	}
	return steps
}

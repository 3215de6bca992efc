package configurer

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"zinniashore.example/decoder"
	"zinniashore.example/placer"
)

// Expand expands templates with the parameter values of organisations into a
// configuration. It is a pure function. If there are faults, the configuration is
// empty.
func Expand(templates, organisations []File, failureDomains []string) (Configuration, []Fault) {
	var faults []Fault
	var parsed []Template
	for _, f := range templates {
		t, err := ParseTemplate(f.Name, f.Content, failureDomains)
		faults = append(faults, templateFaults(t, err)...)
		parsed = append(parsed, t)
	}
	if len(faults) > 0 {
		return Configuration{}, faults
	}
	var c Configuration
	for _, f := range organisations {
		o, err := ParseOrganisation(f.Name, f.Content, parsed)
		faults = append(faults, organisationFaults(o, err)...)
		c = c.withOrganisation(o, parsed)
	}
	if len(faults) > 0 {
		return Configuration{}, faults
	}
	return c.sorted(), nil
}

func (c Configuration) withOrganisation(o Organisation, templates []Template) Configuration {
	c.Organisations = append(c.Organisations, o.Name)
	if o.Quota != (placer.Size{}) {
		c.Quotas = append(c.Quotas, Quota{Organisation: o.Name, Limit: o.Quota})
	}
	for _, w := range o.Workloads {
		t, found := findTemplate(templates, w.Template)
		if !found {
			continue
		}
		if t.Kind == KindService {
			c.Services = append(c.Services, t.service(o.Name, w))
		} else {
			c.Batches = append(c.Batches, t.batch(o.Name, w))
		}
	}
	return c
}

func (t Template) service(organisation string, w Workload) Service {
	return Service{
		Organisation:   organisation,
		Name:           w.Name,
		Template:       t.Name,
		Instances:      int(t.fieldValue(fieldInstances, w.values).integer),
		Size:           t.fieldValue(fieldSize, w.values).size,
		Priority:       int(t.fieldValue(fieldPriority, w.values).integer),
		FailureDomains: t.fieldValue(fieldFailureDomains, w.values).failureDomains,
		Slots:          int(t.fieldValue(fieldSlots, w.values).integer),
		Connections:    int(t.fieldValue(fieldConnections, w.values).integer),
	}
}

func (t Template) batch(organisation string, w Workload) Batch {
	return Batch{
		Organisation:   organisation,
		Name:           w.Name,
		Template:       t.Name,
		Size:           t.fieldValue(fieldSize, w.values).size,
		Priority:       int(t.fieldValue(fieldPriority, w.values).integer),
		Urgent:         t.fieldValue(fieldUrgency, w.values).choice == urgencyUrgent,
		FailureDomains: t.fieldValue(fieldFailureDomains, w.values).failureDomains,
		Window:         t.fieldValue(fieldWindow, w.values).window,
		RunTime:        t.fieldValue(fieldRunTime, w.values).duration,
	}
}

func (c Configuration) sorted() Configuration {
	slices.Sort(c.Organisations)
	slices.SortFunc(c.Services, func(a, b Service) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(c.Batches, func(a, b Batch) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(c.Quotas, func(a, b Quota) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return c
}

func templateFaults(t Template, err error) []Fault {
	return faultsOf(err, func(f Fault, path string) Fault {
		f.Workload = t.Name
		f.Parameter = path
		return f
	})
}

func organisationFaults(o Organisation, err error) []Fault {
	return faultsOf(err, func(f Fault, path string) Fault {
		f.Organisation = o.Name
		_, f.Parameter, _ = strings.Cut(path, ".values.")
		if f.Parameter == "" {
			f.Parameter = path[strings.LastIndexByte(path, '.')+1:]
		}
		f.Workload = o.workloadAt(path)
		return f
	})
}

// workloadAt returns the name of the workload that contains the field with the path.
func (o Organisation) workloadAt(path string) string {
	for i, w := range o.Workloads {
		if strings.HasPrefix(path, fmt.Sprintf("workloads[%d]", i)) {
			return w.Name
		}
	}
	return ""
}

func faultsOf(err error, locate func(f Fault, path string) Fault) []Fault {
	var document *decoder.DocumentError
	if !errors.As(err, &document) {
		return nil
	}
	var faults []Fault
	for _, e := range document.Faults {
		f := Fault{
			File: e.File, Line: e.Line, Column: e.Column, Field: e.Field,
			Value: e.Value, Problem: e.Problem, Allowed: e.Allowed,
		}
		faults = append(faults, locate(f, e.Field))
	}
	return faults
}

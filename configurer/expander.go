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

// Expand makes the configuration of the templates and the parameter values of
// organisations. It is a pure function. The configuration is empty where there
// is a fault.
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
		Instances:      int(t.bind(fieldInstances, w.values).integer),
		Size:           t.bind(fieldSize, w.values).size,
		Priority:       int(t.bind(fieldPriority, w.values).integer),
		FailureDomains: t.bind(fieldFailureDomains, w.values).failureDomains,
		Slots:          int(t.bind(fieldSlots, w.values).integer),
		Connections:    int(t.bind(fieldConnections, w.values).integer),
	}
}

func (t Template) batch(organisation string, w Workload) Batch {
	return Batch{
		Organisation:   organisation,
		Name:           w.Name,
		Template:       t.Name,
		Size:           t.bind(fieldSize, w.values).size,
		Priority:       int(t.bind(fieldPriority, w.values).integer),
		Urgent:         t.bind(fieldUrgency, w.values).choice == urgencyUrgent,
		FailureDomains: t.bind(fieldFailureDomains, w.values).failureDomains,
		Window:         t.bind(fieldWindow, w.values).window,
		RunTime:        t.bind(fieldRunTime, w.values).duration,
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

// workloadAt returns the name of the workload whose field has the path.
func (o Organisation) workloadAt(path string) string {
	for i, w := range o.Workloads {
		if strings.HasPrefix(path, fmt.Sprintf("workloads[%d]", i)) {
			return w.Name
		}
	}
	return ""
}

func faultsOf(err error, place func(f Fault, path string) Fault) []Fault {
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
		faults = append(faults, place(f, e.Field))
	}
	return faults
}

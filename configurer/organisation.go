package configurer

import (
	"fmt"
	"strings"

	"zinniashore.example/decoder"
	"zinniashore.example/placer"
)

// Organisation holds the parameter values of one organisation.
type Organisation struct {
	// Name is the name of the organisation.
	Name string
	// Quota is the amount of resources that it may use without borrowing. Zero means
	// that it has no quota.
	Quota placer.Size
	// Workloads are the services and kinds of batch jobs of the organisation.
	Workloads []Workload
}

// Workload is an instance of a template with its own parameter values.
type Workload struct {
	// Name identifies the workload within its organisation.
	Name string
	// Template is the name of the template.
	Template string

	values map[string]Value
}

// Fault is a reason why a change was rejected.
type Fault struct {
	// Organisation is the organisation concerned, empty for a template.
	Organisation string
	// Workload is the workload or template concerned.
	Workload string
	// Parameter is the parameter or field concerned.
	Parameter string
	// Value is the value as written.
	Value string
	// Problem describes what is wrong.
	Problem string
	// Allowed describes the allowed values. It may be empty.
	Allowed string
	// File is the file concerned.
	File string
	// Line is the line in the file, counted from 1.
	Line int
	// Column is the position in the line in bytes, counted from 1.
	Column int
	// Field is the path of the field in the file.
	Field string
}

// String returns the fault in one line.
func (f Fault) String() string {
	text := fmt.Sprintf("%s:%d:%d: %s: ", f.File, f.Line, f.Column, f.Field)
	if f.Organisation != "" {
		text += fmt.Sprintf("%s of %s: ", f.Parameter, f.Organisation)
	}
	if f.Value != "" {
		text += f.Value + " "
	}
	text += f.Problem
	if f.Allowed != "" {
		text += "; allowed: " + f.Allowed
	}
	return text
}

// ParseOrganisation parses the file of an organisation and checks its parameter values
// against the templates. Its errors are *decoder.DocumentError.
func ParseOrganisation(file string, content []byte, templates []Template) (Organisation, error) {
	o, err := decoder.Parse(file, content)
	if err != nil {
		return Organisation{}, err
	}
	organisation := Organisation{
		Name: o.Text("organisation", decoder.Text{Required: true, Check: isName, Allowed: nameAllowed}),
	}
	if o.Has("quota") {
		organisation.Quota = readSize(o, "quota", defaultBounds(nil), false).size
	}
	seen := map[string]bool{}
	for _, child := range o.Objects("workloads") {
		workload := readWorkload(child, templates)
		if seen[workload.Name] {
			child.Reject("name", "is used twice", "each name once")
		}
		seen[workload.Name] = true
		organisation.Workloads = append(organisation.Workloads, workload)
	}
	return organisation, o.Finish()
}

func readWorkload(o *decoder.Object, templates []Template) Workload {
	w := Workload{
		Name:     o.Text("name", decoder.Text{Required: true, Check: isName, Allowed: nameAllowed}),
		Template: o.Text("template", decoder.Text{Required: true}),
		values:   map[string]Value{},
	}
	given := o.Object("values", false)
	template, found := findTemplate(templates, w.Template)
	if !found {
		o.Reject("template", "is not a template", strings.Join(templateNames(templates), ", "))
		given.IgnoreAll()
		return w
	}
	for _, p := range template.Parameters {
		w.values[p.Name] = readParameterValue(o, given, p)
	}
	checkConsistency(o, template, w.values)
	return w
}

func readParameterValue(o, given *decoder.Object, p Parameter) Value {
	switch {
	case given != nil && (p.Required || given.Has(p.Name)):
		return parameterKinds[p.Type].read(given, p.Name, p.bounds, p.Required)
	case given != nil:
		given.Ignore(p.Name)
	case p.Required:
		o.Reject("values", "lacks "+p.Name, "a value of type "+string(p.Type))
	}
	return p.defaultValue
}

// checkConsistency rejects values that contradict each other.
func checkConsistency(o *decoder.Object, template Template, values map[string]Value) {
	if template.Kind == KindService {
		slots := template.fieldValue(fieldSlots, values).integer
		if connections := template.fieldValue(fieldConnections, values).integer; connections < slots {
			o.Reject("values", "give fewer connections than slots", "at least as many connections as slots")
		}
		return
	}
	window := template.fieldValue(fieldWindow, values).window
	if runTime := template.fieldValue(fieldRunTime, values).duration; !window.Always() && runTime > window.Length() {
		o.Reject("values", "give a run time of "+runTime.String()+", longer than the window", "at most "+window.Length().String())
	}
}

func findTemplate(templates []Template, name string) (Template, bool) {
	for _, t := range templates {
		if t.Name == name {
			return t, true
		}
	}
	return Template{}, false
}

func templateNames(templates []Template) []string {
	names := make([]string, len(templates))
	for i, t := range templates {
		names[i] = t.Name
	}
	return names
}

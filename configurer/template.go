package configurer

import (
	"strings"

	"zinniashore.example/decoder"
)

// Kind is the kind of workload that a template describes.
type Kind string

// Kinds of templates.
const (
	// KindService is a latency-critical service.
	KindService Kind = "service"
	// KindBatch is a kind of batch job.
	KindBatch Kind = "batch"
)

// Names of the fields of templates.
const (
	fieldInstances      = "instances"
	fieldSize           = "size"
	fieldPriority       = "priority"
	fieldFailureDomains = "failure_domains"
	fieldSlots          = "slots"
	fieldConnections    = "connections"
	fieldUrgency        = "urgency"
	fieldWindow         = "window"
	fieldRunTime        = "run_time"
)

const (
	urgencyNormal = "normal"
	urgencyUrgent = "urgent"
)

// Template describes a service or a kind of batch job with typed parameters.
type Template struct {
	// Name is the name of the template.
	Name string
	// Kind is the kind of workload that the template describes.
	Kind Kind
	// Parameters are the values that an organisation may set, in the order of the
	// file.
	Parameters []Parameter

	fields map[string]binding
}

// Parameter is one value that an organisation may set.
type Parameter struct {
	// Name identifies the parameter within its template.
	Name string
	// Type is the type of the parameter's values.
	Type ParameterType
	// Required is true if the parameter has no default.
	Required bool

	bounds       bounds
	defaultValue Value
}

// binding is the source of a field's value: a parameter or, if parameter is empty, a
// fixed value.
type binding struct {
	parameter string
	value     Value
}

// field describes a field of templates of one kind and the limits of its values.
type field struct {
	name     string
	kind     ParameterType
	required bool
	min, max int64
	choices  []string
}

var serviceFields = []field{
	{name: fieldInstances, kind: ParameterInteger, required: true, max: maxInstances},
	{name: fieldSize, kind: ParameterSize, required: true},
	{name: fieldPriority, kind: ParameterInteger, max: maxPriority},
	{name: fieldFailureDomains, kind: ParameterFailureDomains},
	{name: fieldSlots, kind: ParameterInteger, required: true, min: 1, max: maxSlots},
	{name: fieldConnections, kind: ParameterInteger, required: true, min: 1, max: maxConnections},
}

var batchFields = []field{
	{name: fieldSize, kind: ParameterSize, required: true},
	{name: fieldPriority, kind: ParameterInteger, max: maxPriority},
	{name: fieldUrgency, kind: ParameterChoice, choices: []string{urgencyNormal, urgencyUrgent}},
	{name: fieldFailureDomains, kind: ParameterFailureDomains},
	{name: fieldWindow, kind: ParameterWindow},
	{name: fieldRunTime, kind: ParameterDuration, required: true},
}

func fieldsOf(kind Kind) []field {
	if kind == KindBatch {
		return batchFields
	}
	return serviceFields
}

func (f field) bounds(failureDomains []string) bounds {
	b := defaultBounds(failureDomains)
	b.minInteger, b.maxInteger = f.min, f.max
	b.choices = f.choices
	return b
}

// ParseTemplate parses a template file. Parameters may name only the given failure
// domains. Its errors are *decoder.DocumentError.
func ParseTemplate(file string, content []byte, failureDomains []string) (Template, error) {
	o, err := decoder.Parse(file, content)
	if err != nil {
		return Template{}, err
	}
	kinds := []string{string(KindService), string(KindBatch)}
	t := Template{
		Name:   o.Text("template", decoder.Text{Required: true, Check: isName, Allowed: nameAllowed}),
		Kind:   Kind(o.Text("kind", decoder.Text{Required: true, Choices: kinds})),
		fields: map[string]binding{},
	}
	for _, child := range o.Objects("parameters") {
		t.Parameters = append(t.Parameters, readParameter(child, failureDomains))
	}
	t.rejectDuplicates(o)
	if body := o.Object("fields", true); body != nil {
		t.readFields(body, failureDomains)
	}
	return t, o.Finish()
}

func readParameter(o *decoder.Object, failureDomains []string) Parameter {
	p := Parameter{
		Name:     o.Text("name", decoder.Text{Required: true, Check: isName, Allowed: nameAllowed}),
		Type:     ParameterType(o.Text("type", decoder.Text{Required: true, Choices: parameterTypes()})),
		Required: !o.Has("default"),
	}
	o.Text("description", decoder.Text{})
	kind, found := parameterKinds[p.Type]
	if !found {
		return p
	}
	p.bounds = kind.readBounds(o, defaultBounds(failureDomains))
	if !p.Required {
		p.defaultValue = kind.read(o, "default", p.bounds, false)
	}
	return p
}

func (t Template) rejectDuplicates(o *decoder.Object) {
	seen := map[string]bool{}
	for _, p := range t.Parameters {
		if seen[p.Name] {
			o.Reject("parameters", "declare "+p.Name+" twice", "each name once")
		}
		seen[p.Name] = true
	}
}

func (t Template) readFields(body *decoder.Object, failureDomains []string) {
	for _, f := range fieldsOf(t.Kind) {
		if !f.required && !body.Has(f.name) {
			continue
		}
		t.fields[f.name] = t.readBinding(body, f, failureDomains)
	}
}

// readBinding reads the value of a field: "$name" refers to a parameter, anything else
// is a fixed value.
func (t Template) readBinding(body *decoder.Object, f field, failureDomains []string) binding {
	reference, isReference := strings.CutPrefix(body.Peek(f.name), "$")
	if !isReference {
		return binding{value: parameterKinds[f.kind].read(body, f.name, f.bounds(failureDomains), f.required)}
	}
	body.Text(f.name, decoder.Text{})
	p, found := t.parameter(reference)
	switch {
	case !found:
		body.Reject(f.name, "names no parameter", "$ and a declared parameter of type "+string(f.kind))
	case p.Type != f.kind:
		body.Reject(f.name, "names a parameter of type "+string(p.Type), "a parameter of type "+string(f.kind))
	case f.kind == ParameterInteger && (p.bounds.minInteger < f.min || p.bounds.maxInteger > f.max):
		body.Reject(f.name, "names a parameter with wider limits than the field", decoder.Integer{Min: f.min, Max: f.max}.String())
	case f.kind == ParameterChoice && !isSubset(p.bounds.choices, f.choices):
		body.Reject(f.name, "names a parameter with other choices than the field", strings.Join(f.choices, ", "))
	}
	return binding{parameter: reference}
}

func (t Template) parameter(name string) (Parameter, bool) {
	for _, p := range t.Parameters {
		if p.Name == name {
			return p, true
		}
	}
	return Parameter{}, false
}

// fieldValue returns the value of a field, given the parameter values of a workload.
func (t Template) fieldValue(name string, values map[string]Value) Value {
	b := t.fields[name]
	if b.parameter == "" {
		return b.value
	}
	return values[b.parameter]
}

func isSubset(part, whole []string) bool {
	for _, p := range part {
		found := false
		for _, w := range whole {
			found = found || p == w
		}
		if !found {
			return false
		}
	}
	return true
}

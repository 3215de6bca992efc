package configurer

import (
	"math"
	"slices"
	"time"

	"zinniashore.example/decoder"
	"zinniashore.example/placer"
)

// ParameterType is the type of the values of a parameter.
type ParameterType string

// Types of parameters.
const (
	// ParameterInteger is a whole number.
	ParameterInteger ParameterType = "integer"
	// ParameterDuration is a duration such as "2h30m".
	ParameterDuration ParameterType = "duration"
	// ParameterSize is an object with processors, memory and accelerators.
	ParameterSize ParameterType = "size"
	// ParameterChoice is one of the choices that the template declares.
	ParameterChoice ParameterType = "choice"
	// ParameterFailureDomains is a list of failure domains.
	ParameterFailureDomains ParameterType = "failure_domains"
	// ParameterWindow is an object with from, to and zone.
	ParameterWindow ParameterType = "window"
	// ParameterQuota is the same object as ParameterSize and limits the sum of the
	// sizes of an organisation's tasks.
	ParameterQuota ParameterType = "quota"
)

const (
	maxMilliProcessors = 1_000_000
	maxMemoryBytes     = 1 << 44
	maxAccelerators    = 1_000
	maxRunTime         = 30 * 24 * time.Hour
	maxFailureDomains  = 64
	maxPriority        = 100
	maxInstances       = 10_000
	maxSlots           = 1_024
	maxConnections     = 4_096
)

// Value is the value of a parameter. Only the field of the parameter's type is set.
type Value struct {
	integer        int64
	duration       time.Duration
	size           placer.Size
	choice         string
	failureDomains []string
	window         Window
}

// bounds are the limits of the values of a parameter. Only the fields of the parameter's
// type are used.
type bounds struct {
	minInteger, maxInteger   int64
	minDuration, maxDuration time.Duration
	minSize, maxSize         placer.Size
	choices                  []string
	failureDomains           []string
}

// parameterKind holds the functions that read declarations and values of parameters of
// one type.
type parameterKind struct {
	// readBounds reads the limits that a template declares. They must lie within outer.
	readBounds func(o *decoder.Object, outer bounds) bounds
	// read reads a value and checks it against the bounds.
	read func(o *decoder.Object, name string, b bounds, required bool) Value
}

// parameterKinds are the parameter types that templates may declare.
var parameterKinds = map[ParameterType]parameterKind{
	ParameterInteger:        {readBounds: readIntegerBounds, read: readInteger},
	ParameterDuration:       {readBounds: readDurationBounds, read: readDuration},
	ParameterSize:           {readBounds: readSizeBounds, read: readSize},
	ParameterChoice:         {readBounds: readChoiceBounds, read: readChoice},
	ParameterFailureDomains: {readBounds: readFailureDomainBounds, read: readFailureDomains},
	ParameterWindow:         {readBounds: keepBounds, read: readWindow},
	ParameterQuota:          {readBounds: readSizeBounds, read: readSize},
}

func parameterTypes() []string {
	types := make([]string, 0, len(parameterKinds))
	for name := range parameterKinds {
		types = append(types, string(name))
	}
	slices.Sort(types)
	return types
}

// defaultBounds returns the limits of fields and parameters that declare none.
func defaultBounds(failureDomains []string) bounds {
	return bounds{
		minInteger:     math.MinInt32,
		maxInteger:     math.MaxInt32,
		maxDuration:    maxRunTime,
		maxSize:        placer.Size{Processors: maxMilliProcessors, Memory: maxMemoryBytes, Accelerators: maxAccelerators},
		failureDomains: failureDomains,
	}
}

func keepBounds(_ *decoder.Object, outer bounds) bounds { return outer }

func readIntegerBounds(o *decoder.Object, outer bounds) bounds {
	outer.minInteger = o.Integer("min", decoder.Integer{Default: outer.minInteger, Min: outer.minInteger, Max: outer.maxInteger})
	outer.maxInteger = o.Integer("max", decoder.Integer{Default: outer.maxInteger, Min: outer.minInteger, Max: outer.maxInteger})
	return outer
}

func readInteger(o *decoder.Object, name string, b bounds, required bool) Value {
	return Value{integer: o.Integer(name, decoder.Integer{Required: required, Min: b.minInteger, Max: b.maxInteger})}
}

func readDurationBounds(o *decoder.Object, outer bounds) bounds {
	outer.minDuration = o.Duration("min", decoder.Duration{Default: outer.minDuration, Min: outer.minDuration, Max: outer.maxDuration})
	outer.maxDuration = o.Duration("max", decoder.Duration{Default: outer.maxDuration, Min: outer.minDuration, Max: outer.maxDuration})
	return outer
}

func readDuration(o *decoder.Object, name string, b bounds, required bool) Value {
	return Value{duration: o.Duration(name, decoder.Duration{Required: required, Min: b.minDuration, Max: b.maxDuration})}
}

func readSizeBounds(o *decoder.Object, outer bounds) bounds {
	inner := outer
	if o.Has("min") {
		inner.minSize = readSize(o, "min", outer, false).size
	}
	if o.Has("max") {
		inner.maxSize = readSize(o, "max", outer, false).size
	}
	if !inner.minSize.Within(inner.maxSize) {
		o.Reject("min", "is above max", "")
	}
	return inner
}

func readSize(o *decoder.Object, name string, b bounds, required bool) Value {
	child := o.Object(name, required)
	if child == nil {
		return Value{}
	}
	return Value{size: placer.Size{
		Processors:   child.Thousandths("processors", decoder.Thousandths{Required: true, Min: b.minSize.Processors, Max: b.maxSize.Processors}),
		Memory:       child.Bytes("memory", decoder.Bytes{Required: true, Min: b.minSize.Memory, Max: b.maxSize.Memory}),
		Accelerators: child.Integer("accelerators", decoder.Integer{Min: b.minSize.Accelerators, Max: b.maxSize.Accelerators}),
	}}
}

func readChoiceBounds(o *decoder.Object, outer bounds) bounds {
	outer.choices = o.Texts("choices", decoder.Text{Required: true, Check: isName, Allowed: nameAllowed})
	return outer
}

func readChoice(o *decoder.Object, name string, b bounds, required bool) Value {
	return Value{choice: o.Text(name, decoder.Text{Required: required, Choices: b.choices})}
}

func readFailureDomainBounds(o *decoder.Object, outer bounds) bounds {
	if o.Has("choices") {
		outer.failureDomains = o.Texts("choices", decoder.Text{Choices: outer.failureDomains})
	}
	return outer
}

func readFailureDomains(o *decoder.Object, name string, b bounds, required bool) Value {
	names := o.Texts(name, decoder.Text{Required: required, Choices: b.failureDomains})
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	if len(slices.Compact(sorted)) != len(names) {
		o.Reject(name, "names a failure domain twice", "each once")
	}
	return Value{failureDomains: names}
}

func readWindow(o *decoder.Object, name string, _ bounds, required bool) Value {
	child := o.Object(name, required)
	if child == nil {
		return Value{}
	}
	timeOfDay := decoder.Text{Required: true, Default: "00:00", Check: isTimeOfDay, Allowed: `a time such as "22:30"`}
	window := Window{
		From: child.Text("from", timeOfDay),
		To:   child.Text("to", timeOfDay),
		Zone: child.Text("zone", decoder.Text{Required: true, Check: isZone, Allowed: `a time zone such as "Europe/Vienna"`}),
	}
	return Value{window: window}
}

const (
	nameAllowed   = "1 to 63 small letters, digits, - and _, beginning with a letter"
	maxNameLength = 63
)

// isName reports whether text is a valid name of an organisation, a template, a workload
// or a parameter.
func isName(text string) bool {
	if text == "" || len(text) > maxNameLength || text[0] < 'a' || text[0] > 'z' {
		return false
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' {
			return false
		}
	}
	return true
}

package decoder

import (
	"cmp"
	"fmt"
	"time"
)

// Duration describes the allowed values of a duration, which is written as a
// string with units such as "1m30s".
type Duration struct {
	// Required makes a missing field a fault.
	Required bool
	// Default is the value of a missing or faulty field.
	Default time.Duration
	// Min is the smallest allowed value.
	Min time.Duration
	// Max is the largest allowed value.
	Max time.Duration
}

// Bytes describes the allowed values of an amount of bytes, which is written as a
// string with a unit such as "60GB" or "512MiB".
type Bytes struct {
	// Required makes a missing field a fault.
	Required bool
	// Default is the value of a missing or faulty field.
	Default int64
	// Min is the smallest allowed value.
	Min int64
	// Max is the largest allowed value.
	Max int64
}

// quantity describes a field whose value is a string with an amount and a unit.
type quantity[N cmp.Ordered] struct {
	required     bool
	defaultValue N
	minimum      N
	maximum      N
	parse        func(text string) (N, error)
	malformed    string
	allowed      string
}

// read returns the amount in a field, or the default if the field is missing or
// faulty.
func (q quantity[N]) read(o *Object, name string) N {
	value, found := o.lookup(name, q.required)
	if !found {
		return q.defaultValue
	}
	text, ok := o.text(name, value)
	if !ok {
		return q.defaultValue
	}
	amount, err := q.parse(text)
	if err != nil {
		o.reject(name, value, q.malformed, q.allowed)
		return q.defaultValue
	}
	if amount < q.minimum || amount > q.maximum {
		o.reject(name, value, "is out of range", q.allowed)
		return q.defaultValue
	}
	return amount
}

// Duration reads a field that holds a duration.
func (o *Object) Duration(name string, limits Duration) time.Duration {
	return quantity[time.Duration]{
		required:     limits.Required,
		defaultValue: limits.Default,
		minimum:      limits.Min,
		maximum:      limits.Max,
		parse:        time.ParseDuration,
		malformed:    "is not a duration with a unit",
		allowed:      fmt.Sprintf("a string from %q to %q", limits.Min, limits.Max),
	}.read(o, name)
}

// Bytes reads a field that holds an amount of bytes.
func (o *Object) Bytes(name string, limits Bytes) int64 {
	return quantity[int64]{
		required:     limits.Required,
		defaultValue: limits.Default,
		minimum:      limits.Min,
		maximum:      limits.Max,
		parse:        ParseBytes,
		malformed:    "is not a whole amount with a unit of bytes",
		allowed:      fmt.Sprintf("a string from %q to %q", FormatBytes(limits.Min), FormatBytes(limits.Max)),
	}.read(o, name)
}

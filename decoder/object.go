package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Object is one object of a document. The methods that read a field return the
// default if the field is faulty; Finish returns the faults.
type Object struct {
	document *document
	path     string
	offset   int
	names    []memberName
	fields   map[string]hujson.Value
	read     map[string]bool
}

type memberName struct {
	name   string
	offset int
}

// Text describes the allowed values of a string.
type Text struct {
	// Required makes a missing field a fault.
	Required bool
	// Default is the value of a missing or faulty field.
	Default string
	// Choices are the allowed values. Empty allows any.
	Choices []string
	// Check reports whether a value is well formed. Nil accepts any value.
	Check func(value string) bool
	// Allowed describes the values that Check accepts.
	Allowed string
}

// Integer describes the allowed values of a whole number.
type Integer struct {
	// Required makes a missing field a fault.
	Required bool
	// Default is the value of a missing or faulty field.
	Default int64
	// Min is the smallest allowed value.
	Min int64
	// Max is the largest allowed value.
	Max int64
}

// String describes the allowed values.
func (i Integer) String() string { return fmt.Sprintf("a whole number from %d to %d", i.Min, i.Max) }

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

// Thousandths describes the allowed values of a number with up to three decimals,
// which is read as a number of thousandths.
type Thousandths struct {
	// Required makes a missing field a fault.
	Required bool
	// Default is the value of a missing or faulty field.
	Default int64
	// Min is the smallest allowed value in thousandths.
	Min int64
	// Max is the largest allowed value in thousandths.
	Max int64
}

// Has reports whether a field is present. It does not mark the field as read.
func (o *Object) Has(name string) bool {
	_, found := o.fields[name]
	return found
}

// Peek returns the value of a field that holds a string, or "" if the field is
// missing or holds another type. It does not mark the field as read.
func (o *Object) Peek(name string) string {
	value, found := o.fields[name]
	if !found || value.Value.Kind() != '"' {
		return ""
	}
	return value.Value.(hujson.Literal).String()
}

// Text reads a string field.
func (o *Object) Text(name string, limits Text) string {
	value, found := o.lookup(name, limits.Required)
	if !found {
		return limits.Default
	}
	text, ok := o.text(name, value)
	if !ok || !o.checkText(name, value, text, limits) {
		return limits.Default
	}
	return text
}

// Texts reads a list of strings and leaves out faulty ones. The limits apply to
// each string. A missing list is empty.
func (o *Object) Texts(name string, limits Text) []string {
	var texts []string
	for i, element := range o.elements(name, limits.Required) {
		elementName := fmt.Sprintf("%s[%d]", name, i)
		text, ok := o.text(elementName, element)
		if ok && o.checkText(elementName, element, text, limits) {
			texts = append(texts, text)
		}
	}
	return texts
}

// Bool reads a field that is true or false.
func (o *Object) Bool(name string, defaultValue bool) bool {
	value, found := o.lookup(name, false)
	if !found {
		return defaultValue
	}
	switch value.Value.Kind() {
	case 't':
		return true
	case 'f':
		return false
	}
	o.reject(name, value, "is not true or false", "true, false")
	return defaultValue
}

// Integer reads a field that holds a whole number.
func (o *Object) Integer(name string, limits Integer) int64 {
	allowed := limits.String()
	value, found := o.lookup(name, limits.Required)
	if !found {
		return limits.Default
	}
	number, err := strconv.ParseInt(numberText(value), 10, 64)
	if err != nil {
		o.reject(name, value, "is not a whole number", allowed)
		return limits.Default
	}
	if number < limits.Min || number > limits.Max {
		o.reject(name, value, "is out of range", allowed)
		return limits.Default
	}
	return number
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

// Thousandths reads a field that holds a number with up to three decimals and
// returns the number of thousandths.
func (o *Object) Thousandths(name string, limits Thousandths) int64 {
	allowed := fmt.Sprintf("a number from %s to %s", FormatThousandths(limits.Min), FormatThousandths(limits.Max))
	value, found := o.lookup(name, limits.Required)
	if !found {
		return limits.Default
	}
	amount, err := ParseThousandths(numberText(value))
	if err != nil {
		o.reject(name, value, "is not a number with up to three decimals", allowed)
		return limits.Default
	}
	if amount < limits.Min || amount > limits.Max {
		o.reject(name, value, "is out of range", allowed)
		return limits.Default
	}
	return amount
}

// Object reads a field that holds an object. It returns nil if the field is missing
// or holds another type. A missing field is a fault only if it is required.
func (o *Object) Object(name string, required bool) *Object {
	value, found := o.lookup(name, required)
	if !found {
		return nil
	}
	return o.child(name, value)
}

// Objects reads a list of objects and leaves out elements of another type. A
// missing list is empty.
func (o *Object) Objects(name string) []*Object {
	var objects []*Object
	for i, element := range o.elements(name, false) {
		if child := o.child(fmt.Sprintf("%s[%d]", name, i), element); child != nil {
			objects = append(objects, child)
		}
	}
	return objects
}

// Reject adds a fault that the caller found in a field, such as two values that
// exclude each other. An empty name stands for the object itself.
func (o *Object) Reject(name, problem, allowed string) {
	value, found := o.fields[name]
	if !found {
		o.document.addFault(o.offset, o.fieldPath(name), "", problem, allowed)
		return
	}
	o.reject(name, value, problem, allowed)
}

// Ignore marks a field as known without reading it.
func (o *Object) Ignore(name string) { o.read[name] = true }

// IgnoreAll marks every field of the object as known. It does nothing for nil.
func (o *Object) IgnoreAll() {
	if o == nil {
		return
	}
	for _, member := range o.names {
		o.read[member.name] = true
	}
}

// Finish returns a *DocumentError with all faults of the document, or nil. Fields
// that were not read, in any object of the document, are reported as unknown. It
// is called once, after all fields have been read.
func (o *Object) Finish() error {
	for _, object := range o.document.objects {
		object.rejectUnread()
	}
	o.document.objects = nil
	return o.document.err()
}

func (o *Object) rejectUnread() {
	known := make([]string, 0, len(o.read))
	for name := range o.read {
		known = append(known, name)
	}
	slices.Sort(known)
	for _, member := range o.names {
		if !o.read[member.name] {
			o.document.addFault(member.offset, o.fieldPath(member.name), "", "is unknown", strings.Join(known, ", "))
		}
	}
}

func (o *Object) fieldPath(name string) string {
	if o.path == "" {
		return name
	}
	if name == "" {
		return o.path
	}
	return o.path + "." + name
}

func (o *Object) reject(name string, value hujson.Value, problem, allowed string) {
	text := string(o.document.content[value.StartOffset:value.EndOffset])
	o.document.addFault(value.StartOffset, o.fieldPath(name), truncate(text), problem, allowed)
}

func (o *Object) lookup(name string, required bool) (hujson.Value, bool) {
	o.read[name] = true
	value, found := o.fields[name]
	if !found && required {
		o.document.addFault(o.offset, o.fieldPath(name), "", "is missing", "")
	}
	return value, found
}

func (o *Object) text(name string, value hujson.Value) (string, bool) {
	if value.Value.Kind() != '"' {
		o.reject(name, value, "is not a string", "a string")
		return "", false
	}
	return value.Value.(hujson.Literal).String(), true
}

func (o *Object) checkText(name string, value hujson.Value, text string, limits Text) bool {
	if len(limits.Choices) > 0 && !slices.Contains(limits.Choices, text) {
		o.reject(name, value, "is not one of the choices", strings.Join(limits.Choices, ", "))
		return false
	}
	if limits.Check != nil && !limits.Check(text) {
		o.reject(name, value, "is malformed", limits.Allowed)
		return false
	}
	return true
}

func (o *Object) elements(name string, required bool) []hujson.Value {
	value, found := o.lookup(name, required)
	if !found {
		return nil
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		o.reject(name, value, "is not a list", "a list")
		return nil
	}
	return array.Elements
}

func (o *Object) child(name string, value hujson.Value) *Object {
	syntax, ok := value.Value.(*hujson.Object)
	if !ok {
		o.reject(name, value, "is not an object", "an object")
		return nil
	}
	return o.document.newObject(o.fieldPath(name), value.StartOffset, syntax)
}

func numberText(value hujson.Value) string {
	if value.Value.Kind() != '0' {
		return ""
	}
	return string(value.Value.(hujson.Literal))
}

func truncate(text string) string {
	const maxValueBytes = 80
	if len(text) <= maxValueBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
}

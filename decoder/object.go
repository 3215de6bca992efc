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

// Object is one object of a document. Its methods read fields; a fault is kept
// until Finish and the default is returned in its place.
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

// Text limits a string.
type Text struct {
	// Required makes a missing field a fault.
	Required bool
	// Default stands for a missing field.
	Default string
	// Choices are the allowed values; empty is any.
	Choices []string
	// Check tells whether a value is well formed; nil accepts any.
	Check func(value string) bool
	// Allowed describes what Check accepts.
	Allowed string
}

// Integer limits a whole number.
type Integer struct {
	// Required makes a missing field a fault.
	Required bool
	// Default stands for a missing field.
	Default int64
	// Min is the least allowed value.
	Min int64
	// Max is the greatest allowed value.
	Max int64
}

// String describes the allowed values.
func (i Integer) String() string { return fmt.Sprintf("a whole number from %d to %d", i.Min, i.Max) }

// Duration limits a duration, written as a string with units such as "1m30s".
type Duration struct {
	// Required makes a missing field a fault.
	Required bool
	// Default stands for a missing field.
	Default time.Duration
	// Min is the least allowed value.
	Min time.Duration
	// Max is the greatest allowed value.
	Max time.Duration
}

// Bytes limits an amount of bytes, written as a string with a unit such as
// "60GB" or "512MiB".
type Bytes struct {
	// Required makes a missing field a fault.
	Required bool
	// Default stands for a missing field.
	Default int64
	// Min is the least allowed value.
	Min int64
	// Max is the greatest allowed value.
	Max int64
}

// Thousandths limits a number with up to three decimals, read in thousandths.
type Thousandths struct {
	// Required makes a missing field a fault.
	Required bool
	// Default stands for a missing field.
	Default int64
	// Min is the least allowed value in thousandths.
	Min int64
	// Max is the greatest allowed value in thousandths.
	Max int64
}

// Has reports whether a field is present. It does not count as reading it.
func (o *Object) Has(name string) bool {
	_, found := o.fields[name]
	return found
}

// Peek returns the string in a field, or nothing for another field. It does not
// count as reading it.
func (o *Object) Peek(name string) string {
	value, found := o.fields[name]
	if !found || value.Value.Kind() != '"' {
		return ""
	}
	return value.Value.(hujson.Literal).String()
}

// Text reads a string.
func (o *Object) Text(name string, limits Text) string {
	value, found := o.value(name, limits.Required)
	if !found {
		return limits.Default
	}
	text, ok := o.text(name, value)
	if !ok || !o.allowText(name, value, text, limits) {
		return limits.Default
	}
	return text
}

// Texts reads a list of strings, each within limits. A missing list is empty.
func (o *Object) Texts(name string, limits Text) []string {
	var texts []string
	for i, element := range o.elements(name, limits.Required) {
		elementName := fmt.Sprintf("%s[%d]", name, i)
		text, ok := o.text(elementName, element)
		if ok && o.allowText(elementName, element, text, limits) {
			texts = append(texts, text)
		}
	}
	return texts
}

// Bool reads true or false.
func (o *Object) Bool(name string, missing bool) bool {
	value, found := o.value(name, false)
	if !found {
		return missing
	}
	switch value.Value.Kind() {
	case 't':
		return true
	case 'f':
		return false
	}
	o.reject(name, value, "is not true or false", "true, false")
	return missing
}

// Integer reads a whole number.
func (o *Object) Integer(name string, limits Integer) int64 {
	allowed := limits.String()
	value, found := o.value(name, limits.Required)
	if !found {
		return limits.Default
	}
	number, err := strconv.ParseInt(literal(value), 10, 64)
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

// Duration reads a duration.
func (o *Object) Duration(name string, limits Duration) time.Duration {
	return quantity[time.Duration]{
		required:  limits.Required,
		missing:   limits.Default,
		least:     limits.Min,
		most:      limits.Max,
		parse:     time.ParseDuration,
		malformed: "is not a duration with a unit",
		allowed:   fmt.Sprintf("a string from %q to %q", limits.Min, limits.Max),
	}.read(o, name)
}

// Bytes reads an amount of bytes.
func (o *Object) Bytes(name string, limits Bytes) int64 {
	return quantity[int64]{
		required:  limits.Required,
		missing:   limits.Default,
		least:     limits.Min,
		most:      limits.Max,
		parse:     ParseBytes,
		malformed: "is not a whole amount with a unit of bytes",
		allowed:   fmt.Sprintf("a string from %q to %q", FormatBytes(limits.Min), FormatBytes(limits.Max)),
	}.read(o, name)
}

// quantity is an amount that a document writes as a string with a unit.
type quantity[N cmp.Ordered] struct {
	required  bool
	missing   N
	least     N
	most      N
	parse     func(text string) (N, error)
	malformed string
	allowed   string
}

// read returns the amount, or the one that stands for a missing or faulty field.
func (q quantity[N]) read(o *Object, name string) N {
	value, found := o.value(name, q.required)
	if !found {
		return q.missing
	}
	text, ok := o.text(name, value)
	if !ok {
		return q.missing
	}
	amount, err := q.parse(text)
	if err != nil {
		o.reject(name, value, q.malformed, q.allowed)
		return q.missing
	}
	if amount < q.least || amount > q.most {
		o.reject(name, value, "is out of range", q.allowed)
		return q.missing
	}
	return amount
}

// Thousandths reads a number with up to three decimals in thousandths.
func (o *Object) Thousandths(name string, limits Thousandths) int64 {
	allowed := fmt.Sprintf("a number from %s to %s", FormatThousandths(limits.Min), FormatThousandths(limits.Max))
	value, found := o.value(name, limits.Required)
	if !found {
		return limits.Default
	}
	amount, err := ParseThousandths(literal(value))
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

// Object reads an object. It returns nil and reports a fault if the object is
// required; an optional object that is missing is nil without a fault.
func (o *Object) Object(name string, required bool) *Object {
	value, found := o.value(name, required)
	if !found {
		return nil
	}
	return o.child(name, value)
}

// Objects reads a list of objects. A missing list is empty.
func (o *Object) Objects(name string) []*Object {
	var objects []*Object
	for i, element := range o.elements(name, false) {
		if child := o.child(fmt.Sprintf("%s[%d]", name, i), element); child != nil {
			objects = append(objects, child)
		}
	}
	return objects
}

// Reject reports a fault of a field that the caller found, such as a pair of
// values that exclude each other. An empty name means the object itself.
func (o *Object) Reject(name, problem, allowed string) {
	value, found := o.fields[name]
	if !found {
		o.document.fault(o.offset, o.field(name), "", problem, allowed)
		return
	}
	o.reject(name, value, problem, allowed)
}

// Accept counts a field as known without reading it.
func (o *Object) Accept(name string) { o.read[name] = true }

// Skip counts every field of the object as known. It does nothing for nil.
func (o *Object) Skip() {
	if o == nil {
		return
	}
	for _, member := range o.names {
		o.read[member.name] = true
	}
}

// Finish reports fields that nobody read in any object of the document as
// unknown. It returns a *DocumentError with all faults, or nil. It is called
// once, after everything was read.
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
			o.document.fault(member.offset, o.field(member.name), "", "is unknown", strings.Join(known, ", "))
		}
	}
}

func (o *Object) field(name string) string {
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
	o.document.fault(value.StartOffset, o.field(name), shorten(text), problem, allowed)
}

func (o *Object) value(name string, required bool) (hujson.Value, bool) {
	o.read[name] = true
	value, found := o.fields[name]
	if !found && required {
		o.document.fault(o.offset, o.field(name), "", "is missing", "")
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

func (o *Object) allowText(name string, value hujson.Value, text string, limits Text) bool {
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
	value, found := o.value(name, required)
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
	return o.document.object(o.field(name), value.StartOffset, syntax)
}

func literal(value hujson.Value) string {
	if value.Value.Kind() != '0' {
		return ""
	}
	return string(value.Value.(hujson.Literal))
}

func shorten(text string) string {
	const maxValueBytes = 80
	if len(text) <= maxValueBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
}

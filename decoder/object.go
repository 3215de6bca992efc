package decoder

import (
	"fmt"
	"slices"
	"strings"

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

// Has reports whether a field is present. It does not mark the field as read.
func (o *Object) Has(name string) bool {
	_, found := o.fields[name]
	return found
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
// exclude each other. An empty name means the object itself.
func (o *Object) Reject(name, problem, allowed string) {
	o.document.faults = append(o.document.faults, o.Fault(name, problem, allowed))
}

// Fault returns a fault that the caller found in a field, with its position, and does not
// add it to the faults of the document. An empty name means the object itself.
func (o *Object) Fault(name, problem, allowed string) *FieldError {
	value, found := o.fields[name]
	if !found {
		return o.document.fault(o.offset, o.fieldPath(name), "", problem, allowed)
	}
	return o.valueFault(name, value, problem, allowed)
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
			fault := o.document.fault(member.offset, o.fieldPath(member.name), "", "is unknown", strings.Join(known, ", "))
			fault.Unknown = true
			o.document.faults = append(o.document.faults, fault)
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
	o.document.faults = append(o.document.faults, o.valueFault(name, value, problem, allowed))
}

func (o *Object) valueFault(name string, value hujson.Value, problem, allowed string) *FieldError {
	text := string(o.document.content[value.StartOffset:value.EndOffset])
	return o.document.fault(value.StartOffset, o.fieldPath(name), truncate(text), problem, allowed)
}

func (o *Object) lookup(name string, required bool) (hujson.Value, bool) {
	o.read[name] = true
	value, found := o.fields[name]
	if !found && required {
		o.document.addFault(o.offset, o.fieldPath(name), "", "is missing", "")
	}
	return value, found
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

func truncate(text string) string {
	const maxValueBytes = 80
	if len(text) <= maxValueBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
}

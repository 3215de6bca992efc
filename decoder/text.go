package decoder

import (
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

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

// Peek returns the value of a field that holds a string, or "" if the field is
// missing or holds another type. It does not mark the field as read.
func (o *Object) Peek(name string) string {
	value, found := o.fields[name]
	if !found || value.Value.Kind() != '"' {
		return ""
	}
	return value.Value.(hujson.Literal).String()
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

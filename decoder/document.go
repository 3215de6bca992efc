// Package decoder is a strict reader of JSON with comments. It keeps the position
// of every field, reports unknown and duplicate fields, wrong types, wrong units
// and values out of range, and reports all faults of a document at once.
package decoder

import (
	"bytes"
	"fmt"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxDocumentBytes is the size of the largest document that Parse accepts.
const MaxDocumentBytes = 1 << 20

// FieldError reports one fault of a document.
type FieldError struct {
	// File is the name of the document.
	File string
	// Line is the line of the fault, counted from 1.
	Line int
	// Column is the position in the line in bytes, counted from 1.
	Column int
	// Field is the path of the field, such as "templates[2].name".
	Field string
	// Value is the value as written, shortened if it is long, or empty if there is none.
	Value string
	// Problem describes what is wrong.
	Problem string
	// Allowed describes the allowed values. It may be empty.
	Allowed string
	// Unknown is true if the fault is that the field is unknown.
	Unknown bool
}

// Error implements error.
func (e *FieldError) Error() string {
	text := fmt.Sprintf("%s:%d:%d: ", e.File, e.Line, e.Column)
	if e.Field != "" {
		text += e.Field + ": "
	}
	text += e.Problem
	if e.Allowed != "" {
		text += "; allowed: " + e.Allowed
	}
	return text
}

// DocumentError reports all faults found in a document.
type DocumentError struct {
	// Faults are sorted by position. There is at least one.
	Faults []*FieldError
}

// Error implements error.
func (e *DocumentError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.As finds a *FieldError.
func (e *DocumentError) Unwrap() []error {
	faults := make([]error, len(e.Faults))
	for i, fault := range e.Faults {
		faults[i] = fault
	}
	return faults
}

// document holds the text, the objects and the faults of one document.
type document struct {
	file    string
	content []byte
	faults  []*FieldError
	objects []*Object
}

// Parse parses a document and returns its root object. It returns a *DocumentError
// if content is not an object in JSON with comments, is too long or is nested too
// deep. The file name is used in the positions of faults.
func Parse(file string, content []byte) (*Object, error) {
	d := &document{file: file, content: content}
	if len(content) > MaxDocumentBytes {
		d.addFault(0, "", "", fmt.Sprintf("is %d bytes long", len(content)), fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
		return nil, d.err()
	}
	if offset, found := findExcessDepth(content); found {
		d.addFault(offset, "", "", "is nested too deep", fmt.Sprintf("at most %d levels", MaxDepth))
		return nil, d.err()
	}
	root, err := hujson.Parse(content)
	if err != nil {
		d.addSyntaxFault(err)
		return nil, d.err()
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		d.addFault(root.StartOffset, "", "", "is not an object", "an object in JSON with comments")
		return nil, d.err()
	}
	return d.newObject("", root.StartOffset, object), nil
}

func (d *document) addSyntaxFault(err error) {
	fault := &FieldError{File: d.file, Line: 1, Column: 1, Problem: err.Error()}
	_, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &fault.Line, &fault.Column)
	if _, detail, found := strings.Cut(err.Error(), ": "); found && scanErr == nil {
		_, fault.Problem, _ = strings.Cut(detail, ": ")
	}
	d.faults = append(d.faults, fault)
}

func (d *document) addFault(offset int, field, value, problem, allowed string) {
	d.faults = append(d.faults, d.fault(offset, field, value, problem, allowed))
}

func (d *document) fault(offset int, field, value, problem, allowed string) *FieldError {
	line, column := Position(d.content, offset)
	return &FieldError{
		File:    d.file,
		Line:    line,
		Column:  column,
		Field:   field,
		Value:   value,
		Problem: problem,
		Allowed: allowed,
	}
}

// Position returns the line and column, counted from 1, of an offset in a text.
func Position(content []byte, offset int) (line, column int) {
	before := content[:min(offset, len(content))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}

func (d *document) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	sort.SliceStable(d.faults, func(i, j int) bool {
		a, b := d.faults[i], d.faults[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return &DocumentError{Faults: d.faults}
}

// newObject adds an object to the document and reports its duplicate fields.
func (d *document) newObject(path string, offset int, syntax *hujson.Object) *Object {
	o := &Object{document: d, path: path, offset: offset, fields: map[string]hujson.Value{}, read: map[string]bool{}}
	for _, member := range syntax.Members {
		name := member.Name.Value.(hujson.Literal).String()
		if _, found := o.fields[name]; found {
			d.addFault(member.Name.StartOffset, o.fieldPath(name), "", "is given twice", "once")
			continue
		}
		o.names = append(o.names, memberName{name: name, offset: member.Name.StartOffset})
		o.fields[name] = member.Value
	}
	d.objects = append(d.objects, o)
	return o
}

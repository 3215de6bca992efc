// Package checker checks a configuration of the platform before it is sent to the store.
package checker

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/zeebo/errs"

	"zinniashore.example/decoder"
)

// Severity is the severity of a finding.
type Severity string

// Severities of findings.
const (
	// SeverityError marks a configuration that must not be sent.
	SeverityError Severity = "error"
	// SeverityWarning marks what is probably not intended.
	SeverityWarning Severity = "warning"
	// SeverityDifference marks a difference from the configuration in force.
	SeverityDifference Severity = "difference"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	// KindMalformed marks a value that a process cannot read or that is out of range.
	KindMalformed Kind = "malformed"
	// KindUnknown marks a field that no process reads.
	KindUnknown Kind = "unknown"
	// KindDuplicate marks a name that is given to several entries.
	KindDuplicate Kind = "duplicate"
	// KindUnreachable marks a route that some or all of its requests cannot reach.
	KindUnreachable Kind = "unreachable"
	// KindService marks a route whose service is not named, or a service without a route.
	KindService Kind = "service"
	// KindObjective marks a route whose jobs cannot meet their objective.
	KindObjective Kind = "objective"
	// KindLimits marks limits that contradict each other or the VM.
	KindLimits Kind = "limits"
	// KindVersion marks a version that processes ignore.
	KindVersion Kind = "version"
	// KindAdded, KindRemoved and KindChanged mark differences from the configuration in
	// force.
	KindAdded   Kind = "added"
	KindRemoved Kind = "removed"
	KindChanged Kind = "changed"
)

// Place is a position in a file.
type Place struct {
	// File is the name of the file.
	File string
	// Line and Column are counted from 1; the column is in bytes.
	Line, Column int
	// Field is the path of the field, such as "routes[2].name". It may be empty.
	Field string
}

// String returns the place in the form of compilers.
func (p Place) String() string {
	text := fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	if p.Field != "" {
		text += ": " + p.Field
	}
	return text
}

// Finding is one result of a check.
type Finding struct {
	// Severity is the severity.
	Severity Severity
	// Kind is the kind.
	Kind Kind
	// Place is where the cause is.
	Place Place
	// Message describes the finding.
	Message string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Place, f.Severity, f.Message)
}

// Document is a file with its content.
type Document struct {
	// Name is the name of the file.
	Name string
	// Content is the text.
	Content []byte
}

// InputError reports a file to compare with that cannot be read.
type InputError struct {
	// File is the name of the file.
	File string
	// Err describes the fault.
	Err error
}

// Error implements error.
func (e *InputError) Error() string { return fmt.Sprintf("cannot read %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Err }

// Checker checks a configuration. Its exported fields are set before use.
type Checker struct {
	// Configuration is the configuration to check.
	Configuration Document
	// InForce is the configuration in force, nil if it is not to be compared.
	InForce *Document
	// Settings are the settings that the platform gives to a process, nil if the limits
	// are not to be compared with the VM.
	Settings *Document
}

// Check returns the findings: errors and warnings by position, then differences. It
// returns an *InputError if InForce or Settings cannot be read.
func (c Checker) Check() ([]Finding, error) {
	var vm *machine
	if c.Settings != nil {
		m, err := readMachine(*c.Settings)
		if err != nil {
			return nil, err
		}
		vm = &m
	}
	inForce, err := c.readInForce()
	if err != nil {
		return nil, err
	}
	checked, findings := readConfiguration(c.Configuration)
	if !checked.readable {
		return findings, nil
	}
	findings = append(findings, checked.checkRoutes()...)
	findings = append(findings, checked.checkServices()...)
	findings = append(findings, checked.checkLimits(vm)...)
	if c.InForce != nil {
		findings = append(findings, checked.checkVersion(inForce)...)
	}
	sortFindings(findings)
	if c.InForce != nil {
		findings = append(findings, differences(inForce, checked)...)
	}
	return findings, nil
}

// readInForce reads the configuration in force, if it is given. What is wrong with it does
// not matter as long as processes can read it.
func (c Checker) readInForce() (configuration, error) {
	if c.InForce == nil {
		return configuration{}, nil
	}
	inForce, findings := readConfiguration(*c.InForce)
	if inForce.readable {
		return inForce, nil
	}
	var faults errs.Group
	for _, f := range findings {
		if f.Severity == SeverityError {
			faults.Add(errs.New("%s", f))
		}
	}
	return configuration{}, &InputError{File: c.InForce.Name, Err: faults.Err()}
}

func sortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Place.File, b.Place.File), cmp.Compare(a.Place.Line, b.Place.Line),
			cmp.Compare(a.Place.Column, b.Place.Column), cmp.Compare(a.Message, b.Message))
	})
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, severity Severity) int {
	count := 0
	for _, f := range findings {
		if f.Severity == severity {
			count++
		}
	}
	return count
}

// finding returns the finding for a fault.
func finding(severity Severity, kind Kind, fault *decoder.FieldError) Finding {
	message := fault.Problem
	if fault.Allowed != "" {
		message += "; allowed: " + fault.Allowed
	}
	place := Place{File: fault.File, Line: fault.Line, Column: fault.Column, Field: fault.Field}
	return Finding{Severity: severity, Kind: kind, Place: place, Message: message}
}

// fieldFinding returns the finding for a field of an object; an empty name means the object.
func fieldFinding(o *decoder.Object, name string, severity Severity, kind Kind, format string, arguments ...any) Finding {
	return finding(severity, kind, o.Fault(name, fmt.Sprintf(format, arguments...), ""))
}

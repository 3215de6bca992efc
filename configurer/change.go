package configurer

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Change is one change that an operator asks for. It is applied whole or not at
// all.
type Change struct {
	// ID names the change. A change repeated with the same id is applied once.
	ID string
	// Operator is who asks.
	Operator string
	// Organisation is the only organisation that the change may touch, or empty
	// for any and for templates.
	Organisation string
	// FixedQuota rejects a change of the quota of Organisation.
	FixedQuota bool
	// ReadRevision is the revision that the operator had read.
	ReadRevision int64
	// Files are templates and parameter values that replace those of the same
	// template or organisation.
	Files []File
	// Assignments set single parameters of Organisation.
	Assignments []Assignment
	// RemovedTemplates are names of templates to remove.
	RemovedTemplates []string
	// RemovedOrganisations are names of organisations to remove.
	RemovedOrganisations []string
}

// Assignment sets one parameter of a workload.
type Assignment struct {
	// Workload is the workload.
	Workload string
	// Parameter is the parameter.
	Parameter string
	// Value is the value in JSON.
	Value string
}

// State tells what became of a change.
type State string

// States of changes.
const (
	// StateRejected has faults and changed nothing.
	StateRejected State = "rejected"
	// StateConflict read an older revision than the last that touched the same
	// templates or organisation. It changed nothing.
	StateConflict State = "conflict"
	// StatePending is durable, but some failure domain has not confirmed it.
	StatePending State = "pending"
	// StateAccepted is durable and in force in every failure domain.
	StateAccepted State = "accepted"
	// StateValid is that of a preview without faults. Nothing was changed.
	StateValid State = "valid"
)

// Result tells what became of a change.
type Result struct {
	// State is the state.
	State State
	// Revision is the revision that the change made. For StateConflict it is the
	// current one.
	Revision int64
	// Faults are set for StateRejected.
	Faults []Fault
	// Pending names the failure domains that have not confirmed, for
	// StatePending.
	Pending []string
}

// rejectedError ends an update of the document without effect.
type rejectedError struct {
	faults []Fault
}

// Error implements error.
func (e *rejectedError) Error() string {
	return fmt.Sprintf("change rejected: %d faults", len(e.faults))
}

// conflictError ends an update of the document without effect.
type conflictError struct {
	revision int64
}

// Error implements error.
func (e *conflictError) Error() string {
	return fmt.Sprintf("change conflicts with revision %d", e.revision)
}

// repeatedError ends an update of the document because it holds the change.
type repeatedError struct {
	revision int64
}

// Error implements error.
func (e *repeatedError) Error() string { return fmt.Sprintf("change made revision %d", e.revision) }

// apply returns the document after the change. It returns a *rejectedError, a
// *conflictError or a *repeatedError.
func (c Change) apply(d Document, failureDomains []string) (Document, error) {
	digest := c.digest()
	if applied, found := d.applied(c.ID); found {
		if applied.digest != digest {
			return d, c.reject("id", c.ID, "was used for another change", "a new id")
		}
		return d, &repeatedError{revision: applied.revision}
	}
	next := d.withChange(c.ID, digest)
	e := &edit{change: c, document: next, sources: map[string]string{}}
	if err := e.run(); err != nil {
		return d, err
	}
	expanded, faults := Expand(e.document.Templates, e.document.Organisations, failureDomains)
	if len(faults) > 0 {
		return d, &rejectedError{faults: e.named(faults)}
	}
	if c.FixedQuota {
		current, _ := Expand(d.Templates, d.Organisations, failureDomains)
		if current.quota(c.Organisation) != expanded.quota(c.Organisation) {
			return d, c.reject("quota", "", "is set by operators only", "the quota as it stands")
		}
	}
	return e.document, nil
}

func (c Change) reject(field, value, problem, allowed string) error {
	fault := Fault{Organisation: c.Organisation, Field: field, Parameter: field, Value: value, Problem: problem, Allowed: allowed}
	return &rejectedError{faults: []Fault{fault}}
}

// digest tells changes of different content apart.
func (c Change) digest() uint64 {
	h := xxhash.New()
	encoder := json.NewEncoder(h)
	_ = encoder.Encode([]string{c.Organisation, fmt.Sprint(c.ReadRevision)})
	for _, f := range c.Files {
		_ = encoder.Encode([]string{f.Name, string(f.Content)})
	}
	for _, a := range c.Assignments {
		_ = encoder.Encode([]string{a.Workload, a.Parameter, a.Value})
	}
	_ = encoder.Encode(c.RemovedTemplates)
	_ = encoder.Encode(c.RemovedOrganisations)
	return h.Sum64()
}

package configurer

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Change is a change of the configuration that an operator requests. It is applied
// atomically.
type Change struct {
	// ID identifies the change. A change that is repeated with the same id is applied
	// once.
	ID string
	// Operator is the operator who requests the change.
	Operator string
	// Organisation is the only organisation that the change may modify. Empty allows
	// all organisations and templates.
	Organisation string
	// FixedQuota causes the change to be rejected if it modifies the quota of
	// Organisation.
	FixedQuota bool
	// ReadRevision is the revision on which the operator based the change.
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
	// Workload is the name of the workload.
	Workload string
	// Parameter is the name of the parameter.
	Parameter string
	// Value is the new value in JSON.
	Value string
}

// State is the state of a change.
type State string

// States of changes.
const (
	// StateRejected is a change with faults. It modified nothing.
	StateRejected State = "rejected"
	// StateConflict is a change based on a revision older than the last modification
	// of the same templates or organisation. It modified nothing.
	StateConflict State = "conflict"
	// StatePending is a durable change that some failure domain has not confirmed.
	StatePending State = "pending"
	// StateAccepted is a durable change in force in every failure domain.
	StateAccepted State = "accepted"
	// StateValid is a preview without faults. It modified nothing.
	StateValid State = "valid"
)

// Result is the result of a change.
type Result struct {
	// State is the state of the change.
	State State
	// Revision is the revision that the change created. For StateConflict it is the
	// current revision.
	Revision int64
	// Faults are the reasons of StateRejected.
	Faults []Fault
	// Pending are the names of the failure domains that have not confirmed, for
	// StatePending.
	Pending []string
}

// rejectedError aborts an update of the document because the change has faults.
type rejectedError struct {
	faults []Fault
}

// Error implements error.
func (e *rejectedError) Error() string {
	return fmt.Sprintf("change rejected: %d faults", len(e.faults))
}

// conflictError aborts an update of the document because the change is based on an old
// revision.
type conflictError struct {
	revision int64
}

// Error implements error.
func (e *conflictError) Error() string {
	return fmt.Sprintf("change conflicts with revision %d", e.revision)
}

// repeatedError aborts an update of the document because the document already contains
// the change.
type repeatedError struct {
	revision int64
}

// Error implements error.
func (e *repeatedError) Error() string { return fmt.Sprintf("change made revision %d", e.revision) }

// apply returns the document after the change. Its errors are *rejectedError,
// *conflictError and *repeatedError.
func (c Change) apply(d Document, failureDomains []string) (Document, error) {
	digest := c.digest()
	if applied, found := d.findChange(c.ID); found {
		if applied.digest != digest {
			return d, c.reject("id", c.ID, "was used for another change", "a new id")
		}
		return d, &repeatedError{revision: applied.revision}
	}
	next := d.withChange(c.ID, digest)
	e := &edit{change: c, document: next, fileNames: map[string]string{}}
	if err := e.run(); err != nil {
		return d, err
	}
	expanded, faults := Expand(e.document.Templates, e.document.Organisations, failureDomains)
	if len(faults) > 0 {
		return d, &rejectedError{faults: e.withSourceNames(faults)}
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

// digest returns a hash of the content of the change. It detects that an id is reused
// for another change.
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

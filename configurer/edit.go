package configurer

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"

	"zinniashore.example/decoder"
)

// errUnknownFile reports a file that is neither a template nor an organisation.
var errUnknownFile = errors.New("neither a template nor an organisation")

// edit applies a change to a document.
type edit struct {
	change   Change
	document Document
	// fileNames maps the name of a template or organisation to the name of the
	// operator's file.
	fileNames map[string]string
}

func (e *edit) run() error {
	c := e.change
	if c.ID == "" {
		return c.reject("id", "", "is missing", "an id that is used once")
	}
	for _, f := range c.Files {
		if err := e.putFile(f); err != nil {
			return err
		}
	}
	for _, a := range c.Assignments {
		if err := e.assign(a); err != nil {
			return err
		}
	}
	for _, name := range c.RemovedTemplates {
		if err := e.removeTemplate(name); err != nil {
			return err
		}
	}
	for _, name := range c.RemovedOrganisations {
		if err := e.removeOrganisation(name); err != nil {
			return err
		}
	}
	return nil
}

func (e *edit) putFile(f File) error {
	kind, name, err := identifyFile(f)
	if err != nil {
		return &rejectedError{faults: fileFaults(f, err)}
	}
	e.fileNames[name] = f.Name
	file := File{Name: name, Content: f.Content, Revision: e.document.Revision}
	if kind == fileTemplate {
		if err := e.checkTemplate(name); err != nil {
			return err
		}
		if err := e.checkFileSize(file); err != nil {
			return err
		}
		e.document.Templates = withFile(e.document.Templates, file)
		return nil
	}
	return e.putOrganisation(file)
}

func (e *edit) putOrganisation(file File) error {
	if err := e.checkOrganisation(file.Name); err != nil {
		return err
	}
	if err := e.checkFileSize(file); err != nil {
		return err
	}
	e.document.Organisations = withFile(e.document.Organisations, file)
	return nil
}

// checkFileSize rejects a file that is longer than maxFileBytes.
func (e *edit) checkFileSize(file File) error {
	if len(file.Content) <= maxFileBytes {
		return nil
	}
	return e.change.reject("files", file.Name, fmt.Sprintf("is %d bytes long", len(file.Content)), fmt.Sprintf("at most %d bytes", maxFileBytes))
}

func (e *edit) checkTemplate(name string) error {
	if e.change.Organisation != "" {
		return e.change.reject("files", name, "is a template", "the organisation "+e.change.Organisation)
	}
	stored, _ := e.document.Template(name)
	return e.checkConflict(stored)
}

func (e *edit) checkOrganisation(name string) error {
	if only := e.change.Organisation; only != "" && only != name {
		return e.change.reject("organisation", name, "is another organisation", only)
	}
	stored, _ := e.document.Organisation(name)
	return e.checkConflict(stored)
}

// checkConflict returns a *conflictError if the file was modified after the operator
// read it. A file that this change itself has modified is at the new revision.
func (e *edit) checkConflict(stored File) error {
	if stored.Revision > e.change.ReadRevision && stored.Revision != e.document.Revision {
		return &conflictError{revision: e.document.Revision - 1}
	}
	return nil
}

func (e *edit) assign(a Assignment) error {
	name := e.change.Organisation
	file, found := e.document.Organisation(name)
	if !found {
		return e.change.reject("organisation", name, "does not exist", "an organisation")
	}
	content, err := withAssignment(file, a)
	if err != nil {
		fault := Fault{Organisation: name, Workload: a.Workload, Parameter: a.Parameter, Value: a.Value, Problem: err.Error()}
		return &rejectedError{faults: []Fault{fault}}
	}
	return e.putOrganisation(File{Name: name, Content: content, Revision: e.document.Revision})
}

func (e *edit) removeTemplate(name string) error {
	if _, found := e.document.Template(name); !found {
		return e.change.reject("removed_templates", name, "does not exist", "a template")
	}
	if err := e.checkTemplate(name); err != nil {
		return err
	}
	e.document.Templates = withoutFile(e.document.Templates, name)
	return nil
}

func (e *edit) removeOrganisation(name string) error {
	if _, found := e.document.Organisation(name); !found {
		return e.change.reject("removed_organisations", name, "does not exist", "an organisation")
	}
	if err := e.checkOrganisation(name); err != nil {
		return err
	}
	e.document.Organisations = withoutFile(e.document.Organisations, name)
	return nil
}

// withSourceNames replaces the file names in faults by the names of the operator's
// files.
func (e *edit) withSourceNames(faults []Fault) []Fault {
	for i := range faults {
		if source := e.fileNames[faults[i].File]; source != "" {
			faults[i].File = source
		}
	}
	return faults
}

// fileKind is the kind of content of a file.
type fileKind string

const (
	fileTemplate     fileKind = "template"
	fileOrganisation fileKind = "organisation"
)

func identifyFile(f File) (fileKind, string, error) {
	o, err := decoder.Parse(f.Name, f.Content)
	if err != nil {
		return "", "", err
	}
	for _, kind := range []fileKind{fileTemplate, fileOrganisation} {
		if name := o.Peek(string(kind)); isName(name) {
			return kind, name, nil
		}
	}
	return "", "", errUnknownFile
}

func fileFaults(f File, err error) []Fault {
	faults := faultsOf(err, func(f Fault, _ string) Fault { return f })
	if len(faults) == 0 {
		faults = []Fault{{File: f.Name, Line: 1, Column: 1, Problem: err.Error(), Allowed: `a field "template" or "organisation" with a name of ` + nameAllowed}}
	}
	return faults
}

// withAssignment returns the text of an organisation's file with one parameter set. It
// preserves comments.
func withAssignment(file File, a Assignment) ([]byte, error) {
	if !isName(a.Parameter) || !json.Valid([]byte(a.Value)) {
		return nil, errors.New("is not a parameter and a value in JSON")
	}
	o, err := decoder.Parse(file.Name, file.Content)
	if err != nil {
		return nil, err
	}
	for i, w := range o.Objects("workloads") {
		if w.Peek("name") != a.Workload {
			continue
		}
		return patchValue(file.Content, fmt.Sprintf("/workloads/%d/values", i), w.Has("values"), a)
	}
	return nil, errors.New("names no workload of the organisation")
}

type patchMessage struct {
	Operation string          `json:"op"`
	Path      string          `json:"path"`
	Value     json.RawMessage `json:"value"`
}

func patchValue(content []byte, path string, exists bool, a Assignment) ([]byte, error) {
	var patch []patchMessage
	if !exists {
		patch = append(patch, patchMessage{Operation: "add", Path: path, Value: json.RawMessage("{}")})
	}
	member := path + "/" + strings.ReplaceAll(a.Parameter, "/", "~1")
	patch = append(patch, patchMessage{Operation: "add", Path: member, Value: json.RawMessage(a.Value)})
	text, err := json.Marshal(patch)
	if err != nil {
		return nil, err
	}
	value, err := hujson.Parse(content)
	if err != nil {
		return nil, err
	}
	if err := value.Patch(text); err != nil {
		return nil, err
	}
	return value.Pack(), nil
}

package configurer

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"

	"zinniashore.example/decoder"
)

// errUnknownFile marks a file that is neither a template nor an organisation.
var errUnknownFile = errors.New("neither a template nor an organisation")

// edit carries a change into a document.
type edit struct {
	change   Change
	document Document
	// sources maps the name of a template or organisation to its file.
	sources map[string]string
}

func (e *edit) run() error {
	c := e.change
	if c.ID == "" {
		return c.reject("id", "", "is missing", "an id that is used once")
	}
	for _, f := range c.Files {
		if err := e.put(f); err != nil {
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

func (e *edit) put(f File) error {
	kind, name, err := identify(f)
	if err != nil {
		return &rejectedError{faults: rejectedFile(f, err)}
	}
	e.sources[name] = f.Name
	file := File{Name: name, Content: f.Content, Revision: e.document.Revision}
	if kind == fileTemplate {
		if err := e.touchTemplate(name); err != nil {
			return err
		}
		if err := e.bound(file); err != nil {
			return err
		}
		e.document.Templates = withFile(e.document.Templates, file)
		return nil
	}
	return e.putOrganisation(file)
}

func (e *edit) putOrganisation(file File) error {
	if err := e.touchOrganisation(file.Name); err != nil {
		return err
	}
	if err := e.bound(file); err != nil {
		return err
	}
	e.document.Organisations = withFile(e.document.Organisations, file)
	return nil
}

// bound rejects a file that takes too much of the document.
func (e *edit) bound(file File) error {
	if len(file.Content) <= maxFileBytes {
		return nil
	}
	return e.change.reject("files", file.Name, fmt.Sprintf("is %d bytes long", len(file.Content)), fmt.Sprintf("at most %d bytes", maxFileBytes))
}

func (e *edit) touchTemplate(name string) error {
	if e.change.Organisation != "" {
		return e.change.reject("files", name, "is a template", "the organisation "+e.change.Organisation)
	}
	stored, _ := e.document.Template(name)
	return e.unread(stored)
}

func (e *edit) touchOrganisation(name string) error {
	if only := e.change.Organisation; only != "" && only != name {
		return e.change.reject("organisation", name, "is another organisation", only)
	}
	stored, _ := e.document.Organisation(name)
	return e.unread(stored)
}

// unread reports a conflict where the file changed after the operator read it.
// A file that this change itself has touched is at the new revision.
func (e *edit) unread(stored File) error {
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
	content, err := assigned(file, a)
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
	if err := e.touchTemplate(name); err != nil {
		return err
	}
	e.document.Templates = withoutFile(e.document.Templates, name)
	return nil
}

func (e *edit) removeOrganisation(name string) error {
	if _, found := e.document.Organisation(name); !found {
		return e.change.reject("removed_organisations", name, "does not exist", "an organisation")
	}
	if err := e.touchOrganisation(name); err != nil {
		return err
	}
	e.document.Organisations = withoutFile(e.document.Organisations, name)
	return nil
}

// named gives faults the names of the operator's files.
func (e *edit) named(faults []Fault) []Fault {
	for i := range faults {
		if source := e.sources[faults[i].File]; source != "" {
			faults[i].File = source
		}
	}
	return faults
}

// fileKind tells what a file holds.
type fileKind string

const (
	fileTemplate     fileKind = "template"
	fileOrganisation fileKind = "organisation"
)

func identify(f File) (fileKind, string, error) {
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

func rejectedFile(f File, err error) []Fault {
	faults := faultsOf(err, func(f Fault, _ string) Fault { return f })
	if len(faults) == 0 {
		faults = []Fault{{File: f.Name, Line: 1, Column: 1, Problem: err.Error(), Allowed: `a field "template" or "organisation" with a name of ` + nameAllowed}}
	}
	return faults
}

// assigned returns the text of an organisation with one parameter set. Comments
// stay.
func assigned(file File, a Assignment) ([]byte, error) {
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
		return patched(file.Content, fmt.Sprintf("/workloads/%d/values", i), w.Has("values"), a)
	}
	return nil, errors.New("names no workload of the organisation")
}

type patchMessage struct {
	Operation string          `json:"op"`
	Path      string          `json:"path"`
	Value     json.RawMessage `json:"value"`
}

func patched(content []byte, path string, exists bool, a Assignment) ([]byte, error) {
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

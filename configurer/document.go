package configurer

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"zinniashore.example/keeper"
)

const (
	documentKey    = keeper.WatchedPrefix + "config"
	documentFormat = 1

	// maxChangeIDs is the number of change ids that the document keeps. A repeated
	// change with an older id still cannot be applied twice: its read revision
	// conflicts.
	maxChangeIDs = 256

	maxDocumentBytes = keeper.MaxValueBytes * 3 / 4

	// maxFileBytes is the maximum size of one file. It prevents one organisation from
	// filling the document that all organisations share.
	maxFileBytes = 16 << 10
)

// File is one template or the parameter values of one organisation, in JSON
// with comments.
type File struct {
	// Name is the name of the file in messages or, in a Document, the name of the
	// template or organisation.
	Name string
	// Content is the text of the file.
	Content []byte
	// Revision is the revision of the last change of the file.
	Revision int64
}

// Document holds all templates and parameter values that operators have set. It is
// immutable.
type Document struct {
	// Revision is the number of changes committed so far.
	Revision int64
	// Templates are the templates, one file each, sorted by name.
	Templates []File
	// Organisations are the parameter values, one file for each organisation, sorted
	// by name.
	Organisations []File

	changes []appliedChange
}

// appliedChange identifies a committed change, so that a repetition is not applied
// again.
type appliedChange struct {
	id       string
	digest   uint64
	revision int64
}

type fileMessage struct {
	Name     string `json:"name"`
	Content  string `json:"content"`
	Revision int64  `json:"revision"`
}

type changeMessage struct {
	ID       string `json:"id"`
	Digest   uint64 `json:"digest"`
	Revision int64  `json:"revision"`
}

type documentMessage struct {
	Format        int             `json:"format"`
	Revision      int64           `json:"revision"`
	Templates     []fileMessage   `json:"templates"`
	Organisations []fileMessage   `json:"organisations"`
	Changes       []changeMessage `json:"changes"`
}

// decodeDocument decodes the stored document. Nil content is the empty document.
func decodeDocument(content []byte) (Document, error) {
	if content == nil {
		return Document{}, nil
	}
	var m documentMessage
	if err := json.Unmarshal(content, &m); err != nil {
		return Document{}, &keeper.FormatError{Key: documentKey, Err: err}
	}
	if m.Format != documentFormat {
		return Document{}, &keeper.FormatError{Key: documentKey, Err: fmt.Errorf("format %d is not %d", m.Format, documentFormat)}
	}
	d := Document{Revision: m.Revision, Templates: decodeFiles(m.Templates), Organisations: decodeFiles(m.Organisations)}
	for _, c := range m.Changes {
		d.changes = append(d.changes, appliedChange{id: c.ID, digest: c.Digest, revision: c.Revision})
	}
	return d, nil
}

func (d Document) encode() ([]byte, error) {
	m := documentMessage{
		Format:        documentFormat,
		Revision:      d.Revision,
		Templates:     encodeFiles(d.Templates),
		Organisations: encodeFiles(d.Organisations),
	}
	for _, c := range d.changes {
		m.Changes = append(m.Changes, changeMessage{ID: c.id, Digest: c.digest, Revision: c.revision})
	}
	return json.Marshal(m)
}

func decodeFiles(messages []fileMessage) []File {
	var files []File
	for _, m := range messages {
		files = append(files, File{Name: m.Name, Content: []byte(m.Content), Revision: m.Revision})
	}
	return files
}

func encodeFiles(files []File) []fileMessage {
	var messages []fileMessage
	for _, f := range files {
		messages = append(messages, fileMessage{Name: f.Name, Content: string(f.Content), Revision: f.Revision})
	}
	return messages
}

func (d Document) findChange(id string) (appliedChange, bool) {
	for _, c := range d.changes {
		if c.id == id {
			return c, true
		}
	}
	return appliedChange{}, false
}

// withChange returns a copy of d at the next revision that records the change.
func (d Document) withChange(id string, digest uint64) Document {
	d.Revision++
	d.changes = append(slices.Clone(d.changes), appliedChange{id: id, digest: digest, revision: d.Revision})
	if surplus := len(d.changes) - maxChangeIDs; surplus > 0 {
		d.changes = d.changes[surplus:]
	}
	return d
}

// Organisation returns the file of an organisation, and whether it exists.
func (d Document) Organisation(name string) (File, bool) { return findFile(d.Organisations, name) }

// Template returns the file of a template, and whether it exists.
func (d Document) Template(name string) (File, bool) { return findFile(d.Templates, name) }

func findFile(files []File, name string) (File, bool) {
	for _, f := range files {
		if f.Name == name {
			return f, true
		}
	}
	return File{}, false
}

// withFile returns a copy of files in which file replaces the one of the same name or
// is added in order of names.
func withFile(files []File, file File) []File {
	files = withoutFile(files, file.Name)
	at, _ := slices.BinarySearchFunc(files, file.Name, func(f File, name string) int {
		return strings.Compare(f.Name, name)
	})
	return slices.Insert(files, at, file)
}

func withoutFile(files []File, name string) []File {
	return slices.DeleteFunc(slices.Clone(files), func(f File) bool { return f.Name == name })
}

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

	// maxChangeIDs bounds the ids of changes that the document remembers. An
	// older id is still harmless: its read revision conflicts.
	maxChangeIDs = 256

	maxDocumentBytes = keeper.MaxValueBytes * 3 / 4

	// maxFileBytes bounds one file, so that no organisation can fill the document
	// that all of them share.
	maxFileBytes = 16 << 10
)

// File is one template or the parameter values of one organisation, in JSON
// with comments.
type File struct {
	// Name is the name of the file, for messages.
	Name string
	// Content is the text.
	Content []byte
	// Revision is the revision of its last change.
	Revision int64
}

// Document is everything that the operators have set. It is not changed once
// made.
type Document struct {
	// Revision counts the changes since the first.
	Revision int64
	// Templates are the templates, one file each, by name.
	Templates []File
	// Organisations are the parameter values, one file each, by name.
	Organisations []File

	changes []appliedChange
}

// appliedChange remembers a change, so that it is applied once.
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

// decodeDocument reads the stored document. No content is the empty document.
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
	d := Document{Revision: m.Revision, Templates: files(m.Templates), Organisations: files(m.Organisations)}
	for _, c := range m.Changes {
		d.changes = append(d.changes, appliedChange{id: c.ID, digest: c.Digest, revision: c.Revision})
	}
	return d, nil
}

func (d Document) encode() ([]byte, error) {
	m := documentMessage{
		Format:        documentFormat,
		Revision:      d.Revision,
		Templates:     fileMessages(d.Templates),
		Organisations: fileMessages(d.Organisations),
	}
	for _, c := range d.changes {
		m.Changes = append(m.Changes, changeMessage{ID: c.id, Digest: c.digest, Revision: c.revision})
	}
	return json.Marshal(m)
}

func files(messages []fileMessage) []File {
	var files []File
	for _, m := range messages {
		files = append(files, File{Name: m.Name, Content: []byte(m.Content), Revision: m.Revision})
	}
	return files
}

func fileMessages(files []File) []fileMessage {
	var messages []fileMessage
	for _, f := range files {
		messages = append(messages, fileMessage{Name: f.Name, Content: string(f.Content), Revision: f.Revision})
	}
	return messages
}

func (d Document) applied(id string) (appliedChange, bool) {
	for _, c := range d.changes {
		if c.id == id {
			return c, true
		}
	}
	return appliedChange{}, false
}

// withChange returns d one revision on, with the change remembered.
func (d Document) withChange(id string, digest uint64) Document {
	d.Revision++
	d.changes = append(slices.Clone(d.changes), appliedChange{id: id, digest: digest, revision: d.Revision})
	if surplus := len(d.changes) - maxChangeIDs; surplus > 0 {
		d.changes = d.changes[surplus:]
	}
	return d
}

// Organisation returns the file of an organisation.
func (d Document) Organisation(name string) (File, bool) { return findFile(d.Organisations, name) }

// Template returns the file of a template.
func (d Document) Template(name string) (File, bool) { return findFile(d.Templates, name) }

func findFile(files []File, name string) (File, bool) {
	for _, f := range files {
		if f.Name == name {
			return f, true
		}
	}
	return File{}, false
}

// withFile returns files with one replaced or added, by name.
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

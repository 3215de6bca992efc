package keeper

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

const (
	documentFormat = 1
	// maxMarks is the maximum number of writes in the history of a document.
	maxMarks = 32
)

// tombstonePrefix begins the stored form of a deleted document.
var tombstonePrefix = []byte(`{"format":1,"deleted":true`)

// Document is a stored value with the marks of its last writes. It is immutable.
type Document struct {
	// Key is the key of the document.
	Key string
	// Version is the store revision of its last write, or zero if absent. A
	// document that is being deleted has a version and no body.
	Version int64
	// Body is the content, or nil if absent.
	Body []byte

	marks []writeMark
}

// writeMark identifies a write and the version that it replaced. No two writes replace
// the same version.
type writeMark struct {
	writer   string
	sequence int64
	base     int64
}

type markMessage struct {
	Writer   string `json:"writer"`
	Sequence int64  `json:"sequence"`
	Base     int64  `json:"base"`
}

// documentMessage is the stored form. Its first fields make up tombstonePrefix.
type documentMessage struct {
	Format  int             `json:"format"`
	Deleted bool            `json:"deleted,omitempty"`
	Writers []markMessage   `json:"writers"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// FormatError reports a stored value that this version cannot read. Such a
// value is never overwritten.
type FormatError struct {
	// Key is the key of the value.
	Key string
	// Err describes the fault.
	Err error
}

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("store: value of %q: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// DecodeDocument reads a Document from an entry.
func DecodeDocument(entry Entry) (Document, error) {
	document := Document{Key: entry.Key, Version: entry.Version}
	if entry.Version == 0 || entry.Value == nil {
		return document, nil
	}
	var message documentMessage
	if err := json.Unmarshal(entry.Value, &message); err != nil {
		return Document{}, &FormatError{Key: entry.Key, Err: err}
	}
	if message.Format != documentFormat {
		return Document{}, &FormatError{Key: entry.Key, Err: fmt.Errorf("format %d is not %d", message.Format, documentFormat)}
	}
	if message.Deleted != (len(message.Body) == 0) {
		return Document{}, &FormatError{Key: entry.Key, Err: errors.New("neither body nor deletion, or both")}
	}
	document.Body = message.Body
	for _, m := range message.Writers {
		document.marks = append(document.marks, writeMark{writer: m.Writer, sequence: m.Sequence, base: m.Base})
	}
	return document, nil
}

// effect is the outcome of a write according to the history of a document.
type effect string

const (
	effectApplied effect = "applied"
	effectNone    effect = "none"
	effectUnknown effect = "forgotten"
)

// effectOf returns the outcome of a write, and the version that it created. The
// outcome is unknown if the history does not reach back to the version that the write
// was to replace. It is also unknown for a creation if another write created the
// document, because the document may have been created, deleted and created again in
// between.
func (d Document) effectOf(write writeMark) (effect, int64) {
	version := d.Version
	for _, m := range d.marks {
		if m == write {
			return effectApplied, version
		}
		if m.base == write.base && write.base != 0 {
			return effectNone, 0
		}
		version = m.base
	}
	return effectUnknown, 0
}

// with returns d after a write of body. A nil body deletes the document.
func (d Document) with(write writeMark, body []byte) Document {
	marks := append([]writeMark{write}, d.marks...)
	d.marks = marks[:min(len(marks), maxMarks)]
	d.Body = body
	return d
}

// encode returns the stored form.
func (d Document) encode() ([]byte, error) {
	message := documentMessage{Format: documentFormat, Deleted: d.Body == nil, Body: d.Body}
	for _, m := range d.marks {
		message.Writers = append(message.Writers, markMessage{Writer: m.writer, Sequence: m.sequence, Base: m.base})
	}
	return json.Marshal(message)
}

// isTombstone reports whether a stored value is that of a deleted document.
func isTombstone(value []byte) bool { return bytes.HasPrefix(value, tombstonePrefix) }

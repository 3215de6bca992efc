package keeper

import (
	"encoding/json"
	"fmt"
)

const (
	documentFormat = 1
	maxWriters     = 32
)

// Document is a stored value with the writers that made it. It is immutable.
type Document struct {
	// Key is the key of the document.
	Key string
	// Version is the store revision of its last write, or zero if absent.
	Version int64
	// Body is the content, or nil if absent.
	Body []byte

	writers []writerMark
}

// writerMark is the last sequence number that a writer applied to a document.
type writerMark struct {
	writer   string
	sequence int64
}

type writerMessage struct {
	Writer   string `json:"writer"`
	Sequence int64  `json:"sequence"`
}

type documentMessage struct {
	Format  int             `json:"format"`
	Writers []writerMessage `json:"writers"`
	Body    json.RawMessage `json:"body"`
}

// FormatError reports a stored value that this version cannot read. Such a
// value is never overwritten.
type FormatError struct {
	// Key is the key of the value.
	Key string
	// Err tells what is wrong.
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
	document.Body = message.Body
	for _, m := range message.Writers {
		document.writers = append(document.writers, writerMark{writer: m.Writer, sequence: m.Sequence})
	}
	return document, nil
}

// hasWrite reports whether a write of the writer with this sequence number is
// part of the document's history.
func (d Document) hasWrite(writer string, sequence int64) bool {
	for _, mark := range d.writers {
		if mark.writer == writer {
			return mark.sequence >= sequence
		}
	}
	return false
}

// encode returns the stored form of body written over d by the writer.
func (d Document) encode(writer string, sequence int64, body []byte) ([]byte, error) {
	message := documentMessage{Format: documentFormat, Body: body}
	message.Writers = append(message.Writers, writerMessage{Writer: writer, Sequence: sequence})
	for _, mark := range d.writers {
		if mark.writer == writer || len(message.Writers) == maxWriters {
			continue
		}
		message.Writers = append(message.Writers, writerMessage{Writer: mark.writer, Sequence: mark.sequence})
	}
	return json.Marshal(message)
}

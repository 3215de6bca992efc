package evacuator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/keeper"
)

// evacuationFormat is the version of the stored form of an evacuation.
const evacuationFormat = 1

// UnknownDomainError reports a failure domain that does not exist.
type UnknownDomainError struct {
	// FailureDomain is the requested failure domain.
	FailureDomain string
}

// Error implements error.
func (e *UnknownDomainError) Error() string {
	return fmt.Sprintf("evacuation: no failure domain %q", e.FailureDomain)
}

// evacuationMessage is the stored form of an evacuation. Its key has the failure domain.
type evacuationMessage struct {
	Format   int       `json:"format"`
	Operator string    `json:"operator"`
	Since    time.Time `json:"since"`
}

// key returns the store key of the evacuation of a failure domain.
func key(failureDomain string) string { return Prefix + failureDomain }

func encode(e Evacuation) ([]byte, error) {
	return json.Marshal(evacuationMessage{Format: evacuationFormat, Operator: e.Operator, Since: e.Since})
}

// decodeBody returns the evacuation that a document records. If it returns a
// *keeper.FormatError, only the failure domain is set.
func decodeBody(document keeper.Document) (Evacuation, error) {
	e := Evacuation{FailureDomain: strings.TrimPrefix(document.Key, Prefix)}
	var m evacuationMessage
	if err := json.Unmarshal(document.Body, &m); err != nil {
		return e, &keeper.FormatError{Key: document.Key, Err: err}
	}
	if m.Format != evacuationFormat {
		return e, &keeper.FormatError{Key: document.Key, Err: fmt.Errorf("evacuation format %d is not %d", m.Format, evacuationFormat)}
	}
	e.Operator, e.Since = m.Operator, m.Since
	return e, nil
}

// decodeAll returns the evacuations of stored entries. A record that this version cannot
// read is in force too; only its failure domain is known.
func decodeAll(entries []keeper.Entry) []Evacuation {
	var evacuations []Evacuation
	for _, entry := range entries {
		document, err := keeper.DecodeDocument(entry)
		if err == nil && document.Body == nil {
			continue
		}
		e := Evacuation{FailureDomain: strings.TrimPrefix(entry.Key, Prefix)}
		if err == nil {
			e, err = decodeBody(document)
		}
		if err != nil {
			klog.ErrorS(err, "Failed to decode an evacuation", "key", entry.Key)
		}
		evacuations = append(evacuations, e)
	}
	return evacuations
}

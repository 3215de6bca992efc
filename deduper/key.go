package deduper

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

// uuidVersion is the version of UUID that carries the time it was minted.
const uuidVersion = 7

// domainMark separates the UUID from the failure domain that the caller chose.
const domainMark = "@"

// KeyError reports an idempotency key that is not a UUID of version 7.
type KeyError struct {
	// Key is the key.
	Key string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("deduper: idempotency key %q is not a UUID of version 7", e.Key)
}

// Minted returns when a key was minted by the clock of its caller, in
// milliseconds. It returns a *KeyError for anything but a UUID of version 7,
// which "@" and a failure domain may follow.
func Minted(key string) (time.Time, error) {
	text, _, _ := strings.Cut(key, domainMark)
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidVersion || id.String() != text {
		return time.Time{}, &KeyError{Key: key}
	}
	var milliseconds int64
	for _, b := range id[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds), nil
}

package deduper

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

// uuidVersion is the UUID version whose first 48 bits are the time of creation.
const uuidVersion = 7

// domainSeparator separates the UUID from the optional failure domain that the
// caller chose as the home of the key.
const domainSeparator = "@"

// KeyError reports an idempotency key that is not a UUID of version 7.
type KeyError struct {
	// Key is the malformed key.
	Key string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("deduper: idempotency key %q is not a UUID of version 7", e.Key)
}

// Minted returns the time at which the caller created the key, by the caller's
// clock and with a resolution of one millisecond. The key is a UUID of version 7
// in canonical form, optionally followed by "@" and a failure domain. Minted
// returns a *KeyError for any other key.
func Minted(key string) (time.Time, error) {
	text, _, _ := strings.Cut(key, domainSeparator)
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

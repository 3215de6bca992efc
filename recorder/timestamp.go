package recorder

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Timestamp is a hybrid logical time: a wall time, and a counter that orders events with
// the same wall time.
type Timestamp struct {
	// Wall is the wall time in nanoseconds since the Unix epoch.
	Wall int64
	// Counter orders timestamps of equal wall time.
	Counter uint32
}

// Before reports whether t is ordered before u.
func (t Timestamp) Before(u Timestamp) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Counter < u.Counter
}

// Next returns the timestamp that follows t when the wall time is now.
func (t Timestamp) Next(now time.Time) Timestamp {
	wall := now.UnixNano()
	if wall > t.Wall {
		return Timestamp{Wall: wall}
	}
	return Timestamp{Wall: t.Wall, Counter: t.Counter + 1}
}

// String returns the wall time in nanoseconds and the counter, joined by a dot.
func (t Timestamp) String() string {
	return strconv.FormatInt(t.Wall, 10) + "." + strconv.FormatUint(uint64(t.Counter), 10)
}

// TimestampError reports a text that is not a timestamp.
type TimestampError struct {
	// Text is the text.
	Text string
}

// Error implements error.
func (e *TimestampError) Error() string { return fmt.Sprintf("timestamp: %q is malformed", e.Text) }

// ParseTimestamp parses the form that String returns. It returns a *TimestampError if
// the text is malformed.
func ParseTimestamp(text string) (Timestamp, error) {
	wallText, counterText, _ := strings.Cut(text, ".")
	wall, wallErr := strconv.ParseInt(wallText, 10, 64)
	counter, counterErr := strconv.ParseUint(counterText, 10, 32)
	if wallErr != nil || counterErr != nil {
		return Timestamp{}, &TimestampError{Text: text}
	}
	return Timestamp{Wall: wall, Counter: uint32(counter)}, nil
}

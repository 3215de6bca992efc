package recorder

import "time"

// Timestamp is a hybrid logical time: wall time, and a counter that orders
// events of the same wall time.
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

// Next returns the timestamp that follows t at the wall time now.
func (t Timestamp) Next(now time.Time) Timestamp {
	wall := now.UnixNano()
	if wall > t.Wall {
		return Timestamp{Wall: wall}
	}
	return Timestamp{Wall: t.Wall, Counter: t.Counter + 1}
}

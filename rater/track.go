package rater

import "time"

const (
	// minWindow is the least time over which progress is measured.
	minWindow = 500 * time.Millisecond
	// minPoints is the progress, in percent, that is expected in a window. Progress comes in
	// whole percents, so that less would make equal runs appear unequal.
	minPoints = 6
	// jitter is added to the time of a run from start to end. It covers the time that an order
	// and the report of an end take, which would otherwise dominate the pace of very short runs.
	jitter = 50 * time.Millisecond
	// fullPercent is the progress of a run that has done all of its work.
	fullPercent = 100
)

// Track is the start of the current window in which the progress of a run is measured, on the
// worker's clock. The zero value has none.
type Track struct {
	open    bool
	percent int
	clock   time.Duration
	// whole is true if the window begins with the run.
	whole bool
}

// NewTrack returns the track of a run that started from the beginning.
func NewTrack(clock time.Duration) Track { return Track{open: true, clock: clock, whole: true} }

// Open reports whether the track has a window.
func (t Track) Open() bool { return t.open }

// Advance applies a listed progress. estimate is the declared run time, usual the usual pace of
// the work or 0 if that isn't known. It returns the pace of the window and its length once the window
// suffices for a measurement, and then begins a new window; otherwise the pace is 0.
func (t Track) Advance(clock time.Duration, percent int, estimate time.Duration, usual float64) (next Track, pace float64, window time.Duration) {
	next = Track{open: true, percent: percent, clock: clock}
	window = clock - t.clock
	switch {
	case !t.open || percent < t.percent:
		return next, 0, 0
	case window < minWindow:
		return t, 0, 0
	}
	points := float64(percent - t.percent)
	if points == 0 {
		return t, 0, 0 // the run may be held up by something else, or its progress isn't known
	}
	expected := usual * window.Seconds() / estimate.Seconds() * fullPercent
	if max(points, expected) < minPoints {
		return t, 0, 0
	}
	if points < minPoints {
		points += 0.5 // the listed percents are rounded down
	}
	return next, points / fullPercent * estimate.Seconds() / window.Seconds(), window
}

// End returns the pace of the window that ends with the run, and false if the window is too short to
// measure it.
func (t Track) End(clock, estimate time.Duration) (pace float64, window time.Duration, measured bool) {
	window = clock - t.clock
	points := fullPercent - t.percent
	if !t.open || window <= 0 || !t.whole && (points < minPoints || window < minWindow) {
		return 0, 0, false
	}
	window += jitter
	return float64(points) / fullPercent * estimate.Seconds() / window.Seconds(), window, true
}

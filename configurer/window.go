package configurer

import (
	"time"
	_ "time/tzdata" // Time zones on VMs without a time zone database.
)

const clockLayout = "15:04"

// Window is a daily span of time in a time zone. It may pass midnight. Its zero
// value is always.
type Window struct {
	// From is the wall clock time at which the window opens, such as "22:00".
	From string
	// To is the wall clock time at which the window closes.
	To string
	// Zone is the name of the time zone, such as "Indian/Mauritius".
	Zone string
}

// Always reports whether the window is never closed.
func (w Window) Always() bool { return w == Window{} }

// Length returns the nominal length of the window, zero for always. A change
// between summer and winter time makes one window an hour longer or shorter.
func (w Window) Length() time.Duration {
	if w.Always() {
		return 0
	}
	from, to := w.times()
	length := to.Sub(from)
	if length <= 0 {
		const day = 24 * time.Hour
		length += day
	}
	return length
}

// Next returns the window that is open at now, or else the next one. Both times
// are zero for always.
func (w Window) Next(now time.Time) (opens, closes time.Time) {
	if w.Always() {
		return time.Time{}, time.Time{}
	}
	zone, err := time.LoadLocation(w.Zone)
	if err != nil {
		zone = time.UTC
	}
	local := now.In(zone)
	for day := -1; ; day++ {
		opens, closes = w.on(local, day, zone)
		if now.Before(closes) {
			return opens, closes
		}
	}
}

// on returns the window that opens the given number of days after local.
func (w Window) on(local time.Time, days int, zone *time.Location) (opens, closes time.Time) {
	from, to := w.times()
	year, month, day := local.Date()
	closingDay := day + days
	if !from.Before(to) {
		closingDay++
	}
	opens = time.Date(year, month, day+days, from.Hour(), from.Minute(), 0, 0, zone)
	closes = time.Date(year, month, closingDay, to.Hour(), to.Minute(), 0, 0, zone)
	return opens, closes
}

func (w Window) times() (from, to time.Time) {
	from, _ = time.Parse(clockLayout, w.From)
	to, _ = time.Parse(clockLayout, w.To)
	return from, to
}

func isClock(text string) bool {
	_, err := time.Parse(clockLayout, text)
	return err == nil && len(text) == len(clockLayout)
}

func isZone(text string) bool {
	_, err := time.LoadLocation(text)
	return err == nil && text != "" && text != "Local"
}

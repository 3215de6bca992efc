package configurer

import (
	"time"
	_ "time/tzdata" // Embeds the time zone database for VMs that have none.
)

const timeOfDayLayout = "15:04"

// Window is a daily time window in a time zone. It may span midnight. Its zero value is
// always open.
type Window struct {
	// From is the local time at which the window opens, such as "22:00".
	From string
	// To is the local time at which the window closes, such as "05:00".
	To string
	// Zone is the name of the time zone, such as "Indian/Mauritius".
	Zone string
}

// Always reports whether the window is always open.
func (w Window) Always() bool { return w == Window{} }

// Length returns the nominal length of the window, or zero if it is always open. A
// window that spans a change to or from daylight saving time is an hour shorter or
// longer.
func (w Window) Length() time.Duration {
	if w.Always() {
		return 0
	}
	from, to := w.parseTimes()
	length := to.Sub(from)
	if length <= 0 {
		const day = 24 * time.Hour
		length += day
	}
	return length
}

// Next returns the opening and closing times of the window that is open at now or, if
// none is, of the next one. Both times are zero if the window is always open.
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
		opens, closes = w.occurrence(local, day, zone)
		if now.Before(closes) {
			return opens, closes
		}
	}
}

// occurrence returns the opening and closing times of the window that opens the given
// number of days after the day of local.
func (w Window) occurrence(local time.Time, days int, zone *time.Location) (opens, closes time.Time) {
	from, to := w.parseTimes()
	year, month, day := local.Date()
	closingDay := day + days
	if !from.Before(to) {
		closingDay++
	}
	opens = time.Date(year, month, day+days, from.Hour(), from.Minute(), 0, 0, zone)
	closes = time.Date(year, month, closingDay, to.Hour(), to.Minute(), 0, 0, zone)
	return opens, closes
}

func (w Window) parseTimes() (from, to time.Time) {
	from, _ = time.Parse(timeOfDayLayout, w.From)
	to, _ = time.Parse(timeOfDayLayout, w.To)
	return from, to
}

func isTimeOfDay(text string) bool {
	_, err := time.Parse(timeOfDayLayout, text)
	return err == nil && len(text) == len(timeOfDayLayout)
}

func isZone(text string) bool {
	_, err := time.LoadLocation(text)
	return err == nil && text != "" && text != "Local"
}

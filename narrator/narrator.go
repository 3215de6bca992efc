// Package narrator merges the log lines of several processes that contain an id.
package narrator

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// header matches the klog header of a log line (severity, month and day, time of day,
// process number, source) and the message after it. Other text may precede the header.
var header = regexp.MustCompile(`[IWEF](\d{4}) (\d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ [\w.]+:\d+\] (.*)$`)

// headerTime is the layout of the time in a header.
const headerTime = "0102 15:04:05.000000"

// Line is a log line that contains the id.
type Line struct {
	// Time is the month, day and time of day by the clock of the process. The year is
	// unset.
	Time time.Time
	// Source names the log that the line was read from.
	Source string
	// Text is the message with its fields.
	Text string
	// Unordered is set if the preceding line is from another process and so close in
	// time that the clocks don't determine which came first.
	Unordered bool
}

// Log is the log of a process.
type Log struct {
	// Source names the process.
	Source  string
	Content io.Reader
}

// Merge merges the lines of logs that contain an id, sorted by time. The clocks of
// different processes may differ by clockError.
func Merge(logs []Log, id string, clockError time.Duration) ([]Line, error) {
	var lines []Line
	for _, l := range logs {
		found, err := read(l, id)
		if err != nil {
			return nil, errs.New("log of %s: %w", l.Source, err)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for i := 1; i < len(lines); i++ {
		previous := lines[i-1]
		lines[i].Unordered = lines[i].Source != previous.Source && lines[i].Time.Sub(previous.Time) < clockError
	}
	return lines, nil
}

// read returns the lines of a log that contain an id and have a header.
func read(l Log, id string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(l.Content)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), id) {
			continue
		}
		parts := header.FindStringSubmatch(scanner.Text())
		if parts == nil {
			continue
		}
		at, err := time.Parse(headerTime, parts[1]+" "+parts[2])
		if err != nil {
			return nil, err
		}
		lines = append(lines, Line{Time: at, Source: l.Source, Text: parts[3]})
	}
	return lines, scanner.Err()
}

// String formats the line for display.
func (l Line) String() string {
	mark := " "
	if l.Unordered {
		mark = "~"
	}
	return fmt.Sprintf("%s %s %s  %s", l.Time.Format("15:04:05.000000"), mark, l.Source, l.Text)
}

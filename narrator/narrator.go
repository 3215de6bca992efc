// Package narrator tells the story of an id from the logs of several processes.
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

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// header is the start of a log line: severity, month and day, time of day, process
// number and source. Something else may stand before it.
var header = regexp.MustCompile(`[IWEF](\d{4}) (\d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ [\w.]+:\d+\] (.*)$`)

// headerTime is the layout of the time of a header.
const headerTime = "0102 15:04:05.000000"

// Line is a line of a log that names the id.
type Line struct {
	// Time is the time of day by the clock of the process; the year is unset.
	Time time.Time
	// Source names the log that the line is from.
	Source string
	// Text is the message with its fields.
	Text string
	// Unordered says that the line before is from another process and so close that
	// the clocks don't tell which came first.
	Unordered bool
}

// Log is the log of a process.
type Log struct {
	// Source names the process.
	Source  string
	Content io.Reader
}

// Tell returns the lines of logs that contain an id, by time. Clocks of different
// processes may differ by clockError.
func Tell(logs []Log, id string, clockError time.Duration) ([]Line, error) {
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
		before := lines[i-1]
		lines[i].Unordered = lines[i].Source != before.Source && lines[i].Time.Sub(before.Time) < clockError
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

// String returns the line as it is shown.
func (l Line) String() string {
	mark := " "
	if l.Unordered {
		mark = "~"
	}
	return fmt.Sprintf("%s %s %s  %s", l.Time.Format("15:04:05.000000"), mark, l.Source, l.Text)
}

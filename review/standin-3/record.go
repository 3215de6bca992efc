package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the account of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// printf writes a line with the time since the start, to the file and to the standard output.
func (r *record) printf(format string, values ...any) {
	r.at(time.Now(), format, values...)
}

// at writes a line about something that happened at a time.
func (r *record) at(when time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", when.Sub(r.began).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	fmt.Fprint(r.file, line)
	fmt.Print(line)
}

func (r *record) close() { _ = r.file.Close() }

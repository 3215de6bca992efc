package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"zinniashore.example/narrator"
	"zinniashore.example/operator"
)

// storyCommand merges the log lines of several processes that contain an id.
type storyCommand struct {
	ID         string        `arg:"positional,required" help:"id of a job, task or worker"`
	Logs       []string      `arg:"positional,required" help:"logs, one of each process"`
	ClockError time.Duration `arg:"--clock-error" default:"50ms" help:"how far the clocks of two VMs may differ; lines closer than that are marked ~"`
}

func (c *storyCommand) Run(_ context.Context, out io.Writer) (operator.ExitStatus, error) {
	var logs []narrator.Log
	for _, name := range c.Logs {
		file, err := os.Open(name)
		if err != nil {
			return operator.ExitUsage, err
		}
		defer file.Close()
		logs = append(logs, narrator.Log{Source: filepath.Base(name), Content: file})
	}
	lines, err := narrator.Merge(logs, c.ID, c.ClockError)
	if err != nil {
		return operator.ExitFailed, err
	}
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l); err != nil {
			return operator.ExitFailed, err
		}
	}
	if len(lines) == 0 {
		return operator.ExitFailed, fmt.Errorf("no line in %d logs contains %s", len(logs), c.ID)
	}
	return operator.ExitDone, nil
}

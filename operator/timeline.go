package operator

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"zinniashore.example/administrator"
	"zinniashore.example/recorder"
)

// TimelineCommand shows the events of all processes in causal order.
type TimelineCommand struct {
	Connection

	Kind         string    `arg:"--kind" help:"only events of this kind"`
	Organisation string    `arg:"--organisation" help:"only events of this organisation"`
	Task         string    `arg:"--task" help:"only events of this task"`
	Key          string    `arg:"--key" help:"only events of this idempotency key"`
	Since        time.Time `arg:"--since" help:"only events from this time on, such as 2026-12-04T08:00:00Z"`
	Until        time.Time `arg:"--until" help:"only events before this time"`
	Limit        int       `arg:"--limit" default:"1000" help:"only so many of the newest events"`
}

// Run prints the time line. With --json it prints the format that history checks
// and trace replay read.
func (c *TimelineCommand) Run(ctx context.Context, out io.Writer) (ExitStatus, error) {
	filter := recorder.Filter{
		Kind: recorder.Kind(c.Kind), Organisation: c.Organisation, Task: c.Task, Key: c.Key,
		Since: c.Since, Until: c.Until, Limit: c.Limit,
	}
	line, err := call(ctx, &c.Connection, func(client *administrator.Client) (recorder.TimeLine, error) {
		return client.TimeLine(ctx, filter)
	})
	if err != nil {
		return exitStatus(err)
	}
	if !c.JSON {
		printTimeLine(out, line)
		return ExitDone, nil
	}
	text, err := recorder.EncodeTimeLine(line)
	if err != nil {
		return ExitFailed, err
	}
	_, err = fmt.Fprintln(out, string(text))
	return exitStatus(err)
}

func printTimeLine(out io.Writer, line recorder.TimeLine) {
	for _, e := range line.Events {
		at := time.Unix(0, e.Time.Wall).UTC().Format("2006-01-02T15:04:05.000000Z")
		fmt.Fprintf(out, "%s+%d %s/%s %s%s\n", at, e.Time.Counter, e.FailureDomain, e.Process, e.Kind, details(e))
	}
	if len(line.Unreached) > 0 {
		fmt.Fprintf(out, "not reached: %s\n", strings.Join(line.Unreached, ", "))
	}
}

// details formats the fields of an event that are set.
func details(e recorder.Event) string {
	var text strings.Builder
	add := func(name, value string) {
		if value != "" && value != "0" {
			fmt.Fprintf(&text, " %s=%s", name, value)
		}
	}
	add("organisation", e.Organisation)
	add("revision", strconv.FormatInt(e.Revision, 10))
	add("cell", e.Cell)
	add("epoch", strconv.FormatInt(e.Epoch, 10))
	add("vm", e.VM)
	add("task", e.Task)
	add("attempt", strconv.Itoa(e.Attempt))
	add("key", e.Key)
	if e.Detail != "" {
		fmt.Fprintf(&text, " %q", e.Detail)
	}
	return text.String()
}

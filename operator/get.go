package operator

import (
	"context"
	"fmt"
	"io"

	"zinniashore.example/administrator"
)

// GetCommand shows the configuration in force, a change, or batch jobs.
type GetCommand struct {
	Connection

	Organisation string `arg:"--organisation" help:"only this organisation"`
	Change       string `arg:"--change" help:"what became of the change with this id" placeholder:"ID"`
	Jobs         bool   `arg:"--jobs" help:"the batch jobs"`
}

// Run prints the configuration, the change or the jobs that the flags select.
func (c *GetCommand) Run(ctx context.Context, out io.Writer) (ExitStatus, error) {
	switch {
	case c.Change != "" && c.Jobs:
		return exitStatus(&UsageError{Problem: "--change and --jobs exclude each other"})
	case c.Change != "":
		return c.change(ctx, out)
	case c.Jobs:
		return c.jobs(ctx, out)
	}
	m, err := call(ctx, &c.Connection, func(client *administrator.Client) (administrator.ConfigurationMessage, error) {
		return client.Configuration(ctx, c.Organisation)
	})
	if err != nil {
		return exitStatus(err)
	}
	return printMessage(out, c.JSON, m, printConfiguration)
}

func (c *GetCommand) change(ctx context.Context, out io.Writer) (ExitStatus, error) {
	m, err := call(ctx, &c.Connection, func(client *administrator.Client) (administrator.ResultMessage, error) {
		return client.Outcome(ctx, c.Change)
	})
	if err != nil {
		return exitStatus(err)
	}
	return printChange(out, c.JSON, m)
}

func (c *GetCommand) jobs(ctx context.Context, out io.Writer) (ExitStatus, error) {
	m, err := call(ctx, &c.Connection, func(client *administrator.Client) (administrator.JobsMessage, error) {
		return client.Jobs(ctx, c.Organisation)
	})
	if err != nil {
		return exitStatus(err)
	}
	return printMessage(out, c.JSON, m, func(out io.Writer, m administrator.JobsMessage) {
		for _, job := range m.Jobs {
			printJob(out, job)
		}
	})
}

func printConfiguration(out io.Writer, m administrator.ConfigurationMessage) {
	fmt.Fprintf(out, "// revision %d\n", m.Revision)
	for _, f := range m.Templates {
		fmt.Fprintf(out, "\n// template %s, revision %d\n%s", f.Name, f.Revision, f.Content)
	}
	for _, f := range m.Organisations {
		fmt.Fprintf(out, "\n// organisation %s, revision %d\n%s", f.Name, f.Revision, f.Content)
	}
}

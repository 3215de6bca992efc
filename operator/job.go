package operator

import (
	"context"
	"fmt"
	"io"

	"zinniashore.example/administrator"
)

// SubmitCommand submits a batch job. The submission is idempotent by organisation and
// name.
type SubmitCommand struct {
	Connection

	Organisation string `arg:"--organisation,required" help:"the organisation that owns the job"`
	Workload     string `arg:"--workload,required" help:"the kind of batch job, as the organisation's parameter values name it"`
	Tasks        int    `arg:"--tasks" default:"1" help:"number of equal tasks"`
	Name         string `arg:"positional,required" help:"name of the job"`
}

// Run submits the job and prints it.
func (c *SubmitCommand) Run(ctx context.Context, out io.Writer) (ExitStatus, error) {
	job := administrator.SubmitMessage{Organisation: c.Organisation, Name: c.Name, Workload: c.Workload, Tasks: c.Tasks}
	m, err := call(ctx, &c.Connection, func(client *administrator.Client) (administrator.JobMessage, error) {
		return client.Submit(ctx, job)
	})
	if err != nil {
		return exitStatus(err)
	}
	return printMessage(out, c.JSON, m, printJob)
}

// CancelCommand cancels a batch job.
type CancelCommand struct {
	Connection

	Organisation string `arg:"--organisation,required" help:"the organisation that owns the job"`
	Name         string `arg:"positional,required" help:"name of the job"`
}

// Run cancels the job and prints it.
func (c *CancelCommand) Run(ctx context.Context, out io.Writer) (ExitStatus, error) {
	m, err := call(ctx, &c.Connection, func(client *administrator.Client) (administrator.JobMessage, error) {
		return client.Cancel(ctx, c.Organisation, c.Name)
	})
	if err != nil {
		return exitStatus(err)
	}
	return printMessage(out, c.JSON, m, printJob)
}

func printJob(out io.Writer, j administrator.JobMessage) {
	fmt.Fprintf(out, "job %s/%s: %s, %d of %d tasks done, %d failed, cell %s", j.Organisation, j.Name, j.State, j.DoneTasks, j.Tasks, j.FailedTasks, j.Cell)
	if j.Cancelled {
		fmt.Fprint(out, ", cancelled")
	}
	if j.Reason != "" {
		fmt.Fprintf(out, ", %s", j.Reason)
	}
	fmt.Fprintln(out)
}

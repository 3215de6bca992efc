package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"zinniashore.example/administrator"
	"zinniashore.example/configurer"
	"zinniashore.example/examples"
	"zinniashore.example/generator"
	"zinniashore.example/operator"
	"zinniashore.example/submitter"
)

const (
	trialOrganisation = "stockwerk"
	trialService      = "cane-shop"
	trialJob          = "friday"
	trialTasks        = 20
	trialRate         = 200.0
	trialOrders       = 0.25
	trialDeadline     = 2 * time.Second
	trialAttempts     = 4
	trialOutstanding  = 400
	trialStepLimit    = 20 * time.Second
	trialPoll         = 50 * time.Millisecond
)

// trialCommand runs a complete trial on embedded stand-ins: configuration, requests and
// a batch job.
type trialCommand struct {
	Duration time.Duration `arg:"--duration" default:"5s" help:"how long requests are sent"`
	JSON     bool          `arg:"--json" help:"print the summary as JSON"`
}

// trialMessage is the summary of a trial.
type trialMessage struct {
	Passed          bool        `json:"passed"`
	Problems        []string    `json:"problems"`
	Configuration   string      `json:"configuration"`
	AcceptedIn      string      `json:"accepted_in"`
	Endpoints       int         `json:"endpoints"`
	Load            loadMessage `json:"load"`
	OrdersRun       int         `json:"orders_run"`
	MaxInFlight     int         `json:"most_in_flight"`
	Job             string      `json:"job"`
	JobTasks        int         `json:"job_tasks"`
	JobRuns         int         `json:"job_runs"`
	GracefulStop    string      `json:"graceful_stop"`
	TimelineEvents  int         `json:"timeline_events"`
	TimelineMissing []string    `json:"timeline_missing"`
}

func (c *trialCommand) Run(ctx context.Context, out io.Writer) (operator.ExitStatus, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bed, err := startTestbed(ctx)
	if err != nil {
		return operator.ExitFailed, err
	}
	defer bed.stop()
	summary, err := c.perform(ctx, bed)
	if err != nil {
		return operator.ExitFailed, err
	}
	if err := c.print(out, summary); err != nil {
		return operator.ExitFailed, err
	}
	if !summary.Passed {
		return operator.ExitFailed, nil
	}
	return operator.ExitDone, nil
}

func (c *trialCommand) perform(ctx context.Context, bed *testbed) (trialMessage, error) {
	summary := trialMessage{Problems: []string{}}
	if err := bed.awaitReady(ctx); err != nil {
		return summary, err
	}
	if err := applyExamples(ctx, bed, &summary); err != nil {
		return summary, err
	}
	if err := bed.awaitEndpoints(ctx); err != nil {
		return summary, err
	}
	report, err := c.putLoad(ctx, bed, &summary)
	if err != nil {
		return summary, err
	}
	summary.Load = newLoadMessage(report)
	job, err := bed.awaitJob(ctx)
	if err != nil {
		return summary, err
	}
	summary.Job = job.State
	if err := bed.verify(ctx, report, &summary); err != nil {
		return summary, err
	}
	summary.Load.Orders = nil
	summary.Passed = len(summary.Problems) == 0
	return summary, nil
}

func applyExamples(ctx context.Context, bed *testbed, summary *trialMessage) error {
	change := administrator.ChangeMessage{ID: "trial"}
	for _, name := range examples.Templates() {
		content, err := examples.Files.ReadFile(name)
		if err != nil {
			return err
		}
		change.Files = append(change.Files, administrator.FileMessage{Name: name, Content: string(content)})
	}
	begun := time.Now()
	result, err := bed.client(0).Change(ctx, change)
	if err != nil {
		return err
	}
	summary.Configuration = string(result.State)
	summary.AcceptedIn = time.Since(begun).Round(time.Millisecond).String()
	if result.State != configurer.StateAccepted {
		summary.Problems = append(summary.Problems, fmt.Sprintf("configuration is %s: %+v", result.State, result.Faults))
	}
	return nil
}

// putLoad sends requests and orders while a job runs, and stops the last entry VM
// gracefully halfway through.
func (c *trialCommand) putLoad(ctx context.Context, bed *testbed, summary *trialMessage) (generator.Report, error) {
	_, err := bed.client(0).Submit(ctx, administrator.SubmitMessage{
		Organisation: trialOrganisation,
		Name:         trialJob,
		Workload:     "engraving",
		Tasks:        trialTasks,
	})
	if err != nil {
		return generator.Report{}, err
	}
	load := &generator.Generator{
		Clock:        clockwork.NewRealClock(),
		Targets:      bed.targets(),
		Organisation: trialOrganisation,
		Service:      trialService,
		Token:        callerToken,
		Rate:         trialRate,
		Duration:     c.Duration,
		Orders:       trialOrders,
		Deadline:     trialDeadline,
		Attempts:     trialAttempts,
		Outstanding:  trialOutstanding,
	}
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(c.Duration / 2)
		begun := time.Now()
		err := bed.stopServer(len(bed.servers) - 1)
		summary.GracefulStop = time.Since(begun).Round(time.Millisecond).String()
		return err
	})
	report, err := load.Run(ctx)
	if err != nil {
		return report, err
	}
	return report, group.Wait()
}

func (b *testbed) awaitJob(ctx context.Context) (administrator.JobMessage, error) {
	var job administrator.JobMessage
	err := await(ctx, "the job to end", func() bool {
		var err error
		job, err = b.client(0).Job(ctx, trialOrganisation, trialJob)
		return err == nil && submitter.JobState(job.State).Ended()
	})
	return job, err
}

func (c *trialCommand) print(out io.Writer, summary trialMessage) error {
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(summary)
	}
	verdict := "passed"
	if !summary.Passed {
		verdict = "FAILED"
	}
	_, err := fmt.Fprintf(out, `trial %s
configuration %s in %s, %d endpoints
requests %d: ok %d not_run %d unknown %d endpoint_error %d lost %d, p50 %s p99 %s
orders run %d, most in flight at an endpoint %d
job %s, %d tasks in %d runs; graceful stop of one entry VM in %s
time line: %d events
`, verdict, summary.Configuration, summary.AcceptedIn, summary.Endpoints,
		summary.Load.Requests, summary.Load.OK, summary.Load.NotRun, summary.Load.Unknown,
		summary.Load.EndpointError, summary.Load.Lost, summary.Load.P50, summary.Load.P99,
		summary.OrdersRun, summary.MaxInFlight,
		summary.Job, summary.JobTasks, summary.JobRuns, summary.GracefulStop, summary.TimelineEvents)
	for _, problem := range summary.Problems {
		fmt.Fprintln(out, "problem:", problem)
	}
	return err
}

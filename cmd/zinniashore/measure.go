package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"zinniashore.example/bencher"
	"zinniashore.example/operator"
	"zinniashore.example/replayer"
	"zinniashore.example/surveyor"
)

// measureCommand runs one of the measurements.
type measureCommand struct {
	Placement     *placementCommand     `arg:"subcommand:placement" help:"replay the committed traces through the decision code and its baselines"`
	Requests      *requestsCommand      `arg:"subcommand:requests" help:"load endpoints of this machine directly, through the router and through baselines"`
	Configuration *configurationCommand `arg:"subcommand:configuration" help:"time changes by racing operators on a disturbed store"`
}

type placementCommand struct {
	Seed uint64 `arg:"--seed" default:"1" help:"seed of the decisions"`
}

// Run runs the chosen measurement.
func (c *measureCommand) Run(ctx context.Context, out io.Writer) (operator.ExitStatus, error) {
	switch {
	case c.Placement != nil:
		return c.Placement.run(ctx, out)
	case c.Requests != nil:
		return c.Requests.run(ctx, out)
	case c.Configuration != nil:
		return c.Configuration.run(ctx, out)
	}
	return operator.ExitUsage, &operator.UsageError{Problem: "missing measurement: want placement, requests or configuration"}
}

func (c *placementCommand) run(ctx context.Context, out io.Writer) (operator.ExitStatus, error) {
	report, err := replayer.Compare(ctx, replayer.Options{Seed: c.Seed})
	if err != nil {
		return operator.ExitFailed, err
	}
	_, err = fmt.Fprintln(out, report)
	return operator.ExitDone, err
}

type requestsCommand struct {
	Duration time.Duration `arg:"--duration" default:"5s" help:"how long each load lasts"`
}

func (c *requestsCommand) run(ctx context.Context, out io.Writer) (operator.ExitStatus, error) {
	report, err := bencher.Requests(ctx, bencher.Options{Duration: c.Duration})
	if err != nil {
		return operator.ExitFailed, err
	}
	fmt.Fprintln(out, report.Conditions)
	for _, row := range report.Rows {
		fmt.Fprintln(out, row)
	}
	return operator.ExitDone, nil
}

type configurationCommand struct {
	Changes int `arg:"--changes" default:"200" help:"number of changes"`
}

func (c *configurationCommand) run(ctx context.Context, out io.Writer) (operator.ExitStatus, error) {
	options := surveyor.DefaultOptions
	options.Changes = c.Changes
	report, err := surveyor.Configuration(ctx, options)
	if err != nil {
		return operator.ExitFailed, err
	}
	_, err = fmt.Fprintln(out, report)
	return operator.ExitDone, err
}

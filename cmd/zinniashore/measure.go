package main

import (
	"context"
	"fmt"
	"io"

	"zinniashore.example/operator"
	"zinniashore.example/replayer"
)

// measureCommand measures the policy.
type measureCommand struct {
	Placement *placementCommand `arg:"subcommand:placement" help:"replay the committed traces through the decision code and its baselines"`
}

type placementCommand struct {
	Seed uint64 `arg:"--seed" default:"1" help:"seed of the decisions"`
}

// Run measures what is asked for.
func (c *measureCommand) Run(ctx context.Context, out io.Writer) (operator.ExitStatus, error) {
	if c.Placement != nil {
		return c.Placement.run(ctx, out)
	}
	return operator.ExitUsage, &operator.UsageError{Problem: "name a measurement: placement"}
}

func (c *placementCommand) run(ctx context.Context, out io.Writer) (operator.ExitStatus, error) {
	report, err := replayer.Compare(ctx, replayer.Options{Seed: c.Seed})
	if err != nil {
		return operator.ExitFailed, err
	}
	_, err = fmt.Fprintln(out, report)
	return operator.ExitDone, err
}

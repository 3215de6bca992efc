package operator

import (
	"context"
	"fmt"
	"io"
	"time"

	"zinniashore.example/administrator"
)

// EvacuateCommand requests that no task start in a failure domain, or ends this request.
type EvacuateCommand struct {
	Connection

	FailureDomain string `arg:"--failure-domain,required" help:"the failure domain"`
	End           bool   `arg:"--end" help:"take the failure domain back: let tasks start there again"`
}

// Run begins or ends the evacuation.
func (c *EvacuateCommand) Run(ctx context.Context, out io.Writer) (ExitStatus, error) {
	m, err := call(ctx, &c.Connection, func(client *administrator.Client) (administrator.EvacuationMessage, error) {
		if c.End {
			return client.TakeBack(ctx, c.FailureDomain)
		}
		return client.Evacuate(ctx, c.FailureDomain)
	})
	if err != nil {
		return exitStatus(err)
	}
	return printMessage(out, c.JSON, m, printEvacuation)
}

func printEvacuation(out io.Writer, m administrator.EvacuationMessage) {
	if !m.Evacuated {
		fmt.Fprintf(out, "failure domain %s is taken back: tasks may start there\n", m.FailureDomain)
		return
	}
	fmt.Fprintf(out, "failure domain %s is evacuated by %s since %s: no task starts there\n", m.FailureDomain, m.Operator, m.Since.Format(time.RFC3339))
}

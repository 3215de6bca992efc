package operator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"zinniashore.example/administrator"
)

// StatusCommand shows the state of the system.
type StatusCommand struct {
	Connection

	Organisation string `arg:"--organisation" help:"only this organisation"`
}

// Run prints the state.
func (c *StatusCommand) Run(ctx context.Context, out io.Writer) (ExitStatus, error) {
	m, err := call(ctx, &c.Connection, func(client *administrator.Client) (administrator.StatusMessage, error) {
		return client.Status(ctx, c.Organisation)
	})
	if err != nil {
		return exitStatus(err)
	}
	return printMessage(out, c.JSON, m, printStatus)
}

// ReleaseCommand declares that an entry VM is gone for good, so that the acceptance of
// changes no longer waits for it.
type ReleaseCommand struct {
	Connection

	VM string `arg:"positional,required" help:"the entry VM that is gone for good"`
}

// Run releases the VM.
func (c *ReleaseCommand) Run(ctx context.Context, out io.Writer) (ExitStatus, error) {
	m, err := call(ctx, &c.Connection, func(client *administrator.Client) (administrator.ReleaseMessage, error) {
		return client.Release(ctx, c.VM)
	})
	if err != nil {
		return exitStatus(err)
	}
	return printMessage(out, c.JSON, m, func(out io.Writer, m administrator.ReleaseMessage) {
		fmt.Fprintf(out, "VM %s is released\n", m.VM)
	})
}

func printStatus(out io.Writer, m administrator.StatusMessage) {
	for _, r := range m.Revisions {
		fmt.Fprintf(out, "failure domain %s: revision %d in force on %d VMs", r.FailureDomain, r.MinRevision, r.VMs)
		if len(r.Behind) > 0 {
			fmt.Fprintf(out, ", behind: %s", strings.Join(r.Behind, ", "))
		}
		fmt.Fprintln(out)
	}
	if m.StoreError != "" {
		fmt.Fprintf(out, "revisions or evacuations unknown: %s\n", m.StoreError)
	}
	for _, c := range m.CutOff {
		fmt.Fprintf(out, "failure domain %s is cut off from %s since %s\n", c.FailureDomain, c.SeenBy, c.Since.Format(time.RFC3339))
	}
	for _, e := range m.Evacuations {
		fmt.Fprintf(out, "failure domain %s is evacuated by %s since %s\n", e.FailureDomain, e.Operator, e.Since.Format(time.RFC3339))
	}
	if len(m.Unreached) > 0 {
		fmt.Fprintf(out, "VMs not reached: %s\n", strings.Join(m.Unreached, ", "))
	}
	for _, q := range m.Quarantined {
		fmt.Fprintf(out, "worker %s in %s is quarantined since %s: %s\n", q.Worker, q.FailureDomain, q.Since.Format(time.RFC3339), q.Reason)
	}
	for _, l := range m.Leases {
		fmt.Fprintf(out, "lease of %s, held by %s, lapses in %s\n", l.Name, l.Holder, l.Remaining)
	}
	for _, q := range m.Quotas {
		fmt.Fprintf(out, "quota of %s: %s of %s processors, %d of %d bytes, %d of %d accelerators\n", q.Organisation,
			q.Used.Processors, q.Limit.Processors, q.Used.MemoryBytes, q.Limit.MemoryBytes, q.Used.Accelerators, q.Limit.Accelerators)
	}
	for _, t := range m.Waiting {
		fmt.Fprintf(out, "waiting %s/%s: %s, %s\n", t.Organisation, t.Task, t.Reason, t.Detail)
	}
	for _, t := range m.Running {
		fmt.Fprintf(out, "%s %s/%s on %s in %s, attempt %d\n", t.State, t.Organisation, t.Task, t.Worker, t.FailureDomain, t.Attempt)
	}
}

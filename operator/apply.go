package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"zinniashore.example/administrator"
	"zinniashore.example/configurer"
)

// ApplyCommand changes templates or the parameter values of organisations.
type ApplyCommand struct {
	Connection

	Files               []string      `arg:"positional" help:"files with one template or the parameter values of one organisation each" placeholder:"FILE"`
	Organisation        string        `arg:"--organisation" help:"the only organisation that the change may touch"`
	Set                 []string      `arg:"--set,separate" help:"set one parameter of the organisation, its value in JSON or a plain word" placeholder:"WORKLOAD.PARAMETER=VALUE"`
	RemoveTemplates     []string      `arg:"--remove-template,separate" help:"remove a template" placeholder:"NAME"`
	RemoveOrganisations []string      `arg:"--remove-organisation,separate" help:"remove an organisation" placeholder:"NAME"`
	Revision            *int64        `arg:"--revision" help:"the revision that you read; without it the newest is read first"`
	ID                  string        `arg:"--id" help:"id of the change, to repeat it; without it a new one is made"`
	DryRun              bool          `arg:"--dry-run" help:"print what would start, stop and move, and change nothing"`
	Wait                time.Duration `arg:"--wait" help:"how long to wait for a pending change beyond the first answer"`
}

// Run applies the change and prints its result.
func (c *ApplyCommand) Run(ctx context.Context, out io.Writer) (ExitStatus, error) {
	change, err := c.change()
	if err != nil {
		return exitStatus(err)
	}
	if c.Revision == nil {
		if change.ReadRevision, err = c.newestRevision(ctx); err != nil {
			return exitStatus(err)
		}
	}
	result, err := call(ctx, &c.Connection, func(client *administrator.Client) (administrator.ResultMessage, error) {
		return client.Change(ctx, change)
	})
	if err != nil {
		return exitStatus(fmt.Errorf("change %s: %w", change.ID, err))
	}
	result = awaitAccepted(ctx, &c.Connection, result, c.Wait)
	return printChange(out, c.JSON, result)
}

// change builds the change from the flags and files of the command.
func (c *ApplyCommand) change() (administrator.ChangeMessage, error) {
	change := administrator.ChangeMessage{
		ID: c.ID, Organisation: c.Organisation, DryRun: c.DryRun,
		RemovedTemplates: c.RemoveTemplates, RemovedOrganisations: c.RemoveOrganisations,
	}
	if c.Revision != nil {
		change.ReadRevision = *c.Revision
	}
	if len(c.Files)+len(c.Set)+len(c.RemoveTemplates)+len(c.RemoveOrganisations) == 0 {
		return change, &UsageError{Problem: "nothing to apply"}
	}
	for _, name := range c.Files {
		content, err := os.ReadFile(name)
		if err != nil {
			return change, &UsageError{Problem: err.Error()}
		}
		change.Files = append(change.Files, administrator.FileMessage{Name: name, Content: string(content)})
	}
	for _, text := range c.Set {
		assignment, err := parseAssignment(text)
		if err != nil {
			return change, err
		}
		change.Assignments = append(change.Assignments, assignment)
	}
	if change.ID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return change, err
		}
		change.ID = id.String()
	}
	return change, nil
}

// parseAssignment parses WORKLOAD.PARAMETER=VALUE. A value that is not valid JSON is
// taken as a string.
func parseAssignment(text string) (administrator.AssignmentMessage, error) {
	target, value, hasValue := strings.Cut(text, "=")
	workload, parameter, hasParameter := strings.Cut(target, ".")
	if !hasValue || !hasParameter {
		return administrator.AssignmentMessage{}, &UsageError{Problem: fmt.Sprintf("--set %q is not WORKLOAD.PARAMETER=VALUE", text)}
	}
	raw := json.RawMessage(value)
	if !json.Valid(raw) {
		quoted, err := json.Marshal(value)
		if err != nil {
			return administrator.AssignmentMessage{}, err
		}
		raw = quoted
	}
	return administrator.AssignmentMessage{Workload: workload, Parameter: parameter, Value: raw}, nil
}

func (c *ApplyCommand) newestRevision(ctx context.Context) (int64, error) {
	m, err := call(ctx, &c.Connection, func(client *administrator.Client) (administrator.ConfigurationMessage, error) {
		return client.Configuration(ctx, c.Organisation)
	})
	return m.Revision, err
}

// awaitAccepted polls a pending change until it is no longer pending or the wait ends.
// It returns the latest result.
func awaitAccepted(ctx context.Context, c *Connection, result administrator.ResultMessage, wait time.Duration) administrator.ResultMessage {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for result.State == configurer.StatePending && sleep(ctx) == nil {
		latest, err := call(ctx, c, func(client *administrator.Client) (administrator.ResultMessage, error) {
			return client.Outcome(ctx, result.ID)
		})
		if err == nil {
			result = latest
		}
	}
	return result
}

func printChange(out io.Writer, asJSON bool, result administrator.ResultMessage) (ExitStatus, error) {
	if status, err := printMessage(out, asJSON, result, printResult); err != nil {
		return status, err
	}
	status, known := changeExitStatuses[result.State]
	if !known {
		return ExitFailed, errors.New("unknown state of the change")
	}
	return status, nil
}

func printResult(out io.Writer, r administrator.ResultMessage) {
	fmt.Fprintf(out, "change %s: %s, revision %d\n", r.ID, r.State, r.Revision)
	for _, f := range r.Faults {
		printFault(out, f)
	}
	for _, s := range r.Steps {
		name := s.Organisation
		if s.Workload != "" {
			name += "/" + s.Workload
		}
		count := ""
		if s.Instances > 0 {
			count = fmt.Sprintf(" %d instances", s.Instances)
		}
		fmt.Fprintf(out, "  %s %s%s: %s\n", s.Kind, name, count, s.Detail)
	}
	if len(r.Pending) > 0 {
		fmt.Fprintf(out, "  not confirmed by %s\n", strings.Join(r.Pending, ", "))
		fmt.Fprintf(out, "  ask again: zinniashore get --change %s\n", r.ID)
	}
}

func printFault(out io.Writer, f administrator.FaultMessage) {
	fmt.Fprint(out, "  ")
	if f.File != "" {
		fmt.Fprintf(out, "%s:%d:%d: ", f.File, f.Line, f.Column)
	}
	for _, name := range []string{f.Organisation, f.Workload, f.Parameter} {
		if name != "" {
			fmt.Fprintf(out, "%s: ", name)
		}
	}
	if f.Value != "" {
		fmt.Fprintf(out, "%s ", f.Value)
	}
	fmt.Fprint(out, f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(out, "; allowed: %s", f.Allowed)
	}
	fmt.Fprintln(out)
}

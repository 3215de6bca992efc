package administrator

import (
	"encoding/json"
	"time"

	"zinniashore.example/configurer"
	"zinniashore.example/submitter"
)

// Code is the reason that a call failed.
type Code string

// Codes of failed calls.
const (
	// CodeToken means that the token is missing or unknown.
	CodeToken Code = "token"
	// CodeForbidden means that the token does not allow the call.
	CodeForbidden Code = "forbidden"
	// CodeRate means that the call exceeds the rate limit.
	CodeRate Code = "rate"
	// CodeBody means that the body or query is malformed or too large.
	CodeBody Code = "body"
	// CodeRejected means that the job is invalid.
	CodeRejected Code = "rejected"
	// CodeConflict means that a job of that name exists with other content, or that the
	// VM to release is alive.
	CodeConflict Code = "conflict"
	// CodeNotFound means that the requested change, job or VM does not exist.
	CodeNotFound Code = "not_found"
	// CodeUnavailable means that the store is unavailable and the call had no effect.
	CodeUnavailable Code = "unavailable"
	// CodeUnclear means that an answer is missing, for example that of the store. The
	// call may have taken effect and must be repeated identically.
	CodeUnclear Code = "unclear"
)

// ErrorMessage is the body of a failed call.
type ErrorMessage struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// NotDone is whether the call certainly had no effect.
	NotDone bool `json:"not_done"`
}

// FileMessage is a file that holds a template or the parameter values of an
// organisation.
type FileMessage struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision,omitempty"`
	Content  string `json:"content"`
}

// AssignmentMessage sets one parameter of a workload.
type AssignmentMessage struct {
	Workload  string          `json:"workload"`
	Parameter string          `json:"parameter"`
	Value     json.RawMessage `json:"value"`
}

// ChangeMessage requests a change of the configuration.
type ChangeMessage struct {
	ID                   string              `json:"id"`
	Organisation         string              `json:"organisation,omitempty"`
	ReadRevision         int64               `json:"read_revision"`
	DryRun               bool                `json:"dry_run,omitempty"`
	Files                []FileMessage       `json:"files,omitempty"`
	Assignments          []AssignmentMessage `json:"assignments,omitempty"`
	RemovedTemplates     []string            `json:"removed_templates,omitempty"`
	RemovedOrganisations []string            `json:"removed_organisations,omitempty"`
}

// FaultMessage describes one fault for which a change was rejected.
type FaultMessage struct {
	Organisation string `json:"organisation,omitempty"`
	Workload     string `json:"workload,omitempty"`
	Parameter    string `json:"parameter,omitempty"`
	Value        string `json:"value,omitempty"`
	Problem      string `json:"problem"`
	Allowed      string `json:"allowed,omitempty"`
	File         string `json:"file,omitempty"`
	Line         int    `json:"line,omitempty"`
	Column       int    `json:"column,omitempty"`
	Field        string `json:"field,omitempty"`
}

// StepMessage is one effect that a change would have.
type StepMessage struct {
	Kind         string `json:"kind"`
	Organisation string `json:"organisation"`
	Workload     string `json:"workload,omitempty"`
	Instances    int    `json:"instances,omitempty"`
	Detail       string `json:"detail"`
}

// ResultMessage is the result of a change.
type ResultMessage struct {
	ID       string           `json:"id"`
	State    configurer.State `json:"state"`
	Revision int64            `json:"revision"`
	Faults   []FaultMessage   `json:"faults,omitempty"`
	Pending  []string         `json:"pending,omitempty"`
	DryRun   bool             `json:"dry_run,omitempty"`
	Steps    []StepMessage    `json:"steps,omitempty"`
}

// ConfigurationMessage is the configuration in force in the process that answers.
type ConfigurationMessage struct {
	Revision      int64         `json:"revision"`
	Templates     []FileMessage `json:"templates"`
	Organisations []FileMessage `json:"organisations"`
}

// SubmitMessage requests the submission of a batch job.
type SubmitMessage struct {
	Organisation string `json:"organisation"`
	Name         string `json:"name"`
	Workload     string `json:"workload"`
	Tasks        int    `json:"tasks"`
}

// JobMessage is the record of a batch job.
type JobMessage struct {
	Organisation string    `json:"organisation"`
	Name         string    `json:"name"`
	Cell         string    `json:"cell"`
	Template     string    `json:"template"`
	Tasks        int       `json:"tasks"`
	Priority     int       `json:"priority"`
	Urgent       bool      `json:"urgent"`
	NotBefore    time.Time `json:"not_before,omitzero"`
	Deadline     time.Time `json:"deadline,omitzero"`
	State        string    `json:"state"`
	Reason       string    `json:"reason,omitempty"`
	Cancelled    bool      `json:"cancelled"`
	Submitted    time.Time `json:"submitted"`
	Finished     time.Time `json:"finished,omitzero"`
	DoneTasks    int       `json:"done_tasks"`
	FailedTasks  int       `json:"failed_tasks"`
}

// JobsMessage is a list of batch jobs.
type JobsMessage struct {
	Jobs []JobMessage `json:"jobs"`
}

// ReleaseMessage confirms the release of an entry VM.
type ReleaseMessage struct {
	VM string `json:"vm"`
}

func (m ChangeMessage) change(p principal) configurer.Change {
	change := configurer.Change{
		ID:                   m.ID,
		Operator:             p.name(),
		Organisation:         m.Organisation,
		ReadRevision:         m.ReadRevision,
		FixedQuota:           !p.isOperator(),
		RemovedTemplates:     m.RemovedTemplates,
		RemovedOrganisations: m.RemovedOrganisations,
	}
	for _, f := range m.Files {
		change.Files = append(change.Files, configurer.File{Name: f.Name, Content: []byte(f.Content)})
	}
	for _, s := range m.Assignments {
		change.Assignments = append(change.Assignments, configurer.Assignment{Workload: s.Workload, Parameter: s.Parameter, Value: string(s.Value)})
	}
	return change
}

func resultMessage(id string, r configurer.Result) ResultMessage {
	m := ResultMessage{ID: id, State: r.State, Revision: r.Revision, Pending: r.Pending}
	for _, f := range r.Faults {
		m.Faults = append(m.Faults, FaultMessage{
			Organisation: f.Organisation, Workload: f.Workload, Parameter: f.Parameter,
			Value: f.Value, Problem: f.Problem, Allowed: f.Allowed,
			File: f.File, Line: f.Line, Column: f.Column, Field: f.Field,
		})
	}
	return m
}

func stepMessages(steps []configurer.Step) []StepMessage {
	var messages []StepMessage
	for _, s := range steps {
		messages = append(messages, StepMessage{
			Kind: string(s.Kind), Organisation: s.Organisation, Workload: s.Workload,
			Instances: s.Instances, Detail: s.Detail,
		})
	}
	return messages
}

func jobMessage(j submitter.Job) JobMessage {
	return JobMessage{
		Organisation: j.Organisation, Name: j.Name, Cell: j.Cell, Template: j.Template,
		Tasks: j.Tasks, Priority: j.Priority, Urgent: j.Urgent,
		NotBefore: j.NotBefore, Deadline: j.Deadline,
		State: string(j.State), Reason: j.Reason, Cancelled: j.Cancelled,
		Submitted: j.Submitted, Finished: j.Finished,
		DoneTasks: j.DoneTasks, FailedTasks: j.FailedTasks,
	}
}

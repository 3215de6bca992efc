package submitter

import (
	"encoding/json"
	"fmt"
	"time"

	"zinniashore.example/keeper"
	"zinniashore.example/placer"
)

const jobFormat = 1

type jobMessage struct {
	Format           int       `json:"format"`
	Organisation     string    `json:"organisation"`
	Name             string    `json:"name"`
	Cell             string    `json:"cell"`
	Template         string    `json:"template"`
	Tasks            int       `json:"tasks"`
	Processors       int64     `json:"processors_milli"`
	Memory           int64     `json:"memory_bytes"`
	Accelerators     int64     `json:"accelerators,omitempty"`
	Priority         int       `json:"priority"`
	Urgent           bool      `json:"urgent,omitempty"`
	FailureDomains   []string  `json:"failure_domains,omitempty"`
	NotBefore        time.Time `json:"not_before,omitzero"`
	Deadline         time.Time `json:"deadline,omitzero"`
	WorkMilliseconds int64     `json:"work_milliseconds"`
	State            string    `json:"state"`
	Reason           string    `json:"reason,omitempty"`
	Cancelled        bool      `json:"cancelled,omitempty"`
	Submitted        time.Time `json:"submitted"`
	Finished         time.Time `json:"finished,omitzero"`
	DoneTasks        int       `json:"done_tasks,omitempty"`
	FailedTasks      int       `json:"failed_tasks,omitempty"`
}

// DecodeJob reads a job from its entry in the store. It returns a
// *keeper.FormatError for a value that this version cannot read, and a
// *NotFoundError for an absent one.
func DecodeJob(entry keeper.Entry) (Job, error) {
	document, err := keeper.DecodeDocument(entry)
	if err != nil {
		return Job{}, err
	}
	return decodeBody(document)
}

func decodeBody(document keeper.Document) (Job, error) {
	if document.Body == nil {
		return Job{}, &NotFoundError{Name: document.Key}
	}
	var m jobMessage
	if err := json.Unmarshal(document.Body, &m); err != nil {
		return Job{}, &keeper.FormatError{Key: document.Key, Err: err}
	}
	if m.Format != jobFormat {
		return Job{}, &keeper.FormatError{Key: document.Key, Err: fmt.Errorf("job format %d is not %d", m.Format, jobFormat)}
	}
	return m.job(), nil
}

func encodeJob(j Job) ([]byte, error) {
	return json.Marshal(jobMessage{
		Format: jobFormat, Organisation: j.Organisation, Name: j.Name, Cell: j.Cell,
		Template: j.Template, Tasks: j.Tasks, Processors: j.Size.Processors,
		Memory: j.Size.Memory, Accelerators: j.Size.Accelerators, Priority: j.Priority,
		Urgent: j.Urgent, FailureDomains: j.FailureDomains, NotBefore: j.NotBefore,
		Deadline: j.Deadline, WorkMilliseconds: j.Work.Milliseconds(), State: string(j.State),
		Reason: j.Reason, Cancelled: j.Cancelled, Submitted: j.Submitted, Finished: j.Finished,
		DoneTasks: j.DoneTasks, FailedTasks: j.FailedTasks,
	})
}

func (m jobMessage) job() Job {
	return Job{
		Organisation: m.Organisation, Name: m.Name, Cell: m.Cell, Template: m.Template,
		Tasks:    m.Tasks,
		Size:     placer.Size{Processors: m.Processors, Memory: m.Memory, Accelerators: m.Accelerators},
		Priority: m.Priority, Urgent: m.Urgent, FailureDomains: m.FailureDomains,
		NotBefore: m.NotBefore, Deadline: m.Deadline,
		Work:  time.Duration(m.WorkMilliseconds) * time.Millisecond,
		State: JobState(m.State), Reason: m.Reason, Cancelled: m.Cancelled,
		Submitted: m.Submitted, Finished: m.Finished,
		DoneTasks: m.DoneTasks, FailedTasks: m.FailedTasks,
	}
}

package commander

import (
	"time"

	"zinniashore.example/placer"
)

// HeaderMessage is the wire form of a Header.
type HeaderMessage struct {
	Cell              string `json:"cell"`
	Epoch             int64  `json:"epoch"`
	Incarnation       string `json:"incarnation,omitempty"`
	UntilMicroseconds int64  `json:"until_microseconds,omitempty"`
}

// StartMessage is the request to start an attempt.
type StartMessage struct {
	HeaderMessage
	Task             string `json:"task"`
	Attempt          int64  `json:"attempt"`
	Organisation     string `json:"organisation"`
	Template         string `json:"template"`
	Class            string `json:"class"`
	Processors       int64  `json:"processors_milli"`
	Memory           int64  `json:"memory_bytes"`
	Accelerators     int64  `json:"accelerators,omitempty"`
	Checkpoint       string `json:"checkpoint,omitempty"`
	WorkMilliseconds int64  `json:"work_milliseconds,omitempty"`
	Slots            int    `json:"slots,omitempty"`
	Connections      int    `json:"connections,omitempty"`
}

// RefMessage is the wire form of a Ref.
type RefMessage struct {
	Task    string `json:"task"`
	Attempt int64  `json:"attempt"`
}

// TasksMessage names the attempts that a command concerns. Throttle is the share of the
// processors for a throttle command, Size the reservation for a resize command.
type TasksMessage struct {
	HeaderMessage
	Tasks    []RefMessage `json:"tasks,omitempty"`
	Throttle float64      `json:"throttle,omitempty"`
	Size     *SizeMessage `json:"size,omitempty"`
}

// SizeMessage is the wire form of a placer.Size.
type SizeMessage struct {
	Processors   int64 `json:"processors_milli"`
	Memory       int64 `json:"memory_bytes"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// ReportMessage is the wire form of a TaskReport.
type ReportMessage struct {
	Task         string  `json:"task"`
	Attempt      int64   `json:"attempt"`
	State        string  `json:"state"`
	Address      string  `json:"address,omitempty"`
	Checkpoint   string  `json:"checkpoint,omitempty"`
	Processors   int64   `json:"used_processors_milli,omitempty"`
	Memory       int64   `json:"used_memory_bytes,omitempty"`
	Accelerators int64   `json:"used_accelerators,omitempty"`
	Slowdown     float64 `json:"slowdown,omitempty"`
	Reason       string  `json:"reason,omitempty"`
}

// AnswerMessage is the answer to every command. Epoch is the epoch that the worker has
// stored; a command of an older epoch is refused with the status 409.
type AnswerMessage struct {
	Incarnation       string          `json:"incarnation"`
	ClockMicroseconds int64           `json:"clock_microseconds"`
	Epoch             int64           `json:"epoch"`
	Refused           string          `json:"refused,omitempty"`
	Tasks             []ReportMessage `json:"tasks,omitempty"`
}

func (h Header) message() HeaderMessage {
	return HeaderMessage{Cell: h.Cell, Epoch: h.Epoch, Incarnation: h.Incarnation, UntilMicroseconds: h.Until.Microseconds()}
}

func (s Start) message(h Header) StartMessage {
	return StartMessage{
		HeaderMessage: h.message(), Task: s.Ref.Task, Attempt: s.Ref.Attempt,
		Organisation: s.Organisation, Template: s.Template, Class: string(s.Class),
		Processors: s.Size.Processors, Memory: s.Size.Memory, Accelerators: s.Size.Accelerators,
		Checkpoint: s.Checkpoint, WorkMilliseconds: s.Work.Milliseconds(),
		Slots: s.Slots, Connections: s.Connections,
	}
}

func tasksMessage(h Header, tasks []Ref) TasksMessage {
	m := TasksMessage{HeaderMessage: h.message()}
	for _, r := range tasks {
		m.Tasks = append(m.Tasks, RefMessage(r))
	}
	return m
}

func (m AnswerMessage) answer(received time.Time) Answer {
	a := Answer{Reading: Reading{
		Incarnation: m.Incarnation,
		Clock:       time.Duration(m.ClockMicroseconds) * time.Microsecond,
		Received:    received,
	}}
	for _, t := range m.Tasks {
		a.Tasks = append(a.Tasks, t.report())
	}
	return a
}

func (m ReportMessage) report() TaskReport {
	return TaskReport{
		Ref: Ref{Task: m.Task, Attempt: m.Attempt}, State: TaskState(m.State),
		Address: m.Address, Checkpoint: m.Checkpoint,
		Usage:    placer.Size{Processors: m.Processors, Memory: m.Memory, Accelerators: m.Accelerators},
		Slowdown: m.Slowdown, Reason: m.Reason,
	}
}

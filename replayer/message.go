package replayer

import (
	"encoding/json"
	"fmt"
	"time"

	"zinniashore.example/placer"
)

const traceFormat = 1

type sizeMessage struct {
	Processors   int64 `json:"processors_milli"`
	Memory       int64 `json:"memory_bytes"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

type workerMessage struct {
	ID            string      `json:"id"`
	FailureDomain string      `json:"failure_domain"`
	Rack          string      `json:"rack"`
	Capacity      sizeMessage `json:"capacity"`
}

type quotaMessage struct {
	Organisation string      `json:"organisation"`
	Limit        sizeMessage `json:"limit"`
}

type interferenceMessage struct {
	Service string  `json:"service"`
	Excess  float64 `json:"excess"`
}

type templateMessage struct {
	Name         string                `json:"name"`
	Organisation string                `json:"organisation"`
	Class        string                `json:"class"`
	Declared     sizeMessage           `json:"declared"`
	Processors   float64               `json:"processors"`
	Memory       float64               `json:"memory"`
	Interference []interferenceMessage `json:"disturbances,omitempty"`
	Group        string                `json:"group,omitempty"`
	Priority     int                   `json:"priority,omitempty"`
	NotBeforeMS  int64                 `json:"not_before_ms,omitempty"`
	DeadlineMS   int64                 `json:"deadline_ms,omitempty"`
}

type eventMessage struct {
	AtMS           int64   `json:"at_ms"`
	Kind           string  `json:"kind"`
	Task           string  `json:"task,omitempty"`
	Template       string  `json:"template,omitempty"`
	Worker         string  `json:"worker,omitempty"`
	Factor         float64 `json:"factor,omitempty"`
	WorkMS         int64   `json:"work_ms,omitempty"`
	DeclaredWorkMS int64   `json:"declared_work_ms,omitempty"`
	Urgent         bool    `json:"urgent,omitempty"`
}

type targetsMessage struct {
	Slowdown      float64 `json:"slowdown"`
	Throughput    float64 `json:"throughput"`
	Missed        int     `json:"missed"`
	Violations    int     `json:"violations"`
	Evictions     float64 `json:"evictions"`
	UrgentStartMS int64   `json:"urgent_start_ms"`
}

type traceMessage struct {
	Format    int               `json:"format"`
	Name      string            `json:"name"`
	Seed      uint64            `json:"seed"`
	StepMS    int64             `json:"step_ms"`
	LengthMS  int64             `json:"length_ms"`
	Targets   targetsMessage    `json:"targets"`
	Workers   []workerMessage   `json:"workers"`
	Quotas    []quotaMessage    `json:"quotas,omitempty"`
	Templates []templateMessage `json:"templates"`
	Events    []eventMessage    `json:"events"`
}

// FormatError reports a trace in a format that this version cannot read.
type FormatError struct {
	// Format is the format number of the trace.
	Format int
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("trace has format %d; only format %d is supported", e.Format, traceFormat)
}

// Encode encodes the trace as JSON. Times are truncated to milliseconds.
func Encode(t Trace) ([]byte, error) {
	m := traceMessage{
		Format:   traceFormat,
		Name:     t.Name,
		Seed:     t.Seed,
		StepMS:   t.Step.Milliseconds(),
		LengthMS: t.Length.Milliseconds(),
		Targets:  targetsMessage(targetsOf(t.Targets)),
	}
	for _, w := range t.Workers {
		m.Workers = append(m.Workers, workerMessage{w.ID, w.FailureDomain, w.Rack, sizeMessage(w.Capacity)})
	}
	for _, q := range t.Quotas {
		m.Quotas = append(m.Quotas, quotaMessage{q.Organisation, sizeMessage(q.Limit)})
	}
	for _, template := range t.Templates {
		m.Templates = append(m.Templates, encodeTemplate(template))
	}
	for _, event := range t.Events {
		m.Events = append(m.Events, encodeEvent(event))
	}
	return json.MarshalIndent(m, "", "")
}

// Decode decodes a trace from JSON. It returns a *FormatError for an unsupported
// format and an error of encoding/json for content that is not a trace.
func Decode(content []byte) (Trace, error) {
	var m traceMessage
	if err := json.Unmarshal(content, &m); err != nil {
		return Trace{}, err
	}
	if m.Format != traceFormat {
		return Trace{}, &FormatError{Format: m.Format}
	}
	t := Trace{
		Name:    m.Name,
		Seed:    m.Seed,
		Step:    milliseconds(m.StepMS),
		Length:  milliseconds(m.LengthMS),
		Targets: m.Targets.targets(),
	}
	for _, w := range m.Workers {
		t.Workers = append(t.Workers, placer.Worker{
			ID:            w.ID,
			FailureDomain: w.FailureDomain,
			Rack:          w.Rack,
			Capacity:      placer.Size(w.Capacity),
			State:         placer.WorkerReady,
		})
	}
	for _, q := range m.Quotas {
		t.Quotas = append(t.Quotas, placer.Quota{Organisation: q.Organisation, Limit: placer.Size(q.Limit)})
	}
	for _, template := range m.Templates {
		t.Templates = append(t.Templates, template.template())
	}
	for _, event := range m.Events {
		t.Events = append(t.Events, event.event())
	}
	return t, nil
}

func targetsOf(t Targets) targetsMessage {
	return targetsMessage{
		Slowdown:      t.Slowdown,
		Throughput:    t.Throughput,
		Missed:        t.Missed,
		Violations:    t.Violations,
		Evictions:     t.Evictions,
		UrgentStartMS: t.UrgentStart.Milliseconds(),
	}
}

func (m targetsMessage) targets() Targets {
	return Targets{
		Slowdown:    m.Slowdown,
		Throughput:  m.Throughput,
		Missed:      m.Missed,
		Violations:  m.Violations,
		Evictions:   m.Evictions,
		UrgentStart: milliseconds(m.UrgentStartMS),
	}
}

func encodeTemplate(t Template) templateMessage {
	m := templateMessage{
		Name:         t.Name,
		Organisation: t.Organisation,
		Class:        string(t.Class),
		Declared:     sizeMessage(t.Declared),
		Processors:   t.Processors,
		Memory:       t.Memory,
		Group:        t.Group,
		Priority:     t.Priority,
		NotBeforeMS:  t.NotBefore.Milliseconds(),
		DeadlineMS:   t.Deadline.Milliseconds(),
	}
	for _, d := range t.Interference {
		m.Interference = append(m.Interference, interferenceMessage(d))
	}
	return m
}

func (m templateMessage) template() Template {
	t := Template{
		Name:         m.Name,
		Organisation: m.Organisation,
		Class:        placer.Class(m.Class),
		Declared:     placer.Size(m.Declared),
		Processors:   m.Processors,
		Memory:       m.Memory,
		Group:        m.Group,
		Priority:     m.Priority,
		NotBefore:    milliseconds(m.NotBeforeMS),
		Deadline:     milliseconds(m.DeadlineMS),
	}
	for _, d := range m.Interference {
		t.Interference = append(t.Interference, Interference(d))
	}
	return t
}

func encodeEvent(e Event) eventMessage {
	return eventMessage{
		AtMS:           e.At.Milliseconds(),
		Kind:           string(e.Kind),
		Task:           e.Task,
		Template:       e.Template,
		Worker:         e.Worker,
		Factor:         e.Factor,
		WorkMS:         e.Work.Milliseconds(),
		DeclaredWorkMS: e.DeclaredWork.Milliseconds(),
		Urgent:         e.Urgent,
	}
}

func (m eventMessage) event() Event {
	return Event{
		At:           milliseconds(m.AtMS),
		Kind:         EventKind(m.Kind),
		Task:         m.Task,
		Template:     m.Template,
		Worker:       m.Worker,
		Factor:       m.Factor,
		Work:         milliseconds(m.WorkMS),
		DeclaredWork: milliseconds(m.DeclaredWorkMS),
		Urgent:       m.Urgent,
	}
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}

package administrator

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"zinniashore.example/decoder"
	"zinniashore.example/evacuator"
	"zinniashore.example/placer"
	"zinniashore.example/recorder"
)

// SizeMessage is an amount of resources.
type SizeMessage struct {
	// Processors is a number of processors with up to three decimals.
	Processors   json.Number `json:"processors"`
	MemoryBytes  int64       `json:"memory_bytes"`
	Accelerators int64       `json:"accelerators"`
}

// RunningMessage is a task that is assigned to a worker.
type RunningMessage struct {
	Organisation  string `json:"organisation"`
	Task          string `json:"task"`
	Template      string `json:"template"`
	Worker        string `json:"worker"`
	FailureDomain string `json:"failure_domain"`
	Attempt       int    `json:"attempt"`
	State         string `json:"state"`
}

// WaitingMessage is a task that waits to be placed.
type WaitingMessage struct {
	Organisation string `json:"organisation"`
	Task         string `json:"task"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail"`
}

// RevisionMessage is the configuration in force in a failure domain.
type RevisionMessage struct {
	FailureDomain string   `json:"failure_domain"`
	MinRevision   int64    `json:"least"`
	Behind        []string `json:"behind,omitempty"`
	VMs           int      `json:"vms"`
}

// QuotaMessage is the quota of an organisation and its usage.
type QuotaMessage struct {
	Organisation string      `json:"organisation"`
	Limit        SizeMessage `json:"limit"`
	Used         SizeMessage `json:"used"`
}

// QuarantineMessage is a quarantined worker, which receives no tasks.
type QuarantineMessage struct {
	Worker        string    `json:"worker"`
	FailureDomain string    `json:"failure_domain"`
	Since         time.Time `json:"since"`
	Reason        string    `json:"reason"`
}

// LeaseMessage is a lease that expires soon.
type LeaseMessage struct {
	Name      string `json:"name"`
	Holder    string `json:"holder"`
	Remaining string `json:"remaining"`
}

// CutOffMessage is a failure domain that a process can't reach.
type CutOffMessage struct {
	FailureDomain string    `json:"failure_domain"`
	SeenBy        string    `json:"seen_by"`
	Since         time.Time `json:"since"`
}

// EvacuationMessage states whether a failure domain is evacuated, so that no task starts
// there.
type EvacuationMessage struct {
	FailureDomain string    `json:"failure_domain"`
	Evacuated     bool      `json:"evacuated"`
	Since         time.Time `json:"since,omitzero"`
	Operator      string    `json:"operator,omitempty"`
}

// StatusMessage is the state of the system.
type StatusMessage struct {
	Running     []RunningMessage    `json:"running"`
	Waiting     []WaitingMessage    `json:"waiting"`
	Revisions   []RevisionMessage   `json:"revisions"`
	Quotas      []QuotaMessage      `json:"quotas"`
	Quarantined []QuarantineMessage `json:"quarantined"`
	Leases      []LeaseMessage      `json:"leases"`
	CutOff      []CutOffMessage     `json:"cut_off"`
	Evacuations []EvacuationMessage `json:"evacuations"`
	Unreached   []string            `json:"unreached"`
	StoreError  string              `json:"store_error,omitempty"`
}

func (a *Administrator) getStatus(c call) answer {
	organisation := c.URL.Query().Get("organisation")
	if !c.principal.isOperator() {
		organisation = c.principal.organisation
	}
	return answer{code: http.StatusOK, message: statusMessage(a.collectStatus(c.Context(), organisation))}
}

func (a *Administrator) getTimeLine(c call) answer {
	filter, err := parseFilter(c.URL.Query())
	if err != nil {
		return failureAnswer(http.StatusBadRequest, CodeBody, "query: "+err.Error(), true)
	}
	if !c.principal.isOperator() {
		filter.Organisation = c.principal.organisation
	}
	text, err := recorder.EncodeTimeLine(a.TimeLine.Collect(c.Context(), filter))
	if err != nil {
		return errorAnswer(err)
	}
	return answer{code: http.StatusOK, message: json.RawMessage(text)}
}

// filterQuery encodes a filter as URL query parameters.
func filterQuery(f recorder.Filter) url.Values {
	query := url.Values{}
	set := func(name, value string) {
		if value != "" {
			query.Set(name, value)
		}
	}
	set("kind", string(f.Kind))
	set("organisation", f.Organisation)
	set("task", f.Task)
	set("key", f.Key)
	if !f.Since.IsZero() {
		query.Set("since", f.Since.Format(time.RFC3339Nano))
	}
	if !f.Until.IsZero() {
		query.Set("until", f.Until.Format(time.RFC3339Nano))
	}
	if f.Limit > 0 {
		query.Set("limit", strconv.Itoa(f.Limit))
	}
	return query
}

// parseFilter decodes a filter from URL query parameters.
func parseFilter(query url.Values) (recorder.Filter, error) {
	f := recorder.Filter{
		Kind:         recorder.Kind(query.Get("kind")),
		Organisation: query.Get("organisation"),
		Task:         query.Get("task"),
		Key:          query.Get("key"),
	}
	var err error
	if text := query.Get("since"); text != "" && err == nil {
		f.Since, err = time.Parse(time.RFC3339Nano, text)
	}
	if text := query.Get("until"); text != "" && err == nil {
		f.Until, err = time.Parse(time.RFC3339Nano, text)
	}
	if text := query.Get("limit"); text != "" && err == nil {
		f.Limit, err = strconv.Atoi(text)
	}
	return f, err
}

func statusMessage(s Status) StatusMessage {
	m := StatusMessage{
		Running: []RunningMessage{}, Waiting: []WaitingMessage{}, Revisions: []RevisionMessage{},
		Quotas: []QuotaMessage{}, Quarantined: []QuarantineMessage{}, Leases: []LeaseMessage{},
		CutOff: []CutOffMessage{}, Evacuations: []EvacuationMessage{}, Unreached: append([]string{}, s.Unreached...), StoreError: s.StoreError,
	}
	for _, t := range s.Running {
		m.Running = append(m.Running, RunningMessage(t))
	}
	for _, t := range s.Waiting {
		m.Waiting = append(m.Waiting, WaitingMessage{Organisation: t.Organisation, Task: t.Task, Reason: string(t.Reason), Detail: t.Detail})
	}
	for _, r := range s.Revisions {
		m.Revisions = append(m.Revisions, RevisionMessage(r))
	}
	for _, q := range s.Quotas {
		m.Quotas = append(m.Quotas, QuotaMessage{Organisation: q.Organisation, Limit: sizeJSON(q.Limit), Used: sizeJSON(q.Used)})
	}
	for _, q := range s.Quarantined {
		m.Quarantined = append(m.Quarantined, QuarantineMessage(q))
	}
	for _, l := range s.Leases {
		m.Leases = append(m.Leases, LeaseMessage{Name: l.Name, Holder: l.Holder, Remaining: l.Remaining.String()})
	}
	for _, c := range s.CutOff {
		m.CutOff = append(m.CutOff, CutOffMessage(c))
	}
	for _, e := range s.Evacuations {
		m.Evacuations = append(m.Evacuations, evacuationMessage(e))
	}
	return m
}

func evacuationMessage(e evacuator.Evacuation) EvacuationMessage {
	return EvacuationMessage{FailureDomain: e.FailureDomain, Evacuated: true, Since: e.Since, Operator: e.Operator}
}

func sizeJSON(s placer.Size) SizeMessage {
	return SizeMessage{
		Processors:   json.Number(decoder.FormatThousandths(s.Processors)),
		MemoryBytes:  s.Memory,
		Accelerators: s.Accelerators,
	}
}

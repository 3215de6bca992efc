package owner

import (
	"strconv"
	"strings"
	"time"

	"zinniashore.example/placer"
)

// phase is how far the owner has come with a task.
type phase string

const (
	// phaseWaiting runs nowhere.
	phaseWaiting phase = "waiting"
	// phaseRecording has a place that is not durable yet.
	phaseRecording phase = "recording"
	// phaseStarting has a durable place; the start is not confirmed.
	phaseStarting phase = "starting"
	// phaseResolving was placed by an earlier owner and may run.
	phaseResolving phase = "resolving"
	// phaseRunning runs.
	phaseRunning phase = "running"
	// phaseDraining is published as leaving before it is stopped.
	phaseDraining phase = "draining"
	// phaseStopping runs until its worker confirms the stop.
	phaseStopping phase = "stopping"
)

// stopKind tells what follows a stop.
type stopKind string

const (
	// stopEvict makes the task wait again, to resume at its checkpoint.
	stopEvict stopKind = "evict"
	// stopRemove ends the task for good.
	stopRemove stopKind = "remove"
)

// task is a task of a cell as its owner knows it.
type task struct {
	record record
	demand demand
	phase  phase
	since  time.Time
	// sent tells that a start of the attempt may have reached its worker.
	sent      bool
	stop      stopKind
	address   string
	throttle  float64
	throttled float64
	// throttledAt is when throttle changed last, zero if never.
	throttledAt time.Time
	// durable is what the store says is reserved for the attempt at least.
	durable placer.Size
	// target is what is to be reserved, zero if that is not to change. The
	// record reserves enough for it and for what the worker may know.
	target placer.Size
	// evictions is how often this owner evicted it.
	evictions int
	// drained is when the endpoint is known to be leaving, zero before.
	drained time.Time
	// retryAt is when it may be placed again after a failure.
	retryAt time.Time
}

// demand is what is wanted of a task.
type demand struct {
	id             string
	group          string
	index          int
	organisation   string
	template       string
	class          placer.Class
	declared       placer.Size
	priority       int
	urgent         bool
	failureDomains []string
	notBefore      time.Time
	deadline       time.Time
	work           time.Duration
	submitted      time.Time
	settings       settings
}

func (d demand) record() record {
	return record{
		id: d.id, organisation: d.organisation, template: d.template,
		class: d.class, state: recordWaiting, settings: d.settings,
	}
}

// demand returns what is known of a task from its record alone.
func (r record) demand() demand {
	group, index, _ := splitTask(r.id)
	return demand{
		id: r.id, group: group, index: index, organisation: r.organisation,
		template: r.template, class: r.class, declared: r.reserved, settings: r.settings,
	}
}

// holds reports whether the task may take room on a worker.
func (t *task) holds() bool { return t.phase != phaseWaiting }

// held returns what the task takes of its worker.
func (t *task) held() placer.Size {
	if !t.holds() {
		return placer.Size{}
	}
	return t.record.reserved
}

func (t *task) move(p phase, now time.Time) {
	t.phase = p
	t.since = now
}

func (t *task) worker() string {
	if len(t.record.workers) == 0 {
		return ""
	}
	return t.record.workers[0]
}

// placement returns the task as the placer sees it.
func (t *task) placement() placer.Task {
	p := t.demand.placement()
	p.Excluded = t.record.failedOn
	p.Since = t.since
	p.Throttle = t.throttle
	p.ThrottledAt = t.throttledAt
	p.Evictions = t.evictions
	switch t.phase {
	case phaseWaiting:
		p.State = placer.TaskWaiting
	case phaseDraining, phaseStopping:
		p.State = placer.TaskEvicting
	default:
		p.State = placer.TaskPlaced
	}
	if t.holds() {
		p.Workers = t.record.workers
		p.Reserved = t.record.reserved
	}
	return p
}

func (d demand) placement() placer.Task {
	return placer.Task{
		ID: d.id, Organisation: d.organisation, Template: d.template, Class: d.class,
		Declared: d.declared, Priority: d.priority, Urgent: d.urgent,
		FailureDomains: d.failureDomains, Group: d.group, NotBefore: d.notBefore,
		Deadline: d.deadline, Work: d.work, Submitted: d.submitted,
		State: placer.TaskWaiting, Throttle: 1, Since: d.submitted,
	}
}

func jobKey(organisation, job string) string { return organisation + "/" + job }

func jobTask(job string, index int) string { return job + "/" + strconv.Itoa(index) }

func serviceKey(organisation, service string) string { return organisation + "/service/" + service }

// splitTask returns the job or service of a task, and its index.
func splitTask(id string) (group string, index int, err error) {
	cut := strings.LastIndexByte(id, '/')
	index, err = strconv.Atoi(id[cut+1:])
	return id[:max(cut, 0)], index, err
}

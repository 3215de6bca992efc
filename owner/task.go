package owner

import (
	"strconv"
	"strings"
	"time"

	"zinniashore.example/placer"
)

// phase is a stage in the life cycle of a task.
type phase string

const (
	// phaseWaiting is the phase of a task that runs nowhere.
	phaseWaiting phase = "waiting"
	// phaseRecording is the phase of a task whose placement is not durable yet.
	phaseRecording phase = "recording"
	// phaseStarting is the phase of a task whose placement is durable and whose start
	// is not confirmed.
	phaseStarting phase = "starting"
	// phaseResolving is the phase of a task that an earlier owner placed, until its
	// worker has reported on it. The task may be running.
	phaseResolving phase = "resolving"
	// phaseRunning is the phase of a task whose worker has confirmed that it runs.
	phaseRunning phase = "running"
	// phaseDraining is the phase of an instance of a service that is published as
	// leaving before it is stopped.
	phaseDraining phase = "draining"
	// phaseStopping is the phase of a task that may run until its worker confirms the
	// stop.
	phaseStopping phase = "stopping"
)

// stopKind is what happens to a task after it has stopped.
type stopKind string

const (
	// stopEvict returns the task to waiting, to resume at its checkpoint.
	stopEvict stopKind = "evict"
	// stopRemove removes the task.
	stopRemove stopKind = "remove"
)

// task is the state of a task as the owner of its cell knows it.
type task struct {
	record record
	demand demand
	phase  phase
	since  time.Time
	// startSent is true if a start of the attempt may have reached its worker.
	startSent bool
	// startUnclear is true if the next full answer of the worker decides whether the start
	// has reached it, because the start may not be sent again.
	startUnclear    bool
	stop            stopKind
	address         string
	throttle        float64
	appliedThrottle float64
	// throttledAt is when throttle was last changed, zero if never.
	throttledAt time.Time
	// durableReserved is a lower bound of the reservation of the attempt in the store.
	durableReserved placer.Size
	// targetReserved is the reservation to reach, zero if none is pending. The
	// reservation in the record covers it and any reservation that the worker may
	// still apply.
	targetReserved placer.Size
	// evictions is the number of times that this owner evicted the task.
	evictions int
	// leavingSince is when the endpoint was published as leaving, zero before that.
	leavingSince time.Time
	// retryAt is when the task may be placed again after a failure.
	retryAt time.Time
}

// demand is the desired specification of a task.
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

// demand returns the part of a task's demand that its record holds.
func (r record) demand() demand {
	group, index, _ := splitTask(r.id)
	return demand{
		id: r.id, group: group, index: index, organisation: r.organisation,
		template: r.template, class: r.class, declared: r.reserved, settings: r.settings,
	}
}

// occupiesWorker reports whether the task may take up capacity of a worker.
func (t *task) occupiesWorker() bool { return t.phase != phaseWaiting }

// reservation returns the size that the task reserves on its worker, zero if it has
// none.
func (t *task) reservation() placer.Size {
	if !t.occupiesWorker() {
		return placer.Size{}
	}
	return t.record.reserved
}

func (t *task) setPhase(p phase, now time.Time) {
	t.phase = p
	t.since = now
}

func (t *task) worker() string {
	if len(t.record.workers) == 0 {
		return ""
	}
	return t.record.workers[0]
}

// placement returns the task as the placer represents it.
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
	if t.occupiesWorker() {
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

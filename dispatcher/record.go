package dispatcher

import (
	"encoding/json"
	"slices"
	"time"
)

// Progress is the stored state of a job, without its description.
type Progress struct {
	// State is the state of the job.
	State State
	// Cause tells why the job has failed, for logs.
	Cause string
	// Part is true if another cell has delegated the job to this one, as a part.
	Part bool
	// Finished lists the numbers of the occurrences that are done.
	Finished []int
	// Done lists the tasks that are done, of occurrences that aren't finished.
	Done []TaskID
	// Failures lists the tasks that have failed and aren't done.
	Failures []Failure
	// Crashes lists the tasks under which workers have crashed.
	Crashes []TaskCrashes
	// Delegated lists the tasks that this cell has delegated to other cells.
	Delegated []DelegatedTask
}

// PartCells returns the cells that run delegated parts of the job; none without progress.
func (p *Progress) PartCells() []string {
	if p == nil {
		return nil
	}
	var cells []string
	for _, d := range p.Delegated {
		if !slices.Contains(cells, d.Cell) {
			cells = append(cells, d.Cell)
		}
	}
	return cells
}

// DelegatedTask is a task that another cell runs.
type DelegatedTask struct {
	Task TaskID
	// Cell is the name of the other cell.
	Cell string
}

// Failure lists the failed runs of a task.
type Failure struct {
	Task TaskID
	// Runs are the numbers of the failed runs.
	Runs []int64
}

type progressMessage struct {
	State     State              `json:"state"`
	Cause     string             `json:"cause,omitempty"`
	Part      bool               `json:"part,omitempty"`
	Finished  []int              `json:"finished,omitempty"`
	Done      []doneMessage      `json:"done,omitempty"`
	Failures  []failureMessage   `json:"failures,omitempty"`
	Crashes   []crashesMessage   `json:"crashes,omitempty"`
	Delegated []delegatedMessage `json:"elsewhere,omitempty"`
}

type doneMessage struct {
	Occurrence int   `json:"occurrence"`
	Step       int   `json:"step"`
	Tasks      []int `json:"tasks"`
}

type failureMessage struct {
	Occurrence int     `json:"occurrence"`
	Step       int     `json:"step"`
	Task       int     `json:"task"`
	Runs       []int64 `json:"runs"`
}

type delegatedMessage struct {
	Step int    `json:"step"`
	Task int    `json:"task"`
	Cell string `json:"cell"`
}

// EncodeProgress returns the stored form of a job's progress, in JSON.
func EncodeProgress(p Progress) ([]byte, error) { return json.Marshal(newProgressMessage(p)) }

func newProgressMessage(p Progress) progressMessage {
	m := progressMessage{State: p.State, Cause: p.Cause, Part: p.Part, Finished: p.Finished, Crashes: encodeCrashes(p.Crashes)}
	for _, id := range p.Done {
		last := len(m.Done) - 1
		if last < 0 || m.Done[last].Occurrence != id.Occurrence || m.Done[last].Step != id.Step {
			m.Done = append(m.Done, doneMessage{Occurrence: id.Occurrence, Step: id.Step})
			last++
		}
		m.Done[last].Tasks = append(m.Done[last].Tasks, id.Index)
	}
	for _, f := range p.Failures {
		m.Failures = append(m.Failures, failureMessage{
			Occurrence: f.Task.Occurrence, Step: f.Task.Step, Task: f.Task.Index, Runs: f.Runs,
		})
	}
	for _, e := range p.Delegated {
		m.Delegated = append(m.Delegated, delegatedMessage{Step: e.Task.Step, Task: e.Task.Index, Cell: e.Cell})
	}
	return m
}

// DecodeProgress decodes the stored form of a job's progress.
func DecodeProgress(job string, content []byte) (Progress, error) {
	var m progressMessage
	if err := json.Unmarshal(content, &m); err != nil {
		return Progress{}, err
	}
	return m.progress(job), nil
}

func (m *progressMessage) progress(job string) Progress {
	p := Progress{State: m.State, Cause: m.Cause, Part: m.Part, Finished: m.Finished, Crashes: decodeCrashes(job, m.Crashes)}
	for _, d := range m.Done {
		for _, index := range d.Tasks {
			p.Done = append(p.Done, TaskID{Job: job, Occurrence: d.Occurrence, Step: d.Step, Index: index})
		}
	}
	for _, f := range m.Failures {
		p.Failures = append(p.Failures, Failure{
			Task: TaskID{Job: job, Occurrence: f.Occurrence, Step: f.Step, Index: f.Task},
			Runs: f.Runs,
		})
	}
	for _, e := range m.Delegated {
		p.Delegated = append(p.Delegated, DelegatedTask{Task: TaskID{Job: job, Step: e.Step, Index: e.Task}, Cell: e.Cell})
	}
	return p
}

// progress returns the progress of a job that has to be stored.
func (j *jobState) progress() Progress {
	p := Progress{State: j.state, Cause: j.cause, Part: j.job.Part != nil}
	if j.state.Final() {
		return p
	}
	for number := range j.finished {
		p.Finished = append(p.Finished, number)
	}
	slices.Sort(p.Finished)
	numbers := make([]int, 0, len(j.occurrences))
	for number := range j.occurrences {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		for _, s := range j.occurrences[number].steps {
			for _, t := range s.tasks {
				if t.done && !j.finished[number] {
					p.Done = append(p.Done, t.id)
				}
				if t.delegatedTo != "" {
					p.Delegated = append(p.Delegated, DelegatedTask{Task: t.id, Cell: t.delegatedTo})
				}
				if len(t.failures) > 0 && !t.done {
					p.Failures = append(p.Failures, Failure{Task: t.id, Runs: t.failedRuns()})
				}
				if len(t.crashes) > 0 && !t.done {
					p.Crashes = append(p.Crashes, TaskCrashes{Task: t.id, Crashes: slices.Clone(t.crashes)})
				}
			}
		}
	}
	return p
}

// restore applies the stored progress to a job.
func (c *Cell) restore(now time.Time, j *jobState, p *Progress) {
	if p.Part && j.job.Part == nil {
		j.job.Part = []TaskID{}
	}
	if p.State.Final() {
		j.state, j.stored, j.started = p.State, p.State, true
		j.finalAt = now
		return
	}
	for _, number := range p.Finished {
		j.finished[number] = true
	}
	j.started = len(p.Finished)+len(p.Done)+len(p.Failures) > 0
	for _, id := range p.Done {
		if t := c.task(now, id); t != nil {
			c.markDone(now, t)
		}
	}
	for _, f := range p.Failures {
		if t := c.task(now, f.Task); t != nil {
			t.restoreFailures(f.Runs)
		}
	}
	for _, stored := range p.Crashes {
		if t := c.task(now, stored.Task); t != nil {
			c.restoreCrashes(now, t, stored.Crashes)
		}
	}
	for _, e := range p.Delegated {
		if t := c.task(now, e.Task); t != nil {
			t.remote, t.delegatedTo = true, e.Cell
		}
	}
	if !j.state.Final() {
		delete(c.dirty, j.job.ID)
	}
}

type jobRecordMessage struct {
	ID          string           `json:"id"`
	Queue       queueMessage     `json:"queue"`
	Spec        string           `json:"spec"`
	Steps       []stepMessage    `json:"steps"`
	Occurrences int              `json:"occurrences"`
	FirstDueMS  int64            `json:"first_due_milliseconds,omitempty"`
	IntervalMS  int64            `json:"interval_milliseconds,omitempty"`
	Timed       bool             `json:"timed,omitempty"`
	AcceptedMS  int64            `json:"accepted_milliseconds"`
	Part        []partMessage    `json:"part,omitempty"`
	Crashes     []crashesMessage `json:"crashes,omitempty"`
	Home        string           `json:"home,omitempty"`
	Progress    *progressMessage `json:"progress,omitempty"`
}

type queueMessage struct {
	Name     string        `json:"name"`
	Service  string        `json:"service"`
	Priority int           `json:"priority,omitempty"`
	Attempts int           `json:"attempts"`
	Stretch  float64       `json:"stretch"`
	TargetNS time.Duration `json:"target_nanoseconds"`
	Advised  bool          `json:"advised,omitempty"`
}

type stepMessage struct {
	Count           int           `json:"count"`
	MilliProcessors int64         `json:"milli_processors,omitempty"`
	Megabytes       int64         `json:"megabytes,omitempty"`
	Accelerators    int64         `json:"accelerators,omitempty"`
	EstimateNS      time.Duration `json:"estimate_nanoseconds,omitempty"`
	After           []int         `json:"after,omitempty"`
	Checkpoints     bool          `json:"checkpoints,omitempty"`
	Gang            bool          `json:"gang,omitempty"`
	RackLocal       bool          `json:"rack_local,omitempty"`
	Label           string        `json:"label,omitempty"`
	DataRack        string        `json:"data_rack,omitempty"`
	WorkerLimit     int           `json:"worker_limit,omitempty"`
	Copies          bool          `json:"copies,omitempty"`
	LongRunning     bool          `json:"lasting,omitempty"`
	Image           string        `json:"image,omitempty"`
	TailTargetNS    time.Duration `json:"tail_target_nanoseconds,omitempty"`
	BestEffort      bool          `json:"filler,omitempty"`
	MaxUnavailable  int           `json:"max_unavailable,omitempty"`
}

// partMessage identifies a task of the first occurrence in a delegated part.
type partMessage struct {
	Step int `json:"step"`
	Task int `json:"task"`
}

// EncodeJob returns the stored form of a job, in JSON.
func EncodeJob(j Job) ([]byte, error) {
	m := jobRecordMessage{
		ID: j.ID,
		Queue: queueMessage{
			Name: j.Queue.Name, Service: j.Queue.Service, Priority: j.Queue.Priority, Attempts: j.Queue.Attempts,
			Stretch: j.Queue.Stretch, TargetNS: j.Queue.Target, Advised: j.Queue.Advised,
		},
		Spec: j.Spec, Occurrences: j.Occurrences, Timed: j.Timed, Home: j.Home, Crashes: encodeCrashes(j.PartCrashes),
		IntervalMS: j.Interval.Milliseconds(), AcceptedMS: j.Accepted.UnixMilli(),
	}
	if j.Timed {
		m.FirstDueMS = j.FirstDue.UnixMilli()
	}
	if j.Progress != nil {
		progress := newProgressMessage(*j.Progress)
		m.Progress = &progress
	}
	for _, id := range j.Part {
		m.Part = append(m.Part, partMessage{Step: id.Step, Task: id.Index})
	}
	for _, s := range j.Steps {
		m.Steps = append(m.Steps, stepMessage{
			Count: s.Count, MilliProcessors: s.Size.MilliProcessors, Megabytes: s.Size.Megabytes,
			Accelerators: s.Size.Accelerators, EstimateNS: s.Estimate, After: s.After, Checkpoints: s.Checkpoints,
			Gang: s.Gang, RackLocal: s.RackLocal, Label: s.Label, DataRack: s.DataRack, WorkerLimit: s.WorkerLimit,
			Copies: s.Copies, LongRunning: s.LongRunning, Image: s.Image, TailTargetNS: s.TailTarget, BestEffort: s.BestEffort,
			MaxUnavailable: s.MaxUnavailable,
		})
	}
	return json.Marshal(m)
}

// DecodeJob decodes the stored form of a job. It returns a *JobRecordError for one that can't be run.
func DecodeJob(content []byte) (Job, error) {
	var m jobRecordMessage
	if err := json.Unmarshal(content, &m); err != nil {
		return Job{}, err
	}
	j := Job{
		ID: m.ID,
		Queue: Queue{
			Name: m.Queue.Name, Service: m.Queue.Service, Priority: m.Queue.Priority, Attempts: m.Queue.Attempts,
			Stretch: m.Queue.Stretch, Target: m.Queue.TargetNS, Advised: m.Queue.Advised,
		},
		Spec: m.Spec, Occurrences: m.Occurrences, Timed: m.Timed, Accepted: time.UnixMilli(m.AcceptedMS), Home: m.Home,
		PartCrashes: decodeCrashes(m.ID, m.Crashes),
		Interval:    time.Duration(m.IntervalMS) * time.Millisecond,
	}
	if m.Timed {
		j.FirstDue = time.UnixMilli(m.FirstDueMS)
	}
	if m.Progress != nil {
		progress := m.Progress.progress(m.ID)
		j.Progress = &progress
	}
	for _, t := range m.Part {
		j.Part = append(j.Part, TaskID{Job: m.ID, Step: t.Step, Index: t.Task})
	}
	for _, s := range m.Steps {
		j.Steps = append(j.Steps, Step{
			Count: s.Count, Size: Size{MilliProcessors: s.MilliProcessors, Megabytes: s.Megabytes, Accelerators: s.Accelerators},
			Estimate: s.EstimateNS, After: s.After, Checkpoints: s.Checkpoints, Gang: s.Gang, RackLocal: s.RackLocal,
			Label: s.Label, DataRack: s.DataRack, WorkerLimit: s.WorkerLimit, Copies: s.Copies, LongRunning: s.LongRunning,
			Image: s.Image, TailTarget: s.TailTargetNS, BestEffort: s.BestEffort, MaxUnavailable: s.MaxUnavailable,
		})
	}
	return j, j.validate()
}

type workerMessage struct {
	ID            string   `json:"id"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failure_domain"`
	Service       string   `json:"service"`
	Labels        []string `json:"labels,omitempty"`
	Boot          int64    `json:"boot,omitempty"`
	Draining      bool     `json:"draining,omitempty"`
	EarlierBoot   int64    `json:"earlier_boot,omitempty"`
}

// EncodeWorkers returns the stored form of the workers that a cell uses, in JSON.
func EncodeWorkers(workers []Registration) ([]byte, error) {
	messages := make([]workerMessage, len(workers))
	for i, w := range workers {
		messages[i] = workerMessage{
			ID: w.ID, Address: w.Address, FailureDomain: w.FailureDomain, Service: w.Service, Labels: w.Labels, Boot: w.Boot,
			Draining: w.Phase == PhaseDraining, EarlierBoot: w.EarlierBoot,
		}
	}
	return json.Marshal(messages)
}

// DecodeWorkers decodes the stored form of the workers that a cell uses. The capacity
// of a worker isn't stored, and its phase only if it is draining.
func DecodeWorkers(content []byte) ([]Registration, error) {
	var messages []workerMessage
	if err := json.Unmarshal(content, &messages); err != nil {
		return nil, err
	}
	workers := make([]Registration, len(messages))
	for i, m := range messages {
		workers[i] = Registration{
			ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, Service: m.Service, Labels: m.Labels, Boot: m.Boot,
			EarlierBoot: m.EarlierBoot,
		}
		if m.Draining {
			workers[i].Phase = PhaseDraining
		}
	}
	return workers, nil
}

package owner

import (
	"encoding/json"
	"fmt"
	"math/bits"

	"zinniashore.example/keeper"
	"zinniashore.example/placer"
)

const segmentFormat = 1

// recordState is the durable state of a task.
type recordState string

const (
	// recordWaiting is the state of a task that runs nowhere.
	recordWaiting recordState = "waiting"
	// recordPlaced is the state of a task that may run on its workers.
	recordPlaced recordState = "placed"
)

// record is the durable state of a task. It is immutable.
type record struct {
	id           string
	organisation string
	template     string
	class        placer.Class
	state        recordState
	attempt      int64
	// workers are the ids of the workers where the attempt may run, and addresses
	// their addresses in the same order.
	workers    []string
	addresses  []string
	reserved   placer.Size
	checkpoint string
	// failedOn are the workers where attempts failed.
	failedOn []string
	// settings are those that an instance of a service was started with.
	settings settings
}

// settings are the parameters of a service whose change replaces its instances.
type settings struct {
	declared    placer.Size
	slots       int
	connections int
}

// withPlacement returns r placed on a worker as the given attempt.
func (r record) withPlacement(attempt int64, worker, address string, reserved placer.Size) record {
	r.state = recordPlaced
	r.attempt = attempt
	r.workers = []string{worker}
	r.addresses = []string{address}
	r.reserved = reserved
	return r
}

// withReserved returns r with the reservation size.
func (r record) withReserved(size placer.Size) record {
	r.reserved = size
	return r
}

// withoutPlacement returns r in recordWaiting, to resume at the checkpoint.
func (r record) withoutPlacement(checkpoint string) record {
	r.state = recordWaiting
	r.workers = nil
	r.addresses = nil
	r.checkpoint = checkpoint
	return r
}

// withFailure returns r with worker among the workers where it failed.
func (r record) withFailure(worker string) record {
	for _, w := range r.failedOn {
		if w == worker {
			return r
		}
	}
	r.failedOn = append(append([]string(nil), r.failedOn...), worker)
	return r
}

// placedOn reports whether the attempt may run on the worker.
func (r record) placedOn(worker string) bool {
	if r.state != recordPlaced {
		return false
	}
	for _, w := range r.workers {
		if w == worker {
			return true
		}
	}
	return false
}

// progress is the durable state of a job that has not ended: the indexes of the tasks
// that are done and that failed. It is immutable.
type progress struct {
	key    string
	done   bitset
	failed bitset
	reason string
}

func (p progress) withDone(i int) progress {
	p.done = p.done.with(i)
	return p
}

func (p progress) withFailed(i int, reason string) progress {
	p.failed = p.failed.with(i)
	if p.reason == "" {
		p.reason = reason
	}
	return p
}

func (p progress) ended(i int) bool { return p.done.has(i) || p.failed.has(i) }

// bitset is an immutable set of small non-negative integers.
type bitset []byte

func (b bitset) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

func (b bitset) with(i int) bitset {
	set := make(bitset, max(len(b), i/8+1))
	copy(set, b)
	set[i/8] |= 1 << (i % 8)
	return set
}

func (b bitset) count() int {
	count := 0
	for _, octet := range b {
		count += bits.OnesCount8(octet)
	}
	return count
}

// entry is one change in a segment of the journal: a task, the progress of a
// job, or the removal of either. Of the entries of a key, the one with the
// highest epoch and, within it, the highest sequence number is current.
type entry struct {
	key      string
	epoch    int64
	sequence int64
	task     *record
	job      *progress
}

func (e entry) isRemoval() bool { return e.task == nil && e.job == nil }

func (e entry) supersedes(o entry) bool {
	if e.epoch != o.epoch {
		return e.epoch > o.epoch
	}
	return e.sequence > o.sequence
}

// segment is a decoded segment of the journal, which is stored under one key.
type segment struct {
	number int
	epoch  int64
	// attemptFloor is the highest attempt number of any removed task.
	attemptFloor int64
	entries      []entry
}

type sizeMessage struct {
	Processors   int64 `json:"processors_milli"`
	Memory       int64 `json:"memory_bytes"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

type settingsMessage struct {
	Declared    sizeMessage `json:"declared"`
	Slots       int         `json:"slots"`
	Connections int         `json:"connections"`
}

type recordMessage struct {
	Organisation string           `json:"organisation"`
	Template     string           `json:"template"`
	Class        string           `json:"class"`
	State        string           `json:"state"`
	Attempt      int64            `json:"attempt"`
	Workers      []string         `json:"workers,omitempty"`
	Addresses    []string         `json:"addresses,omitempty"`
	Reserved     sizeMessage      `json:"reserved"`
	Checkpoint   string           `json:"checkpoint,omitempty"`
	FailedOn     []string         `json:"failed_on,omitempty"`
	Settings     *settingsMessage `json:"settings,omitempty"`
}

type progressMessage struct {
	Done   []byte `json:"done,omitempty"`
	Failed []byte `json:"failed,omitempty"`
	Reason string `json:"reason,omitempty"`
}

type entryMessage struct {
	Key      string           `json:"key"`
	Epoch    int64            `json:"epoch"`
	Sequence int64            `json:"sequence"`
	Task     *recordMessage   `json:"task,omitempty"`
	Job      *progressMessage `json:"job,omitempty"`
}

type segmentMessage struct {
	Format  int               `json:"format"`
	Epoch   int64             `json:"epoch"`
	Floor   int64             `json:"attempt_floor"`
	Entries []json.RawMessage `json:"entries"`
}

func (e entry) encode() ([]byte, error) {
	m := entryMessage{Key: e.key, Epoch: e.epoch, Sequence: e.sequence}
	if e.task != nil {
		m.Task = e.task.message()
	}
	if e.job != nil {
		m.Job = &progressMessage{Done: e.job.done, Failed: e.job.failed, Reason: e.job.reason}
	}
	return json.Marshal(m)
}

func (m entryMessage) entry() entry {
	e := entry{key: m.Key, epoch: m.Epoch, sequence: m.Sequence}
	if m.Task != nil {
		e.task = m.Task.record(m.Key)
	}
	if m.Job != nil {
		e.job = &progress{key: m.Key, done: m.Job.Done, failed: m.Job.Failed, reason: m.Job.Reason}
	}
	return e
}

func (r record) message() *recordMessage {
	m := &recordMessage{
		Organisation: r.organisation, Template: r.template, Class: string(r.class),
		State: string(r.state), Attempt: r.attempt, Workers: r.workers, Addresses: r.addresses,
		Reserved: sizeMessage(r.reserved), Checkpoint: r.checkpoint, FailedOn: r.failedOn,
	}
	if r.class == placer.ClassService {
		m.Settings = &settingsMessage{
			Declared: sizeMessage(r.settings.declared),
			Slots:    r.settings.slots, Connections: r.settings.connections,
		}
	}
	return m
}

func (m recordMessage) record(id string) *record {
	r := &record{
		id: id, organisation: m.Organisation, template: m.Template, class: placer.Class(m.Class),
		state: recordState(m.State), attempt: m.Attempt, workers: m.Workers, addresses: m.Addresses,
		reserved: placer.Size(m.Reserved), checkpoint: m.Checkpoint, failedOn: m.FailedOn,
	}
	if m.Settings != nil {
		r.settings = settings{
			declared: placer.Size(m.Settings.Declared),
			slots:    m.Settings.Slots, connections: m.Settings.Connections,
		}
	}
	return r
}

// decodeSegment decodes a segment. A document without a body is an empty segment.
func decodeSegment(document keeper.Document) (segment, error) {
	if document.Body == nil {
		return segment{}, nil
	}
	var m segmentMessage
	if err := json.Unmarshal(document.Body, &m); err != nil {
		return segment{}, &keeper.FormatError{Key: document.Key, Err: err}
	}
	if m.Format != segmentFormat {
		return segment{}, &keeper.FormatError{Key: document.Key, Err: fmt.Errorf("segment has format %d, want %d", m.Format, segmentFormat)}
	}
	s := segment{epoch: m.Epoch, attemptFloor: m.Floor}
	for _, raw := range m.Entries {
		var e entryMessage
		if err := json.Unmarshal(raw, &e); err != nil {
			return segment{}, &keeper.FormatError{Key: document.Key, Err: err}
		}
		s.entries = append(s.entries, e.entry())
	}
	return s, nil
}

func encodeSegment(epoch, floor int64, entries [][]byte) ([]byte, error) {
	m := segmentMessage{Format: segmentFormat, Epoch: epoch, Floor: floor}
	for _, e := range entries {
		m.Entries = append(m.Entries, e)
	}
	return json.Marshal(m)
}

package claimer

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"zinniashore.example/platform"
)

// Term is the term under which a process holds a cell.
type Term struct {
	// Epoch is the revision of the term, which fences the holder's commands.
	Epoch int64
	// Earlier are the holders of earlier terms that haven't certainly ended.
	Earlier []EarlierHolder
	// EarlierUnknown is true if there may be earlier holders that Earlier lacks.
	EarlierUnknown bool
	// Leases are the leases that the previous holder has reported when it released the cell. They count from ClaimedAt.
	Leases Leases
	// ClaimedAt is a time before the claim, at which the holders that Earlier lacks had ended.
	ClaimedAt time.Time
}

// Leases is what a holder that releases a cell reports of the leases on runs of its workers.
type Leases struct {
	// Workers holds, by worker that may have stopped answering, how long leases on runs there may last.
	Workers map[string]time.Duration
	// Runs holds, by worker, all tasks that may have a run there. A worker of which they aren't known is left out.
	Runs map[string][]Task
	// EarlierProcesses holds the leases of processes of workers that may still be shutting down.
	EarlierProcesses []ProcessLease
}

// Task identifies a task of a job.
type Task struct {
	// Job is the id of the job, Occurrence, Step and Index number the task within it, from 0.
	Job                     string
	Occurrence, Step, Index int
}

// ProcessLease is for how long leases may last on the runs of processes that a worker had before its present one.
type ProcessLease struct {
	// Worker is the id of the worker, Boot when its present process started, in Unix milliseconds.
	Worker string
	Boot   int64
	// Left is how long the leases may last.
	Left time.Duration
}

// EarlierFullLeaseAge returns the longest FullLeaseAge of the earlier holders. unknown stands for that of a
// holder that doesn't tell it.
func (t Term) EarlierFullLeaseAge(unknown time.Duration) time.Duration {
	if t.EarlierUnknown {
		return unknown
	}
	longest := time.Duration(0)
	for _, e := range t.Earlier {
		age := e.FullLeaseAge
		if age == 0 {
			age = unknown
		}
		longest = max(longest, age)
	}
	return longest
}

// EarlierIsolation returns the longest MaxIsolation of the earlier holders, 0 if one has none, or may be unknown.
func (t Term) EarlierIsolation() time.Duration {
	longest := time.Duration(0)
	for _, e := range t.Earlier {
		if e.MaxIsolation == 0 {
			return 0
		}
		longest = max(longest, e.MaxIsolation)
	}
	if t.EarlierUnknown {
		return 0
	}
	return longest
}

// EarlierHolder is the holder of an earlier term.
type EarlierHolder struct {
	Holder
	// Epoch is the revision of that term.
	Epoch int64
}

// termMessage is the value of a term key.
type termMessage struct {
	// Token is unique to the write of this term.
	Token   string                 `json:"token"`
	Holder  holderMessage          `json:"holder"`
	Earlier []earlierHolderMessage `json:"earlier,omitempty"`
	// EarlierUnknown is true if a holder has begun its term after one whose value wasn't
	// understood.
	EarlierUnknown bool `json:"earlier_unknown,omitempty"`
}

type earlierHolderMessage struct {
	Holder holderMessage `json:"holder"`
	Epoch  int64         `json:"epoch"`
}

func encodeTerm(self Holder, term Term) ([]byte, error) {
	message := termMessage{Token: uuid.NewString(), Holder: newHolderMessage(self), EarlierUnknown: term.EarlierUnknown}
	for _, e := range term.Earlier {
		message.Earlier = append(message.Earlier, earlierHolderMessage{Holder: newHolderMessage(e.Holder), Epoch: e.Epoch})
	}
	return json.Marshal(message)
}

// nextTerm returns the term that follows a stored one. released is the revision of the holder key
// that the claim replaces: the previous holder has ended if it has released the cell. So have
// the earlier runs of this process.
func (k *candidacy) nextTerm(previous platform.Item, released int64) Term {
	term := Term{ClaimedAt: k.Clock.Now()}
	if previous.Revision == 0 {
		return term
	}
	var message termMessage
	if err := json.Unmarshal(previous.Value, &message); err != nil {
		klog.InfoS("The stored term doesn't name the earlier holders of the cell", "cell", k.cell, "err", err)
		term.EarlierUnknown = true
		return term
	}
	term.EarlierUnknown = message.EarlierUnknown
	for _, e := range message.Earlier {
		term.Earlier = append(term.Earlier, EarlierHolder{Holder: e.Holder.holder(), Epoch: e.Epoch})
	}
	if leases, ended := k.releasedAt(released); ended {
		term.Leases = leases
	} else {
		term.Earlier = append(term.Earlier, EarlierHolder{Holder: message.Holder.holder(), Epoch: previous.Revision})
	}
	term.Earlier = slices.DeleteFunc(term.Earlier, func(e EarlierHolder) bool { return e.Process == k.Self.Process })
	return term
}

// releasedAt reports whether the holder key of a revision says that the cell was released, and returns
// Term.Leases of the next term.
func (k *candidacy) releasedAt(revision int64) (leases Leases, released bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	holder, held := k.holders[k.cell]
	released = held && holder.revision == revision && holder.Process == ""
	return holder.leases, released
}

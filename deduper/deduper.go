// Package deduper ensures that the request of an idempotency key runs at most once.
// The holder of the seat that a key hashes to stores the key until the key is too
// old for any further attempt to run.
package deduper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"zinniashore.example/recorder"
	"zinniashore.example/seater"
)

// Decision is how the caller of Begin proceeds with an attempt.
type Decision string

// Decisions about attempts.
const (
	// DecisionRun runs the attempt. The caller calls Finish when it ends.
	DecisionRun Decision = "run"
	// DecisionAnswered returns the stored answer of the attempt that ran.
	DecisionAnswered Decision = "answered"
	// DecisionUnknown refuses the attempt because an earlier one may have run.
	DecisionUnknown Decision = "unknown"
	// DecisionNotRun refuses the attempt; no attempt of the key has run.
	DecisionNotRun Decision = "not_run"
)

// Outcomes with a special meaning for Finish. Any other outcome is stored with its
// answer.
const (
	// OutcomeNotRun allows a later attempt to run.
	OutcomeNotRun = "not_run"
	// OutcomeUnknown allows no later attempt to run.
	OutcomeUnknown = "unknown"
)

// EventKeyDecided is the kind of the event that records a decision about an attempt.
const EventKeyDecided recorder.Kind = "key_decided"

const (
	// DefaultSkew is the Skew of a Deduper that sets none.
	DefaultSkew = 2 * time.Second
	// DefaultAnswerBytes is the AnswerBytes of a Deduper that sets none.
	DefaultAnswerBytes = 6 << 20
)

// minSweepInterval is the minimum time between two sweeps for expired keys.
const minSweepInterval = time.Second

// Verdict is the decision about one attempt.
type Verdict struct {
	// Decision is how the caller proceeds.
	Decision Decision
	// Reason describes to the operator why the attempt was refused.
	Reason string
	// Outcome is the outcome of the attempt that ran, set for DecisionAnswered.
	Outcome string
	// Answer is the complete answer of the attempt that ran, set for
	// DecisionAnswered. It must not be modified.
	Answer []byte
	// Epoch is the epoch of the seat, set for DecisionRun.
	Epoch int64
}

// Homes maps idempotency keys to the seats that decide about them.
type Homes interface {
	// Home returns the seat that the key hashes to and its current holder.
	Home(key string) seater.Home
}

// Deduper stores idempotency keys and decides about their attempts. Its exported
// fields are set before the first call. It is safe for concurrent use.
type Deduper struct {
	// Clock provides the wall time that the creation times of keys are compared with.
	Clock clockwork.Clock
	// Recorder receives an event for each decision.
	Recorder *recorder.Recorder
	// Homes determines whether this process decides about a key.
	Homes Homes
	// Metrics is the scope for metrics. It may be nil.
	Metrics tally.Scope
	// Window is the time after its creation during which a key may run.
	Window time.Duration
	// Skew is the maximum difference between the clocks of callers and this
	// process. Zero means DefaultSkew.
	Skew time.Duration
	// Limit is the maximum number of stored keys.
	Limit int
	// AnswerBytes is the maximum total size of the stored answers, in bytes. An
	// answer that does not fit is dropped, and later attempts of its key get
	// DecisionUnknown. Zero means DefaultAnswerBytes.
	AnswerBytes int

	once        sync.Once
	mu          sync.Mutex
	entries     map[string]*entry
	storedBytes int
	latestNow   time.Time
	sweptAt     time.Time
	// waitingDuplicates is the number of duplicates that have begun to wait, in total.
	waitingDuplicates atomic.Int64
}

// entry is the stored state of a key.
type entry struct {
	mintedAt time.Time
	done     chan struct{}
	finished bool
	outcome  string
	answer   []byte
}

// Begin decides about an attempt; attempt numbers start at 1. A duplicate of a
// running attempt waits until that attempt ends or ctx is done. Begin returns a
// *KeyError for a malformed key.
func (d *Deduper) Begin(ctx context.Context, key string, attempt int) (Verdict, error) {
	d.init()
	minted, err := Minted(key)
	if err != nil {
		return Verdict{}, err
	}
	running, verdict := d.decide(key, attempt, minted)
	if running != nil {
		d.waitingDuplicates.Add(1)
		verdict = d.await(ctx, running)
	}
	d.record(key, attempt, verdict)
	return verdict, nil
}

// Confirm reports whether this process still holds the seat of the key in the epoch
// that Begin returned. Callers check it immediately before they send the request.
func (d *Deduper) Confirm(key string, epoch int64) bool {
	home := d.Homes.Home(key)
	return home.Local && home.Epoch == epoch
}

// Finish records the end of an attempt for which Begin returned DecisionRun. It
// keeps a reference to answer, which must not be modified afterwards.
func (d *Deduper) Finish(key string, outcome string, answer []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, found := d.entries[key]
	if !found || e.finished {
		return
	}
	if d.storedBytes+len(answer) > d.AnswerBytes {
		outcome, answer = OutcomeUnknown, nil
	}
	if outcome == OutcomeNotRun {
		delete(d.entries, key)
		answer = nil
	}
	d.complete(e, outcome, answer)
}

func (d *Deduper) init() {
	d.once.Do(func() {
		d.entries = map[string]*entry{}
		if d.Metrics == nil {
			d.Metrics = tally.NoopScope
		}
		if d.Skew == 0 {
			d.Skew = DefaultSkew
		}
		if d.AnswerBytes == 0 {
			d.AnswerBytes = DefaultAnswerBytes
		}
	})
}

// complete stores the outcome of an entry and wakes its waiting duplicates. The
// caller holds mu.
func (d *Deduper) complete(e *entry, outcome string, answer []byte) {
	e.outcome, e.answer, e.finished = outcome, answer, true
	d.storedBytes += len(answer)
	close(e.done)
}

// decide returns the entry of an earlier attempt to wait for, or the verdict if
// there is none.
func (d *Deduper) decide(key string, attempt int, minted time.Time) (*entry, Verdict) {
	home := d.Homes.Home(key)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if e, found := d.entries[key]; found {
		return e, Verdict{}
	}
	if !home.Local {
		return nil, refusal(attempt, "another process is the home of the key")
	}
	if now.Sub(minted) > d.Window {
		return nil, Verdict{Decision: DecisionUnknown, Reason: "the key is older than the window"}
	}
	if minted.Sub(now) > d.Skew {
		return nil, refusal(attempt, "the key is minted in the future")
	}
	if !d.coversKey(home, attempt, minted) {
		return nil, Verdict{Decision: DecisionUnknown, Reason: "the key is older than its home"}
	}
	if !d.ensureCapacity(now) {
		return nil, Verdict{Decision: DecisionNotRun, Reason: "too many keys"}
	}
	d.entries[key] = &entry{mintedAt: minted, done: make(chan struct{})}
	return nil, Verdict{Decision: DecisionRun, Epoch: home.Epoch}
}

// refusal returns the verdict of a process that has no record of earlier attempts.
// Only a first attempt is known not to have run.
func refusal(attempt int, reason string) Verdict {
	if attempt > 1 {
		return Verdict{Decision: DecisionUnknown, Reason: reason}
	}
	return Verdict{Decision: DecisionNotRun, Reason: reason}
}

// coversKey reports whether the home has held its seat since before the key was
// created, so that no attempt of a key without an entry can have run. A first
// attempt whose key is older than the home by less than the skew is accepted.
func (d *Deduper) coversKey(home seater.Home, attempt int, minted time.Time) bool {
	if attempt > 1 {
		return minted.Add(-d.Skew).After(home.Since)
	}
	return minted.Add(d.Skew).After(home.Since)
}

// now returns the latest wall time seen, so that it never goes backwards. The caller
// holds mu.
func (d *Deduper) now() time.Time {
	now := d.Clock.Now().Round(0)
	if now.After(d.latestNow) {
		d.latestNow = now
	}
	return d.latestNow
}

// ensureCapacity reports whether another key can be stored, after it has swept
// expired keys if a sweep is due. The caller holds mu.
func (d *Deduper) ensureCapacity(now time.Time) bool {
	if now.Sub(d.sweptAt) >= minSweepInterval {
		d.sweep(now)
	}
	return len(d.entries) < d.Limit
}

// sweep deletes the keys that are older than the window, which cannot run again. The
// caller holds mu.
func (d *Deduper) sweep(now time.Time) {
	d.sweptAt = now
	for key, e := range d.entries {
		if now.Sub(e.mintedAt) <= d.Window {
			continue
		}
		delete(d.entries, key)
		if !e.finished {
			d.complete(e, OutcomeUnknown, nil)
		}
		d.storedBytes -= len(e.answer)
	}
	d.Metrics.Gauge("keys_remembered").Update(float64(len(d.entries)))
}

// await waits until the attempt of the entry ends and returns the verdict for its
// duplicate.
func (d *Deduper) await(ctx context.Context, e *entry) Verdict {
	select {
	case <-e.done:
	case <-ctx.Done():
		return Verdict{Decision: DecisionUnknown, Reason: "an earlier attempt is running"}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch e.outcome {
	case OutcomeNotRun:
		return Verdict{Decision: DecisionNotRun, Reason: "the running attempt did not run"}
	case OutcomeUnknown:
		return Verdict{Decision: DecisionUnknown, Reason: "the outcome of an earlier attempt is unknown"}
	default:
		return Verdict{Decision: DecisionAnswered, Outcome: e.outcome, Answer: e.answer}
	}
}

func (d *Deduper) record(key string, attempt int, v Verdict) {
	d.Recorder.Record(recorder.Event{
		Kind: EventKeyDecided, Key: key, Attempt: attempt, Epoch: v.Epoch,
		Detail: string(v.Decision) + " " + v.Reason,
	})
	d.Metrics.Counter("keys_" + string(v.Decision)).Inc(1)
}

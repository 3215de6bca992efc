// Package deduper runs each idempotency key at most once. The holder of the seat
// that a key hashes to remembers the key until no attempt of it is run any more.
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

// Decision tells what is to be done with an attempt.
type Decision string

// Decisions about attempts.
const (
	// DecisionRun lets the attempt run. Finish has to follow.
	DecisionRun Decision = "run"
	// DecisionAnswered gives the answer of the attempt that ran.
	DecisionAnswered Decision = "answered"
	// DecisionUnknown refuses the attempt: an earlier one may have run.
	DecisionUnknown Decision = "unknown"
	// DecisionNotRun refuses the attempt: no attempt has run.
	DecisionNotRun Decision = "not_run"
)

// Outcomes that Finish treats apart. Any other outcome is kept with its answer.
const (
	// OutcomeNotRun lets a later attempt run.
	OutcomeNotRun = "not_run"
	// OutcomeUnknown lets no later attempt run.
	OutcomeUnknown = "unknown"
)

// EventKeyDecided reports a decision about an attempt.
const EventKeyDecided recorder.Kind = "key_decided"

const (
	// DefaultSkew is the Skew of a Deduper that sets none.
	DefaultSkew = 2 * time.Second
	// DefaultAnswerBytes is the AnswerBytes of a Deduper that sets none.
	DefaultAnswerBytes = 6 << 20
)

// sweepPeriod is the least time between two sweeps for keys past the window.
const sweepPeriod = time.Second

// Verdict is the decision about one attempt.
type Verdict struct {
	// Decision tells what is to be done.
	Decision Decision
	// Reason tells the operator why the attempt was refused.
	Reason string
	// Outcome and Answer are those of the attempt that ran, for DecisionAnswered.
	Outcome string
	// Answer is the whole answer. It is not to be changed.
	Answer []byte
	// Epoch is the epoch of the seat, for DecisionRun.
	Epoch int64
}

// Homes tells which seat decides about a key.
type Homes interface {
	// Home returns the seat of a key.
	Home(key string) seater.Home
}

// Deduper remembers idempotency keys. Its exported fields are set before the
// first call. It is safe for concurrent use.
type Deduper struct {
	// Clock gives the wall time that the mint times of keys are compared with.
	Clock clockwork.Clock
	// Recorder keeps the time line.
	Recorder *recorder.Recorder
	// Homes tells whether this process decides about a key.
	Homes Homes
	// Metrics takes the metrics. It may be nil.
	Metrics tally.Scope
	// Window is for how long after its mint time a key may run.
	Window time.Duration
	// Skew bounds the difference between the clocks of callers and this one.
	Skew time.Duration
	// Limit bounds the number of keys that are remembered.
	Limit int
	// AnswerBytes bounds the bytes of all answers that are remembered. An answer
	// that does not fit is dropped, and its key answered as unknown.
	AnswerBytes int

	once    sync.Once
	mu      sync.Mutex
	entries map[string]*entry
	bytes   int
	latest  time.Time
	swept   time.Time
	// waiting counts the duplicates that have begun to wait.
	waiting atomic.Int64
}

// entry is what is remembered of a key.
type entry struct {
	minted   time.Time
	ended    chan struct{}
	finished bool
	outcome  string
	answer   []byte
}

// Begin decides about an attempt, the first being 1. A duplicate of a running
// attempt waits for its end until ctx ends. Begin returns a *KeyError for a
// malformed key.
func (d *Deduper) Begin(ctx context.Context, key string, attempt int) (Verdict, error) {
	d.init()
	minted, err := Minted(key)
	if err != nil {
		return Verdict{}, err
	}
	running, verdict := d.decide(key, attempt, minted)
	if running != nil {
		d.waiting.Add(1)
		verdict = d.await(ctx, running)
	}
	d.note(key, attempt, verdict)
	return verdict, nil
}

// Confirm reports whether the key may still be sent under the epoch that Begin
// gave. It is asked right before each irreversible act.
func (d *Deduper) Confirm(key string, epoch int64) bool {
	home := d.Homes.Home(key)
	return home.Local && home.Epoch == epoch
}

// Finish ends the attempt that Begin let run. The answer is kept as it is.
func (d *Deduper) Finish(key string, outcome string, answer []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, found := d.entries[key]
	if !found || e.finished {
		return
	}
	if d.bytes+len(answer) > d.AnswerBytes {
		outcome, answer = OutcomeUnknown, nil
	}
	if outcome == OutcomeNotRun {
		delete(d.entries, key)
		answer = nil
	}
	d.end(e, outcome, answer)
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

// end closes an entry; the caller holds mu.
func (d *Deduper) end(e *entry, outcome string, answer []byte) {
	e.outcome, e.answer, e.finished = outcome, answer, true
	d.bytes += len(answer)
	close(e.ended)
}

// decide returns the running entry to wait for, or the verdict.
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
	if !d.vouches(home, attempt, minted) {
		return nil, Verdict{Decision: DecisionUnknown, Reason: "the key is older than its home"}
	}
	if !d.room(now) {
		return nil, Verdict{Decision: DecisionNotRun, Reason: "too many keys"}
	}
	d.entries[key] = &entry{minted: minted, ended: make(chan struct{})}
	return nil, Verdict{Decision: DecisionRun, Epoch: home.Epoch}
}

// refusal is the verdict of a process that knows nothing of earlier attempts.
func refusal(attempt int, reason string) Verdict {
	if attempt > 1 {
		return Verdict{Decision: DecisionUnknown, Reason: reason}
	}
	return Verdict{Decision: DecisionNotRun, Reason: reason}
}

// vouches reports whether no attempt of an unknown key can have run. A first
// attempt within the skew of a new home is trusted to be the first.
func (d *Deduper) vouches(home seater.Home, attempt int, minted time.Time) bool {
	if attempt > 1 {
		return minted.Add(-d.Skew).After(home.Since)
	}
	return minted.Add(d.Skew).After(home.Since)
}

// now returns the wall time, which never goes back; the caller holds mu.
func (d *Deduper) now() time.Time {
	now := d.Clock.Now().Round(0)
	if now.After(d.latest) {
		d.latest = now
	}
	return d.latest
}

// room makes sure that a further key can be remembered; the caller holds mu.
func (d *Deduper) room(now time.Time) bool {
	if now.Sub(d.swept) >= sweepPeriod {
		d.sweep(now)
	}
	return len(d.entries) < d.Limit
}

// sweep forgets the keys past the window, which can't run again; the caller
// holds mu.
func (d *Deduper) sweep(now time.Time) {
	d.swept = now
	for key, e := range d.entries {
		if now.Sub(e.minted) <= d.Window {
			continue
		}
		delete(d.entries, key)
		if !e.finished {
			d.end(e, OutcomeUnknown, nil)
		}
		d.bytes -= len(e.answer)
	}
	d.Metrics.Gauge("keys_remembered").Update(float64(len(d.entries)))
}

// await waits for a running attempt and returns the verdict for its duplicate.
func (d *Deduper) await(ctx context.Context, e *entry) Verdict {
	select {
	case <-e.ended:
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

func (d *Deduper) note(key string, attempt int, v Verdict) {
	d.Recorder.Record(recorder.Event{
		Kind: EventKeyDecided, Key: key, Attempt: attempt, Epoch: v.Epoch,
		Detail: string(v.Decision) + " " + v.Reason,
	})
	d.Metrics.Counter("keys_" + string(v.Decision)).Inc(1)
}

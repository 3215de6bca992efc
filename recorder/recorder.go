package recorder

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// DefaultCapacity is the number of events that a Recorder keeps when its
// Capacity is zero.
const DefaultCapacity = 8192

// MaxLead is the limit up to which a timestamp from another process may be ahead of the
// wall clock of this process.
const MaxLead = time.Minute

// Recorder keeps the most recent events of one process. Its exported fields
// are set before the first call. It is safe for concurrent use.
type Recorder struct {
	// Clock gives the wall time.
	Clock clockwork.Clock
	// Process is the id of this process.
	Process string
	// FailureDomain is the failure domain of this process.
	FailureDomain string
	// Capacity is the number of events that are kept, or zero for DefaultCapacity.
	Capacity int

	mu     sync.Mutex
	last   Timestamp
	events []Event
	next   int
}

// Record sets the process, the failure domain and the next timestamp of the event,
// stores the event and returns the timestamp. If the recorder is full, the oldest event
// is overwritten.
func (r *Recorder) Record(event Event) Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = r.last.Next(r.Clock.Now())
	event.Time = r.last
	event.Process = r.Process
	event.FailureDomain = r.FailureDomain
	r.add(event)
	return event.Time
}

// Stamp advances the clock and returns its time, to be sent to another process.
func (r *Recorder) Stamp() Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = r.last.Next(r.Clock.Now())
	return r.last
}

// Observe advances the clock to a timestamp received from another process. A timestamp
// that is ahead of the wall clock by more than MaxLead is ignored, so that one VM with a
// wrong clock can't advance the clocks of the others.
func (r *Recorder) Observe(remote Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if remote.Wall-r.Clock.Now().UnixNano() > int64(MaxLead) {
		return
	}
	if r.last.Before(remote) {
		r.last = remote
	}
}

// Events returns the stored events, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.events))
	events = append(events, r.events[r.next:]...)
	return append(events, r.events[:r.next]...)
}

func (r *Recorder) add(event Event) {
	capacity := r.Capacity
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	if len(r.events) < capacity {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % capacity
}

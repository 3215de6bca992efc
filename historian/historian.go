// Package historian records when a process learned that the store had reached a revision, so that
// it can tell since when the store has had a change.
package historian

import (
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// markInterval is the least time between two marks that are kept.
	markInterval = 100 * time.Millisecond
	// retention is how long marks are kept.
	retention = time.Minute
	// MaxGap is the longest time between two answers of the store that doesn't count as an outage. Each
	// process watches keys by requests that wait for less.
	MaxGap = 1800 * time.Millisecond
)

// Historian records the revisions of the store. Its exported fields are set before the first call. It is safe
// for concurrent use.
type Historian struct {
	Clock clockwork.Clock

	mu sync.Mutex
	// marks are in the order of their times and of their revisions.
	marks []mark
	// answeredAt is when the store last answered.
	answeredAt time.Time
}

// mark is a time at which the store was known to have reached a revision. outage is true if the store hadn't
// answered for longer than MaxGap before.
type mark struct {
	revision int64
	at       time.Time
	outage   bool
}

// Reached records that an answer of the store has shown that it has reached a revision.
func (h *Historian) Reached(revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	outage := !h.answeredAt.IsZero() && now.Sub(h.answeredAt) > MaxGap
	h.answeredAt = now
	if n := len(h.marks); n > 0 {
		last := h.marks[n-1]
		revision = max(revision, last.revision)
		if !outage && (revision == last.revision || now.Sub(last.at) < markInterval) {
			return
		}
	}
	h.marks = append(h.marks, mark{revision: revision, at: now, outage: outage})
	expired := sort.Search(len(h.marks), func(i int) bool { return now.Sub(h.marks[i].at) <= retention })
	h.marks = append([]mark(nil), h.marks[expired:]...)
}

// Since returns a time at which the store already had the change of a revision. If the store hasn't answered this process
// for longer than MaxGap since, the time is that of the first answer after that. It reports false if no such time is known.
func (h *Historian) Since(revision int64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.Clock.Now().Sub(h.answeredAt) > MaxGap {
		return time.Time{}, false
	}
	first := sort.Search(len(h.marks), func(i int) bool { return h.marks[i].revision >= revision })
	if first == len(h.marks) {
		return time.Time{}, false
	}
	since := h.marks[first].at
	for _, m := range h.marks[first:] {
		if m.outage {
			since = m.at
		}
	}
	return since, true
}

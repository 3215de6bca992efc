// Package limiter holds the requests that wait for a slot: a bounded queue that
// knows deadlines, priorities and organisations, and refuses early what cannot
// finish in time.
package limiter

import (
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// DefaultLength is the number of waiting requests of a Limiter whose Length
	// is zero.
	DefaultLength = 1024
	// DefaultBytes is the size of the waiting requests of a Limiter whose Bytes
	// is zero.
	DefaultBytes = 8 << 20

	smallestRetryAfter = 20 * time.Millisecond
	largestRetryAfter  = 5 * time.Second
)

// Reason tells why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonDeadline means that it could not have finished in time.
	ReasonDeadline Reason = "deadline"
	// ReasonFull means that the queue was full of requests that go first.
	ReasonFull Reason = "full"
	// ReasonShed means that it waited and made room for another request.
	ReasonShed Reason = "shed"
)

// RefusedError is the refusal of a request that did not run.
type RefusedError struct {
	// Reason tells why.
	Reason Reason
	// RetryAfter is when a retry has a chance.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %v", e.Reason, e.RetryAfter)
}

// Claim describes a request that asks for a slot.
type Claim struct {
	// Organisation owns the service. Room in the queue is fair among organisations.
	Organisation string
	// Queue names the group of slots that it waits for.
	Queue string
	// Priority goes first where it is higher. Below zero is batch.
	Priority int
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Bytes is the memory that it holds while it waits.
	Bytes int
}

// Load is how busy the slots are that a Claim waits for.
type Load struct {
	// Slots is how many there are.
	Slots int
	// ServiceTime is how long one is held for a request.
	ServiceTime time.Duration
}

// Waiter is a claim in the queue.
type Waiter struct {
	// Claim is what it asks for.
	Claim Claim
	// Ready receives one value: a *RefusedError from the Limiter, or nil from
	// whoever popped it.
	Ready chan error

	sequence uint64
}

// Limiter is a bounded queue over all slots of an entry VM. Its exported fields
// are set before the first call. It is safe for concurrent use.
type Limiter struct {
	// Clock gives the time.
	Clock clockwork.Clock
	// Length is how many requests wait at most.
	Length int
	// Bytes is the memory that they hold at most.
	Bytes int

	mu       sync.Mutex
	sequence uint64
	bytes    int
	waiting  map[string][]*Waiter
	held     map[string]int
	count    int
}

// Push queues a claim. It returns a *RefusedError where the claim cannot finish
// before its deadline, or where the queue is full of claims that go first.
func (l *Limiter) Push(claim Claim, load Load) (*Waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start()
	wait := l.wait(claim, load)
	if l.Clock.Now().Add(wait + load.ServiceTime).After(claim.Deadline) {
		return nil, &RefusedError{Reason: ReasonDeadline, RetryAfter: retryAfter(wait)}
	}
	for l.full(claim) {
		victim := l.victim(claim)
		if victim == nil {
			return nil, &RefusedError{Reason: ReasonFull, RetryAfter: retryAfter(wait)}
		}
		l.remove(victim)
		victim.Ready <- &RefusedError{Reason: ReasonShed, RetryAfter: retryAfter(wait)}
	}
	return l.insert(claim), nil
}

// Pop takes the claim that goes first out of a queue, or nil if none waits.
// Claims that can no longer finish in time are refused on the way.
func (l *Limiter) Pop(queue string, load Load) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for len(l.waiting[queue]) > 0 {
		first := l.waiting[queue][0]
		l.remove(first)
		if !now.Add(load.ServiceTime).After(first.Claim.Deadline) {
			return first
		}
		first.Ready <- &RefusedError{Reason: ReasonDeadline, RetryAfter: smallestRetryAfter}
	}
	return nil
}

// Withdraw takes a waiter out of its queue. It reports false where the waiter
// was popped or refused before.
func (l *Limiter) Withdraw(w *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remove(w)
}

// Waiting returns how many claims wait in a queue.
func (l *Limiter) Waiting(queue string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting[queue])
}

// Wait returns how long a claim would wait in its queue.
func (l *Limiter) Wait(claim Claim, load Load) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wait(claim, load)
}

func (l *Limiter) start() {
	if l.waiting != nil {
		return
	}
	l.waiting = map[string][]*Waiter{}
	l.held = map[string]int{}
	if l.Length == 0 {
		l.Length = DefaultLength
	}
	if l.Bytes == 0 {
		l.Bytes = DefaultBytes
	}
}

func (l *Limiter) wait(claim Claim, load Load) time.Duration {
	ahead := 0
	for _, w := range l.waiting[claim.Queue] {
		if w.Claim.Priority >= claim.Priority {
			ahead++
		}
	}
	rounds := float64(ahead+1) / float64(max(load.Slots, 1))
	return time.Duration(rounds * float64(load.ServiceTime))
}

func (l *Limiter) full(claim Claim) bool {
	return l.count >= l.Length || l.bytes+claim.Bytes > l.Bytes
}

// victim returns the waiter that makes room for a claim: of lower priority, or
// of an organisation that holds more of the queue than the claim's would.
func (l *Limiter) victim(claim Claim) *Waiter {
	var worst *Waiter
	for _, queue := range l.waiting {
		for _, w := range queue {
			if worst == nil || l.yields(w, worst) {
				worst = w
			}
		}
	}
	if worst == nil {
		return nil
	}
	if worst.Claim.Priority != claim.Priority {
		if worst.Claim.Priority < claim.Priority {
			return worst
		}
		return nil
	}
	if l.held[worst.Claim.Organisation] > l.held[claim.Organisation]+1 {
		return worst
	}
	return nil
}

// yields reports whether v makes room before w.
func (l *Limiter) yields(v, w *Waiter) bool {
	if v.Claim.Priority != w.Claim.Priority {
		return v.Claim.Priority < w.Claim.Priority
	}
	held, other := l.held[v.Claim.Organisation], l.held[w.Claim.Organisation]
	if held != other {
		return held > other
	}
	return v.sequence > w.sequence
}

func (l *Limiter) insert(claim Claim) *Waiter {
	l.sequence++
	w := &Waiter{Claim: claim, Ready: make(chan error, 1), sequence: l.sequence}
	queue := l.waiting[claim.Queue]
	at := len(queue)
	for at > 0 && queue[at-1].Claim.Priority < claim.Priority {
		at--
	}
	queue = append(queue, nil)
	copy(queue[at+1:], queue[at:])
	queue[at] = w
	l.waiting[claim.Queue] = queue
	l.held[claim.Organisation]++
	l.bytes += claim.Bytes
	l.count++
	return w
}

func (l *Limiter) remove(w *Waiter) bool {
	queue := l.waiting[w.Claim.Queue]
	for i, other := range queue {
		if other != w {
			continue
		}
		l.waiting[w.Claim.Queue] = append(queue[:i], queue[i+1:]...)
		if len(queue) == 1 {
			delete(l.waiting, w.Claim.Queue)
		}
		l.release(w.Claim)
		return true
	}
	return false
}

func (l *Limiter) release(claim Claim) {
	l.count--
	l.bytes -= claim.Bytes
	l.held[claim.Organisation]--
	if l.held[claim.Organisation] == 0 {
		delete(l.held, claim.Organisation)
	}
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, smallestRetryAfter), largestRetryAfter)
}

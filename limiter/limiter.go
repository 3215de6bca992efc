// Package limiter implements the bounded queue of requests that wait for a slot. It
// orders requests by priority, shares its capacity fairly among organisations, and
// refuses a request early if it cannot finish before its deadline.
package limiter

import (
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// DefaultLength is the maximum number of waiting requests of a Limiter whose
	// Length is zero.
	DefaultLength = 1024
	// DefaultBytes is the maximum total size, in bytes, of the waiting requests of a
	// Limiter whose Bytes is zero.
	DefaultBytes = 8 << 20

	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Reason is why a request was refused.
type Reason string

// Reasons for refusals.
const (
	// ReasonDeadline means that the request could not have finished before its
	// deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonFull means that the queue was full of requests that take precedence.
	ReasonFull Reason = "full"
	// ReasonShed means that the request was queued and then removed in favour of
	// another one.
	ReasonShed Reason = "shed"
)

// RefusedError reports that a request was refused and did not run.
type RefusedError struct {
	// Reason is why the request was refused.
	Reason Reason
	// RetryAfter is the delay after which a retry may succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %v", e.Reason, e.RetryAfter)
}

// Request describes a request for a slot.
type Request struct {
	// Organisation owns the service. The capacity of the queue is shared fairly among
	// organisations.
	Organisation string
	// Queue names the group of slots that the request waits for.
	Queue string
	// Priority orders requests; higher values go first. Negative values are batch
	// requests.
	Priority int
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Bytes is the memory that the request holds while it waits.
	Bytes int
}

// Load describes the slots of a queue.
type Load struct {
	// Slots is the number of slots.
	Slots int
	// ServiceTime is the time for which a request holds a slot.
	ServiceTime time.Duration
}

// QueuedRequest is a request in the queue.
type QueuedRequest struct {
	// Request describes the request.
	Request Request
	// Ready receives one value: a *RefusedError from the Limiter, or nil from the
	// caller of Pop.
	Ready chan error

	sequence uint64
}

// Limiter is a bounded queue of the requests that wait for any slot of an entry VM.
// Its exported fields must be set before the first call. It is safe for concurrent use.
type Limiter struct {
	// Clock is the source of the current time.
	Clock clockwork.Clock
	// Length is the maximum number of waiting requests, DefaultLength if zero.
	Length int
	// Bytes is the maximum total size of the waiting requests, DefaultBytes if zero.
	Bytes int

	mu                  sync.Mutex
	sequence            uint64
	waitingBytes        int
	waiting             map[string][]*QueuedRequest
	countByOrganisation map[string]int
	count               int
}

// Push queues a request. It returns a *RefusedError if the request cannot finish before
// its deadline, or if the queue is full of requests that take precedence.
func (l *Limiter) Push(request Request, load Load) (*QueuedRequest, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	wait := l.estimateWait(request, load)
	if l.Clock.Now().Add(wait + load.ServiceTime).After(request.Deadline) {
		return nil, &RefusedError{Reason: ReasonDeadline, RetryAfter: retryAfter(wait)}
	}
	for l.full(request) {
		victim := l.victim(request)
		if victim == nil {
			return nil, &RefusedError{Reason: ReasonFull, RetryAfter: retryAfter(wait)}
		}
		l.remove(victim)
		victim.Ready <- &RefusedError{Reason: ReasonShed, RetryAfter: retryAfter(wait)}
	}
	return l.insert(request), nil
}

// Pop removes the first request of a queue and returns it, or nil if the queue is empty.
// It refuses the requests before it that can no longer finish before their deadlines.
func (l *Limiter) Pop(queue string, load Load) *QueuedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for len(l.waiting[queue]) > 0 {
		first := l.waiting[queue][0]
		l.remove(first)
		if !now.Add(load.ServiceTime).After(first.Request.Deadline) {
			return first
		}
		first.Ready <- &RefusedError{Reason: ReasonDeadline, RetryAfter: minRetryAfter}
	}
	return nil
}

// Withdraw removes a request from its queue. It returns false if the request was
// already popped or refused.
func (l *Limiter) Withdraw(w *QueuedRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remove(w)
}

// Waiting returns the number of requests in a queue.
func (l *Limiter) Waiting(queue string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting[queue])
}

// Wait estimates how long a request would wait in its queue.
func (l *Limiter) Wait(request Request, load Load) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimateWait(request, load)
}

func (l *Limiter) initialize() {
	if l.waiting != nil {
		return
	}
	l.waiting = map[string][]*QueuedRequest{}
	l.countByOrganisation = map[string]int{}
	if l.Length == 0 {
		l.Length = DefaultLength
	}
	if l.Bytes == 0 {
		l.Bytes = DefaultBytes
	}
}

func (l *Limiter) estimateWait(request Request, load Load) time.Duration {
	ahead := 0
	for _, w := range l.waiting[request.Queue] {
		if w.Request.Priority >= request.Priority {
			ahead++
		}
	}
	rounds := float64(ahead+1) / float64(max(load.Slots, 1))
	return time.Duration(rounds * float64(load.ServiceTime))
}

func (l *Limiter) full(request Request) bool {
	return l.count >= l.Length || l.waitingBytes+request.Bytes > l.Bytes
}

// victim returns the waiting request to shed in favour of a new one, or nil if there is
// none. The victim has a lower priority, or the same priority and an organisation with
// more waiting requests than the new request's organisation would have.
func (l *Limiter) victim(request Request) *QueuedRequest {
	var worst *QueuedRequest
	for _, queue := range l.waiting {
		for _, w := range queue {
			if worst == nil || l.shedBefore(w, worst) {
				worst = w
			}
		}
	}
	if worst == nil {
		return nil
	}
	if worst.Request.Priority != request.Priority {
		if worst.Request.Priority < request.Priority {
			return worst
		}
		return nil
	}
	if l.countByOrganisation[worst.Request.Organisation] > l.countByOrganisation[request.Organisation]+1 {
		return worst
	}
	return nil
}

// shedBefore reports whether v is shed before w: lower priorities first, then
// organisations with more waiting requests, then the newest request.
func (l *Limiter) shedBefore(v, w *QueuedRequest) bool {
	if v.Request.Priority != w.Request.Priority {
		return v.Request.Priority < w.Request.Priority
	}
	count, otherCount := l.countByOrganisation[v.Request.Organisation], l.countByOrganisation[w.Request.Organisation]
	if count != otherCount {
		return count > otherCount
	}
	return v.sequence > w.sequence
}

func (l *Limiter) insert(request Request) *QueuedRequest {
	l.sequence++
	w := &QueuedRequest{Request: request, Ready: make(chan error, 1), sequence: l.sequence}
	queue := l.waiting[request.Queue]
	at := len(queue)
	for at > 0 && queue[at-1].Request.Priority < request.Priority {
		at--
	}
	queue = append(queue, nil)
	copy(queue[at+1:], queue[at:])
	queue[at] = w
	l.waiting[request.Queue] = queue
	l.countByOrganisation[request.Organisation]++
	l.waitingBytes += request.Bytes
	l.count++
	return w
}

func (l *Limiter) remove(w *QueuedRequest) bool {
	queue := l.waiting[w.Request.Queue]
	for i, other := range queue {
		if other != w {
			continue
		}
		l.waiting[w.Request.Queue] = append(queue[:i], queue[i+1:]...)
		if len(queue) == 1 {
			delete(l.waiting, w.Request.Queue)
		}
		l.release(w.Request)
		return true
	}
	return false
}

func (l *Limiter) release(request Request) {
	l.count--
	l.waitingBytes -= request.Bytes
	l.countByOrganisation[request.Organisation]--
	if l.countByOrganisation[request.Organisation] == 0 {
		delete(l.countByOrganisation, request.Organisation)
	}
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

package throttler

import (
	"fmt"

	"golang.org/x/sync/semaphore"
)

// smallRequest is the memory, in bytes, up to which a request may use the whole budget. What
// a request takes beyond it comes from the half for large requests, so that large bodies that
// stop before their end leave room for ordinary ones.
const smallRequest = 64 << 10

// RefusedError reports that a request found the memory for requests used up. It has not run.
type RefusedError struct {
	// Bytes is the memory that was requested.
	Bytes int64
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no memory left for %d bytes of a request", e.Bytes)
}

// Budget is the memory for requests in progress. It is safe for concurrent use.
type Budget struct {
	// all is the whole memory, large the half for what requests take beyond smallRequest.
	all, large *semaphore.Weighted
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{all: semaphore.NewWeighted(bytes), large: semaphore.NewWeighted(bytes / 2)}
}

// share is the part of a Budget that a request holds.
type share struct {
	budget *Budget
	// all and large are the bytes taken from the parts of the budget.
	all, large int64
}

// take adds bytes to the share. It returns a *RefusedError if the budget is used up.
func (s *share) take(bytes int64) error {
	large := max(0, s.all+bytes-smallRequest) - s.large
	if !s.budget.large.TryAcquire(large) {
		return &RefusedError{Bytes: bytes}
	}
	if !s.budget.all.TryAcquire(bytes) {
		s.budget.large.Release(large)
		return &RefusedError{Bytes: bytes}
	}
	s.all += bytes
	s.large += large
	return nil
}

// release returns the share to the budget.
func (s *share) release() {
	s.budget.all.Release(s.all)
	s.budget.large.Release(s.large)
	s.all, s.large = 0, 0
}

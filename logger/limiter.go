package logger

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limiter limits the rate of the log lines of one kind. It is safe for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	limiter    *rate.Limiter
	suppressed int
}

// NewLimiter returns a Limiter of a number of lines a second, and of a burst.
func NewLimiter(perSecond, burst int) *Limiter {
	return &Limiter{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Admit reports whether to write a line now and, if so, how many lines were suppressed since
// the last one.
func (l *Limiter) Admit(now time.Time) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limiter.AllowN(now, 1) {
		l.suppressed++
		return false, 0
	}
	suppressed := l.suppressed
	l.suppressed = 0
	return true, suppressed
}

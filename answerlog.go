package zinniashore

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/dispatcher"
	"zinniashore.example/logger"
)

const (
	// answerLinesPerSecond and answerLineBurst limit the log lines with the same message.
	answerLinesPerSecond = 20
	answerLineBurst      = 60
	// maxToldAnswers bounds the answers that are remembered.
	maxToldAnswers = 4096
)

// answerLog logs what clients are told of jobs that don't run any more, and jobs that are left to the store. The zero
// value is ready for use. It is safe for concurrent use.
type answerLog struct {
	mu       sync.Mutex
	limiters map[string]*logger.Limiter
	// told holds the jobs that were logged as cancelled, and those as unknown.
	told map[toldAnswer]bool
}

// toldAnswer is a state that clients were told of a job; an empty one is that no such job exists.
type toldAnswer struct {
	job   string
	state dispatcher.State
}

// log writes a line unless there were too many of its kind.
func (l *answerLog) log(now time.Time, message string, fields ...any) {
	l.mu.Lock()
	if l.limiters == nil {
		l.limiters = map[string]*logger.Limiter{}
	}
	limiter, known := l.limiters[message]
	if !known {
		limiter = logger.NewLimiter(answerLinesPerSecond, answerLineBurst)
		l.limiters[message] = limiter
	}
	l.mu.Unlock()
	if logged, suppressed := limiter.Admit(now); logged {
		klog.InfoSDepth(1, message, append(fields, "left_out", suppressed)...)
	}
}

// first reports whether an answer is given for the first time, as far as is remembered, and remembers it.
func (l *answerLog) first(answer toldAnswer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told[answer] {
		return false
	}
	if l.told == nil || len(l.told) >= maxToldAnswers {
		l.told = map[toldAnswer]bool{}
	}
	l.told[answer] = true
	return true
}

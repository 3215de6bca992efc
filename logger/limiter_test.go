package logger_test

import (
	"testing"
	"time"

	"zinniashore.example/logger"
)

// TestLimiter checks that lines beyond the burst are suppressed, and counted with the next one.
func TestLimiter(t *testing.T) {
	const burst, lines = 3, 10
	l := logger.NewLimiter(1, burst)
	now := time.Unix(0, 0)
	admitted := 0
	for range lines {
		if logged, _ := l.Admit(now); logged {
			admitted++
		}
	}
	if admitted != burst {
		t.Errorf("%d lines at one time, want %d", admitted, burst)
	}
	if logged, suppressed := l.Admit(now.Add(time.Second)); !logged || suppressed != lines-burst {
		t.Errorf("a second later: logged %t, %d suppressed; want true, %d", logged, suppressed, lines-burst)
	}
}

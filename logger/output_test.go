package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniashore.example/logger"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *stuckWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(line)
}

func TestOutputNeverBlocks(t *testing.T) {
	target := &stuckWriter{release: make(chan struct{})}
	output := logger.NewOutput(target)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 5000 {
			if _, err := output.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks on a stuck output")
	}
	if output.Dropped() == 0 {
		t.Error("no line was dropped though the output is stuck")
	}
	close(target.release)
	if err := output.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(target.written.String(), "lines left out") {
		t.Error("the output doesn't report the dropped lines")
	}
}

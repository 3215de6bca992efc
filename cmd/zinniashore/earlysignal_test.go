package main

import (
	"testing"
	"time"
)

// TestSignalBeforeHandler guards against a process that serves on after SIGTERM until it is killed, as the signal came
// before the process had its handler and go-zero had caught it.
func TestSignalBeforeHandler(t *testing.T) {
	caught := make(chan struct{})
	close(caught)
	ctx, stop := untilTerminated(t.Context(), caught)
	defer stop()
	select {
	case <-ctx.Done():
	case <-time.After(platformWait):
		t.Errorf("the process runs on for %s", platformWait)
	}
}

package claimer_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/logger"
)

// claimWaitTests are the cases of TestClaimWaitIsLogged: how the last holder ends, and what the log of the next one
// reports.
var claimWaitTests = map[string]struct {
	released, alive bool
	unanswered      int
	want            []string
}{
	"it releases the cell": {released: true, want: []string{`reason="delay"`, `"Free cell claimed" cell="graz-a"`, `lastHolderActs="0s"`}},
	"it is lost":           {want: []string{`reason="delay"`, `lastHolder="edge-1"`, `"Free cell claimed" cell="graz-a"`}},
	"it is lost, and doesn't answer before that": {
		unanswered: 2, want: []string{`reason="registration" for="0s" left="no bound" lastHolder="edge-1"`, `"Free cell claimed" cell="graz-a"`},
	},
	"it answers that it acts": {alive: true, want: []string{`reason="last_holder_acts"`, `lastHolderActs="1.`}},
}

// TestClaimWaitIsLogged guards against a free cell whose claim waits without a log line that says why.
func TestClaimWaitIsLogged(t *testing.T) {
	for name, test := range claimWaitTests {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			closeLog, err := logger.UseOutput(&log)
			if err != nil {
				t.Fatal(err)
			}
			defer klog.LogToStderr(true)
			h, _, address := newHarness(t)
			h.alive = map[string]bool{"edge-1": test.alive}
			h.unanswered = map[string]int{"edge-1": test.unanswered}
			silent := make(chan struct{})
			h.silence(address, "edge-1", silent)
			stop := h.start(t, "edge-1", address)
			receive(t, h.began)
			stopNext := h.start(t, "edge-2", address)
			h.awaitKnown(t, "edge-2", "edge-1")
			time.Sleep(500 * time.Millisecond) // longer than two polls of the claims
			if test.released {
				stop()
			} else {
				close(silent)
				expireClaim(t, address)
			}
			receive(t, h.began)
			stopNext()
			closeLog()
			requireLines(t, log.String(), test.want)
		})
	}
}

// requireLines fails unless a log contains texts, and each reason of a wait at most twice: once a process.
func requireLines(t *testing.T, log string, want []string) {
	t.Helper()
	for _, text := range want {
		if !strings.Contains(log, text) {
			t.Errorf("the log lacks %s:\n%s", text, log)
		}
	}
	for _, reason := range []string{"delay", "registration", "last_holder_acts", "store"} {
		if lines := strings.Count(log, `reason="`+reason+`"`); lines > 2 {
			t.Errorf("%d lines with reason %s, want at most 2:\n%s", lines, reason, log)
		}
	}
}

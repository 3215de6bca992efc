package zinniashore

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"zinniashore.example/acceptor"
	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
	"zinniashore.example/logger"
	"zinniashore.example/platform"
)

// captureLog collects the log until the test ends. The returned function writes what is buffered and returns all of it.
func captureLog(t *testing.T) func() string {
	t.Helper()
	var lines bytes.Buffer
	closeLog, err := logger.UseOutput(&lines)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { klog.LogToStderr(true) })
	return func() string {
		closeLog()
		return lines.String()
	}
}

// TestAnswersInLog guards against a job that a client is told is gone or cancelled without a log line that names the source,
// and against a line for each request.
func TestAnswersInLog(t *testing.T) {
	const requests = 5
	accept := func(t *testing.T, r *jobRouter) {
		jobs := []archiver.AcceptedJob{{ID: testJob, Cell: testCell, Record: encodeTestJob(t)}}
		if err := r.archiver.Accept(t.Context(), jobs); err != nil {
			t.Fatal(err)
		}
	}
	tests := map[string]struct {
		prepare func(*testing.T, *jobRouter)
		want    string
	}{
		"never accepted": {
			prepare: func(*testing.T, *jobRouter) {},
			want:    `"Told a client that no such job was accepted" job="` + testJob + `" formerCell="" source="store" left_out=0`,
		},
		"accepted, and removed from the store": {
			prepare: func(t *testing.T, r *jobRouter) {
				if _, err := r.State(t.Context(), testJob); !errors.Is(err, acceptor.ErrUnknown) {
					t.Fatalf("State() before the acceptance = %v, want %v", err, acceptor.ErrUnknown)
				}
				r.cacheCell(testJob, testCell)
			},
			want: `"Told a client that no such job was accepted" job="` + testJob + `" formerCell="graz-a" source="store" left_out=0`,
		},
		"cancelled": {
			prepare: func(t *testing.T, r *jobRouter) {
				accept(t, r)
				storeProgress(t, r, dispatcher.Progress{State: dispatcher.StateCancelled})
			},
			want: `"Told a client that a job was cancelled" job="` + testJob + `" cell="graz-a" source="store" holder="" cause="" left_out=0`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(startTestStore(t), rate.NewLimiter(1, 1))
			test.prepare(t, router)
			logged := captureLog(t)
			for range requests {
				if _, err := router.State(t.Context(), testJob); err != nil && !errors.Is(err, acceptor.ErrUnknown) {
					t.Fatal(err)
				}
			}
			lines := logged()
			if !strings.Contains(lines, test.want) {
				t.Errorf("no line with %s in\n%s", test.want, lines)
			}
			if count := strings.Count(lines, "Told a client"); count != 1 {
				t.Errorf("%d lines for %d requests, want 1", count, requests)
			}
		})
	}
}

// storeProgress stores the progress of the test job.
func storeProgress(t *testing.T, r *jobRouter, progress dispatcher.Progress) {
	t.Helper()
	content, err := dispatcher.EncodeProgress(progress)
	if err != nil {
		t.Fatal(err)
	}
	transaction := platform.Transaction{Writes: []platform.Item{{Key: "zinniashore/progress/" + testCell + "/" + testJob, Value: content}}}
	if _, err := r.archiver.Store.Commit(t.Context(), transaction); err != nil {
		t.Fatal(err)
	}
}

// TestUndeliveredJobInLog guards against an accepted job that no process can be sent to, without a log line about it.
func TestUndeliveredJobInLog(t *testing.T) {
	router := newTestRouter(startTestStore(t), rate.NewLimiter(1, 1))
	logged := captureLog(t)
	const jobs = 3 * answerLineBurst
	for range jobs {
		router.Deliver(dispatcher.Job{ID: testJob}, nil, testCell)
	}
	lines := logged()
	if want := `"No process to deliver a job to; the next holder of its cell reads it from the store" job="` + testJob + `" cell="graz-a" lastHolder="" left_out=0`; !strings.Contains(lines, want) {
		t.Errorf("no line with %s in\n%s", want, lines)
	}
	if count := strings.Count(lines, "No process to deliver"); count >= jobs {
		t.Errorf("%d lines for %d jobs at one time", count, jobs)
	}
}

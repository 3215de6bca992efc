package dispatcher_test

import (
	"strings"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
	"zinniashore.example/recorder"
)

// runLogTests are the cases of TestReasonsInLog: what happens to the worker of a run, and what the log has to
// tell by kind of event. The last start is that of the second run.
var runLogTests = map[string]struct {
	change func(s *simulation, f *fakeWorker)
	want   map[recorder.Kind][]string
}{
	"it is cut off until its registration is gone": {
		change: func(s *simulation, f *fakeWorker) {
			f.reachable = false
			s.runFor(5 * time.Second)
			s.unregister(f)
		},
		want: map[recorder.Kind][]string{
			dispatcher.KindLost:   {"lease lapsed; ", "ready at 127.0.0.1:7000", "unregistered for 3s", "silent", "last answered poll: 8", "lease expired: true", "last listed: 8"},
			dispatcher.KindStart:  {"on w0", "lease lapsed"},
			dispatcher.KindWorker: {"lease lapsed on 1 runs, lost: true"},
		},
	},
	"it restarts": {
		change: func(s *simulation, f *fakeWorker) {
			f.reboot()
			s.register(f)
		},
		want: map[recorder.Kind][]string{
			dispatcher.KindLost:   {"worker started anew; confirmed", "registered", "lease expired: false"},
			dispatcher.KindStart:  {"on w0", "worker started anew"},
			dispatcher.KindWorker: {"started anew, 1 runs, kept: false", "ready at 127.0.0.1:7000"},
		},
	},
	"it drains and is succeeded": {
		change: func(s *simulation, f *fakeWorker) {
			s.drain(f)
			s.register(s.succeed(f))
		},
		want: map[recorder.Kind][]string{
			dispatcher.KindLost:   {"lease of an earlier process lapsed"},
			dispatcher.KindStart:  {"on w0", "lease of an earlier process lapsed"},
			dispatcher.KindWorker: {"started anew, 1 runs, kept: true", "draining at 127.0.0.1:7000"},
		},
	},
}

// TestReasonsInLog guards against a second run of a task whose reason the log doesn't tell: why the first run
// was given up, and what was known of its worker then, also if some lines are left out.
func TestReasonsInLog(t *testing.T) {
	for name, test := range runLogTests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(1)
			s.submit(plainJob(jobID, 1, 20*time.Second, 1))
			s.runFor(time.Second)
			f := s.workers[0]
			other := newSimulation(2).workers[1]
			other.simulation = s
			s.workers = append(s.workers, other)
			s.register(other)
			s.runFor(200 * time.Millisecond)
			test.change(s, f)
			s.runFor(10 * time.Second)
			if starts := s.countEvents(dispatcher.KindStart, dispatcher.TaskID{Job: jobID}); starts != 2 {
				t.Fatalf("the task was started %d times, want twice", starts)
			}
			for kind, parts := range test.want {
				s.requireDetail(t, kind, parts)
			}
			requireNoViolations(t, s)
		})
	}
}

// requireDetail checks that an event of a kind has a detail with all parts.
func (s *simulation) requireDetail(t *testing.T, kind recorder.Kind, parts []string) {
	t.Helper()
	var details []string
	for _, e := range s.events.recorded {
		missing := e.Kind != kind
		for _, part := range parts {
			missing = missing || !strings.Contains(e.Detail, part)
		}
		if !missing {
			return
		}
		if e.Kind == kind {
			details = append(details, e.Detail)
		}
	}
	t.Errorf("no %s event tells %q, but:\n%s", kind, parts, strings.Join(details, "\n"))
}

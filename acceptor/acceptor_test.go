package acceptor_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"zinniashore.example/acceptor"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
	"zinniashore.example/throttler"
)

type fakeConfigurations struct{ age time.Duration }

func (fakeConfigurations) Configuration() (platform.Configuration, bool) {
	return platform.Configuration{Version: 3, Queues: []dispatcher.Queue{{Name: "quotes", Host: "shop.example", Prefix: "/quotes/"}}}, true
}

func (c fakeConfigurations) Age() time.Duration { return c.age }

// fakeJobs reports each job as running.
type fakeJobs struct{ acceptor.JobService }

func (fakeJobs) State(context.Context, string) (dispatcher.State, error) {
	return dispatcher.StateRunning, nil
}

// TestStoreOutOfReach checks that a submission is refused with a Retry-After header
// while the store is unreachable, and that a request that doesn't need the store is
// answered.
func TestStoreOutOfReach(t *testing.T) {
	const path = "/quotes/00000000000000a1"
	tests := map[string]struct {
		method     string
		want       int
		retryAfter bool
	}{
		"a job is refused":    {method: http.MethodPost, want: http.StatusServiceUnavailable, retryAfter: true},
		"a state is answered": {method: http.MethodGet, want: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := &acceptor.Acceptor{
				Clock: clockwork.NewRealClock(), Configurations: fakeConfigurations{}, Jobs: fakeJobs{},
				StoreReached: func() bool { return false },
			}
			request := httptest.NewRequest(test.method, path, strings.NewReader(`{"spec":"x","phases":[{"count":1}]}`))
			request.Host = "shop.example"
			answer := httptest.NewRecorder()
			a.ServeHTTP(answer, request)
			if answer.Code != test.want || (answer.Header().Get("Retry-After") != "") != test.retryAfter {
				t.Errorf("status %d, Retry-After %q; want %d", answer.Code, answer.Header().Get("Retry-After"), test.want)
			}
		})
	}
}

// TestSubmissionAtExit guards against an answer by which a job may have been accepted, although the process that
// is about to exit hasn't sent anything of it to the store.
func TestSubmissionAtExit(t *testing.T) {
	serving, exit := context.WithCancel(t.Context())
	exit()
	a := &acceptor.Acceptor{
		Clock: clockwork.NewRealClock(), Configurations: fakeConfigurations{}, Jobs: fakeJobs{}, Serving: serving,
		StoreReached: func() bool { return true },
	}
	request := httptest.NewRequest(http.MethodPost, "/quotes/00000000000000a1", strings.NewReader(`{"spec":"x","phases":[{"count":1}]}`))
	request.Host = "shop.example"
	answer := httptest.NewRecorder()
	a.ServeHTTP(answer, request)
	if answer.Code != http.StatusServiceUnavailable || answer.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q; want %d", answer.Code, answer.Header().Get("Retry-After"), http.StatusServiceUnavailable)
	}
}

// TestUnknownQueueIsLogged checks that a refusal names the version of the configuration
// that it follows from and its age, at a limited rate.
func TestUnknownQueueIsLogged(t *testing.T) {
	var lines bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&lines)
	t.Cleanup(func() {
		klog.SetOutput(io.Discard)
		klog.LogToStderr(true)
	})
	a := &acceptor.Acceptor{Clock: clockwork.NewFakeClock(), Configurations: fakeConfigurations{age: time.Second}, Jobs: fakeJobs{}}
	const requests = 100
	for range requests {
		request := httptest.NewRequest(http.MethodGet, "/other/", nil)
		answer := httptest.NewRecorder()
		a.ServeHTTP(answer, request)
		if answer.Code != http.StatusNotFound {
			t.Fatalf("status %d, want 404", answer.Code)
		}
	}
	klog.Flush()
	logged := lines.String()
	if want := `"No such queue" host="example.com" path="/other/" status=404 version=3 age="1s"`; !strings.Contains(logged, want) {
		t.Errorf("no line with %s in\n%s", want, logged)
	}
	if count := strings.Count(logged, "No such queue"); count >= requests {
		t.Errorf("%d lines for %d requests at one time", count, requests)
	}
}

// TestUnknownQueueOfOldConfiguration guards against a 404 for a queue that has been added
// since the store last answered.
func TestUnknownQueueOfOldConfiguration(t *testing.T) {
	tests := map[string]struct {
		age        time.Duration
		want       int
		retryAfter bool
	}{
		"current configuration":     {age: 1400 * time.Millisecond, want: http.StatusNotFound},
		"may lack confirmed queues": {age: 1600 * time.Millisecond, want: http.StatusServiceUnavailable, retryAfter: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := &acceptor.Acceptor{Clock: clockwork.NewRealClock(), Configurations: fakeConfigurations{age: test.age}, Jobs: fakeJobs{}}
			answer := httptest.NewRecorder()
			a.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/other/", nil))
			if answer.Code != test.want || (answer.Header().Get("Retry-After") != "") != test.retryAfter {
				t.Errorf("status %d, Retry-After %q; want %d", answer.Code, answer.Header().Get("Retry-After"), test.want)
			}
		})
	}
}

// TestBodyLimits guards against an answer that suggests a retry though the job may run, and
// against a job that is stored after its body was refused: the acceptor has no intake.
func TestBodyLimits(t *testing.T) {
	const budget = 256 << 10
	tests := map[string]struct {
		body       string
		err        error
		want       int
		retryAfter bool
	}{
		"a body above the memory":              {body: strings.Repeat(" ", budget/2), want: http.StatusServiceUnavailable, retryAfter: true},
		"decoding above the memory":            {body: `{"phases":[` + strings.Repeat(`{},`, 900) + `{}]}`, want: http.StatusServiceUnavailable, retryAfter: true},
		"too many steps":                       {body: `{"phases":[` + strings.Repeat(`{},`, 2000) + `{}]}`, want: http.StatusBadRequest},
		"a body that is sent slowly":           {body: "{", err: os.ErrDeadlineExceeded, want: http.StatusRequestTimeout},
		"a body with a wrong task":             {body: `{"phases":[{"count":0}]}`, want: http.StatusBadRequest},
		"a body whose client has disconnected": {body: "{", err: io.ErrUnexpectedEOF, want: http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := &acceptor.Acceptor{
				Clock: clockwork.NewRealClock(), Configurations: fakeConfigurations{}, Jobs: fakeJobs{},
				StoreReached: func() bool { return true },
			}
			limited := throttler.New("callers", throttler.Limits{}, throttler.NewBudget(budget), clockwork.NewRealClock(), tally.NoopScope)
			body := io.Reader(strings.NewReader(test.body))
			if test.err != nil {
				body = io.MultiReader(body, iotest.ErrReader(test.err))
			}
			request := httptest.NewRequest(http.MethodPost, "/quotes/00000000000000a1", body)
			request.Host = "shop.example"
			answer := httptest.NewRecorder()
			limited.Server(a).Handler.ServeHTTP(answer, request)
			if answer.Code != test.want || (answer.Header().Get("Retry-After") != "") != test.retryAfter {
				t.Errorf("status %d, Retry-After %q; want %d", answer.Code, answer.Header().Get("Retry-After"), test.want)
			}
		})
	}
}

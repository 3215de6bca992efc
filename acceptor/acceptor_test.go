package acceptor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/acceptor"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

type fakeConfigurations struct{}

func (fakeConfigurations) Configuration() (platform.Configuration, bool) {
	return platform.Configuration{Queues: []dispatcher.Queue{{Name: "quotes", Host: "shop.example", Prefix: "/quotes/"}}}, true
}

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

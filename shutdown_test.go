package zinniashore

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/acceptor"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

// oneQueue provides a configuration with one queue.
type oneQueue struct{}

func (oneQueue) Configuration() (platform.Configuration, bool) {
	return platform.Configuration{Queues: []dispatcher.Queue{{Name: "quotes", Host: "127.0.0.1", Prefix: "/quotes/"}}}, true
}

func (oneQueue) Age() time.Duration { return 0 }

// silentJobs answers no call before its context ends.
type silentJobs struct {
	acceptor.JobService
	asked chan struct{}
}

func (j *silentJobs) State(ctx context.Context, _ string) (dispatcher.State, error) {
	close(j.asked)
	<-ctx.Done()
	return "", ctx.Err()
}

// TestAnswerBeforeExit guards against a request that gets no answer, because the process exits
// while what the request waits for doesn't answer.
func TestAnswerBeforeExit(t *testing.T) {
	s := &Scheduler{
		Clock: clockwork.NewRealClock(),
		Settings: platform.Settings{
			Process: "edge-a-1", FailureDomain: "graz-a", StoreAddress: "127.0.0.1:1", ShutdownGrace: exitReserve + 100*time.Millisecond,
			ClientAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", MetricsAddress: "127.0.0.1:0",
		},
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	jobs := &silentJobs{asked: make(chan struct{})}
	s.acceptor.Configurations, s.acceptor.Jobs = oneQueue{}, jobs
	for _, l := range s.listeners {
		go func() { _ = l.serve() }()
	}
	answered := make(chan error, 1)
	go func() {
		answer, err := http.Get("http://" + s.listeners[0].address() + "/quotes/00000000000000a1")
		if err == nil {
			err = answer.Body.Close()
		}
		answered <- err
	}()
	<-jobs.asked
	s.shutDown(func() {})
	if err := <-answered; err != nil {
		t.Errorf("the request in progress gets no answer: %v", err)
	}
}

// Package generator sends an open-loop load with a bounded number of outstanding
// requests to the callers' addresses of entry VMs.
package generator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	loadServiceName   = "load"
	dialTimeout       = time.Second
	maxAnswerBytes    = 4 << 20
	headerKey         = "Idempotency-Key"
	headerAttempt     = "Zinnia-Attempt"
	headerDeadline    = "Zinnia-Deadline-Milliseconds"
	headerOutcome     = "Zinnia-Outcome"
	answerGracePeriod = 2 * time.Second
)

// TargetError is returned for a target that is not a loopback IP address and a port.
type TargetError struct {
	// Target is the target as given.
	Target string
}

// Error implements error.
func (e *TargetError) Error() string {
	return fmt.Sprintf("target %q: must be an IP address on loopback and a port", e.Target)
}

// Generator sends an open-loop load: each request is sent at its intended time,
// however long earlier answers take. Its exported fields are set before Run.
type Generator struct {
	// Clock is the source of the sending times and latencies.
	Clock clockwork.Clock
	// Targets are the callers' addresses of entry VMs, used round-robin.
	Targets []string
	// Organisation is the name of the organisation that owns the service.
	Organisation string
	// Service is the name of the service.
	Service string
	// Token is the bearer token sent with each request, unless it is empty.
	Token string
	// Rate is the number of requests per second.
	Rate float64
	// Duration is the time over which requests are sent.
	Duration time.Duration
	// Orders is the fraction of non-idempotent requests, from 0 to 1.
	Orders float64
	// Deadline is the time that each attempt allows for an answer; it is sent with the
	// request.
	Deadline time.Duration
	// Attempts is the maximum number of times that a request is sent while its answers
	// report that it did not run, or are lost.
	Attempts int
	// Outstanding is the maximum number of requests in flight.
	Outstanding int

	service httpc.Service
	mu      sync.Mutex
	report  Report
}

// Run sends the load and returns its report once every request has ended. It returns
// a *TargetError if a target is not on loopback.
func (g *Generator) Run(ctx context.Context) (Report, error) {
	for _, target := range g.Targets {
		if err := checkTarget(target); err != nil {
			return Report{}, err
		}
	}
	g.service = newService(g.Outstanding)
	slots := make(chan struct{}, g.Outstanding)
	interval := time.Duration(float64(time.Second) / g.Rate)
	start := g.Clock.Now()
	var group sync.WaitGroup
	for i := 0; ; i++ {
		intended := start.Add(time.Duration(i) * interval)
		if intended.Sub(start) >= g.Duration || !g.sleepUntil(ctx, intended) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			g.recordSkipped()
			continue
		}
		group.Go(func() {
			defer func() { <-slots }()
			g.record(g.exchange(ctx, i, intended))
		})
	}
	group.Wait()
	return g.report, nil
}

func newService(outstanding int) httpc.Service {
	breaker.NoBreakerFor(loadServiceName)
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: outstanding,
	}
	return httpc.NewServiceWithClient(loadServiceName, &http.Client{Transport: transport})
}

func checkTarget(target string) error {
	host, _, err := net.SplitHostPort(target)
	address := net.ParseIP(host)
	if err != nil || address == nil || !address.IsLoopback() {
		return &TargetError{Target: target}
	}
	return nil
}

func (g *Generator) sleepUntil(ctx context.Context, at time.Time) bool {
	wait := at.Sub(g.Clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-g.Clock.After(wait):
		return true
	}
}

func (g *Generator) recordSkipped() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Skipped++
}

func (g *Generator) record(exchange Exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Exchanges = append(g.report.Exchanges, exchange)
}

// isOrder reports whether the request with index i is non-idempotent. Such requests
// are spread evenly over the load.
func (g *Generator) isOrder(i int) bool {
	return int(float64(i+1)*g.Orders) > int(float64(i)*g.Orders)
}

// exchange sends one request until it has an outcome or its attempts are used up. A
// non-idempotent request that did not run is retried under a new idempotency key; one
// whose answer is lost is retried under the same key with the next attempt number.
func (g *Generator) exchange(ctx context.Context, i int, intended time.Time) Exchange {
	exchange := Exchange{Outcome: OutcomeNotRun}
	identity := requestIdentity{}
	for exchange.Attempts < max(1, g.Attempts) {
		if g.isOrder(i) && exchange.Outcome == OutcomeNotRun {
			identity = identity.withKey(newKey())
			exchange.Keys = append(exchange.Keys, identity.key)
		}
		target := g.Targets[(i+exchange.Attempts)%len(g.Targets)]
		exchange.Attempts++
		exchange.Outcome = g.send(ctx, target, identity)
		if exchange.Outcome != OutcomeNotRun && exchange.Outcome != OutcomeLost {
			break
		}
		identity.attempt++
	}
	exchange.Latency = g.Clock.Since(intended)
	return exchange
}

// requestIdentity holds the idempotency key and the attempt number that a request is sent
// with. The key is empty for an idempotent request.
type requestIdentity struct {
	key     string
	attempt int
}

// withKey returns the first attempt under key.
func (requestIdentity) withKey(key string) requestIdentity {
	return requestIdentity{key: key, attempt: 1}
}

// unsentOutcome returns the outcome of an attempt that wasn't sent. An order is sent again
// under the same key after its answer was lost, so it may have run.
func (i requestIdentity) unsentOutcome() Outcome {
	if i.key != "" && i.attempt > 1 {
		return OutcomeLost
	}
	return OutcomeNotRun
}

func newKey() string {
	key, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return key.String()
}

func (g *Generator) send(ctx context.Context, target string, identity requestIdentity) Outcome {
	ctx, cancel := context.WithTimeout(ctx, g.Deadline+answerGracePeriod)
	defer cancel()
	request, err := g.request(ctx, target, identity)
	if err != nil {
		return identity.unsentOutcome()
	}
	response, err := g.service.DoRequest(request)
	if isDialError(err) {
		return identity.unsentOutcome()
	}
	if err != nil {
		return OutcomeLost
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes)); err != nil {
		return OutcomeLost
	}
	if outcome := response.Header.Get(headerOutcome); outcome != "" {
		return Outcome(outcome)
	}
	return OutcomeLost
}

// isDialError reports whether the connection could not be established, so that the request
// wasn't sent.
func isDialError(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func (g *Generator) request(ctx context.Context, target string, identity requestIdentity) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/v1/organisations/%s/services/%s/fit", target, g.Organisation, g.Service)
	method := http.MethodGet
	var body io.Reader
	if identity.key != "" {
		method = http.MethodPost
		// NopCloser hides the reader's type, so that the request gets no GetBody and the
		// transport can't send it again.
		body = io.NopCloser(bytes.NewReader([]byte(`{"order":"cane"}`)))
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(headerDeadline, strconv.FormatInt(g.Deadline.Milliseconds(), 10))
	if identity.key != "" {
		request.Header.Set(headerKey, identity.key)
		request.Header.Set(headerAttempt, strconv.Itoa(identity.attempt))
	}
	if g.Token != "" {
		request.Header.Set("Authorization", "Bearer "+g.Token)
	}
	return request, nil
}

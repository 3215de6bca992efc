// Package generator puts a bounded open-loop load on the callers' side of
// entry VMs.
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
	loadService       = "load"
	dialTimeout       = time.Second
	maxAnswerBytes    = 4 << 20
	headerKey         = "Idempotency-Key"
	headerAttempt     = "Zinnia-Attempt"
	headerDeadline    = "Zinnia-Deadline-Milliseconds"
	headerOutcome     = "Zinnia-Outcome"
	answerGracePeriod = 2 * time.Second
)

// TargetError reports a target that is not an IP address and port on loopback.
type TargetError struct {
	// Target is the target as given.
	Target string
}

// Error implements error.
func (e *TargetError) Error() string {
	return fmt.Sprintf("target %q: must be an IP address on loopback and a port", e.Target)
}

// Generator is an open-loop load: requests are sent at their intended times,
// however long the answers take. Its fields are set before Run.
type Generator struct {
	// Clock gives the sending times.
	Clock clockwork.Clock
	// Targets are the callers' addresses of entry VMs, used in turn.
	Targets []string
	// Organisation and Service name the service.
	Organisation string
	// Service is the name of the service.
	Service string
	// Token is sent with each request if set.
	Token string
	// Rate is the number of requests a second.
	Rate float64
	// Duration is how long requests are sent.
	Duration time.Duration
	// Orders is the share, 0 to 1, of non-idempotent requests.
	Orders float64
	// Deadline is how long a caller waits.
	Deadline time.Duration
	// Attempts is how often a request is sent while it is told to have not run,
	// or its answer is lost.
	Attempts int
	// Outstanding bounds the requests in flight.
	Outstanding int

	service httpc.Service
	mu      sync.Mutex
	report  Report
}

// Run sends the load and returns its report when every request has ended.
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
			g.skip()
			continue
		}
		group.Go(func() {
			defer func() { <-slots }()
			g.keep(g.exchange(ctx, i, intended))
		})
	}
	group.Wait()
	return g.report, nil
}

func newService(outstanding int) httpc.Service {
	breaker.NoBreakerFor(loadService)
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: outstanding,
	}
	return httpc.NewServiceWithClient(loadService, &http.Client{Transport: transport})
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

func (g *Generator) skip() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Skipped++
}

func (g *Generator) keep(exchange Exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Exchanges = append(g.report.Exchanges, exchange)
}

// isOrder spreads the non-idempotent requests evenly over the load.
func (g *Generator) isOrder(i int) bool {
	return int(float64(i+1)*g.Orders) > int(float64(i)*g.Orders)
}

// exchange sends one request until it is answered. A request that did not run
// is sent again under a new key; one whose answer is lost under the same key,
// as the next attempt.
func (g *Generator) exchange(ctx context.Context, i int, intended time.Time) Exchange {
	exchange := Exchange{Outcome: OutcomeNotRun}
	sending := sending{}
	for exchange.Attempts < max(1, g.Attempts) {
		if g.isOrder(i) && exchange.Outcome == OutcomeNotRun {
			sending = sending.withKey(newKey())
			exchange.Keys = append(exchange.Keys, sending.key)
		}
		target := g.Targets[(i+exchange.Attempts)%len(g.Targets)]
		exchange.Attempts++
		exchange.Outcome = g.send(ctx, target, sending)
		if exchange.Outcome != OutcomeNotRun && exchange.Outcome != OutcomeLost {
			break
		}
		sending.attempt++
	}
	exchange.Latency = g.Clock.Since(intended)
	return exchange
}

// sending is what one request is sent with.
type sending struct {
	key     string
	attempt int
}

// withKey returns the first attempt under a key.
func (sending) withKey(key string) sending { return sending{key: key, attempt: 1} }

func newKey() string {
	key, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return key.String()
}

func (g *Generator) send(ctx context.Context, target string, sending sending) Outcome {
	ctx, cancel := context.WithTimeout(ctx, g.Deadline+answerGracePeriod)
	defer cancel()
	request, err := g.request(ctx, target, sending)
	if err != nil {
		return OutcomeNotRun
	}
	response, err := g.service.DoRequest(request)
	if err != nil {
		return failedOutcome(err)
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

// failedOutcome tells a request that was never sent from one that may have
// arrived.
func failedOutcome(err error) Outcome {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return OutcomeNotRun
	}
	return OutcomeLost
}

func (g *Generator) request(ctx context.Context, target string, sending sending) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/v1/organisations/%s/services/%s/fit", target, g.Organisation, g.Service)
	method := http.MethodGet
	var body io.Reader
	if sending.key != "" {
		method = http.MethodPost
		// The reader hides its type so that the transport can't send it again.
		body = io.NopCloser(bytes.NewReader([]byte(`{"order":"cane"}`)))
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(headerDeadline, strconv.FormatInt(g.Deadline.Milliseconds(), 10))
	if sending.key != "" {
		request.Header.Set(headerKey, sending.key)
		request.Header.Set(headerAttempt, strconv.Itoa(sending.attempt))
	}
	if g.Token != "" {
		request.Header.Set("Authorization", "Bearer "+g.Token)
	}
	return request, nil
}

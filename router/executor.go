package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/exchanger"
	"zinniashore.example/limiter"
	"zinniashore.example/recorder"
	"zinniashore.example/retrier"
)

const (
	dialFailureWeight = 2
	failureWeight     = 1
	// serverErrorWeight is the weight of a complete answer with a status of 500 or above.
	serverErrorWeight = 1

	minProgressTimeout    = 250 * time.Millisecond
	progressTimeoutFactor = 8

	minStateQueryInterval     = 100 * time.Millisecond
	stateQueryIntervalFactor  = 3
	defaultStateQueryInterval = time.Second

	// maxLatencyFactor limits the recorded latency of an abandoned request to a multiple
	// of the mean, and with it the time that a slow endpoint gets no requests.
	maxLatencyFactor = 16
)

// result is the outcome of one try of a request. An attempt of a caller may take several
// tries.
type result struct {
	response Response
	// retryable is whether another try may succeed immediately.
	retryable bool
	// budgetExempt is whether a retry is not charged to the budget, because the try
	// caused no load at its endpoint.
	budgetExempt bool
}

// execute runs a request at an endpoint in the slots of this entry VM, or forwards it
// to a peer if forward is true. It retries within the retry budget, unless that could
// make a non-idempotent request run twice.
func (r *Router) execute(ctx context.Context, request Request, forward bool) Response {
	ctx, cancel := clockwork.WithDeadline(ctx, r.Clock, request.Deadline)
	defer cancel()
	p := r.pool(request.service())
	p.budget.Deposit()
	for retry := 1; ; retry++ {
		tried := r.try(ctx, p, request, forward)
		if !tried.retryable || !r.mayRetry(ctx, p, request, tried) {
			return tried.response
		}
		if !r.sleep(ctx, retrier.Backoff(retry, nil)) {
			return tried.response
		}
	}
}

func (r *Router) pool(name serviceName) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	return r.ensurePool(name)
}

func (r *Router) mayRetry(ctx context.Context, p *pool, request Request, tried result) bool {
	if ctx.Err() != nil || !r.Clock.Now().Before(request.Deadline) {
		return false
	}
	if tried.response.Outcome != OutcomeNotRun && !request.Idempotent {
		return false
	}
	return tried.budgetExempt || p.budget.Withdraw()
}

func (r *Router) sleep(ctx context.Context, delay time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(delay):
		return true
	}
}

// try runs the request once: in a free slot of this entry VM, at a peer, or in a slot
// of this entry VM that it waits for.
func (r *Router) try(ctx context.Context, p *pool, request Request, forward bool) result {
	if e := r.acquire(p, nil); e != nil {
		return r.run(ctx, p, e, request)
	}
	if forward {
		if peer, found := r.choosePeer(p, request); found {
			return r.forwardExecute(ctx, peer, request)
		}
	}
	e, err := r.waitForSlot(ctx, p, request)
	if err != nil {
		return result{response: r.refusalResponse(request, err)}
	}
	return r.run(ctx, p, e, request)
}

// acquire takes a free slot of an endpoint other than the excluded one and returns
// the endpoint. It returns nil if no slot is free or requests are already waiting.
func (r *Router) acquire(p *pool, exclude *endpoint) *endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limiter.Waiting(p.name.queueName()) > 0 {
		return nil
	}
	e := p.choose(r.Shares, r.Clock.Now(), exclude)
	if e != nil {
		e.inFlight++
	}
	return e
}

// waitForSlot queues the request and returns the endpoint whose slot it is granted.
func (r *Router) waitForSlot(ctx context.Context, p *pool, request Request) (*endpoint, error) {
	waiter, err := r.enqueue(p, request)
	if err != nil {
		return nil, err
	}
	select {
	case err = <-waiter.Ready:
	case <-ctx.Done():
		if r.limiter.Withdraw(waiter) {
			return nil, ctx.Err()
		}
		err = <-waiter.Ready
	}
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	e := r.granted[waiter]
	delete(r.granted, waiter)
	r.mu.Unlock()
	if ctx.Err() != nil {
		r.release(p, e)
		return nil, ctx.Err()
	}
	return e, nil
}

func (r *Router) enqueue(p *pool, request Request) (*limiter.QueuedRequest, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	load := p.load(r.Shares, r.Clock.Now())
	if load.Slots == 0 {
		return nil, &limiter.RefusedError{Reason: limiter.ReasonFull, RetryAfter: busyRetryAfter}
	}
	waiter, err := r.limiter.Push(limiter.Request{
		Organisation: request.Organisation, Queue: p.name.queueName(), Priority: request.Priority,
		Deadline: request.Deadline, Bytes: len(request.Body),
	}, load)
	if err != nil {
		return nil, err
	}
	// A slot may have become free since the request found none.
	r.grantSlots(p)
	return waiter, nil
}

func (r *Router) refusalResponse(request Request, err error) Response {
	var refusal *limiter.RefusedError
	if errors.As(err, &refusal) {
		return request.notRun(refusal.Error(), refusal.RetryAfter)
	}
	return request.notRun("no slot came free in time", busyRetryAfter)
}

// run runs the request at an endpoint of which it holds a slot.
func (r *Router) run(ctx context.Context, p *pool, e *endpoint, request Request) result {
	if !request.Idempotent {
		return r.exchange(ctx, p, e, request)
	}
	return r.hedge(ctx, p, e, request)
}

// hedge runs an idempotent request, and a second time at another endpoint if the first
// takes longer than the 95th percentile. It returns the first final result, or the
// last retryable one.
func (r *Router) hedge(ctx context.Context, p *pool, e *endpoint, request Request) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	start := func(e *endpoint) { results <- r.exchange(ctx, p, e, request) }
	go start(e)
	running := 1
	timer := r.hedgeTimer(p)
	for {
		select {
		case <-timer:
			timer = nil
			if other := r.acquireHedge(p, e); other != nil {
				running++
				go start(other)
			}
		case got := <-results:
			running--
			if !got.retryable || running == 0 {
				return got
			}
		}
	}
}

func (r *Router) hedgeTimer(p *pool) <-chan time.Time {
	after, known := p.latencies.HedgeDelay()
	if !known {
		return nil
	}
	return r.Clock.After(after)
}

func (r *Router) acquireHedge(p *pool, first *endpoint) *endpoint {
	other := r.acquire(p, first)
	if other == nil {
		return nil
	}
	if !p.budget.Withdraw() {
		r.release(p, other)
		return nil
	}
	return other
}

// exchange sends the request to the endpoint. The slot is released once the endpoint
// has finished the request, which may be after this method returns.
func (r *Router) exchange(ctx context.Context, p *pool, e *endpoint, request Request) result {
	r.recordRequest(KindRequestSent, request, e.VM, e.Address)
	sent := r.Clock.Now()
	answer, err := e.exchanger.Exchange(ctx, exchanger.Request{
		Method: request.Method, Path: request.Path, Key: request.Key,
		Header: request.Header, Body: request.Body,
		Deadline: r.progressDeadline(p, request, sent), StateQueryInterval: r.stateQueryInterval(p), Confirm: request.confirmed,
	}, func(answered bool) { r.releaseRun(ctx, p, e, sent, answered) })
	latency := r.Clock.Since(sent)
	if err != nil {
		return r.handleError(ctx, p, e, request, err, latency)
	}
	return r.handleAnswer(p, e, request, answer, latency)
}

// releaseRun releases a slot. It records the latency of a request that was abandoned
// and that the endpoint nevertheless answered.
func (r *Router) releaseRun(ctx context.Context, p *pool, e *endpoint, sent time.Time, answered bool) {
	if answered && ctx.Err() != nil {
		elapsed := r.Clock.Since(sent)
		r.mu.Lock()
		e.recordLatency(min(elapsed, maxLatencyFactor*p.latencies.Mean()), r.Clock.Now())
		r.mu.Unlock()
	}
	r.release(p, e)
}

// stateQueryInterval returns the time without an answer after which the endpoint is
// queried for the state of the request, and the interval of further queries.
func (r *Router) stateQueryInterval(p *pool) time.Duration {
	tail, known := p.latencies.HedgeDelay()
	if !known {
		return defaultStateQueryInterval
	}
	return max(stateQueryIntervalFactor*tail, minStateQueryInterval)
}

// progressDeadline returns the time at which the exchange is abandoned. An idempotent
// request is abandoned when it is overdue, to be retried at another endpoint. Any other
// request waits until its own deadline, since it may be running.
func (r *Router) progressDeadline(p *pool, request Request, now time.Time) time.Time {
	tail, known := p.latencies.HedgeDelay()
	if !request.Idempotent || !known {
		return request.Deadline
	}
	limit := now.Add(max(progressTimeoutFactor*tail, minProgressTimeout))
	if limit.Before(request.Deadline) {
		return limit
	}
	return request.Deadline
}

func (r *Router) handleAnswer(p *pool, e *endpoint, request Request, answer exchanger.Answer, latency time.Duration) result {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if answer.Draining {
		r.markDrained(e, now)
		return result{response: request.notRun("endpoint is draining", drainingRetryAfter), retryable: true}
	}
	if answer.Refused {
		e.addFailures(failureWeight, now)
		return result{response: request.notRun("endpoint has no slot", busyRetryAfter), retryable: true}
	}
	response := Response{Outcome: OutcomeOK, RetrySafe: request.Idempotent || request.Key != "",
		Status: answer.Status, Header: answer.Header, Body: answer.Body}
	if answer.Status >= 500 {
		response.Outcome = OutcomeEndpointError
		r.recordFailure(e, serverErrorWeight, fmt.Sprintf("status %d", answer.Status))
		return result{response: response}
	}
	p.latencies.Observe(latency)
	e.recordSuccess(latency, now)
	return result{response: response}
}

func (r *Router) markDrained(e *endpoint, now time.Time) {
	e.nextProbeAt = now.Add(minProbeBackoff)
	if e.drained {
		return
	}
	e.drained = true
	r.record(recorder.Event{Kind: KindEndpointDrained, Organisation: e.Organisation, VM: e.VM, Detail: e.Address})
}

func (r *Router) handleError(ctx context.Context, p *pool, e *endpoint, request Request, err error, latency time.Duration) result {
	var failure *exchanger.Error
	if !errors.As(err, &failure) {
		return result{response: request.unknown(err.Error())}
	}
	r.attributeFailure(p, e, failure, latency)
	if !failure.Sent {
		return result{response: request.notRun(string(failure.Cause), busyRetryAfter), retryable: true,
			budgetExempt: failure.Cause == exchanger.CauseSilent}
	}
	if ctx.Err() == nil || !request.Idempotent {
		r.recordRequest(KindRequestUnknown, request, e.VM, string(failure.Cause))
		klog.V(1).InfoS("Outcome of request unknown", "organisation", request.Organisation,
			"service", request.Service, "key", request.Key, "endpoint", e.Address, "err", err)
	}
	return result{response: request.unknown(string(failure.Cause)), retryable: true}
}

// attributeFailure records a failure of the endpoint if the endpoint caused it.
func (r *Router) attributeFailure(p *pool, e *endpoint, failure *exchanger.Error, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch failure.Cause {
	case exchanger.CauseCanceled, exchanger.CauseNotPermitted, exchanger.CauseRequest, exchanger.CauseSilent:
	case exchanger.CauseConnections:
		e.exchanger.CloseIdle()
	case exchanger.CauseDial:
		r.recordFailure(e, dialFailureWeight, string(failure.Cause))
	case exchanger.CauseTimeout:
		// The connection may be half-open, so the next exchange uses a new one.
		e.exchanger.CloseIdle()
		if latency > 2*p.latencies.Mean() {
			r.recordFailure(e, failureWeight, string(failure.Cause))
		}
	default:
		r.recordFailure(e, failureWeight, string(failure.Cause))
	}
}

func (r *Router) recordFailure(e *endpoint, weight int, detail string) {
	before := e.condition()
	e.addFailures(weight, r.Clock.Now())
	if e.condition() == ConditionEjected && before != ConditionEjected {
		r.record(recorder.Event{Kind: KindEndpointEjected, Organisation: e.Organisation, VM: e.VM, Detail: e.Address + " " + detail})
		klog.InfoS("Endpoint ejected", "organisation", e.Organisation, "service", e.Service, "endpoint", e.Address, "reason", detail)
	}
}

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
	dialWeight    = 2
	failureWeight = 1
	// errorWeight is for whole answers of status 500 and above.
	errorWeight = 1

	smallestProgressLimit = 250 * time.Millisecond
	progressLimitFactor   = 8

	smallestPatience = 100 * time.Millisecond
	patienceFactor   = 3
	unknownPatience  = time.Second

	// slowestFactor bounds the latency of a slow endpoint in means, and with it
	// how long it stays out of use.
	slowestFactor = 16
)

// result is what became of one try of a request.
type result struct {
	response Response
	// again tells that another try may fare better at once.
	again bool
	// free tells that the try cost its endpoint nothing.
	free bool
}

// execute has a request run by an endpoint of this entry VM, or passes it on if
// it may. It tries again within the retry budget, where that cannot make a
// non-idempotent request run twice.
func (r *Router) execute(ctx context.Context, request Request, forward bool) Response {
	ctx, cancel := clockwork.WithDeadline(ctx, r.Clock, request.Deadline)
	defer cancel()
	p := r.pool(request.service())
	p.budget.Deposit()
	for retry := 1; ; retry++ {
		tried := r.try(ctx, p, request, forward)
		if !tried.again || !r.mayRetry(ctx, p, request, tried) {
			return tried.response
		}
		if !r.pause(ctx, retrier.Backoff(retry, nil)) {
			return tried.response
		}
	}
}

func (r *Router) pool(name serviceName) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start()
	return r.poolOf(name)
}

func (r *Router) mayRetry(ctx context.Context, p *pool, request Request, tried result) bool {
	if ctx.Err() != nil || !r.Clock.Now().Before(request.Deadline) {
		return false
	}
	if tried.response.Outcome != OutcomeNotRun && !request.Idempotent {
		return false
	}
	return tried.free || p.budget.Withdraw()
}

func (r *Router) pause(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(pause):
		return true
	}
}

// try places the request and runs it there.
func (r *Router) try(ctx context.Context, p *pool, request Request, forward bool) result {
	if e := r.acquire(p, nil); e != nil {
		return r.run(ctx, p, e, request)
	}
	if forward {
		if peer, found := r.choosePeer(p, request); found {
			return r.forwardExecute(ctx, peer, request)
		}
	}
	e, err := r.wait(ctx, p, request)
	if err != nil {
		return result{response: r.refused(request, err)}
	}
	return r.run(ctx, p, e, request)
}

// acquire takes a slot if one is free, other than of the excluded endpoint.
func (r *Router) acquire(p *pool, exclude *endpoint) *endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limiter.Waiting(p.name.queue()) > 0 {
		return nil
	}
	e := p.choose(r.Shares, r.Clock.Now(), exclude)
	if e != nil {
		e.inFlight++
	}
	return e
}

// wait queues the request for a slot.
func (r *Router) wait(ctx context.Context, p *pool, request Request) (*endpoint, error) {
	w, err := r.queue(p, request)
	if err != nil {
		return nil, err
	}
	select {
	case err = <-w.Ready:
	case <-ctx.Done():
		if r.limiter.Withdraw(w) {
			return nil, ctx.Err()
		}
		err = <-w.Ready
	}
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	e := r.granted[w]
	delete(r.granted, w)
	r.mu.Unlock()
	if ctx.Err() != nil {
		r.release(p, e)
		return nil, ctx.Err()
	}
	return e, nil
}

func (r *Router) queue(p *pool, request Request) (*limiter.Waiter, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	load := p.load(r.Shares, r.Clock.Now())
	if load.Slots == 0 {
		return nil, &limiter.RefusedError{Reason: limiter.ReasonFull, RetryAfter: busyRetryAfter}
	}
	w, err := r.limiter.Push(limiter.Claim{
		Organisation: request.Organisation, Queue: p.name.queue(), Priority: request.Priority,
		Deadline: request.Deadline, Bytes: len(request.Body),
	}, load)
	if err != nil {
		return nil, err
	}
	// A slot may have come free since the request found none.
	r.wake(p)
	return w, nil
}

func (r *Router) refused(request Request, err error) Response {
	var refusal *limiter.RefusedError
	if errors.As(err, &refusal) {
		return request.notRun(refusal.Error(), refusal.RetryAfter)
	}
	return request.notRun("no slot came free in time", busyRetryAfter)
}

// run runs the request at an endpoint whose slot it holds.
func (r *Router) run(ctx context.Context, p *pool, e *endpoint, request Request) result {
	if !request.Idempotent {
		return r.exchange(ctx, p, e, request)
	}
	return r.hedge(ctx, p, e, request)
}

// hedge runs an idempotent request, and a second time at another endpoint where
// the first takes longer than most. The better result counts.
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
			if !got.again || running == 0 {
				return got
			}
		}
	}
}

func (r *Router) hedgeTimer(p *pool) <-chan time.Time {
	after, known := p.latencies.HedgeAfter()
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

// exchange sends the request to the endpoint and gives the slot back once the
// endpoint is done with it.
func (r *Router) exchange(ctx context.Context, p *pool, e *endpoint, request Request) result {
	r.recordRequest(KindRequestSent, request, e.VM, e.Address)
	sent := r.Clock.Now()
	answer, err := e.exchanger.Exchange(ctx, exchanger.Request{
		Method: request.Method, Path: request.Path, Key: request.Key,
		Header: request.Header, Body: request.Body,
		Deadline: r.progressDeadline(p, request, sent), Patience: r.patience(p), Confirm: request.confirmed,
	}, func(answered bool) { r.releaseRun(ctx, p, e, sent, answered) })
	latency := r.Clock.Since(sent)
	if err != nil {
		return r.failed(ctx, p, e, request, err, latency)
	}
	return r.answered(p, e, request, answer, latency)
}

// releaseRun gives a slot back. A request that was abandoned still shows how
// long the endpoint ran it.
func (r *Router) releaseRun(ctx context.Context, p *pool, e *endpoint, sent time.Time, answered bool) {
	if answered && ctx.Err() != nil {
		held := r.Clock.Since(sent)
		r.mu.Lock()
		e.observe(min(held, slowestFactor*p.latencies.Mean()), r.Clock.Now())
		r.mu.Unlock()
	}
	r.release(p, e)
}

// patience is how long no answer is taken for silence.
func (r *Router) patience(p *pool) time.Duration {
	tail, known := p.latencies.HedgeAfter()
	if !known {
		return unknownPatience
	}
	return max(patienceFactor*tail, smallestPatience)
}

// progressDeadline is when an answer is overdue. An idempotent request is then
// tried elsewhere; another one waits, since it may be running.
func (r *Router) progressDeadline(p *pool, request Request, now time.Time) time.Time {
	tail, known := p.latencies.HedgeAfter()
	if !request.Idempotent || !known {
		return request.Deadline
	}
	limit := now.Add(max(progressLimitFactor*tail, smallestProgressLimit))
	if limit.Before(request.Deadline) {
		return limit
	}
	return request.Deadline
}

func (r *Router) answered(p *pool, e *endpoint, request Request, answer exchanger.Answer, latency time.Duration) result {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if answer.Draining {
		r.drained(e, now)
		return result{response: request.notRun("endpoint is draining", drainingRetryAfter), again: true}
	}
	if answer.Refused {
		e.fail(failureWeight, now)
		return result{response: request.notRun("endpoint has no slot", busyRetryAfter), again: true}
	}
	response := Response{Outcome: OutcomeOK, RetrySafe: request.Idempotent || request.Key != "",
		Status: answer.Status, Header: answer.Header, Body: answer.Body}
	if answer.Status >= 500 {
		response.Outcome = OutcomeEndpointError
		r.blame(e, errorWeight, fmt.Sprintf("status %d", answer.Status))
		return result{response: response}
	}
	p.latencies.Observe(latency)
	e.succeed(latency, now)
	return result{response: response}
}

func (r *Router) drained(e *endpoint, now time.Time) {
	e.probeAt = now.Add(firstProbeBackoff)
	if e.drained {
		return
	}
	e.drained = true
	r.record(recorder.Event{Kind: KindEndpointDrained, Organisation: e.Organisation, VM: e.VM, Detail: e.Address})
}

func (r *Router) failed(ctx context.Context, p *pool, e *endpoint, request Request, err error, latency time.Duration) result {
	var failure *exchanger.Error
	if !errors.As(err, &failure) {
		return result{response: request.unknown(err.Error())}
	}
	r.judge(p, e, failure, latency)
	if !failure.Sent {
		return result{response: request.notRun(string(failure.Cause), busyRetryAfter), again: true,
			free: failure.Cause == exchanger.CauseSilent}
	}
	if ctx.Err() == nil || !request.Idempotent {
		r.recordRequest(KindRequestUnknown, request, e.VM, string(failure.Cause))
		klog.V(1).InfoS("Outcome of request unknown", "organisation", request.Organisation,
			"service", request.Service, "key", request.Key, "endpoint", e.Address, "err", err)
	}
	return result{response: request.unknown(string(failure.Cause)), again: true}
}

// judge blames the endpoint for what was its fault.
func (r *Router) judge(p *pool, e *endpoint, failure *exchanger.Error, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch failure.Cause {
	case exchanger.CauseCanceled, exchanger.CauseLapsed, exchanger.CauseRequest, exchanger.CauseSilent:
	case exchanger.CauseConnections:
		e.exchanger.CloseIdle()
	case exchanger.CauseDial:
		r.blame(e, dialWeight, string(failure.Cause))
	case exchanger.CauseTimeout:
		// The connection may have gone silent: the next exchange dials.
		e.exchanger.CloseIdle()
		if latency > 2*p.latencies.Mean() {
			r.blame(e, failureWeight, string(failure.Cause))
		}
	default:
		r.blame(e, failureWeight, string(failure.Cause))
	}
}

func (r *Router) blame(e *endpoint, weight int, detail string) {
	before := e.condition()
	e.fail(weight, r.Clock.Now())
	if e.condition() == ConditionEjected && before != ConditionEjected {
		r.record(recorder.Event{Kind: KindEndpointEjected, Organisation: e.Organisation, VM: e.VM, Detail: e.Address + " " + detail})
		klog.InfoS("Endpoint ejected", "organisation", e.Organisation, "service", e.Service, "endpoint", e.Address, "reason", detail)
	}
}

package router

import (
	"math"
	"time"

	"zinniashore.example/exchanger"
	"zinniashore.example/publisher"
)

const (
	ejectFailures     = 4
	latencyShare      = 0.2
	latencyHalfLife   = time.Second
	slowFactor        = 2
	firstProbeBackoff = 250 * time.Millisecond
	lastProbeBackoff  = 4 * time.Second
)

// Condition tells whether an endpoint takes new requests.
type Condition string

// Conditions of endpoints.
const (
	// ConditionReady takes its full share.
	ConditionReady Condition = "ready"
	// ConditionSuspect failed lately and takes a part of its share.
	ConditionSuspect Condition = "suspect"
	// ConditionEjected takes none until a probe succeeds.
	ConditionEjected Condition = "ejected"
	// ConditionLeaving is leaving by the list of VMs alone.
	ConditionLeaving Condition = "leaving"
	// ConditionDrained takes none: it said so, or its owner did.
	ConditionDrained Condition = "drained"
)

// endpoint is one endpoint as this entry VM sees it. The mutex of the Router
// guards it.
type endpoint struct {
	publisher.Endpoint
	exchanger *exchanger.Exchanger
	removed   bool
	inFlight  int

	failures   int
	listed     bool
	drained    bool
	latency    time.Duration
	observedAt time.Time
	heardAt    time.Time
	probeAt    time.Time
	probeDelay time.Duration
	probing    bool
}

func (e *endpoint) condition() Condition {
	switch {
	case e.drained || e.State == publisher.EndpointLeaving || e.removed:
		return ConditionDrained
	case e.failures >= ejectFailures:
		return ConditionEjected
	case e.listed:
		return ConditionLeaving
	case e.failures > 0:
		return ConditionSuspect
	default:
		return ConditionReady
	}
}

// usable reports whether the endpoint takes new requests. In a panic, so many
// endpoints are under suspicion that the suspicion itself is doubted.
func (e *endpoint) usable(panicking bool) bool {
	switch e.condition() {
	case ConditionDrained:
		return false
	case ConditionEjected, ConditionLeaving:
		return panicking
	default:
		return true
	}
}

// room returns how many more requests it takes of a share of its slots. A slow
// endpoint takes a part that is in proportion to its speed. If that is none, it
// is tried with one request once its latency is old.
func (e *endpoint) room(share int, v view) int {
	return max(e.allowed(share, v)-e.inFlight, 0)
}

func (e *endpoint) allowed(share int, v view) int {
	if share == 0 {
		return 0
	}
	allowed := max(share>>min(e.failures, ejectFailures), 1)
	if v.mostSlow || !e.slow(v.mean) {
		return allowed
	}
	allowed = allowed * int(v.mean/time.Microsecond) / int(e.latency/time.Microsecond)
	if allowed == 0 && e.expected(v.mean, v.now) < slowFactor*v.mean {
		return 1
	}
	return allowed
}

// slow reports whether its latency is well above the mean of the service.
// Smaller differences are not told apart, so that endpoints that are alike
// share the load.
func (e *endpoint) slow(mean time.Duration) bool {
	return mean >= time.Microsecond && e.latency > slowFactor*mean
}

// expected returns how long the next request is thought to run. The older the
// latency, the closer it is to the mean.
func (e *endpoint) expected(mean time.Duration, now time.Time) time.Duration {
	if !e.slow(mean) {
		return mean
	}
	weight := math.Exp2(-float64(now.Sub(e.observedAt)) / float64(latencyHalfLife))
	return mean + time.Duration(weight*float64(e.latency-mean))
}

// score orders endpoints for choice: the expected time of one more request.
func (e *endpoint) score(mean time.Duration, now time.Time) float64 {
	return float64(e.inFlight+1) * float64(max(e.expected(mean, now), 1)) * float64(e.failures+1)
}

func (e *endpoint) succeed(latency time.Duration, now time.Time) {
	e.heardAt = now
	e.failures = max(e.failures-1, 0)
	e.observe(latency, now)
}

// observe takes in how long a request ran.
func (e *endpoint) observe(latency time.Duration, now time.Time) {
	e.observedAt = now
	if e.latency == 0 {
		e.latency = latency
		return
	}
	e.latency += time.Duration(latencyShare * float64(latency-e.latency))
}

func (e *endpoint) fail(weight int, now time.Time) {
	e.failures = min(e.failures+weight, ejectFailures)
	if e.probeDelay == 0 {
		e.probeAt = now
	}
}

// probed takes in what a probe found.
func (e *endpoint) probed(health exchanger.Health, now time.Time) {
	e.probing = false
	switch health {
	case exchanger.HealthGood:
		e.heardAt = now
		e.drained = false
		e.failures = max(min(e.failures, ejectFailures-1)-1, 0)
		e.probeDelay = 0
	case exchanger.HealthDraining:
		e.drained = true
		e.backOff()
	default:
		e.failures = min(e.failures+1, ejectFailures)
		e.backOff()
	}
	e.probeAt = now.Add(max(e.probeDelay, firstProbeBackoff))
}

func (e *endpoint) backOff() {
	e.probeDelay = min(max(2*e.probeDelay, firstProbeBackoff), lastProbeBackoff)
}

// due reports whether a probe is due: an idle endpoint is probed once a period,
// one under suspicion as its backoff says.
func (e *endpoint) due(now time.Time, period time.Duration) bool {
	if e.probing || now.Before(e.probeAt) {
		return false
	}
	if e.failures > 0 || e.drained {
		return true
	}
	return now.Sub(e.heardAt) >= period
}

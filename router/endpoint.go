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
	latencyHalfLife   = 3 * time.Second
	slowFactor        = 2
	firstProbeBackoff = 250 * time.Millisecond
	lastProbeBackoff  = 8 * time.Second
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

// room returns how many more requests it takes of a share of its slots.
func (e *endpoint) room(share int) int {
	if share > 0 {
		share = max(share>>min(e.failures, ejectFailures), 1)
	}
	return max(share-e.inFlight, 0)
}

// score orders endpoints for choice: the expected time of one more request.
// Only a latency well above the mean counts, so that endpoints that are alike
// share the load, and an old one counts less, so that a slow endpoint is tried
// again in time.
func (e *endpoint) score(mean time.Duration, now time.Time) float64 {
	weight := math.Exp2(-float64(now.Sub(e.observedAt)) / float64(latencyHalfLife))
	expected := float64(mean) + weight*float64(e.latency-mean)
	if expected < slowFactor*float64(mean) {
		expected = float64(mean)
	}
	return float64(e.inFlight+1) * max(expected, 1) * float64(e.failures+1)
}

func (e *endpoint) succeed(latency time.Duration, now time.Time) {
	e.heardAt = now
	e.observedAt = now
	e.failures = max(e.failures-1, 0)
	if e.latency == 0 {
		e.latency = latency
		return
	}
	e.latency += time.Duration(latencyShare * float64(latency-e.latency))
}

func (e *endpoint) fail(weight int, now time.Time) {
	e.failures = min(e.failures+weight, ejectFailures)
	e.probeAt = now
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

package router

import (
	"math"
	"time"

	"zinniashore.example/exchanger"
	"zinniashore.example/publisher"
)

const (
	ejectThreshold   = 4
	latencySmoothing = 0.2
	latencyHalfLife  = time.Second
	slowFactor       = 2
	minProbeBackoff  = 250 * time.Millisecond
	maxProbeBackoff  = 4 * time.Second
)

// Condition is the availability of an endpoint for new requests.
type Condition string

// Conditions of endpoints.
const (
	// ConditionReady is an endpoint without recent failures, which gets its full share.
	ConditionReady Condition = "ready"
	// ConditionSuspect is an endpoint with recent failures, which gets a reduced share.
	ConditionSuspect Condition = "suspect"
	// ConditionEjected is an endpoint that gets no requests until a probe succeeds.
	ConditionEjected Condition = "ejected"
	// ConditionLeaving is an endpoint that is leaving according to the platform's list
	// of VMs only.
	ConditionLeaving Condition = "leaving"
	// ConditionDrained is an endpoint that gets no requests because the endpoint
	// itself or the holder of its cell reported that it is leaving, or because it is
	// no longer listed.
	ConditionDrained Condition = "drained"
)

// endpoint is the state of one endpoint at this entry VM. The mutex of the Router
// guards it.
type endpoint struct {
	publisher.Endpoint
	exchanger *exchanger.Exchanger
	removed   bool
	inFlight  int

	failures     int
	vmLeaving    bool
	drained      bool
	latency      time.Duration
	latencyAt    time.Time
	healthyAt    time.Time
	nextProbeAt  time.Time
	probeBackoff time.Duration
	probing      bool
}

func (e *endpoint) condition() Condition {
	switch {
	case e.drained || e.State == publisher.EndpointLeaving || e.removed:
		return ConditionDrained
	case e.failures >= ejectThreshold:
		return ConditionEjected
	case e.vmLeaving:
		return ConditionLeaving
	case e.failures > 0:
		return ConditionSuspect
	default:
		return ConditionReady
	}
}

// usable reports whether the endpoint may get new requests. In panic mode, when most
// endpoints of the pool are ejected or leaving, these conditions are ignored since
// they are probably wrong.
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

// freeSlots returns the number of further requests that the endpoint may get within
// that share of its slots. A slow endpoint gets a part of the share in proportion to
// its speed. If that part rounds to zero, the endpoint gets one request once its
// measured latency is old.
func (e *endpoint) freeSlots(share int, snap snapshot) int {
	return max(e.slotLimit(share, snap)-e.inFlight, 0)
}

func (e *endpoint) slotLimit(share int, snap snapshot) int {
	if share == 0 {
		return 0
	}
	limit := max(share>>min(e.failures, ejectThreshold), 1)
	if snap.mostSlow || !e.slow(snap.mean) {
		return limit
	}
	limit = limit * int(snap.mean/time.Microsecond) / int(e.latency/time.Microsecond)
	if limit == 0 && e.expectedLatency(snap.mean, snap.now) < slowFactor*snap.mean {
		return 1
	}
	return limit
}

// slow reports whether the latency of the endpoint is more than slowFactor times the
// mean of the service. Smaller differences are ignored, so that similar endpoints
// share the load evenly.
func (e *endpoint) slow(mean time.Duration) bool {
	return mean >= time.Microsecond && e.latency > slowFactor*mean
}

// expectedLatency returns the estimated duration of the next request. It decays from
// the latency of the endpoint to the mean of the service as the latency gets older.
func (e *endpoint) expectedLatency(mean time.Duration, now time.Time) time.Duration {
	if !e.slow(mean) {
		return mean
	}
	weight := math.Exp2(-float64(now.Sub(e.latencyAt)) / float64(latencyHalfLife))
	return mean + time.Duration(weight*float64(e.latency-mean))
}

// score returns the expected time of one more request, weighted by failures. The
// endpoint with the lowest score is chosen.
func (e *endpoint) score(mean time.Duration, now time.Time) float64 {
	return float64(e.inFlight+1) * float64(max(e.expectedLatency(mean, now), 1)) * float64(e.failures+1)
}

func (e *endpoint) recordSuccess(latency time.Duration, now time.Time) {
	e.healthyAt = now
	e.failures = max(e.failures-1, 0)
	e.recordLatency(latency, now)
}

// recordLatency updates the moving average of the latency with that of a request.
func (e *endpoint) recordLatency(latency time.Duration, now time.Time) {
	e.latencyAt = now
	if e.latency == 0 {
		e.latency = latency
		return
	}
	e.latency += time.Duration(latencySmoothing * float64(latency-e.latency))
}

func (e *endpoint) addFailures(weight int, now time.Time) {
	e.failures = min(e.failures+weight, ejectThreshold)
	if e.probeBackoff == 0 {
		e.nextProbeAt = now
	}
}

// recordProbe applies the result of a probe.
func (e *endpoint) recordProbe(health exchanger.Health, now time.Time) {
	e.probing = false
	switch health {
	case exchanger.HealthGood:
		e.healthyAt = now
		e.drained = false
		e.failures = max(min(e.failures, ejectThreshold-1)-1, 0)
		e.probeBackoff = 0
	case exchanger.HealthDraining:
		e.drained = true
		e.growProbeBackoff()
	default:
		e.failures = min(e.failures+1, ejectThreshold)
		e.growProbeBackoff()
	}
	e.nextProbeAt = now.Add(max(e.probeBackoff, minProbeBackoff))
}

func (e *endpoint) growProbeBackoff() {
	e.probeBackoff = min(max(2*e.probeBackoff, minProbeBackoff), maxProbeBackoff)
}

// probeDue reports whether a probe is due. An endpoint with failures or one that is
// draining is probed with backoff; any other endpoint is probed if it has had no
// successful request or probe for a period.
func (e *endpoint) probeDue(now time.Time, period time.Duration) bool {
	if e.probing || now.Before(e.nextProbeAt) {
		return false
	}
	if e.failures > 0 || e.drained {
		return true
	}
	return now.Sub(e.healthyAt) >= period
}

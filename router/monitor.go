package router

import (
	"context"
	"time"

	"zinniashore.example/exchanger"
)

const (
	monitorPeriod = 100 * time.Millisecond
	reportPeriod  = 500 * time.Millisecond
	// pollsPerFullPoll is how many polls of the peers there are for each poll that
	// includes the peers of other failure domains.
	pollsPerFullPoll       = 4
	reportTimeout          = time.Second
	probeTimeout           = time.Second
	minProbePeriod         = time.Second
	bytesPerProbe          = 400
	maxProbeBytesPerSecond = 8 << 10
)

// Run probes the endpoints and polls the peers for their free capacity until ctx is
// done. It always returns nil.
func (r *Router) Run(ctx context.Context) error {
	r.mu.Lock()
	r.init()
	r.mu.Unlock()
	ticker := r.Clock.NewTicker(monitorPeriod)
	defer ticker.Stop()
	var lastPoll time.Time
	polls := 0
	for {
		now := r.Clock.Now()
		r.startDueProbes(ctx, now)
		if now.Sub(lastPoll) >= reportPeriod {
			lastPoll = now
			polls++
			go r.pollPeers(ctx, polls%pollsPerFullPoll == 1)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// startDueProbes starts the probes that are due. It also grants slots to waiting
// requests, since the shares may have grown.
func (r *Router) startDueProbes(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	period := r.probePeriod()
	for _, p := range r.pools {
		for _, e := range p.endpoints {
			if e.probeDue(now, period) {
				e.probing = true
				go r.probe(ctx, p, e)
			}
		}
	}
	r.grantAllSlots()
}

// probePeriod returns the time between probes of an idle endpoint. It grows with the
// number of endpoints, so that the probes use at most maxProbeBytesPerSecond.
func (r *Router) probePeriod() time.Duration {
	count := 0
	for _, p := range r.pools {
		count += len(p.endpoints)
	}
	return max(minProbePeriod, time.Duration(count)*time.Second*bytesPerProbe/maxProbeBytesPerSecond)
}

// probe checks the health of an endpoint. If an open connection is unresponsive, the
// connection may be half-open, so the probe is repeated on a new connection before the
// endpoint counts as unresponsive.
func (r *Router) probe(ctx context.Context, p *pool, e *endpoint) {
	health := r.probeOnce(ctx, e, false)
	if health == exchanger.HealthSilent {
		health = r.probeOnce(ctx, e, true)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.recordProbe(health, r.Clock.Now())
	r.grantSlots(p)
}

func (r *Router) probeOnce(ctx context.Context, e *endpoint, fresh bool) exchanger.Health {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return e.exchanger.Probe(ctx, fresh)
}

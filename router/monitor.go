package router

import (
	"context"
	"time"

	"zinniashore.example/exchanger"
)

const (
	monitorPeriod = 100 * time.Millisecond
	reportPeriod  = 500 * time.Millisecond
	// farReports is the number of reports asked of the own failure domain for
	// each one asked of the others.
	farReports      = 4
	reportTimeout   = time.Second
	probeTimeout    = time.Second
	shortestProbe   = time.Second
	probeBytes      = 400
	probeBytesLimit = 8 << 10
)

// Run probes endpoints and asks peers for their room until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	r.mu.Lock()
	r.start()
	r.mu.Unlock()
	ticker := r.Clock.NewTicker(monitorPeriod)
	defer ticker.Stop()
	var asked time.Time
	reports := 0
	for {
		now := r.Clock.Now()
		r.probeDue(ctx, now)
		if now.Sub(asked) >= reportPeriod {
			asked = now
			reports++
			go r.askPeers(ctx, reports%farReports == 1)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// probeDue starts the probes that are due, and gives slots to waiting requests
// where the shares have grown.
func (r *Router) probeDue(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	period := r.probePeriod()
	for _, p := range r.pools {
		for _, e := range p.endpoints {
			if e.due(now, period) {
				e.probing = true
				go r.probe(ctx, p, e)
			}
		}
	}
	r.wakeAll()
}

// probePeriod grows with the number of endpoints, so that probes stay within
// probeBytesLimit bytes a second.
func (r *Router) probePeriod() time.Duration {
	count := 0
	for _, p := range r.pools {
		count += len(p.endpoints)
	}
	return max(shortestProbe, time.Duration(count)*time.Second*probeBytes/probeBytesLimit)
}

// probe asks an endpoint for its health. Silence on an open connection is the
// fault of the endpoint only if a fresh one is silent too.
func (r *Router) probe(ctx context.Context, p *pool, e *endpoint) {
	health := r.probeOnce(ctx, e, false)
	if health == exchanger.HealthSilent {
		health = r.probeOnce(ctx, e, true)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.probed(health, r.Clock.Now())
	r.wake(p)
}

func (r *Router) probeOnce(ctx context.Context, e *endpoint, fresh bool) exchanger.Health {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return e.exchanger.Probe(ctx, fresh)
}

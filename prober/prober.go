// Package prober checks whether this process can reach the store, and, if it
// cannot, whether its peers can.
package prober

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"
)

const (
	// probeInterval is the delay between the end of a probe of the store and the next.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is longer than the response time of a slow store.
	probeTimeout = 700 * time.Millisecond
	// peerTimeout bounds the requests to the peers after a failed probe.
	peerTimeout = 300 * time.Millisecond
	// StatusAge is how old the answer of a peer may be: it is the result of the peer's last probe.
	StatusAge = probeInterval + probeTimeout + peerTimeout
	// MinOutage is how long no peer may have reached the store before that counts as an outage for all.
	MinOutage = 2 * time.Second
)

// Store is the subset of the platform's store that a Prober uses.
type Store interface {
	// Probe returns nil if the store responds.
	Probe(ctx context.Context) error
}

// Peers queries processes in other failure domains.
type Peers interface {
	// ReachStore asks the peers whether they can reach the store.
	ReachStore(ctx context.Context) PeerAnswers
}

// PeerAnswers counts the peers that were asked, those that answered, and those that can reach the store.
type PeerAnswers struct{ Asked, Answered, Reaching int }

// isolated reports whether peers may reach the store: one answered that it can, or none answered.
func (a PeerAnswers) isolated() bool { return a.Answered == 0 || a.Reaching > 0 }

// outage reports whether the store is down for all: most peers answered, and none can reach it.
func (a PeerAnswers) outage() bool { return 2*a.Answered > a.Asked && a.Reaching == 0 }

// Prober probes the store periodically. Its exported fields are set before Run.
type Prober struct {
	Store Store
	Peers Peers
	Clock clockwork.Clock

	mu sync.Mutex
	// unreachable is whether the last probe of the store failed; isolated is whether
	// peers may reach the store although this process does not.
	unreachable, isolated bool
	// outageBegan is when the first probe in a row began that found the store down for all, zero if the last one
	// didn't. outageSeen is the newest time at which the store was certainly down for all.
	outageBegan, outageSeen time.Time
}

// StoreReached reports whether the store responded to the last probe. It reports
// true before the first probe.
func (p *Prober) StoreReached() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.unreachable
}

// Isolated reports whether this process cannot reach the store while other processes
// may reach it: a peer answered that it can, or no peer answered. If the peers that
// answer cannot reach the store either, the store is down for all processes and
// Isolated reports false.
func (p *Prober) Isolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated
}

// OutageSeen returns the newest time at which the store was down for all: for MinOutage neither this process nor a peer
// has reached it, and most peers have answered. It is zero if there is none.
func (p *Prober) OutageSeen() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outageSeen
}

// Run probes the store until ctx is done. It always returns nil.
func (p *Prober) Run(ctx context.Context) error {
	for {
		p.probe(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-p.Clock.After(probeInterval):
		}
	}
}

func (p *Prober) probe(ctx context.Context) {
	began := p.Clock.Now()
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	err := p.Store.Probe(limited)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		p.update(false, false, nil)
		p.noteOutage(began, false)
		return
	}
	limited, cancel = context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answers := p.Peers.ReachStore(limited)
	p.update(true, answers.isolated(), err)
	p.noteOutage(began, answers.outage())
}

// noteOutage notes whether a probe that began at a time found the store down for all.
func (p *Prober) noteOutage(began time.Time, outage bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !outage:
		p.outageBegan = time.Time{}
	case p.outageBegan.IsZero():
		p.outageBegan = began
	case began.Sub(p.outageBegan) >= MinOutage:
		p.outageSeen = began.Add(-StatusAge)
	}
}

// update stores the result of a probe and logs a change.
func (p *Prober) update(unreachable, isolated bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if unreachable != p.unreachable || isolated != p.isolated {
		klog.InfoS("Store reachability changed", "reached", !unreachable, "alone", isolated, "err", err)
	}
	p.unreachable, p.isolated = unreachable, isolated
}

// Package prober finds out whether this process reaches the store, and whether
// others do where it doesn't.
package prober

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"
)

const (
	// probeInterval separates the probes of the store.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is longer than a slow store takes for an answer.
	probeTimeout = 700 * time.Millisecond
	// peerTimeout bounds the question to a peer.
	peerTimeout = 300 * time.Millisecond
)

// Store is the part of the platform's store that is used here.
type Store interface {
	// Probe returns nil if the store answers.
	Probe(ctx context.Context) error
}

// Peers are processes in other failure domains.
type Peers interface {
	// ReachStore returns how many peers answered, and how many of them reach the
	// store.
	ReachStore(ctx context.Context) (answered, reaching int)
}

// Prober probes the store. Its exported fields are set before Run.
type Prober struct {
	Store Store
	Peers Peers
	Clock clockwork.Clock

	mu sync.Mutex
	// lost says that the last probe failed, alone that others are better off.
	lost, alone bool
}

// StoreReached reports whether the store answered the last probe.
func (p *Prober) StoreReached() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lost
}

// Alone reports whether this process is cut off from the store while others may
// reach it: a peer does, or none can be asked. In an outage of the store for
// everybody no process is better off.
func (p *Prober) Alone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.alone
}

// Run probes until ctx ends.
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
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	err := p.Store.Probe(limited)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		p.set(false, false, nil)
		return
	}
	limited, cancel = context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answered, reaching := p.Peers.ReachStore(limited)
	p.set(true, answered == 0 || reaching > 0, err)
}

// set notes the outcome of a probe and logs what has changed.
func (p *Prober) set(lost, alone bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost != p.lost || alone != p.alone {
		klog.InfoS("Reach of the store changed", "reached", !lost, "alone", alone, "err", err)
	}
	p.lost, p.alone = lost, alone
}

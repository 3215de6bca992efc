package prober_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/prober"
)

type fakeStore struct{ err error }

func (s fakeStore) Probe(context.Context) error { return s.err }

// askedPeers is the number of peers.
const askedPeers = 3

type fakePeers struct{ answered, reaching int }

func (p fakePeers) ReachStore(context.Context) prober.PeerAnswers {
	return prober.PeerAnswers{Asked: askedPeers, Answered: p.answered, Reaching: p.reaching}
}

func TestProber(t *testing.T) {
	down := errors.New("no answer")
	tests := map[string]struct {
		store        error
		peers        fakePeers
		wantReached  bool
		wantIsolated bool
	}{
		"the store answers":              {peers: fakePeers{answered: 2, reaching: 2}, wantReached: true},
		"the store refuses this process": {store: down, peers: fakePeers{answered: 2, reaching: 1}, wantIsolated: true},
		"this process is cut off":        {store: down, wantIsolated: true},
		"the store is down for all":      {store: down, peers: fakePeers{answered: 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := &prober.Prober{Store: fakeStore{test.store}, Peers: test.peers, Clock: clock}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				if err := p.Run(ctx); err != nil {
					t.Error(err)
				}
			}()
			limited, stop := context.WithTimeout(ctx, 10*time.Second)
			defer stop()
			if err := clock.BlockUntilContext(limited, 1); err != nil {
				t.Fatal(err)
			}
			if p.StoreReached() != test.wantReached || p.Isolated() != test.wantIsolated {
				t.Errorf("reached %v, isolated %v; want %v, %v", p.StoreReached(), p.Isolated(), test.wantReached, test.wantIsolated)
			}
			cancel()
			<-done
		})
	}
}

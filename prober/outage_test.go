package prober_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/prober"
)

// scriptedPeers gives one answer after the other, the last one from then on.
type scriptedPeers struct{ answers []prober.PeerAnswers }

func (p *scriptedPeers) ReachStore(context.Context) prober.PeerAnswers {
	answer := p.answers[0]
	if len(p.answers) > 1 {
		p.answers = p.answers[1:]
	}
	return answer
}

// TestOutageSeen guards against two holders that act: one of them takes a moment in which no peer reached the store, or an
// answer that is out of date, for an outage that keeps others from claiming its cell.
func TestOutageSeen(t *testing.T) {
	none, one := prober.PeerAnswers{Asked: 3, Answered: 3}, prober.PeerAnswers{Asked: 3, Answered: 3, Reaching: 1}
	few := prober.PeerAnswers{Asked: 3, Answered: 1}
	tests := map[string]struct {
		answers []prober.PeerAnswers
		want    bool
	}{
		"no peer reaches the store":            {answers: []prober.PeerAnswers{none}, want: true},
		"one reaches it now and then":          {answers: []prober.PeerAnswers{none, one, none, one, none, one, none, one, none, one, none, one}},
		"few peers answer":                     {answers: []prober.PeerAnswers{few}},
		"no peer reaches it after a while":     {answers: []prober.PeerAnswers{one, one, none}, want: true},
		"one has reached it a short while ago": {answers: []prober.PeerAnswers{one, one, one, one, one, one, one, one, one, one, one, none}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := &prober.Prober{Store: fakeStore{errors.New("down")}, Peers: &scriptedPeers{answers: test.answers}, Clock: clock}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- p.Run(ctx) }()
			for range 12 {
				limited, stop := context.WithTimeout(ctx, 10*time.Second)
				if err := clock.BlockUntilContext(limited, 1); err != nil {
					t.Fatal(err)
				}
				stop()
				clock.Advance(500 * time.Millisecond)
			}
			if err := clock.BlockUntilContext(ctx, 1); err != nil {
				t.Fatal(err)
			}
			seen := p.OutageSeen()
			if !seen.IsZero() != test.want {
				t.Errorf("an outage is seen: %v, want %v", !seen.IsZero(), test.want)
			}
			if age := clock.Now().Sub(seen); test.want && age < prober.StatusAge {
				t.Errorf("the outage counts as seen %v ago, although answers of peers may be %v old", age, prober.StatusAge)
			}
			cancel()
			<-ended
		})
	}
}

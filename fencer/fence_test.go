package fencer_test

import (
	"testing"

	"zinniashore.example/fencer"
)

// Lives of a worker, and the first token of a holder.
const (
	firstLife, secondLife = 7000, 9000
	firstToken            = 100
)

// TestFence guards against a restarted worker that gets acknowledgements, leases or starts while it may still execute those
// for its former life.
func TestFence(t *testing.T) {
	tests := map[string]struct {
		run func(f *fencer.Fence)
		// first and second tell whether each life is established.
		first, second bool
	}{
		"nothing is answered": {run: func(*fencer.Fence) {}},
		"the first call of a holder is answered": {
			run:   func(f *fencer.Fence) { f.Answered(f.Token(), firstLife) },
			first: true,
		},
		"granting calls to the same life": {
			run: func(f *fencer.Fence) {
				f.Answered(f.Token(), firstLife)
				f.Grant()
				f.Answered(f.Token(), firstLife)
			},
			first: true,
		},
		"the next life answers a call that isn't above the granting ones": {
			run: func(f *fencer.Fence) {
				f.Answered(f.Token(), firstLife)
				f.Grant()
				f.Answered(f.Token(), secondLife)
			},
			first: true,
		},
		"the next life answers a raised call": {
			run: func(f *fencer.Fence) {
				f.Answered(f.Token(), firstLife)
				f.Grant()
				f.Raise(firstToken + 1)
				f.Answered(f.Token(), secondLife)
			},
			second: true,
		},
		"the raised call is answered after granting calls with its token": {
			run: func(f *fencer.Fence) {
				f.Answered(f.Token(), firstLife)
				f.Grant()
				f.Raise(firstToken + 1)
				raised := f.Token()
				f.Grant()
				f.Answered(raised, secondLife)
			},
			first: true,
		},
		"the limit allows no raise": {
			run: func(f *fencer.Fence) {
				f.Answered(f.Token(), firstLife)
				f.Grant()
				f.Raise(firstToken)
				f.Answered(f.Token(), secondLife)
			},
			first: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := fencer.New(firstToken)
			test.run(&f)
			if first, second := f.Established(firstLife), f.Established(secondLife); first != test.first || second != test.second {
				t.Errorf("established lives: first %t, second %t, want %t, %t", first, second, test.first, test.second)
			}
		})
	}
}

// TestRaiseStaysBelowLimit guards against a token above that of a later holder.
func TestRaiseStaysBelowLimit(t *testing.T) {
	const limit = firstToken + 3
	f := fencer.New(firstToken)
	for range 10 {
		f.Grant()
		if raised := f.Raise(limit); raised != (f.Token() > firstToken && f.Token() <= limit) && f.Token() > limit {
			t.Fatalf("the token is %d, above %d", f.Token(), limit)
		}
	}
	if f.Token() != limit {
		t.Errorf("the last token is %d, want %d", f.Token(), limit)
	}
	f.Grant()
	if f.Raise(limit) {
		t.Errorf("Raise(%d) = true after all tokens were used", limit)
	}
}

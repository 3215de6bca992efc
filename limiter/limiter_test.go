package limiter_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"zinniashore.example/limiter"
)

var load = limiter.Load{Slots: 2, ServiceTime: 10 * time.Millisecond}

func request(organisation string, priority int, deadline time.Time) limiter.Request {
	return limiter.Request{Organisation: organisation, Queue: "q", Priority: priority, Deadline: deadline, Bytes: 1}
}

func TestPush(t *testing.T) {
	type push struct {
		organisation string
		priority     int
		wait         time.Duration
		bytes        int
	}
	const long = time.Minute
	cases := map[string]struct {
		queued []push
		pushed push
		reason limiter.Reason
		shed   int
	}{
		"not full":                         {pushed: push{"a", 0, long, 1}, shed: -1},
		"cannot finish in time":            {queued: []push{{"a", 0, long, 1}, {"a", 0, long, 1}}, pushed: push{"a", 0, 20 * time.Millisecond, 1}, reason: limiter.ReasonDeadline, shed: -1},
		"overtakes lower priority in time": {queued: []push{{"a", -1, long, 1}, {"a", -1, long, 1}}, pushed: push{"a", 0, 20 * time.Millisecond, 1}, shed: -1},
		"full of equal requests":           {queued: []push{{"a", 0, long, 1}, {"a", 0, long, 1}, {"a", 0, long, 1}, {"a", 0, long, 1}}, pushed: push{"a", 0, long, 1}, reason: limiter.ReasonFull, shed: -1},
		"full, sheds batch first":          {queued: []push{{"a", 0, long, 1}, {"b", -1, long, 1}, {"a", 0, long, 1}, {"a", 0, long, 1}}, pushed: push{"a", 0, long, 1}, shed: 1},
		"full, batch is refused":           {queued: []push{{"a", 0, long, 1}, {"a", 0, long, 1}, {"a", 0, long, 1}, {"a", 0, long, 1}}, pushed: push{"b", -1, long, 1}, reason: limiter.ReasonFull, shed: -1},
		"full, sheds largest organisation": {queued: []push{{"a", 0, long, 1}, {"b", 0, long, 1}, {"a", 0, long, 1}, {"a", 0, long, 1}}, pushed: push{"c", 0, long, 1}, shed: 3},
		"bytes full":                       {queued: []push{{"a", 0, long, 90}}, pushed: push{"a", 0, long, 20}, reason: limiter.ReasonFull, shed: -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			l := &limiter.Limiter{Clock: clock, Length: 4, Bytes: 100}
			add := func(p push) (*limiter.QueuedRequest, error) {
				pushed := request(p.organisation, p.priority, clock.Now().Add(p.wait))
				pushed.Bytes = p.bytes
				return l.Push(pushed, load)
			}
			var waiters []*limiter.QueuedRequest
			for _, p := range c.queued {
				w, err := add(p)
				if err != nil {
					t.Fatal(err)
				}
				waiters = append(waiters, w)
			}
			_, err := add(c.pushed)
			var refusal *limiter.RefusedError
			if errors.As(err, &refusal) != (c.reason != "") || refusal != nil && refusal.Reason != c.reason {
				t.Fatalf("Push() error = %v, want reason %q", err, c.reason)
			}
			for i, w := range waiters {
				if got := len(w.Ready) == 1; got != (i == c.shed) {
					t.Errorf("waiter %d shed = %t, want %t", i, got, i == c.shed)
				}
			}
		})
	}
}

// model is a list of the requests that a Limiter is expected to hold.
type model struct {
	clock   *clockwork.FakeClock
	limiter *limiter.Limiter
	waiting []*limiter.QueuedRequest
}

func (m *model) waitingBytes() (bytes int) {
	for _, w := range m.waiting {
		bytes += w.Request.Bytes
	}
	return bytes
}

// dropRefused removes the requests that the Limiter refused.
func (m *model) dropRefused() {
	m.waiting = slices.DeleteFunc(m.waiting, func(w *limiter.QueuedRequest) bool { return len(w.Ready) > 0 })
}

func (m *model) remove(t *rapid.T, removed *limiter.QueuedRequest) {
	at := slices.Index(m.waiting, removed)
	if at < 0 {
		t.Fatal("a request left the queue twice")
	}
	m.waiting = slices.Delete(m.waiting, at, at+1)
}

func (m *model) push(t *rapid.T) {
	wait := time.Duration(rapid.IntRange(1, 100).Draw(t, "wait")) * time.Millisecond
	pushed := request(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"),
		rapid.IntRange(-1, 1).Draw(t, "priority"), m.clock.Now().Add(wait))
	pushed.Bytes = rapid.IntRange(0, 3).Draw(t, "bytes")
	fits := len(m.waiting) < 5 && m.waitingBytes()+pushed.Bytes <= 6
	w, err := m.limiter.Push(pushed, load)
	var refusal *limiter.RefusedError
	if errors.As(err, &refusal) && refusal.Reason == limiter.ReasonFull && fits {
		t.Fatal("a request was refused as full although the queue was not full")
	}
	m.dropRefused()
	if err == nil {
		m.waiting = append(m.waiting, w)
	}
}

func (m *model) pop(t *rapid.T) {
	w := m.limiter.Pop("q", load)
	if w == nil {
		m.dropRefused()
		return
	}
	m.remove(t, w)
	m.dropRefused()
	if m.clock.Now().Add(load.ServiceTime).After(w.Request.Deadline) {
		t.Fatal("popped a request that cannot finish before its deadline")
	}
	for _, other := range m.waiting {
		if other.Request.Priority > w.Request.Priority {
			t.Fatal("popped a request before one of a higher priority")
		}
	}
}

func (m *model) withdraw(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	w := rapid.SampledFrom(m.waiting).Draw(t, "waiter")
	if !m.limiter.Withdraw(w) || m.limiter.Withdraw(w) {
		t.Fatal("Withdraw must return true once and then false")
	}
	m.remove(t, w)
}

func (m *model) advance(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "by")) * time.Millisecond)
}

func (m *model) check(t *rapid.T) {
	if len(m.waiting) > 5 || m.waitingBytes() > 6 || m.limiter.Waiting("q") != len(m.waiting) {
		t.Fatalf("%d requests (%d reported by Waiting) hold %d bytes, want at most 5 requests and 6 bytes", len(m.waiting), m.limiter.Waiting("q"), m.waitingBytes())
	}
}

// TestLimiterKeepsBounds compares a Limiter with a model over random sequences of calls.
// The bounds hold, each request leaves the queue once, and requests are popped by
// priority.
func TestLimiterKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		m := &model{clock: clock, limiter: &limiter.Limiter{Clock: clock, Length: 5, Bytes: 6}}
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push, "pop": m.pop, "withdraw": m.withdraw, "advance": m.advance, "": m.check,
		})
	})
}

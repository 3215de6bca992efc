package router_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"zinniashore.example/router"
	"zinniashore.example/standin"
)

// keyHomedAt returns a key whose home is the VM with that index.
func (f *fleet) keyHomedAt(index int) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("key-", i)
		if (&keys{fleet: f}).Home(key).VM == fmt.Sprint("vm-", index) {
			return key
		}
	}
}

func dropForwardAnswers(method string) error {
	if strings.HasSuffix(method, "/Forward") {
		return status.Error(codes.Unavailable, "lost")
	}
	return nil
}

// TestForward sends one request to vm-0 of two entry VMs and checks its outcome against
// the number of runs at the endpoint.
func TestForward(t *testing.T) {
	keyless := func(*fleet) router.Request { return order("", 1, maxRequestDuration) }
	keyed := func(home, attempt int) func(*fleet) router.Request {
		return func(f *fleet) router.Request { return order(f.keyHomedAt(home), attempt, maxRequestDuration) }
	}
	cases := map[string]struct {
		shares  [2]int
		prepare func(*fleet)
		request func(*fleet) router.Request
		outcome router.Outcome
		safe    bool
		runs    int
	}{
		"own slots":                           {shares: [2]int{4, 4}, request: keyless, outcome: router.OutcomeOK, runs: 1},
		"no own slots":                        {shares: [2]int{0, 4}, request: keyless, outcome: router.OutcomeOK, runs: 1},
		"no slots anywhere":                   {request: keyless, outcome: router.OutcomeNotRun, safe: true},
		"key at home":                         {shares: [2]int{4, 4}, request: keyed(0, 1), outcome: router.OutcomeOK, safe: true, runs: 1},
		"key with home elsewhere":             {shares: [2]int{4, 4}, request: keyed(1, 1), outcome: router.OutcomeOK, safe: true, runs: 1},
		"home without own slots":              {shares: [2]int{0, 4}, request: keyed(0, 1), outcome: router.OutcomeOK, safe: true, runs: 1},
		"home dead, first attempt":            {shares: [2]int{4, 4}, prepare: func(f *fleet) { f.vms[1].dead = true }, request: keyed(1, 1), outcome: router.OutcomeNotRun, safe: true},
		"home dead, second attempt":           {shares: [2]int{4, 4}, prepare: func(f *fleet) { f.vms[1].dead = true }, request: keyed(1, 2), outcome: router.OutcomeUnknown, safe: true},
		"second attempt without a key":        {shares: [2]int{4, 4}, request: func(*fleet) router.Request { return order("", 2, maxRequestDuration) }, outcome: router.OutcomeUnknown},
		"share expired":                       {shares: [2]int{4, 4}, prepare: func(f *fleet) { f.vms[0].shares.expired.Store(true) }, request: keyless, outcome: router.OutcomeNotRun, safe: true},
		"answer lost, no key":                 {shares: [2]int{0, 4}, prepare: func(f *fleet) { f.vms[1].intercept = dropForwardAnswers }, request: keyless, outcome: router.OutcomeUnknown, runs: 1},
		"answer lost, key":                    {shares: [2]int{4, 4}, prepare: func(f *fleet) { f.vms[1].intercept = dropForwardAnswers }, request: keyed(1, 1), outcome: router.OutcomeUnknown, safe: true, runs: 1},
		"answer lost, home without own slots": {shares: [2]int{0, 4}, prepare: func(f *fleet) { f.vms[1].intercept = dropForwardAnswers }, request: keyed(0, 1), outcome: router.OutcomeUnknown, safe: true, runs: 1},
		"draining peer":                       {shares: [2]int{0, 4}, prepare: func(f *fleet) { _ = f.vms[1].router.Drain(f.t.Context()) }, request: keyless, outcome: router.OutcomeNotRun, safe: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, c.shares[:]...)
			f.serve(&standin.Endpoint{Slots: 8, ServiceTime: time.Millisecond})
			if c.prepare != nil {
				c.prepare(f)
			}
			got := f.vms[0].router.Handle(t.Context(), c.request(f))
			if got.Outcome != c.outcome || got.RetrySafe != c.safe {
				t.Errorf("Handle() = %+v, want %s, safe %t", got, c.outcome, c.safe)
			}
			if runs := f.totalRuns(); runs != c.runs {
				t.Errorf("ran %d times, want %d", runs, c.runs)
			}
		})
	}
}

// TestSpill fills the slots of vm-0 and sends another request. It is forwarded to a peer
// with free capacity; to a peer of another failure domain only if the deadline allows.
func TestSpill(t *testing.T) {
	cases := map[string]struct {
		domain    string
		wait      time.Duration
		elsewhere bool
	}{
		"same failure domain":            {domain: "domain", wait: maxRequestDuration, elsewhere: true},
		"other failure domain":           {domain: "other", wait: maxRequestDuration, elsewhere: true},
		"other failure domain, too late": {domain: "other", wait: 8 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 1)
			f.vms[1].router.FailureDomain = c.domain
			reported := make(chan struct{}, 100)
			f.vms[1].intercept = func(string) error { reported <- struct{}{}; return nil }
			near := f.serve(&standin.Endpoint{Slots: 8, ServiceTime: 200 * time.Millisecond})
			if c.domain != "domain" {
				f.serve(&standin.Endpoint{Slots: 8, ServiceTime: time.Millisecond})
				f.listed[1].FailureDomain = c.domain
				f.list()
			}
			f.run()
			<-reported
			<-reported
			first := make(chan router.Response, 1)
			go func() { first <- f.vms[0].router.Handle(t.Context(), order("", 1, maxRequestDuration)) }()
			for near.Counts().InFlight == 0 {
				time.Sleep(time.Millisecond)
			}
			got := f.vms[0].router.Handle(t.Context(), order("", 1, c.wait))
			if ok := got.Outcome == router.OutcomeOK; ok != c.elsewhere {
				t.Errorf("Handle() = %+v, want ok %t", got, c.elsewhere)
			}
			if ran := near.MaxInFlight() == 2 || f.endpoints[len(f.endpoints)-1].Total() == 1 && c.domain != "domain"; ran != c.elsewhere {
				t.Errorf("ran in the slots of the peer = %t, want %t", ran, c.elsewhere)
			}
			if response := <-first; response.Outcome != router.OutcomeOK {
				t.Errorf("first = %+v, want ok", response)
			}
		})
	}
}

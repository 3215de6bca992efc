package router_test

import (
	"testing"
	"time"

	"zinniashore.example/publisher"
	"zinniashore.example/router"
	"zinniashore.example/standin"
)

// threeEndpoints returns an entry VM with three endpoints.
func threeEndpoints(t *testing.T, serviceTime time.Duration) *fleet {
	t.Helper()
	f := newFleet(t, 8)
	for range 3 {
		f.serve(&standin.Endpoint{Slots: 8, ServiceTime: serviceTime})
	}
	return f
}

// warmUp makes the usual latency known.
func (f *fleet) warmUp() {
	for range 64 {
		f.vms[0].router.Handle(f.t.Context(), get(longest))
	}
}

// TestLeaving checks which endpoints take requests after each hint that one is
// leaving, and that the list of VMs alone never empties the pool.
func TestLeaving(t *testing.T) {
	const requests = 90
	mark := func(count int) func(*fleet) {
		return func(f *fleet) {
			for i := range count {
				f.listed[i].State = publisher.EndpointLeaving
			}
			f.list()
		}
	}
	listVMs := func(vms ...string) func(*fleet) {
		return func(f *fleet) { f.vms[0].router.SetLeaving(vms) }
	}
	cases := map[string]struct {
		hint    func(*fleet)
		outcome router.Outcome
		used    [3]bool
	}{
		"none":                        {hint: func(*fleet) {}, outcome: router.OutcomeOK, used: [3]bool{true, true, true}},
		"the endpoint says so":        {hint: func(f *fleet) { f.endpoints[0].SetFaults(standin.EndpointFaults{Drain: true}) }, outcome: router.OutcomeOK, used: [3]bool{false, true, true}},
		"the owner says so":           {hint: mark(1), outcome: router.OutcomeOK, used: [3]bool{false, true, true}},
		"the owner says so of all":    {hint: mark(3), outcome: router.OutcomeNotRun},
		"one gone from the endpoints": {hint: func(f *fleet) { f.listed = f.listed[1:]; f.list() }, outcome: router.OutcomeOK, used: [3]bool{false, true, true}},
		"one listed":                  {hint: listVMs("worker-0"), outcome: router.OutcomeOK, used: [3]bool{false, true, true}},
		"two listed":                  {hint: listVMs("worker-0", "worker-1"), outcome: router.OutcomeOK, used: [3]bool{true, true, true}},
		"all listed":                  {hint: listVMs("worker-0", "worker-1", "worker-2"), outcome: router.OutcomeOK, used: [3]bool{true, true, true}},
		"listed and not any more":     {hint: func(f *fleet) { listVMs("worker-0")(f); listVMs()(f) }, outcome: router.OutcomeOK, used: [3]bool{true, true, true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := threeEndpoints(t, 0)
			c.hint(f)
			for range requests {
				if got := f.vms[0].router.Handle(t.Context(), order("", 1, longest)); got.Outcome != c.outcome {
					t.Fatalf("Handle() = %+v, want %s", got, c.outcome)
				}
			}
			for i, e := range f.endpoints {
				if got := e.Total() > 0; got != c.used[i] {
					t.Errorf("endpoint %d used = %t, want %t", i, got, c.used[i])
				}
				if got := e.Counts().Refused; got > 1 {
					t.Errorf("endpoint %d refused %d requests, want at most 1", i, got)
				}
			}
		})
	}
}

// TestSuspicion gives endpoints faults and counts what callers see, then takes
// the faults away and waits until each endpoint is in use again.
func TestSuspicion(t *testing.T) {
	const requests = 150
	cases := map[string]struct {
		faults standin.EndpointFaults
		count  int
		ok     int
		ran    int
	}{
		"one fails all":      {faults: standin.EndpointFaults{FailAll: true, Unhealthy: true}, count: 1, ok: requests - 8, ran: requests},
		"all fail all":       {faults: standin.EndpointFaults{FailAll: true, Unhealthy: true}, count: 3, ran: requests},
		"one truncates":      {faults: standin.EndpointFaults{Truncate: true, Unhealthy: true}, count: 1, ok: requests - 2, ran: requests},
		"one is silent":      {faults: standin.EndpointFaults{Silent: true}, count: 1, ok: requests - 2, ran: requests - 2},
		"all connections go": {faults: standin.EndpointFaults{SilenceOpen: true}, count: 3, ok: requests - 4, ran: requests - 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := threeEndpoints(t, time.Millisecond)
			f.warmUp()
			before := f.total()
			for i := range c.count {
				f.endpoints[i].SetFaults(c.faults)
			}
			f.run()
			ok := 0
			for range requests {
				if f.vms[0].router.Handle(t.Context(), get(longest)).Outcome == router.OutcomeOK {
					ok++
				}
			}
			if ok < c.ok {
				t.Errorf("%d of %d requests ok, want at least %d", ok, requests, c.ok)
			}
			if got := f.total() - before; got < c.ran {
				t.Errorf("endpoints ran %d requests, want at least %d", got, c.ran)
			}
			for _, e := range f.endpoints {
				e.SetFaults(standin.EndpointFaults{})
				for was := e.Total(); e.Total() == was; {
					f.vms[0].router.Handle(t.Context(), get(longest))
				}
			}
		})
	}
}

// TestHedgesStayInBudget makes all endpoints slow at once and counts the runs
// above the number of requests: they are hedges, and the budget bounds them.
func TestHedgesStayInBudget(t *testing.T) {
	const requests = 40
	f := threeEndpoints(t, time.Millisecond)
	f.warmUp()
	before := f.total()
	for _, e := range f.endpoints {
		e.SetFaults(standin.EndpointFaults{SlowFactor: 20})
	}
	for range requests {
		if got := f.vms[0].router.Handle(t.Context(), get(longest)); got.Outcome != router.OutcomeOK {
			t.Fatalf("Handle() = %+v, want ok", got)
		}
	}
	hedges := f.total() - before - requests
	if hedges < 1 || hedges > requests/10+10 {
		t.Fatalf("%d hedges for %d requests, want from 1 to %d", hedges, requests, requests/10+10)
	}
}

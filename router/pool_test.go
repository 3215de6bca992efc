package router_test

import (
	"testing"
	"time"

	"zinniashore.example/publisher"
	"zinniashore.example/router"
	"zinniashore.example/standin"
)

// threeEndpoints returns a fleet of one entry VM with three endpoints.
func threeEndpoints(t *testing.T, serviceTime time.Duration) *fleet {
	t.Helper()
	f := newFleet(t, 8)
	for range 3 {
		f.serve(&standin.Endpoint{Slots: 8, ServiceTime: serviceTime})
	}
	return f
}

// warmUp sends enough requests for the latency percentile to be known.
func (f *fleet) warmUp() {
	for range 64 {
		f.vms[0].router.Handle(f.t.Context(), get(maxRequestDuration))
	}
}

// TestLeaving checks which endpoints get requests after an endpoint, its owner or the
// list of VMs reports that endpoints are leaving. It guards against a wrong list of VMs
// that takes all endpoints of a pool out of use.
func TestLeaving(t *testing.T) {
	const requests = 90
	markLeaving := func(count int) func(*fleet) {
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
		"none":                       {hint: func(*fleet) {}, outcome: router.OutcomeOK, used: [3]bool{true, true, true}},
		"one reports draining":       {hint: func(f *fleet) { f.endpoints[0].SetFaults(standin.EndpointFaults{Drain: true}) }, outcome: router.OutcomeOK, used: [3]bool{false, true, true}},
		"owner reports one leaving":  {hint: markLeaving(1), outcome: router.OutcomeOK, used: [3]bool{false, true, true}},
		"owner reports all leaving":  {hint: markLeaving(3), outcome: router.OutcomeNotRun},
		"one endpoint removed":       {hint: func(f *fleet) { f.listed = f.listed[1:]; f.list() }, outcome: router.OutcomeOK, used: [3]bool{false, true, true}},
		"one VM listed":              {hint: listVMs("worker-0"), outcome: router.OutcomeOK, used: [3]bool{false, true, true}},
		"two VMs listed":             {hint: listVMs("worker-0", "worker-1"), outcome: router.OutcomeOK, used: [3]bool{true, true, true}},
		"all VMs listed":             {hint: listVMs("worker-0", "worker-1", "worker-2"), outcome: router.OutcomeOK, used: [3]bool{true, true, true}},
		"VM listed, then not listed": {hint: func(f *fleet) { listVMs("worker-0")(f); listVMs()(f) }, outcome: router.OutcomeOK, used: [3]bool{true, true, true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := threeEndpoints(t, 0)
			c.hint(f)
			for range requests {
				if got := f.vms[0].router.Handle(t.Context(), order("", 1, maxRequestDuration)); got.Outcome != c.outcome {
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

// TestSuspicion injects faults into endpoints and counts the successful requests, then
// removes the faults and waits until each endpoint gets requests again.
func TestSuspicion(t *testing.T) {
	const requests = 150
	cases := map[string]struct {
		faults standin.EndpointFaults
		count  int
		ok     int
		ran    int
	}{
		"one fails all":                {faults: standin.EndpointFaults{FailAll: true, Unhealthy: true}, count: 1, ok: requests - 8, ran: requests},
		"all fail all":                 {faults: standin.EndpointFaults{FailAll: true, Unhealthy: true}, count: 3, ran: requests},
		"one truncates":                {faults: standin.EndpointFaults{Truncate: true, Unhealthy: true}, count: 1, ok: requests - 2, ran: requests},
		"one is unresponsive":          {faults: standin.EndpointFaults{Silent: true}, count: 1, ok: requests - 2, ran: requests - 2},
		"all connections unresponsive": {faults: standin.EndpointFaults{SilenceOpen: true}, count: 3, ok: requests - 4, ran: requests - 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := threeEndpoints(t, time.Millisecond)
			f.warmUp()
			before := f.totalRuns()
			for i := range c.count {
				f.endpoints[i].SetFaults(c.faults)
			}
			f.run()
			ok := 0
			for range requests {
				if f.vms[0].router.Handle(t.Context(), get(maxRequestDuration)).Outcome == router.OutcomeOK {
					ok++
				}
			}
			if ok < c.ok {
				t.Errorf("%d of %d requests ok, want at least %d", ok, requests, c.ok)
			}
			if got := f.totalRuns() - before; got < c.ran {
				t.Errorf("endpoints ran %d requests, want at least %d", got, c.ran)
			}
			for _, e := range f.endpoints {
				e.SetFaults(standin.EndpointFaults{})
				for was := e.Total(); e.Total() == was; {
					f.vms[0].router.Handle(t.Context(), get(maxRequestDuration))
				}
			}
		})
	}
}

// TestHedgesStayInBudget slows all endpoints down at once. The runs in excess of the
// number of requests are hedges, and the budget limits them.
func TestHedgesStayInBudget(t *testing.T) {
	const requests = 40
	f := threeEndpoints(t, time.Millisecond)
	f.warmUp()
	before := f.totalRuns()
	for _, e := range f.endpoints {
		e.SetFaults(standin.EndpointFaults{SlowFactor: 20})
	}
	for range requests {
		if got := f.vms[0].router.Handle(t.Context(), get(maxRequestDuration)); got.Outcome != router.OutcomeOK {
			t.Fatalf("Handle() = %+v, want ok", got)
		}
	}
	hedges := f.totalRuns() - before - requests
	if hedges < 1 || hedges > requests/10+10 {
		t.Fatalf("%d hedges for %d requests, want from 1 to %d", hedges, requests, requests/10+10)
	}
}

package router_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"zinniashore.example/router"
	"zinniashore.example/standin"
)

// TestOrdersRunAtMostOnce sends orders and their retries to random entry VMs while
// random faults are injected into the endpoints. No order may run twice, each outcome
// must match the runs at the endpoints, and no endpoint may get more requests than it
// has slots.
func TestOrdersRunAtMostOnce(t *testing.T) {
	f := newFleet(t, 3, 3, 2)
	f.run()
	for range 3 {
		f.serve(&standin.Endpoint{Slots: 8, ServiceTime: 4 * time.Millisecond})
	}
	var callers sync.WaitGroup
	var mu sync.Mutex
	final := map[string]router.Response{}
	for caller := range 40 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(caller)))
			for i := range 25 {
				key := fmt.Sprint(caller, "-", i)
				response := f.place(random, key)
				mu.Lock()
				final[key] = response
				mu.Unlock()
			}
		})
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { f.injectFaults(stop) })
	callers.Wait()
	close(stop)
	faults.Wait()
	f.checkOrders(final)
}

// place sends an order up to 4 times, until it succeeds or a retry is unsafe.
func (f *fleet) place(random *rand.Rand, key string) router.Response {
	var response router.Response
	for attempt := 1; attempt <= 4; attempt++ {
		v := f.vms[random.IntN(len(f.vms))]
		wait := time.Duration(20+random.IntN(200)) * time.Millisecond
		response = v.router.Handle(f.t.Context(), order(key, attempt, wait))
		if response.Outcome == router.OutcomeOK || !response.RetrySafe {
			break
		}
		time.Sleep(min(response.RetryAfter, 20*time.Millisecond))
	}
	return response
}

// injectFaults sets a random fault at a random endpoint every 30 ms.
func (f *fleet) injectFaults(stop <-chan struct{}) {
	faults := []standin.EndpointFaults{
		{SlowFactor: 40}, {LateMilliseconds: 100}, {Truncate: true}, {WrongEcho: true}, {SilenceOpen: true},
		{Drain: true}, {FailAll: true}, {Silent: true}, {},
	}
	random := rand.New(rand.NewPCG(2, 2))
	for {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
			f.endpoints[random.IntN(len(f.endpoints))].SetFaults(faults[random.IntN(len(faults))])
		}
	}
}

func (f *fleet) checkOrders(final map[string]router.Response) {
	outcomes := map[router.Outcome]int{}
	for key, response := range final {
		outcomes[response.Outcome]++
		runs := f.runsOf(key)
		if runs > 1 {
			f.t.Errorf("order %s ran %d times", key, runs)
		}
		if response.Outcome == router.OutcomeNotRun && runs != 0 {
			f.t.Errorf("order %s is not_run and ran", key)
		}
		if response.Outcome == router.OutcomeOK && (runs != 1 || string(response.Body) != "order "+key) {
			f.t.Errorf("order %s is ok, ran %d times, answer %q", key, runs, response.Body)
		}
	}
	for i, e := range f.endpoints {
		if got := e.MaxInFlight(); got > 8 {
			f.t.Errorf("endpoint %d had %d requests in flight, want at most 8", i, got)
		}
		if got := e.MaxConnections(); got > 64 {
			f.t.Errorf("endpoint %d had %d connections, want at most 64", i, got)
		}
	}
	f.t.Logf("outcomes: %v", outcomes)
	if outcomes[router.OutcomeOK] == 0 {
		f.t.Error("no order succeeded")
	}
}

// TestDrain drains an entry VM with requests in flight. Those complete normally, and new
// ones are refused.
func TestDrain(t *testing.T) {
	f := newFleet(t, 8)
	e := f.serve(&standin.Endpoint{Slots: 8, ServiceTime: 200 * time.Millisecond})
	responses := make(chan router.Response, 4)
	for i := range cap(responses) {
		go func() { responses <- f.vms[0].router.Handle(t.Context(), order(fmt.Sprint(i), 1, maxRequestDuration)) }()
	}
	for e.Counts().InFlight < cap(responses) {
		time.Sleep(time.Millisecond)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	var left *router.DrainError
	if err := f.vms[0].router.Drain(ended); !errors.As(err, &left) || len(left.InFlight) != cap(responses) {
		t.Fatalf("Drain() without time = %v, want %d requests left", err, cap(responses))
	}
	refused := f.vms[0].router.Handle(t.Context(), order("new", 1, maxRequestDuration))
	if refused.Outcome != router.OutcomeNotRun || !refused.RetrySafe {
		t.Errorf("new request in a drain = %+v, want not_run and safe", refused)
	}
	if err := f.vms[0].router.Drain(t.Context()); err != nil || e.Counts().InFlight != 0 {
		t.Fatalf("Drain() = %v with %d requests at the endpoint, want none", err, e.Counts().InFlight)
	}
	for range cap(responses) {
		if got := <-responses; got.Outcome != router.OutcomeOK {
			t.Errorf("request in flight = %+v, want ok", got)
		}
	}
}

// TestDrainNamesWhatIsLeft checks that a drain ends with its context and that the error
// lists the request still in flight.
func TestDrainNamesWhatIsLeft(t *testing.T) {
	f := newFleet(t, 8)
	e := f.serve(&standin.Endpoint{Slots: 8, ServiceTime: 300 * time.Millisecond})
	done := make(chan router.Response, 1)
	go func() { done <- f.vms[0].router.Handle(t.Context(), order("long", 1, maxRequestDuration)) }()
	for e.Counts().InFlight == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	var left *router.DrainError
	if err := f.vms[0].router.Drain(ctx); !errors.As(err, &left) || len(left.InFlight) != 1 {
		t.Fatalf("Drain() = %v, want one request left", err)
	}
	<-done
}

package router

import (
	"math/rand/v2"
	"time"

	"zinniashore.example/exchanger"
	"zinniashore.example/limiter"
	"zinniashore.example/publisher"
	"zinniashore.example/retrier"
)

// maxCandidates is the number of endpoints compared for each request.
const maxCandidates = 3

type serviceName struct {
	organisation string
	service      string
}

func (n serviceName) queueName() string { return n.organisation + "/" + n.service }

// pool holds the endpoints of one service in the failure domain of this entry VM. The
// mutex of the Router guards it.
type pool struct {
	name      serviceName
	endpoints []*endpoint
	budget    retrier.Budget
	latencies retrier.Latencies
}

// snapshot summarizes the endpoints of a pool at one time. If less than half of them
// are usable (panicking) or usable and not slow (mostSlow), the respective criterion is
// ignored, since it is then probably wrong.
type snapshot struct {
	now       time.Time
	mean      time.Duration
	panicking bool
	mostSlow  bool
}

func (p *pool) snapshot(now time.Time) snapshot {
	snap := snapshot{now: now, mean: p.latencies.Mean()}
	usable, fast, total := 0, 0, 0
	for _, e := range p.endpoints {
		if e.condition() == ConditionDrained {
			continue
		}
		total++
		if !e.usable(false) {
			continue
		}
		usable++
		if !e.slow(snap.mean) {
			fast++
		}
	}
	snap.panicking = 2*usable < total
	snap.mostSlow = 2*fast < total
	return snap
}

// choose returns the endpoint with the lowest score among a random sample of those with
// free slots, or nil if there is none. The excluded endpoint is not considered.
func (p *pool) choose(shares Shares, now time.Time, exclude *endpoint) *endpoint {
	snap := p.snapshot(now)
	var best *endpoint
	compared := 0
	count := len(p.endpoints)
	if count == 0 {
		return nil
	}
	first, step := rand.IntN(count), coprimeStep(count)
	for i := 0; i < count && compared < maxCandidates; i++ {
		e := p.endpoints[(first+i*step)%count]
		if e == exclude || !e.usable(snap.panicking) || e.freeSlots(shares.Share(e.Slots), snap) == 0 {
			continue
		}
		compared++
		if best == nil || e.score(snap.mean, now) < best.score(snap.mean, now) {
			best = e
		}
	}
	return best
}

// coprimeStep returns a random step that is coprime to count, so that count steps modulo
// count visit each index once.
func coprimeStep(count int) int {
	for {
		step := 1 + rand.IntN(count)
		if gcd(step, count) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// load returns the number of usable slots and the mean time that a request holds one.
func (p *pool) load(shares Shares, now time.Time) limiter.Load {
	snap := p.snapshot(now)
	slots := 0
	for _, e := range p.endpoints {
		if e.usable(snap.panicking) {
			slots += e.slotLimit(shares.Share(e.Slots), snap)
		}
	}
	return limiter.Load{Slots: slots, ServiceTime: snap.mean}
}

// freeSlots returns the number of requests that the pool can start immediately.
func (p *pool) freeSlots(shares Shares, now time.Time) int {
	snap := p.snapshot(now)
	free := 0
	for _, e := range p.endpoints {
		if e.usable(snap.panicking) {
			free += e.freeSlots(shares.Share(e.Slots), snap)
		}
	}
	return free
}

// SetEndpoints replaces the list of endpoints. Requests in flight at endpoints that
// are no longer listed complete normally.
func (r *Router) SetEndpoints(listed []publisher.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	previous := map[endpointID]*endpoint{}
	for _, p := range r.pools {
		for _, e := range p.endpoints {
			previous[idOf(e.Endpoint)] = e
			e.removed = true
		}
		p.endpoints = nil
	}
	r.remoteServices = map[serviceName]bool{}
	for _, l := range listed {
		name := serviceName{organisation: l.Organisation, service: l.Service}
		if l.FailureDomain != r.FailureDomain {
			r.remoteServices[name] = true
			continue
		}
		e := previous[idOf(l)]
		if e == nil {
			e = r.newEndpoint(l)
		}
		e.Endpoint = l
		e.removed = false
		e.vmLeaving = r.leavingVMs[l.VM]
		p := r.ensurePool(name)
		p.endpoints = append(p.endpoints, e)
	}
	r.closeRemoved(previous)
	r.prune()
	r.grantAllSlots()
}

// SetLeaving replaces the set of VMs that the platform's list shows as leaving. The
// list lags and can be wrong, so it alone never takes more than half of the endpoints
// of a service out of use.
func (r *Router) SetLeaving(vms []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.leavingVMs = map[string]bool{}
	for _, vm := range vms {
		r.leavingVMs[vm] = true
	}
	for _, p := range r.pools {
		for _, e := range p.endpoints {
			e.vmLeaving = r.leavingVMs[e.VM]
		}
	}
	r.grantAllSlots()
}

// Occupancy returns the usage of each endpoint by this entry VM.
func (r *Router) Occupancy() []Occupancy {
	r.mu.Lock()
	defer r.mu.Unlock()
	var occupancies []Occupancy
	for _, p := range r.pools {
		for _, e := range p.endpoints {
			occupancies = append(occupancies, Occupancy{
				Organisation: e.Organisation, Service: e.Service, Address: e.Address, VM: e.VM,
				InFlight: e.inFlight, Share: r.Shares.Share(e.Slots),
				Connections: e.exchanger.OpenConnections(), Condition: e.condition(),
			})
		}
	}
	return occupancies
}

// endpointID identifies one run of an endpoint, since another run may have the same
// address.
type endpointID struct {
	address string
	task    string
	attempt int
}

func idOf(e publisher.Endpoint) endpointID {
	return endpointID{address: e.Address, task: e.Task, attempt: e.Attempt}
}

func (r *Router) newEndpoint(listed publisher.Endpoint) *endpoint {
	e := &endpoint{Endpoint: listed, healthyAt: r.Clock.Now()}
	limit := listed.Connections
	e.exchanger = &exchanger.Exchanger{
		Clock:              r.Clock,
		Address:            listed.Address,
		Connections:        func() int { return r.Shares.Connections(limit) },
		SendPermitted:      r.Shares.Held,
		MaxAnswerBytes:     r.MaxAnswerBytes,
		MaxRequestDuration: r.maxRequestDuration(),
	}
	return e
}

// closeRemoved closes the idle connections to removed endpoints.
func (r *Router) closeRemoved(known map[endpointID]*endpoint) {
	for _, e := range known {
		if e.removed {
			e.exchanger.CloseIdle()
		}
	}
}

// prune deletes the pools that have neither endpoints nor waiting requests.
func (r *Router) prune() {
	for name, p := range r.pools {
		if len(p.endpoints) == 0 && r.limiter.Waiting(name.queueName()) == 0 {
			delete(r.pools, name)
		}
	}
}

func (r *Router) ensurePool(name serviceName) *pool {
	p := r.pools[name]
	if p == nil {
		p = &pool{name: name}
		r.pools[name] = p
	}
	return p
}

// grantAllSlots grants the free slots of all pools to waiting requests. The caller holds
// the mutex.
func (r *Router) grantAllSlots() {
	for _, p := range r.pools {
		r.grantSlots(p)
	}
}

func (r *Router) grantSlots(p *pool) {
	for {
		e := p.choose(r.Shares, r.Clock.Now(), nil)
		if e == nil {
			return
		}
		waiter := r.limiter.Pop(p.name.queueName(), p.load(r.Shares, r.Clock.Now()))
		if waiter == nil {
			return
		}
		e.inFlight++
		r.granted[waiter] = e
		waiter.Ready <- nil
	}
}

func (r *Router) release(p *pool, e *endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.inFlight--
	if r.limiter.Waiting(p.name.queueName()) > 0 {
		r.grantSlots(p)
	}
}

package router

import (
	"math/rand/v2"
	"time"

	"zinniashore.example/exchanger"
	"zinniashore.example/limiter"
	"zinniashore.example/publisher"
	"zinniashore.example/retrier"
)

// choices is how many endpoints are compared for each request.
const choices = 3

type serviceName struct {
	organisation string
	service      string
}

func (n serviceName) queue() string { return n.organisation + "/" + n.service }

// pool holds the endpoints of one service in the own failure domain. The mutex
// of the Router guards it.
type pool struct {
	name      serviceName
	endpoints []*endpoint
	budget    retrier.Budget
	latencies retrier.Latencies
}

// view is how the endpoints of a pool compare at one time. Where suspicion or
// slowness would leave less than half of them, it is itself doubted.
type view struct {
	now       time.Time
	mean      time.Duration
	panicking bool
	mostSlow  bool
}

func (p *pool) view(now time.Time) view {
	v := view{now: now, mean: p.latencies.Mean()}
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
		if !e.slow(v.mean) {
			fast++
		}
	}
	v.panicking = 2*usable < total
	v.mostSlow = 2*fast < total
	return v
}

// choose returns the best of a few endpoints with room other than the excluded
// one, or nil if none has room.
func (p *pool) choose(shares Shares, now time.Time, exclude *endpoint) *endpoint {
	v := p.view(now)
	var best *endpoint
	compared := 0
	count := len(p.endpoints)
	if count == 0 {
		return nil
	}
	first, step := rand.IntN(count), coprimeStep(count)
	for i := 0; i < count && compared < choices; i++ {
		e := p.endpoints[(first+i*step)%count]
		if e == exclude || !e.usable(v.panicking) || e.room(shares.Share(e.Slots), v) == 0 {
			continue
		}
		compared++
		if best == nil || e.score(v.mean, now) < best.score(v.mean, now) {
			best = e
		}
	}
	return best
}

// coprimeStep returns a random step that visits each of count places once.
func coprimeStep(count int) int {
	for {
		step := 1 + rand.IntN(count)
		if divisor(step, count) == 1 {
			return step
		}
	}
}

func divisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// load returns how busy the slots of the pool are.
func (p *pool) load(shares Shares, now time.Time) limiter.Load {
	v := p.view(now)
	slots := 0
	for _, e := range p.endpoints {
		if e.usable(v.panicking) {
			slots += e.allowed(shares.Share(e.Slots), v)
		}
	}
	return limiter.Load{Slots: slots, ServiceTime: v.mean}
}

// room returns how many more requests the pool takes at once.
func (p *pool) room(shares Shares, now time.Time) int {
	v := p.view(now)
	room := 0
	for _, e := range p.endpoints {
		if e.usable(v.panicking) {
			room += e.room(shares.Share(e.Slots), v)
		}
	}
	return room
}

// SetEndpoints replaces the list of endpoints. Requests in flight to endpoints
// that are gone from it end as they would have.
func (r *Router) SetEndpoints(listed []publisher.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start()
	kept := map[endpointID]*endpoint{}
	for _, p := range r.pools {
		for _, e := range p.endpoints {
			kept[idOf(e.Endpoint)] = e
			e.removed = true
		}
		p.endpoints = nil
	}
	r.remote = map[serviceName]bool{}
	for _, l := range listed {
		name := serviceName{organisation: l.Organisation, service: l.Service}
		if l.FailureDomain != r.FailureDomain {
			r.remote[name] = true
			continue
		}
		e := kept[idOf(l)]
		if e == nil {
			e = r.newEndpoint(l)
		}
		e.Endpoint = l
		e.removed = false
		e.listed = r.leaving[l.VM]
		p := r.poolOf(name)
		p.endpoints = append(p.endpoints, e)
	}
	r.retire(kept)
	r.prune()
	r.wakeAll()
}

// SetLeaving names the VMs that the platform's list shows as leaving. The list
// lags and can be wrong, so its word alone never takes more than half of the
// endpoints of a service out of use.
func (r *Router) SetLeaving(vms []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start()
	r.leaving = map[string]bool{}
	for _, vm := range vms {
		r.leaving[vm] = true
	}
	for _, p := range r.pools {
		for _, e := range p.endpoints {
			e.listed = r.leaving[e.VM]
		}
	}
	r.wakeAll()
}

// Occupancy returns how this entry VM uses each endpoint.
func (r *Router) Occupancy() []Occupancy {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Occupancy
	for _, p := range r.pools {
		for _, e := range p.endpoints {
			all = append(all, Occupancy{
				Organisation: e.Organisation, Service: e.Service, Address: e.Address, VM: e.VM,
				InFlight: e.inFlight, Share: r.Shares.Share(e.Slots),
				Connections: e.exchanger.Open(), Condition: e.condition(),
			})
		}
	}
	return all
}

// endpointID tells one run of an endpoint from the next at the same address.
type endpointID struct {
	address string
	task    string
	attempt int
}

func idOf(e publisher.Endpoint) endpointID {
	return endpointID{address: e.Address, task: e.Task, attempt: e.Attempt}
}

func (r *Router) newEndpoint(listed publisher.Endpoint) *endpoint {
	e := &endpoint{Endpoint: listed, heardAt: r.Clock.Now()}
	limit := listed.Connections
	e.exchanger = &exchanger.Exchanger{
		Clock:          r.Clock,
		Address:        listed.Address,
		Connections:    func() int { return r.Shares.Connections(limit) },
		Held:           r.Shares.Held,
		MaxAnswerBytes: r.MaxAnswerBytes,
		LongestRequest: r.longestRequest(),
	}
	return e
}

// retire closes idle connections to endpoints that are gone.
func (r *Router) retire(known map[endpointID]*endpoint) {
	for _, e := range known {
		if e.removed {
			e.exchanger.CloseIdle()
		}
	}
}

// prune forgets services that have neither endpoints nor waiting requests.
func (r *Router) prune() {
	for name, p := range r.pools {
		if len(p.endpoints) == 0 && r.limiter.Waiting(name.queue()) == 0 {
			delete(r.pools, name)
		}
	}
}

func (r *Router) poolOf(name serviceName) *pool {
	p := r.pools[name]
	if p == nil {
		p = &pool{name: name}
		r.pools[name] = p
	}
	return p
}

// wakeAll gives free slots to waiting requests; the caller holds the mutex.
func (r *Router) wakeAll() {
	for _, p := range r.pools {
		r.wake(p)
	}
}

func (r *Router) wake(p *pool) {
	for {
		e := p.choose(r.Shares, r.Clock.Now(), nil)
		if e == nil {
			return
		}
		w := r.limiter.Pop(p.name.queue(), p.load(r.Shares, r.Clock.Now()))
		if w == nil {
			return
		}
		e.inFlight++
		r.granted[w] = e
		w.Ready <- nil
	}
}

func (r *Router) release(p *pool, e *endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.inFlight--
	if r.limiter.Waiting(p.name.queue()) > 0 {
		r.wake(p)
	}
}

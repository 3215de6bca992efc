package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"zinniashore.example/standin"
)

// soakFault is a planned fault.
type soakFault struct {
	at, length time.Duration
	kind       string
	// number selects what it hits, seeds its details.
	number uint64
	// variant selects the form of a fault of connections.
	variant int
}

func (f soakFault) String() string {
	return fmt.Sprintf("%.3fs for %s: %s (variant %d)", f.at.Seconds(), f.length.Round(time.Millisecond), f.kind, f.variant)
}

// soakKind is a kind of fault and its weight.
type soakKind struct {
	kind   string
	weight int
}

// soakKinds are the kinds of faults of the first plan of a seed, soakFleetKinds,
// soakSeriesKinds and soakSilentKinds those of the others, which overlap it.
var (
	soakKinds = []soakKind{
		{"kill a process", 3}, {"kill a holder", 4}, {"stop a process", 3}, {"freeze a process", 2}, {"freeze a holder", 3}, {"hang up", 1},
		{"change the configuration", 1}, {"store unavailable", 3}, {"store loses answers", 2}, {"store refuses a process", 3},
		{"link to the store", 4}, {"link to a worker", 3}, {"links to all workers", 2}, {"worker restarts", 4}, {"worker leaves", 2},
		{"worker crashes", 2}, {"worker isn't registered", 2}, {"workers' answers", 5}, {"kill all processes", 1},
	}
	soakFleetKinds  = []soakKind{{"all workers restart", 1}, {"worker's capacity", 2}}
	soakSeriesKinds = []soakKind{{"stops in series", 1}, {"configurations in series", 1}}
	soakSilentKinds = []soakKind{{"store silent", 2}, {"store's connections silent", 1}, {"change the configuration", 3}}
	// soakPlannedKinds excuse no broken rule.
	soakPlannedKinds = []string{"stop a process", "hang up", "change the configuration", "worker's capacity", "stops in series", "configurations in series", "evacuation"}
)

// newSoakPlan returns the faults of a seed. Those with changes only leave calm times between
// them, in which every change has to be in force.
func newSoakPlan(c soakCase) []soakFault {
	seed, length := c.seed, c.length
	if c.planned {
		return plannedPlan(seed, length)
	}
	if c.changes {
		return drawFaults(rand.New(rand.NewPCG(seed, 5<<32)), soakSilentKinds, soakCalmEvery, length)
	}
	if c.evacuations {
		return evacuationPlan(seed, length)
	}
	if c.refusals {
		return refusalsPlan(seed, length)
	}
	if c.lostDomain {
		return lostDomainPlan(seed)
	}
	if c.lostHolder {
		return lostHolderPlan(seed)
	}
	plan := drawFaults(rand.New(rand.NewPCG(seed, 1<<32)), soakKinds, soakFaultEvery, length)
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, 2<<32)), soakFleetKinds, soakFleetEvery, length)...)
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, 3<<32)), soakSeriesKinds, soakSeriesEvery, length)...)
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, 4<<32)), soakSilentKinds, soakSilentEvery, length)...)
	if c.long {
		return longPlan(plan, seed, length)
	}
	return plan
}

// drawFaults draws faults that begin once in each interval on average.
func drawFaults(rng *rand.Rand, kinds []soakKind, interval, length time.Duration) []soakFault {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	// The processes have a second to start.
	var plan []soakFault
	for at := time.Second; at < length; at += time.Duration(rng.Int64N(int64(2 * interval))) {
		f := soakFault{at: at, length: 300*time.Millisecond + time.Duration(rng.Int64N(int64(5*time.Second))), number: rng.Uint64(), variant: rng.IntN(8)}
		choice := rng.IntN(total)
		for _, k := range kinds {
			if choice -= k.weight; choice < 0 {
				f.kind = k.kind
				break
			}
		}
		plan = append(plan, f)
	}
	return plan
}

// form returns a fault of connections.
func (f soakFault) form() *linkFault {
	switch f.variant {
	case 0:
		return &linkFault{delay: time.Duration(50+f.number%1500) * time.Millisecond}
	case 1:
		return &linkFault{reset: true}
	case 2:
		return &linkFault{silentUp: true}
	case 3:
		return &linkFault{silentUp: true, drop: true}
	case 4:
		return &linkFault{silentDown: true}
	case 5:
		return &linkFault{silentDown: true, drop: true}
	case 6:
		return &linkFault{silentUp: true, silentDown: true}
	}
	return &linkFault{silentUp: true, silentDown: true, drop: true}
}

// holder returns the process that most recently used the highest epoch of the cell of a
// process.
func (s *soak) holder(p *soakProcess) *soakProcess {
	epoch, name := int64(0), p.name
	for _, e := range s.ledger.Events() {
		if s.domainOf(e.Worker) == p.domain && e.Epoch >= epoch && e.Caller != "" {
			epoch, name = e.Epoch, strings.Split(e.Caller, "/")[0]
		}
	}
	for _, other := range s.processes {
		if other.name == name {
			return other
		}
	}
	return p
}

// inject carries out a fault and returns when it has ended.
func (s *soak) inject(f soakFault) {
	p := s.processes[f.number%uint64(len(s.processes))]
	if strings.HasSuffix(f.kind, "a holder") {
		p = s.holder(p)
	}
	if s.planned && s.injectPlanned(f, p) {
		return
	}
	if s.injectLost(f, p) || s.injectDomain(f) {
		return
	}
	if !slices.Contains(soakPlannedKinds, f.kind) {
		end := s.disturb(f.kind, p.name)
		defer func() { end(time.Now()) }()
	}
	if s.injectProcess(f, p) || s.injectStore(f, p) || s.injectSeries(f, p) || s.injectLong(f, p) || s.injectRefusals(f, p) {
		return
	}
	s.injectWorker(f, p)
}

// disturb notes that an unplanned fault begins and returns a function that notes when it ends.
func (s *soak) disturb(kind, process string) func(at time.Time) {
	span := &soakSpan{from: time.Now(), kind: kind, process: process}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, span)
	return func(at time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		span.to = at
	}
}

func (s *soak) injectProcess(f soakFault, p *soakProcess) bool {
	switch f.kind {
	case "kill a process", "kill a holder":
		<-s.signal(p, syscall.SIGKILL)
		time.Sleep(f.length * time.Duration(f.variant%2))
		s.start(p)
	case "kill all processes":
		for _, each := range s.processes {
			<-s.signal(each, syscall.SIGKILL)
		}
		time.Sleep(f.length / 2)
		for _, each := range s.processes {
			s.start(each)
		}
	case "stop a process":
		s.replace(p)
	case "freeze a process", "freeze a holder":
		s.signal(p, syscall.SIGSTOP)
		time.Sleep(f.length)
		s.signal(p, syscall.SIGCONT)
	case "hang up":
		s.signal(p, syscall.SIGHUP)
	default:
		return false
	}
	return true
}

func (s *soak) injectStore(f soakFault, p *soakProcess) bool {
	switch f.kind {
	case "change the configuration":
		s.configure(f.number)
	case "evacuation":
		s.evacuate(f, p.domain)
	case "store unavailable":
		s.storeOutage(f, standin.PlatformFaults{Refuse: true}, f.variant%2 == 0)
	case "store silent":
		s.storeOutage(f, standin.PlatformFaults{Silent: true}, f.variant%4 == 0)
	case "store's connections silent":
		s.store.SilenceConnections()
		s.configure(f.number)
	case "store loses answers":
		s.setStore(standin.PlatformFaults{LoseEvery: 2 + f.variant%3})
		time.Sleep(f.length)
		s.setStore(standin.PlatformFaults{})
	case "store refuses a process":
		p.refused.Add(1)
		time.Sleep(f.length)
		p.refused.Add(-1)
	case "link to the store":
		fault := f.form()
		p.store.begin(fault)
		time.Sleep(f.length)
		p.store.end(fault)
	default:
		return false
	}
	return true
}

// setStore sets faults of the store unless an outage, which prevails, is on.
func (s *soak) setStore(faults standin.PlatformFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outages == 0 {
		s.store.SetFaults(faults)
	}
}

// storeOutage makes the store refuse all calls, or leave them without an answer. In some
// outages it drops the workers, which are back soon after its return. The configuration
// changes as it returns.
func (s *soak) storeOutage(f soakFault, faults standin.PlatformFaults, drop bool) {
	s.beginOutage(faults, drop)
	time.Sleep(f.length)
	workers := s.endOutage()
	s.configure(f.number)
	time.Sleep(time.Duration(f.number % uint64(soakReappear)))
	for _, w := range workers {
		s.register(w)
	}
}

// beginOutage begins an outage of the store, which drops the workers in some.
func (s *soak) beginOutage(faults standin.PlatformFaults, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages++
	s.store.SetFaults(faults)
	if !drop {
		return
	}
	for _, w := range s.workers {
		s.store.Remove("servers/" + w.id)
	}
}

// endOutage ends an outage of the store and returns all workers.
func (s *soak) endOutage() []*soakWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages--
	if s.outages == 0 {
		s.store.SetFaults(standin.PlatformFaults{})
	}
	return append([]*soakWorker(nil), s.workers...)
}

func (s *soak) injectWorker(f soakFault, p *soakProcess) {
	leaves := f.kind == "worker leaves" || f.kind == "worker crashes"
	w := s.takeWorker(f.number>>8, leaves)
	if w == nil {
		return
	}
	switch f.kind {
	case "link to a worker":
		fault := f.form()
		w.links[p.name].begin(fault)
		time.Sleep(f.length)
		w.links[p.name].end(fault)
	case "links to all workers":
		s.mu.Lock()
		workers := append([]*soakWorker(nil), s.workers...)
		s.mu.Unlock()
		fault := f.form()
		for _, each := range workers {
			each.links[p.name].begin(fault)
		}
		time.Sleep(f.length)
		for _, each := range workers {
			each.links[p.name].end(fault)
		}
	case "worker restarts":
		s.restart(w, f.length/4*time.Duration(f.variant%3))
	case "worker's capacity":
		s.shrink(s.lastStarted(w), f)
	case "worker leaves":
		s.register(w)
		time.Sleep(soakDrain + f.length/4)
		if f.variant >= 4 {
			s.leave(w, f.length/2)
		} else {
			s.remove(w)
			s.hide(w)
		}
		s.addWorker(w.domain, rand.New(rand.NewPCG(f.number, 0)))
	case "worker crashes":
		s.remove(w)
		time.Sleep(3 * soakHeartbeat)
		s.hide(w)
		s.addWorker(w.domain, rand.New(rand.NewPCG(f.number, 0)))
	case "worker isn't registered":
		s.hide(w)
		time.Sleep(f.length)
		s.show(w)
	case "workers' answers":
		faults := standin.PlatformWorkerFaults{DelayEvery: 1 + f.variant%3, Delay: time.Duration(200+f.number%3000) * time.Millisecond}
		if f.variant%2 == 0 {
			faults = standin.PlatformWorkerFaults{DropEvery: 1 + f.variant%3}
		}
		w.worker.SetFaults(faults)
		time.Sleep(f.length)
		w.worker.SetFaults(standin.PlatformWorkerFaults{})
	}
}

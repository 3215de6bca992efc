package seater

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/keeper"
)

const (
	simBeat    = time.Second
	simPromise = 10 * time.Second
	simLongest = 5 * time.Second
	simMargin  = time.Second
	simTTL     = 10 * time.Second
	simSeats   = 3
	simTick    = simBeat / 4
	warmUp     = 40
)

// use is a request that a process sent on a seat.
type use struct {
	by identity
	at time.Time
}

// process is one incarnation of an entry VM on its own clock.
type process struct {
	*cohort
	rate       float64
	lease      keeper.LeaseID
	validUntil time.Time
	lastUse    time.Time
}

// message is handled once it is due.
type message struct {
	due    time.Time
	handle func()
}

// phase is a state of the network that lasts for some time.
type phase struct {
	// links are the pairs of VMs that reach each other.
	links map[[2]string]bool
	// reaches are the VMs that reach the store, frozen those that stand still.
	reaches, frozen map[string]bool
}

// world is the store, the messages in flight and the processes of one failure
// domain. Every message may be delayed, reordered or lost.
type world struct {
	random     *rand.Rand
	phase      phase
	start, now time.Time
	roster     Roster
	leases     map[keeper.LeaseID]time.Time
	alive      map[string]keeper.LeaseID
	processes  map[string]*process
	started    int
	pending    []message
	uses       map[int]use
	expelled   int
	pairGuard  Guard
	// witness is a VM of another failure domain, empty if there is none.
	witness string
}

func newWorld(seed uint64, vms int, pair Guard, witness string) *world {
	start := time.Unix(1_800_000_000, 0)
	w := &world{
		random: rand.New(rand.NewPCG(seed, seed)),
		start:  start, now: start, roster: NewRoster("d", simSeats), pairGuard: pair, witness: witness,
		leases: map[keeper.LeaseID]time.Time{}, alive: map[string]keeper.LeaseID{},
		processes: map[string]*process{}, uses: map[int]use{},
	}
	for i := range vms {
		w.restart(fmt.Sprintf("vm-%d", i), 1)
	}
	return w
}

// names returns the VMs in order.
func (w *world) names() []string {
	return slices.Sorted(maps.Keys(w.processes))
}

// restart replaces the process of a VM; the old one has ended.
func (w *world) restart(vm string, rate float64) {
	w.started++
	name := fmt.Sprintf("%s/%d", vm, w.started)
	self := Entrant{VM: vm, Incarnation: fmt.Sprint(w.started), Process: name, FailureDomain: "d", Address: vm}
	if vm == w.witness {
		self.FailureDomain = "w"
	}
	l := limits{
		heartbeat: simBeat, promiseLength: simPromise, longestRequest: simLongest,
		driftMargin: simMargin, pairGuard: w.pairGuard,
	}
	w.processes[vm] = &process{cohort: newCohort(self, NewRoster("d", simSeats), l), rate: rate}
}

// clock returns the local time of a process.
func (w *world) clock(p *process) time.Time {
	return w.start.Add(time.Duration(float64(w.now.Sub(w.start)) * p.rate))
}

func (w *world) leaseOf(p *process) lease {
	return lease{id: p.lease, valid: p.lease != 0 && w.clock(p).Before(p.validUntil)}
}

// send puts a message to a process in flight. It is not handled by a later one.
func (w *world) send(to *process, handle func()) {
	w.post(func() { w.receive(to, handle) })
}

func (w *world) receive(to *process, handle func()) {
	if w.phase.frozen[to.self.VM] {
		later := message{due: w.now.Add(simTick), handle: func() { w.receive(to, handle) }}
		w.pending = append(w.pending, later)
		return
	}
	if w.processes[to.self.VM] == to {
		handle()
	}
}

// post puts a message in flight: most arrive soon, some late, some never.
func (w *world) post(handle func()) {
	delay := time.Duration(w.random.Int64N(int64(simTick)))
	switch w.random.IntN(20) {
	case 0:
		return
	case 1, 2:
		delay *= 4
	case 3:
		delay *= 100
	}
	w.pending = append(w.pending, message{due: w.now.Add(delay), handle: handle})
}

func (w *world) expire() {
	for name, id := range w.alive {
		if w.now.After(w.leases[id]) {
			delete(w.alive, name)
		}
	}
}

// renew sends a grant or a renewal, which takes effect when it is delivered.
func (w *world) renew(p *process) {
	sent := w.clock(p)
	w.post(func() {
		w.expire()
		id, extends := w.alive[p.self.Process], p.lease != 0
		if extends && id != p.lease {
			w.send(p, func() { p.lease = 0 })
			return
		}
		if !extends {
			id = keeper.LeaseID(len(w.leases) + 1)
		}
		w.leases[id], w.alive[p.self.Process] = w.now.Add(simTTL), id
		w.send(p, func() {
			p.lease, p.validUntil = id, sent.Add(simTTL-simMargin)
		})
	})
}

// step reads the roster and sends the swap that the process proposes.
func (w *world) step(p *process) {
	w.expire()
	l := w.leaseOf(p)
	if !l.valid {
		return
	}
	read := w.roster
	p.install(read, w.clock(p))
	alive := map[string]keeper.LeaseID{}
	for name, id := range w.alive {
		alive[name] = id
	}
	v := view{now: w.clock(p), alive: alive, lapsed: map[string]keeper.LeaseID{}}
	for _, target := range p.ripe(v.now) {
		if alive[target.Process] != target.Session {
			v.lapsed[target.Process] = target.Session
		}
	}
	p.share(alive, v.now)
	after, err := p.propose(read, l, v)
	if err == nil && !sameRoster(read, after) {
		w.swap(p, read, after)
	}
}

func (w *world) swap(p *process, read, after Roster) {
	w.post(func() {
		if w.roster.Version != read.Version {
			return
		}
		if len(after.Members) < len(read.Members) && !p.leaving {
			w.expelled++
		}
		after.Version = read.Version + 1
		w.roster = after
		w.send(p, func() { p.confirm(after, w.clock(p)) })
	})
}

// beat sends a heartbeat from p to the process of a VM.
func (w *world) beat(p *process, vm string) {
	sent := w.clock(p)
	w.post(func() {
		receiver := w.processes[vm]
		if !w.linked(p.self.VM, vm) {
			return
		}
		promised := receiver.promise(p.self.identity(), w.clock(receiver))
		w.send(p, func() {
			p.heard[receiver.self.identity()] = w.clock(p)
			if promised {
				p.countPromise(receiver.self.identity(), sent)
			}
		})
	})
}

// demand sends what p asks of others to expel silent members.
func (w *world) demand(p *process) {
	w.expire()
	if !w.leaseOf(p).valid {
		return
	}
	for _, d := range p.pursue(w.alive, w.clock(p)) {
		w.post(func() {
			receiver := w.processes[d.member.VM]
			if !w.linked(p.self.VM, d.member.VM) {
				return
			}
			met := receiver.withdraw(d.target, d.version, w.clock(receiver))
			if met && receiver.self.identity() == d.member.identity() {
				w.send(p, func() { p.noteWithdrawal(d, w.clock(p)) })
			}
		})
	}
}

// leave takes a process out once nothing of it is in flight.
func (w *world) leave(p *process) {
	p.draining = true
	if w.now.Sub(p.lastUse) < simLongest {
		return
	}
	p.leaving = true
	read := w.roster
	if p.recorded() && read.Version == p.known.Version {
		w.swap(p, read, p.depart(read, w.clock(p)))
	}
}

// act sends a request on every seat that p may use, and fails if another
// process may still have one in flight there.
func (w *world) act(t *rapid.T, p *process) {
	for _, seat := range p.usable(w.clock(p), w.leaseOf(p)) {
		last, found := w.uses[seat.Number]
		if found && last.by != p.self.identity() && w.now.Before(last.at.Add(simLongest)) {
			t.Fatalf("seat %d used by %v at %v and by %v at %v", seat.Number, last.by, last.at, p.self.identity(), w.now)
		}
		w.uses[seat.Number] = use{by: p.self.identity(), at: w.now}
		p.lastUse = w.now
	}
}

// deliver handles what is due; what reaches a frozen process waits there.
func (w *world) deliver() {
	due := w.pending
	w.pending = nil
	w.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		if m.due.After(w.now) {
			w.pending = append(w.pending, m)
			continue
		}
		m.handle()
	}
}

// tick lets each process that is not frozen do some of its work. A process that
// thaws may send a request before it does anything else.
func (w *world) tick(t *rapid.T) {
	for _, vm := range w.names() {
		if w.phase.frozen[vm] {
			continue
		}
		p := w.processes[vm]
		w.act(t, p)
		if w.random.IntN(3) > 0 {
			continue
		}
		for _, other := range w.names() {
			if w.linked(vm, other) {
				w.beat(p, other)
			}
		}
		if w.phase.reaches[vm] {
			w.renew(p)
			w.step(p)
			w.demand(p)
		}
	}
	w.deliver()
	w.now = w.now.Add(simTick)
}

func (w *world) linked(a, b string) bool {
	return a != b && !w.phase.frozen[b] && w.phase.links[[2]string{min(a, b), max(a, b)}]
}

// calm is a phase without faults.
func (w *world) calm() phase {
	all := phase{links: map[[2]string]bool{}, reaches: map[string]bool{}, frozen: map[string]bool{}}
	for _, a := range w.names() {
		all.reaches[a] = true
		for _, b := range w.names() {
			all.links[[2]string{min(a, b), max(a, b)}] = true
		}
	}
	return all
}

// faulty draws a phase.
func (w *world) faulty(t *rapid.T) phase {
	drawn := w.calm()
	for _, vm := range w.names() {
		for _, other := range w.names() {
			drawn.links[[2]string{min(vm, other), max(vm, other)}] = w.random.IntN(3) > 0
		}
		drawn.reaches[vm] = rapid.IntRange(0, 2).Draw(t, "store "+vm) > 0
		drawn.frozen[vm] = rapid.IntRange(0, 5).Draw(t, "frozen "+vm) == 0
	}
	return drawn
}

func (w *world) run(t *rapid.T, ticks int) {
	for range ticks {
		w.tick(t)
	}
}

func TestSeatNeverInTwoPlaces(t *testing.T) {
	t.Parallel()
	expelled := 0
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(2, 4).Draw(t, "vms")
		pair := rapid.SampledFrom([]Guard{GuardPromise, GuardRelease}).Draw(t, "pair")
		witness := rapid.SampledFrom([]string{"", "vm-0"}).Draw(t, "witness")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), vms, pair, witness)
		w.phase = w.calm()
		w.run(t, warmUp)
		some := rapid.SampledFrom(w.names())
		t.Repeat(map[string]func(*rapid.T){
			"faults": func(t *rapid.T) {
				w.phase = w.faulty(t)
				w.run(t, rapid.IntRange(1, 150).Draw(t, "ticks"))
			},
			"calm": func(t *rapid.T) {
				w.phase = w.calm()
				w.run(t, rapid.IntRange(1, 60).Draw(t, "ticks"))
			},
			"leave": func(t *rapid.T) { w.leave(w.processes[some.Draw(t, "vm")]) },
			"restart": func(t *rapid.T) {
				w.restart(some.Draw(t, "vm"), rapid.SampledFrom([]float64{0.97, 1, 1.03}).Draw(t, "rate"))
			},
		})
		expelled += w.expelled
	})
	if expelled == 0 {
		t.Error("no member was ever expelled: the test shows nothing")
	}
	t.Logf("members expelled: %d", expelled)
}

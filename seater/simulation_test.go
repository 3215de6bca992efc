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
	simBeat       = time.Second
	simPromise    = 10 * time.Second
	simMaxRequest = 5 * time.Second
	simMargin     = time.Second
	simTTL        = 10 * time.Second
	simSeats      = 3
	simTick       = simBeat / 4
	warmUpTicks   = 40
)

// seatUse is a request that a process sent on a seat.
type seatUse struct {
	by identity
	at time.Time
}

// process is one incarnation of an entry VM on its own clock.
type process struct {
	*rosterState
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

// faultPhase is a state of the network that lasts for some time.
type faultPhase struct {
	// links are the pairs of VMs that reach each other.
	links map[[2]string]bool
	// reaches are the VMs that reach the store, frozen those whose processes are
	// paused.
	reaches, frozen map[string]bool
}

// simulation is the store, the messages in flight and the processes of one failure
// domain. Every message may be delayed, reordered or lost.
type simulation struct {
	random     *rand.Rand
	phase      faultPhase
	start, now time.Time
	roster     Roster
	leases     map[keeper.LeaseID]time.Time
	alive      map[string]keeper.LeaseID
	processes  map[string]*process
	started    int
	pending    []message
	uses       map[int]seatUse
	expelled   int
	pairGuard  Guard
	// witness is a VM of another failure domain, empty if there is none.
	witness string
}

func newSimulation(seed uint64, vms int, pair Guard, witness string) *simulation {
	start := time.Unix(1_800_000_000, 0)
	sm := &simulation{
		random: rand.New(rand.NewPCG(seed, seed)),
		start:  start, now: start, roster: NewRoster("d", simSeats), pairGuard: pair, witness: witness,
		leases: map[keeper.LeaseID]time.Time{}, alive: map[string]keeper.LeaseID{},
		processes: map[string]*process{}, uses: map[int]seatUse{},
	}
	for i := range vms {
		sm.restart(fmt.Sprintf("vm-%d", i), 1)
	}
	return sm
}

// names returns the VMs in order.
func (sm *simulation) names() []string {
	return slices.Sorted(maps.Keys(sm.processes))
}

// restart replaces the process of a VM; the old one has ended.
func (sm *simulation) restart(vm string, rate float64) {
	sm.started++
	name := fmt.Sprintf("%s/%d", vm, sm.started)
	self := MemberRecord{VM: vm, Incarnation: fmt.Sprint(sm.started), Process: name, FailureDomain: "d", Address: vm}
	if vm == sm.witness {
		self.FailureDomain = "w"
	}
	config := rosterConfig{
		heartbeat: simBeat, promiseLength: simPromise, maxRequestDuration: simMaxRequest,
		driftMargin: simMargin, pairGuard: sm.pairGuard,
	}
	sm.processes[vm] = &process{rosterState: newRosterState(self, NewRoster("d", simSeats), config), rate: rate}
}

// clock returns the local time of a process.
func (sm *simulation) clock(p *process) time.Time {
	return sm.start.Add(time.Duration(float64(sm.now.Sub(sm.start)) * p.rate))
}

func (sm *simulation) leaseOf(p *process) sessionLease {
	return sessionLease{id: p.lease, valid: p.lease != 0 && sm.clock(p).Before(p.validUntil)}
}

// send puts a message to a process in flight. It is lost if the process has been
// replaced when the message arrives.
func (sm *simulation) send(to *process, handle func()) {
	sm.post(func() { sm.receive(to, handle) })
}

func (sm *simulation) receive(to *process, handle func()) {
	if sm.phase.frozen[to.self.VM] {
		later := message{due: sm.now.Add(simTick), handle: func() { sm.receive(to, handle) }}
		sm.pending = append(sm.pending, later)
		return
	}
	if sm.processes[to.self.VM] == to {
		handle()
	}
}

// post puts a message in flight: most messages arrive soon, some late, some never.
func (sm *simulation) post(handle func()) {
	delay := time.Duration(sm.random.Int64N(int64(simTick)))
	switch sm.random.IntN(20) {
	case 0:
		return
	case 1, 2:
		delay *= 4
	case 3:
		delay *= 100
	}
	sm.pending = append(sm.pending, message{due: sm.now.Add(delay), handle: handle})
}

func (sm *simulation) expire() {
	for name, id := range sm.alive {
		if sm.now.After(sm.leases[id]) {
			delete(sm.alive, name)
		}
	}
}

// renew sends a grant or a renewal, which takes effect when it is delivered.
func (sm *simulation) renew(p *process) {
	sent := sm.clock(p)
	sm.post(func() {
		sm.expire()
		id, extends := sm.alive[p.self.Process], p.lease != 0
		if extends && id != p.lease {
			sm.send(p, func() { p.lease = 0 })
			return
		}
		if !extends {
			id = keeper.LeaseID(len(sm.leases) + 1)
		}
		sm.leases[id], sm.alive[p.self.Process] = sm.now.Add(simTTL), id
		sm.send(p, func() {
			p.lease, p.validUntil = id, sent.Add(simTTL-simMargin)
		})
	})
}

// step reads the roster and sends the swap that the process proposes.
func (sm *simulation) step(p *process) {
	sm.expire()
	lease := sm.leaseOf(p)
	if !lease.valid {
		return
	}
	read := sm.roster
	p.install(read, sm.clock(p))
	alive := map[string]keeper.LeaseID{}
	for name, id := range sm.alive {
		alive[name] = id
	}
	observed := observations{now: sm.clock(p), liveLeases: alive, ended: map[string]keeper.LeaseID{}}
	for _, target := range p.expellable(observed.now) {
		if alive[target.Process] != target.Session {
			observed.ended[target.Process] = target.Session
		}
	}
	p.stopExcessSeat(alive, observed.now)
	after, err := p.propose(read, lease, observed)
	if err == nil && !equalRosters(read, after) {
		sm.swap(p, read, after)
	}
}

func (sm *simulation) swap(p *process, read, after Roster) {
	sm.post(func() {
		if sm.roster.Version != read.Version {
			return
		}
		if len(after.Members) < len(read.Members) && !p.leaving {
			sm.expelled++
		}
		after.Version = read.Version + 1
		sm.roster = after
		sm.send(p, func() { p.confirm(after, sm.clock(p)) })
	})
}

// beat sends a heartbeat from p to the process of a VM.
func (sm *simulation) beat(p *process, vm string) {
	sent := sm.clock(p)
	sm.post(func() {
		receiver := sm.processes[vm]
		if !sm.linked(p.self.VM, vm) {
			return
		}
		promised := receiver.givePromise(p.self.identity(), sm.clock(receiver))
		sm.send(p, func() {
			p.lastHeard[receiver.self.identity()] = sm.clock(p)
			if promised {
				p.recordPromise(receiver.self.identity(), sent)
			}
		})
	})
}

// requestWithdrawals sends the requests of p that other members withdraw their
// promises to unresponsive members.
func (sm *simulation) requestWithdrawals(p *process) {
	sm.expire()
	if !sm.leaseOf(p).valid {
		return
	}
	for _, d := range p.updateExpulsions(sm.alive, sm.clock(p)) {
		sm.post(func() {
			receiver := sm.processes[d.member.VM]
			if !sm.linked(p.self.VM, d.member.VM) {
				return
			}
			withdrawn := receiver.withdraw(d.target, d.version, sm.clock(receiver))
			if withdrawn && receiver.self.identity() == d.member.identity() {
				sm.send(p, func() { p.recordWithdrawal(d, sm.clock(p)) })
			}
		})
	}
}

// leave removes a process from the roster once nothing of it is in flight.
func (sm *simulation) leave(p *process) {
	p.draining = true
	if sm.now.Sub(p.lastUse) < simMaxRequest {
		return
	}
	p.leaving = true
	read := sm.roster
	if p.recorded() && read.Version == p.roster.Version {
		sm.swap(p, read, p.removeSelf(read, sm.clock(p)))
	}
}

// useSeats sends a request on every seat that p may use, and fails if another process
// may still have a request in flight there.
func (sm *simulation) useSeats(t *rapid.T, p *process) {
	for _, seat := range p.usable(sm.clock(p), sm.leaseOf(p)) {
		last, found := sm.uses[seat.Number]
		if found && last.by != p.self.identity() && sm.now.Before(last.at.Add(simMaxRequest)) {
			t.Fatalf("seat %d used by %v at %v and by %v at %v", seat.Number, last.by, last.at, p.self.identity(), sm.now)
		}
		sm.uses[seat.Number] = seatUse{by: p.self.identity(), at: sm.now}
		p.lastUse = sm.now
	}
}

// deliver handles the messages that are due. Those for a frozen process wait until it
// is no longer frozen.
func (sm *simulation) deliver() {
	due := sm.pending
	sm.pending = nil
	sm.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		if m.due.After(sm.now) {
			sm.pending = append(sm.pending, m)
			continue
		}
		m.handle()
	}
}

// tick lets each process that is not frozen do some of its work. A process that was
// frozen may send a request before it does anything else.
func (sm *simulation) tick(t *rapid.T) {
	for _, vm := range sm.names() {
		if sm.phase.frozen[vm] {
			continue
		}
		p := sm.processes[vm]
		sm.useSeats(t, p)
		if sm.random.IntN(3) > 0 {
			continue
		}
		for _, other := range sm.names() {
			if sm.linked(vm, other) {
				sm.beat(p, other)
			}
		}
		if sm.phase.reaches[vm] {
			sm.renew(p)
			sm.step(p)
			sm.requestWithdrawals(p)
		}
	}
	sm.deliver()
	sm.now = sm.now.Add(simTick)
}

func (sm *simulation) linked(a, b string) bool {
	return a != b && !sm.phase.frozen[b] && sm.phase.links[[2]string{min(a, b), max(a, b)}]
}

// calm returns a phase without faults.
func (sm *simulation) calm() faultPhase {
	all := faultPhase{links: map[[2]string]bool{}, reaches: map[string]bool{}, frozen: map[string]bool{}}
	for _, a := range sm.names() {
		all.reaches[a] = true
		for _, b := range sm.names() {
			all.links[[2]string{min(a, b), max(a, b)}] = true
		}
	}
	return all
}

// faulty draws a phase with random faults.
func (sm *simulation) faulty(t *rapid.T) faultPhase {
	drawn := sm.calm()
	for _, vm := range sm.names() {
		for _, other := range sm.names() {
			drawn.links[[2]string{min(vm, other), max(vm, other)}] = sm.random.IntN(3) > 0
		}
		drawn.reaches[vm] = rapid.IntRange(0, 2).Draw(t, "store "+vm) > 0
		drawn.frozen[vm] = rapid.IntRange(0, 5).Draw(t, "frozen "+vm) == 0
	}
	return drawn
}

func (sm *simulation) run(t *rapid.T, ticks int) {
	for range ticks {
		sm.tick(t)
	}
}

func TestSeatNeverInTwoPlaces(t *testing.T) {
	t.Parallel()
	expelled := 0
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(2, 4).Draw(t, "vms")
		pair := rapid.SampledFrom([]Guard{GuardPromise, GuardRelease}).Draw(t, "pair")
		witness := rapid.SampledFrom([]string{"", "vm-0"}).Draw(t, "witness")
		sm := newSimulation(rapid.Uint64().Draw(t, "seed"), vms, pair, witness)
		sm.phase = sm.calm()
		sm.run(t, warmUpTicks)
		some := rapid.SampledFrom(sm.names())
		t.Repeat(map[string]func(*rapid.T){
			"faults": func(t *rapid.T) {
				sm.phase = sm.faulty(t)
				sm.run(t, rapid.IntRange(1, 150).Draw(t, "ticks"))
			},
			"calm": func(t *rapid.T) {
				sm.phase = sm.calm()
				sm.run(t, rapid.IntRange(1, 60).Draw(t, "ticks"))
			},
			"leave": func(t *rapid.T) { sm.leave(sm.processes[some.Draw(t, "vm")]) },
			"restart": func(t *rapid.T) {
				sm.restart(some.Draw(t, "vm"), rapid.SampledFrom([]float64{0.97, 1, 1.03}).Draw(t, "rate"))
			},
		})
		expelled += sm.expelled
	})
	if expelled == 0 {
		t.Error("no member was ever expelled: the test shows nothing")
	}
	t.Logf("members expelled: %d", expelled)
}

package configurer_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"zinniashore.example/configurer"
	"zinniashore.example/standin"
)

var historySeed = flag.Uint64("history-seed", 1, "seed of the schedule of TestHistory")

const (
	historyRounds    = 2
	historyOperators = 4
	historyReaders   = 3
)

// step is one operation on the register of an organisation.
type step struct {
	kind         stepKind
	organisation string
	base         int
	value        int
}

type stepKind string

const (
	// stepCommit is a change from base to value that is durable.
	stepCommit stepKind = "commit"
	// stepUnclear is a change from base to value that may be durable.
	stepUnclear stepKind = "unclear"
	// stepConflict is a change that was rejected because base is not the newest value.
	stepConflict stepKind = "conflict"
	// stepAccept is an answer to an operator that value is accepted.
	stepAccept stepKind = "accept"
	// stepRead is a read of value in force in a process that is ready.
	stepRead stepKind = "read"
)

// register holds the committed values and the index of the oldest value that may be in
// force.
type register struct {
	values []int
	floor  int
}

// registerModel models a register for each organisation: a commit needs the newest value
// as its base, and after the acceptance of a value no process reads an older one.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, o := range history {
			organisation := o.Input.(step).organisation
			parts[organisation] = append(parts[organisation], o)
		}
		var partition [][]porcupine.Operation
		for _, part := range parts {
			partition = append(partition, part)
		}
		return partition
	},
	Init: func() any { return register{values: []int{1}} },
	Step: func(state, input, _ any) (bool, any) { return state.(register).after(input.(step)) },
	Equal: func(a, b any) bool {
		return a.(register).floor == b.(register).floor && slices.Equal(a.(register).values, b.(register).values)
	},
}

func (r register) after(s step) (bool, register) {
	newest := r.values[len(r.values)-1]
	position := slices.Index(r.values, s.value)
	switch s.kind {
	case stepCommit:
		if newest != s.base {
			return false, r
		}
		return true, register{values: append(slices.Clone(r.values), s.value), floor: r.floor}
	case stepUnclear:
		if newest != s.base {
			return true, r
		}
		return true, register{values: append(slices.Clone(r.values), s.value), floor: r.floor}
	case stepConflict:
		return newest != s.base, r
	case stepAccept:
		return position >= 0, register{values: r.values, floor: max(r.floor, position)}
	}
	return position >= r.floor, r
}

// history runs operators, readers and faults against a fleet and records their
// operations.
type history struct {
	*fleet

	vms     []string
	locks   map[string]*sync.RWMutex
	started time.Time
	mu      sync.Mutex
	value   int
	steps   []porcupine.Operation
	counts  map[string]int
}

func (h *history) now() int64 { return int64(time.Since(h.started)) }

func (h *history) add(s step, call, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[string(s.kind)]++
	h.steps = append(h.steps, porcupine.Operation{Input: s, Call: call, Return: end})
}

func (h *history) nextValue() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.value++
	return h.value
}

var historyOrganisations = []string{"ash", "birch", "hazel"}

func organisationFile(name string, instances int) configurer.File {
	const text = `{"organisation": %q, "workloads": [{"name": "web", "template": "shop", "values": {"instances": %d}}]}`
	return configurer.File{Name: name, Content: fmt.Appendf(nil, text, name, instances)}
}

func instancesIn(d configurer.Document, organisation string) int {
	f, _ := d.Organisation(organisation)
	_, text, _ := strings.Cut(string(f.Content), `"instances": `)
	var instances int
	_, _ = fmt.Sscanf(text, "%d", &instances)
	return instances
}

// withProcess calls act with the current process of a VM. The process is not restarted
// until act returns.
func (h *history) withProcess(vm string, act func(p *process)) {
	h.locks[vm].RLock()
	defer h.locks[vm].RUnlock()
	act(h.process(vm))
}

func pick[T any](random *rand.Rand, choices []T) T { return choices[random.IntN(len(choices))] }

// applyChange applies one change and repeats it with the same id while the result is
// unclear.
func (h *history) applyChange(random *rand.Rand) {
	organisation := pick(random, historyOrganisations)
	s := step{organisation: organisation, value: h.nextValue()}
	change := configurer.Change{ID: fmt.Sprint(s.value), Organisation: organisation, Files: []configurer.File{organisationFile(organisation, s.value)}}
	h.withProcess(pick(random, h.vms), func(p *process) {
		d := p.Document()
		s.base, change.ReadRevision = instancesIn(d, organisation), d.Revision
	})
	call := h.now()
	var result configurer.Result
	var err error
	for range 4 {
		h.withProcess(pick(random, h.vms), func(p *process) {
			ctx, cancel := context.WithTimeout(h.t.Context(), 400*time.Millisecond)
			defer cancel()
			result, err = p.Apply(ctx, change)
		})
		if err == nil {
			break
		}
	}
	h.recordOutcome(random, s, call, result, err)
}

func (h *history) recordOutcome(random *rand.Rand, s step, call int64, result configurer.Result, err error) {
	end := h.now()
	s.kind = stepCommit
	switch {
	case err != nil:
		s.kind, end = stepUnclear, math.MaxInt64
	case result.State == configurer.StateConflict:
		s.kind = stepConflict
	}
	h.add(s, call, end)
	s.kind = stepAccept
	for range 10 {
		if result.State == configurer.StateAccepted {
			h.add(s, call, h.now())
			return
		}
		if result.State != configurer.StatePending {
			return
		}
		time.Sleep(30 * time.Millisecond)
		call = h.now()
		h.withProcess(pick(random, h.vms), func(p *process) {
			ctx, cancel := context.WithTimeout(h.t.Context(), 200*time.Millisecond)
			defer cancel()
			if latest, found, err := p.Outcome(ctx, fmt.Sprint(s.value)); err == nil && found {
				result = latest
			}
		})
	}
}

func (h *history) readValues(random *rand.Rand) {
	h.withProcess(pick(random, h.vms), func(p *process) {
		call := h.now()
		if !p.Ready() {
			return
		}
		current := p.Current()
		end := h.now()
		for _, organisation := range historyOrganisations {
			service, _ := current.Service(organisation, "web")
			h.add(step{kind: stepRead, organisation: organisation, value: service.Instances}, call, end)
		}
	})
}

// faults are the faults that are injected into the fleet, one at a time.
var faults = map[string]func(h *history, random *rand.Rand, vm string){
	"cut": func(h *history, random *rand.Rand, vm string) {
		h.injectFault(random, vm, func(g *faultyStore) { g.cut = true }, func(g *faultyStore) { g.cut = false })
	},
	"frozen": func(h *history, random *rand.Rand, vm string) {
		thaw := h.process(vm).store.freeze()
		h.pause(random)
		thaw()
	},
	"watch skipped": func(h *history, random *rand.Rand, vm string) {
		h.injectFault(random, vm, func(g *faultyStore) { g.skipWatch = true }, func(g *faultyStore) { g.skipWatch = false })
	},
	"slow": func(h *history, random *rand.Rand, vm string) {
		h.injectFault(random, vm, func(g *faultyStore) { g.slow = 60 * time.Millisecond }, func(g *faultyStore) { g.slow = 0 })
	},
	"outage": func(h *history, random *rand.Rand, _ string) {
		h.injectStoreFaults(random, standin.StoreFaults{Outage: true})
	},
	"answers lost": func(h *history, random *rand.Rand, _ string) {
		h.injectStoreFaults(random, standin.StoreFaults{LoseEvery: 2, DelayMilliseconds: 5})
	},
	"restarted": func(h *history, _ *rand.Rand, vm string) { h.restart(vm, noFaults) },
	"restarted slow": func(h *history, _ *rand.Rand, vm string) {
		h.restart(vm, func(g *faultyStore) { g.slow = 60 * time.Millisecond })
	},
	"released, then cut off": func(h *history, random *rand.Rand, vm string) {
		h.restartUnregistered(random, vm)
		h.process(vm).store.set(func(g *faultyStore) { g.cut = false })
	},
	"released, then cut off, peer restarted": func(h *history, random *rand.Rand, vm string) {
		h.restartUnregistered(random, vm)
		h.restart(h.peerOf(vm), noFaults)
		h.pause(random)
		h.process(vm).store.set(func(g *faultyStore) { g.cut = false })
	},
}

func (h *history) pause(random *rand.Rand) {
	time.Sleep(time.Duration(30+random.IntN(90)) * time.Millisecond)
}

func (h *history) injectFault(random *rand.Rand, vm string, begin, end func(g *faultyStore)) {
	g := h.process(vm).store
	g.set(begin)
	h.pause(random)
	g.set(end)
}

func (h *history) injectStoreFaults(random *rand.Rand, faults standin.StoreFaults) {
	h.store.SetFaults(faults)
	h.pause(random)
	h.store.SetFaults(standin.StoreFaults{})
}

func (h *history) restart(vm string, prepare func(g *faultyStore)) {
	h.locks[vm].Lock()
	defer h.locks[vm].Unlock()
	old := h.process(vm)
	old.kill()
	h.start(vm, old.FailureDomain, prepare)
}

// restartUnregistered kills the process of a VM, releases the VM and starts a new process
// that can reach its peer, but not the store.
func (h *history) restartUnregistered(random *rand.Rand, vm string) {
	h.locks[vm].Lock()
	old := h.process(vm)
	old.kill()
	ctx, cancel := context.WithTimeout(h.t.Context(), time.Second)
	released := h.process(h.peerOf(vm)).Release(ctx, vm, "operator")
	cancel()
	h.start(vm, old.FailureDomain, func(g *faultyStore) { g.cut = true })
	h.locks[vm].Unlock()
	for range 100 {
		if h.process(vm).Ready() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	h.pause(random)
	h.pause(random)
	if released == nil && h.process(vm).Ready() {
		h.mu.Lock()
		h.counts["permitted"]++
		h.mu.Unlock()
	}
}

// peerOf returns the other VM of the failure domain.
func (h *history) peerOf(vm string) string {
	return vm[:1] + map[string]string{"1": "2", "2": "1"}[vm[1:]]
}

func newHistory(t *testing.T) *history {
	h := &history{fleet: newFleet(t, fastClock(t, 10), "curepipe", "phoenix"), started: time.Now(), value: 1}
	h.locks, h.counts = map[string]*sync.RWMutex{}, map[string]int{}
	for _, vm := range []string{"c1", "c2", "p1", "p2"} {
		domain := map[string]string{"c": "curepipe", "p": "phoenix"}[vm[:1]]
		h.vms = append(h.vms, vm)
		h.locks[vm] = &sync.RWMutex{}
		h.start(vm, domain, noFaults)
	}
	for _, vm := range h.vms {
		eventually(t, vm+" ready", h.process(vm).Ready)
	}
	change := configurer.Change{ID: "first", Files: []configurer.File{file(t, "shop", `"max": 200`, `"max": 10000`)}}
	for _, organisation := range historyOrganisations {
		change.Files = append(change.Files, organisationFile(organisation, 1))
	}
	eventually(t, "first change accepted", func() bool { return h.apply("c1", change).State == configurer.StateAccepted })
	return h
}

// run runs operators and readers concurrently while every fault is injected several
// times.
func (h *history) run(random *rand.Rand) {
	var running sync.WaitGroup
	stop := make(chan struct{})
	repeat := func(n int, act func(own *rand.Rand)) {
		own := rand.New(rand.NewPCG(random.Uint64(), uint64(n)))
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					act(own)
				}
			}
		})
	}
	for n := range historyOperators {
		repeat(n, func(own *rand.Rand) {
			h.applyChange(own)
			time.Sleep(time.Duration(own.IntN(30)) * time.Millisecond)
		})
	}
	for n := range historyReaders {
		repeat(n, func(own *rand.Rand) {
			h.readValues(own)
			time.Sleep(time.Millisecond)
		})
	}
	for _, name := range schedule(random) {
		time.Sleep(time.Duration(random.IntN(250)) * time.Millisecond)
		faults[name](h, random, pick(random, h.vms))
	}
	close(stop)
	running.Wait()
}

// schedule returns the names of the faults, each several times, in random order.
func schedule(random *rand.Rand) []string {
	var names []string
	for name := range faults {
		for range historyRounds {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// TestHistory checks that a change is applied once, on the revision that the operator read,
// and that no process serves an older value after an acceptance, while processes are cut
// off, frozen, slowed or restarted, store answers are lost and watch events are skipped.
func TestHistory(t *testing.T) {
	h := newHistory(t)
	random := rand.New(rand.NewPCG(*historySeed, 0))
	h.run(random)
	for _, vm := range h.vms {
		h.process(vm).store.set(func(g *faultyStore) { g.slow = 0 })
	}
	last := configurer.Change{ID: "last", ReadRevision: math.MaxInt64, Files: []configurer.File{organisationFile("oak", 1)}}
	eventually(t, "last change accepted", func() bool { return h.apply("p1", last).State == configurer.StateAccepted })
	t.Logf("seed %d: %v", *historySeed, h.counts)
	for _, kind := range []stepKind{stepCommit, stepAccept, stepRead} {
		if h.counts[string(kind)] == 0 {
			t.Errorf("the history has no %s", kind)
		}
	}
	if read, found := staleRead(h.steps); found {
		t.Fatalf("read %+v is older than what was accepted before", read)
	}
	const checkLimit = 20 * time.Second
	if verdict := porcupine.CheckOperationsTimeout(registerModel, h.steps, checkLimit); verdict != porcupine.Ok {
		t.Errorf("the history is %s", verdict)
	}
}

// staleRead returns a read that is older than a value accepted before it began. For such
// a history the linearizability checker may take very long; this search is fast.
func staleRead(steps []porcupine.Operation) (porcupine.Operation, bool) {
	positions := committedPositions(steps)
	steps = slices.Clone(steps)
	slices.SortFunc(steps, func(a, b porcupine.Operation) int { return cmp.Compare(effectiveTime(a), effectiveTime(b)) })
	floor := map[string]int{}
	for _, o := range steps {
		s := o.Input.(step)
		position, known := positions[s.organisation][s.value]
		switch {
		case s.kind == stepAccept:
			floor[s.organisation] = max(floor[s.organisation], position)
		case s.kind == stepRead && known && position < floor[s.organisation]:
			return o, true
		}
	}
	return porcupine.Operation{}, false
}

// effectiveTime returns when an acceptance is known or when a read begins.
func effectiveTime(o porcupine.Operation) int64 {
	if o.Input.(step).kind == stepAccept {
		return o.Return
	}
	return o.Call
}

// committedPositions returns the index of each value in the sequence of commits of its
// organisation.
func committedPositions(steps []porcupine.Operation) map[string]map[int]int {
	next := map[step]int{}
	for _, o := range steps {
		if s := o.Input.(step); s.kind == stepCommit {
			next[step{organisation: s.organisation, base: s.base}] = s.value
		}
	}
	positions := map[string]map[int]int{}
	for _, organisation := range historyOrganisations {
		positions[organisation] = map[int]int{}
		for value := 1; value != 0; value = next[step{organisation: organisation, base: value}] {
			positions[organisation][value] = len(positions[organisation])
		}
	}
	return positions
}

package configurer_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"zinniashore.example/standin"
)

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

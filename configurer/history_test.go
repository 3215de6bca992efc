package configurer_test

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"zinniashore.example/configurer"
)

var historySeed = flag.Uint64("history-seed", 1, "seed of the schedule of TestHistory")

const (
	historyRounds    = 2
	historyOperators = 4
	historyReaders   = 3
)

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

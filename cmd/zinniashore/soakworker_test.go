package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"zinniashore.example/standin"
)

// soakWorker is a worker that is registered under an id.
type soakWorker struct {
	id, domain, address string
	rack                string
	worker              *standin.PlatformWorker
	starts              *soakStarts
	proxy               *soakProxy
	stop                context.CancelFunc
	links               map[string]*soakLink
	draining, gone      bool
	// closing is true once the address refuses connections for good.
	closing bool
	// refusing is true while the address refuses connections though the worker lives.
	refusing bool
	// silent is true once the address accepts connections and answers nothing for good.
	silent   bool
	hidden   int
	sequence int
	capacity soakSize
}

// workerConnection is a connection to a worker. Connections to two workers may have the
// same local address.
type workerConnection struct{ worker, local string }

func hashOf(text string) uint32 {
	h := fnv.New32a()
	// Writing to a hash doesn't fail.
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

// addWorker starts and registers a new worker.
func (s *soak) addWorker(domain string, rng *rand.Rand) {
	s.mu.Lock()
	s.created++
	w := &soakWorker{id: fmt.Sprintf("i-%d", s.created), domain: domain, rack: "r1-1", links: map[string]*soakLink{}, capacity: soakCapacity}
	if s.cells {
		w.rack = fmt.Sprintf("r1-%d", 1+s.created%2)
	}
	if s.planned {
		w.capacity = plannedCapacity(s.created)
		w.rack = fmt.Sprintf("r1-%d", 1+s.created/plannedRack%3)
		s.notes.joins[w.id] = time.Now()
	}
	s.domains[w.id] = domain
	s.racks[w.id] = w.rack
	for _, p := range s.processes {
		w.links[p.name] = &soakLink{}
	}
	s.mu.Unlock()
	w.worker = &standin.PlatformWorker{
		ID: w.id, Ledger: s.ledger, MaxLease: s.maxLease(), ClockRate: 1 - 0.02*rng.Float64(),
		LengthOf:    s.lengthOf,
		LongRunning: func(task string) bool { return strings.HasPrefix(task, soakLongRunningPrefix) },
		OutcomeOf: func(task string, run int64) string {
			if hashOf(fmt.Sprint(task, run))%20 == 0 {
				return "failed"
			}
			return "done"
		},
		CrashedBy: crashesWorkers, CrashTime: soakCrash, StopTime: soakStop,
		Caller: func(remote string) string { return s.caller(workerConnection{w.id, remote}) },
	}
	if s.long {
		w.worker.Gangs = s.gangs.platform()
	}
	if s.refusesExcess() {
		w.worker.Fits = fitsWorker
	}
	if s.planned {
		w.worker.StopTime = plannedStopTime
		if s.seed%2 == 1 {
			capacity := w.capacity
			w.worker.Fits = func(task string, running []string) bool { return plannedFits(capacity, task, running) }
		}
	}
	ctx, stop := context.WithCancel(s.ctx)
	w.starts = &soakStarts{PlatformWorker: w.worker, s: s, w: w}
	bound, err := standin.Listen(ctx, "127.0.0.1:0", w.starts)
	if err != nil {
		s.t.Error(err)
		stop()
		return
	}
	proxy := newSoakProxy(s.t, bound)
	proxy.opened = func(local, process string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.callers[workerConnection{w.id, local}] = process
	}
	proxy.link = func(near net.Conn) (*soakLink, string) {
		name, incarnation := s.owner(near)
		return w.links[name], fmt.Sprintf("%s/%d", name, incarnation)
	}
	go proxy.run(proxy.listener)
	w.proxy, w.address = proxy, proxy.address()
	w.stop = func() { stop(); proxy.setOpen(false) }
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	s.register(w)
}

func (s *soak) caller(connection workerConnection) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callers[connection]
}

// owner returns the process, with its incarnation, that opened a connection.
func (s *soak) owner(near net.Conn) (string, int) {
	address, ok := near.RemoteAddr().(*net.TCPAddr)
	listened, listens := near.LocalAddr().(*net.TCPAddr)
	if !ok || !listens {
		return "", 0
	}
	pids, incarnations := map[string]int{}, map[string]int{}
	for _, p := range s.processes {
		p.mu.Lock()
		if p.command != nil {
			pids[p.name], incarnations[p.name] = p.command.Process.Pid, p.incarnation
		}
		p.mu.Unlock()
	}
	name := socketOwner(address.Port, listened.Port, pids)
	return name, incarnations[name]
}

// register writes the registration of a worker, unless it is hidden or down, or the store
// is unavailable.
func (s *soak) register(w *soakWorker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.gone || w.hidden > 0 || s.outages > 0 || !w.worker.Up() {
		return
	}
	w.proxy.setOpen(!w.refusing)
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	at := time.Now()
	revision := s.store.Put("servers/"+w.id, fmt.Appendf(nil, `{"service":"shop","address":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"cold-remaining-ms":0,`+
		`"capacity":{"cpu":%d,"mem-mb":%d,"gpu":0},"labels":["a",%q],"seq":%d,"born":%d}`, w.address, w.domain, state, w.capacity.processors, w.capacity.megabytes, w.rack, w.sequence, w.worker.Born()))
	s.capacities[w.id] = append(s.capacities[w.id], soakRegistered{at: at, revision: revision, size: w.capacity})
}

// hide removes the registration of a worker, and show allows it again.
func (s *soak) hide(w *soakWorker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.hidden++
	s.absences[w.id] = append(s.absences[w.id], soakSpan{from: time.Now()})
	s.store.Remove("servers/" + w.id)
}

func (s *soak) show(w *soakWorker) {
	s.mu.Lock()
	w.hidden--
	spans := s.absences[w.id]
	for i := range spans {
		if spans[i].to.IsZero() && w.hidden == 0 {
			spans[i].to = time.Now()
		}
	}
	s.mu.Unlock()
	s.register(w)
}

// advance ends runs that are due and renews registrations until ctx ends.
func (s *soak) advance(stop <-chan struct{}) {
	renewed := time.Now()
	stepped := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mu.Lock()
		s.longestPause = max(s.longestPause, time.Since(stepped))
		if s.planned && time.Since(stepped) > plannedHeldUp {
			s.faults = append(s.faults, &soakSpan{from: stepped, to: time.Now(), kind: "machine busy"})
		}
		stepped = time.Now()
		workers := append([]*soakWorker(nil), s.workers...)
		s.mu.Unlock()
		for _, w := range workers {
			w.worker.Advance()
			w.proxy.setOpen(s.acceptsConnections(w))
		}
		if time.Since(renewed) > soakHeartbeat {
			renewed = time.Now()
			for _, w := range workers {
				s.register(w)
			}
		}
	}
}

// takeWorker returns a worker that neither leaves nor crashes. If it is to leave, it is
// marked so; nil is returned if its domain needs it.
func (s *soak) takeWorker(number uint64, leaves bool) *soakWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var staying []*soakWorker
	count := map[string]int{}
	for _, w := range s.workers {
		if !w.draining {
			staying = append(staying, w)
			count[w.domain]++
		}
	}
	sort.Slice(staying, func(i, j int) bool { return staying[i].id < staying[j].id })
	w := staying[number%uint64(len(staying))]
	if leaves {
		if count[w.domain] < 3 {
			return nil
		}
		w.draining = true
	}
	return w
}

// leave ends a worker as a process does that shuts down: it takes its registration back, closes its
// listener and its connections, and ends some time later, with everything that runs on it.
func (s *soak) leave(w *soakWorker, lingering time.Duration) {
	s.hide(w)
	s.mu.Lock()
	w.closing = true
	s.mu.Unlock()
	w.proxy.setOpen(false)
	for _, link := range w.links {
		link.reset()
	}
	time.Sleep(lingering)
	s.remove(w)
}

func (s *soak) acceptsConnections(w *soakWorker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.silent || w.worker.Up() && !w.closing && !w.refusing
}

// remove ends a worker with everything that runs on it.
func (s *soak) remove(w *soakWorker) {
	s.mu.Lock()
	w.gone = true
	s.mu.Unlock()
	w.worker.SetDown(true)
	w.worker.Restart()
	w.stop()
}

// lastStarted returns the worker that most recently started a task and stays; the given one
// if there is none.
func (s *soak) lastStarted(w *soakWorker) *soakWorker {
	events := s.ledger.Events()
	for _, e := range slices.Backward(events) {
		for _, other := range s.staying(s.domainOf(e.Worker)) {
			if e.Kind == "start" && other.id == e.Worker {
				return other
			}
		}
	}
	return w
}

// cellOf returns a name for the cell of a worker.
func (s *soak) cellOf(worker string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.planned {
		return s.domains[worker]
	}
	return s.domains[worker] + " " + s.racks[worker]
}

func (s *soak) domainOf(worker string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.domains[worker]
}

// shrink registers less than the capacity of a worker for long enough that processes know.
func (s *soak) shrink(w *soakWorker, f soakFault) {
	s.resize(w, soakCapacity.half(f.variant%4))
	time.Sleep(soakInformed + f.length)
	s.resize(w, soakCapacity)
}

// resize registers another capacity of a worker.
func (s *soak) resize(w *soakWorker, capacity soakSize) {
	s.mu.Lock()
	w.capacity = capacity
	s.mu.Unlock()
	s.register(w)
}

// staying returns the workers of a domain that neither leave nor crash for good.
func (s *soak) staying(domain string) []*soakWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var staying []*soakWorker
	for _, w := range s.workers {
		if w.domain == domain && !w.draining {
			staying = append(staying, w)
		}
	}
	return staying
}

// restart restarts a worker under its id and registers it again.
func (s *soak) restart(w *soakWorker, down time.Duration) {
	w.worker.SetDown(true)
	w.worker.Restart()
	time.Sleep(down)
	w.worker.Restart()
	w.worker.SetDown(false)
	s.register(w)
}

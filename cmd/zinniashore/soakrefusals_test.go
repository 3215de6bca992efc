package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"zinniashore.example/standin"
)

const (
	// soakRefusalsEvery is the average time between two faults of soakRefusalKinds.
	soakRefusalsEvery = 1200 * time.Millisecond
	// soakShortestRefusal and soakRefusalSpread bound how long a worker refuses connections: longer
	// than its lease.
	soakShortestRefusal = soakMaxLease + 200*time.Millisecond
	soakRefusalSpread   = 4 * time.Second
	// soakRefusalDelay is the longest time from a start to the refusal that follows it.
	soakRefusalDelay = 150 * time.Millisecond
	// soakUnanswered is how many of ten starts get no answer; soakLost of them never arrive, and the
	// others are carried out soakShortestLate to soakLongestLate after they were sent.
	soakUnanswered, soakLost = 7, 3
	soakShortestLate         = 2 * time.Second
	soakLongestLate          = 12 * time.Second
	// soakRefusedStarts is how many lengths of a refusal the starts are watched that refusals follow: a task
	// has to meet several of them.
	soakRefusedStarts = 3
	// soakUnluckyEvery is one in how many long-running tasks meets a refusal at each start that is watched.
	soakUnluckyEvery = 6
	// soakCutEvery is one in how many of these starts arrives before the connections break. A worker lists the
	// end of such a run once it answers again; of the others it never knows.
	soakCutEvery = 4
	// soakRefusalsLongRunning is one in how many jobs of a case with refusals runs until it is stopped:
	// only such tasks run again elsewhere after a lease has lapsed.
	soakRefusalsLongRunning = 3
)

// soakRefusalKinds are the faults of a case with refusals. No worker crashes, leaves or loses its
// registration in them, so that no job may be given up for crashes.
var soakRefusalKinds = []soakKind{
	{"connections refused", 4}, {"connections refused at starts", 4}, {"starts unanswered", 4}, {"workers frozen", 1},
	{"freeze a holder", 1}, {"kill a holder", 1}, {"link to a worker", 1},
}

// refusalsPlan returns the faults of a case with refusals. In half of these cases the same tasks meet one
// at each start, and nothing else happens.
func refusalsPlan(seed uint64, length time.Duration) []soakFault {
	if seed%2 == 0 {
		return []soakFault{{at: time.Second, length: length - time.Second, kind: "connections refused at all starts", number: seed}}
	}
	plan := drawFaults(rand.New(rand.NewPCG(seed, 9<<32)), soakRefusalKinds, soakRefusalsEvery, length)
	for i, f := range plan {
		if strings.HasPrefix(f.kind, "connections refused") {
			plan[i].length = f.refusal()
		}
	}
	return plan
}

// refusal returns how long a worker refuses connections.
func (f soakFault) refusal() time.Duration {
	return soakShortestRefusal + time.Duration(f.number%uint64(soakRefusalSpread))
}

// soakStarts is a worker whose starts may have faults: they get no answer, or the worker refuses
// connections after them.
type soakStarts struct {
	*standin.PlatformWorker
	s *soak
	w *soakWorker
	// unanswered counts the faults by which starts get no answer.
	unanswered atomic.Int64
	mu         sync.Mutex
	// started, if set, is told of each start of an unlucky task and returns whether it arrives.
	started func() bool
}

// ServeHTTP implements http.Handler.
func (h *soakStarts) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/run-start") {
		h.PlatformWorker.ServeHTTP(rw, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if !h.arrives(body) {
		panic(http.ErrAbortHandler)
	}
	if fate := uint64(hashOf(fmt.Sprint(h.w.id, string(body)))); h.unanswered.Load() > 0 && fate%10 < soakUnanswered {
		h.holdBack(r, fate)
	}
	h.PlatformWorker.ServeHTTP(rw, r)
}

// arrives records a start and returns whether it reaches the worker.
func (h *soakStarts) arrives(body []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.started == nil || !isUnlucky(body) || h.started()
}

// isUnlucky reports whether a start is one of a task that refusals follow: the same ones each time.
func isUnlucky(start []byte) bool {
	var command struct {
		Task string `json:"task"`
	}
	err := json.Unmarshal(start, &command)
	return err == nil && strings.HasPrefix(command.Task, soakLongRunningPrefix) && hashOf(command.Task)%soakUnluckyEvery == 0
}

// holdBack carries a start out late or not at all, and breaks off its connection. The worker must not restart
// meanwhile: a start doesn't outlive the process that it was sent to.
func (h *soakStarts) holdBack(r *http.Request, fate uint64) {
	select {
	case <-h.s.ctx.Done():
	case <-time.After(soakShortestLate + time.Duration(fate)*time.Millisecond%(soakLongestLate-soakShortestLate)):
		if fate%10 >= soakLost {
			h.PlatformWorker.ServeHTTP(httptest.NewRecorder(), r)
		}
	}
	panic(http.ErrAbortHandler)
}

func (h *soakStarts) setStarted(started func() bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = started
}

// refuse makes the address of a worker refuse connections for a time and breaks the open ones, while
// the worker lives and stays registered. At most half of the workers of a domain do so at a time.
func (s *soak) refuse(w *soakWorker, length time.Duration) {
	staying, refusing := s.staying(w.domain), 0
	s.mu.Lock()
	for _, other := range staying {
		if other.refusing {
			refusing++
		}
	}
	if w.refusing || 2*(refusing+1) > len(staying) {
		s.mu.Unlock()
		return
	}
	w.refusing = true
	s.mu.Unlock()
	w.proxy.setOpen(false)
	// A connection that was accepted just before is broken, too.
	fault := &linkFault{reset: true}
	for _, link := range w.links {
		link.begin(fault)
	}
	time.Sleep(length)
	for _, link := range w.links {
		link.end(fault)
	}
	s.mu.Lock()
	w.refusing = false
	s.mu.Unlock()
	s.register(w)
}

// injectRefusals carries out the faults of cases with refusals.
func (s *soak) injectRefusals(f soakFault, p *soakProcess) bool {
	workers := s.some(p.domain, f)
	switch f.kind {
	case "connections refused":
		var refusals sync.WaitGroup
		for _, w := range workers {
			refusals.Go(func() { s.refuse(w, f.length) })
		}
		refusals.Wait()
	case "connections refused at starts":
		s.refuseAtStarts(s.staying(p.domain), f, soakRefusedStarts*f.length)
	case "connections refused at all starts":
		s.refuseAtStarts(append(s.staying("graz-a"), s.staying("graz-b")...), f, f.length)
	case "starts unanswered":
		for _, w := range workers {
			w.starts.unanswered.Add(1)
		}
		time.Sleep(f.length)
		for _, w := range workers {
			w.starts.unanswered.Add(-1)
		}
	default:
		return false
	}
	return true
}

// refuseAtStarts makes workers refuse connections at each start of an unlucky task, or shortly after it.
func (s *soak) refuseAtStarts(workers []*soakWorker, f soakFault, watched time.Duration) {
	var refusals sync.WaitGroup
	refusals.Add(1)
	for i, w := range workers {
		// Each worker has its own source, which its lock guards.
		rng := rand.New(rand.NewPCG(f.number, uint64(i)))
		w.starts.setStarted(func() bool {
			number, arrives := rng.Uint64(), rng.IntN(soakCutEvery) == 0
			refusals.Go(func() {
				if arrives {
					time.Sleep(time.Duration(number>>32) % soakRefusalDelay)
				}
				s.refuse(w, soakFault{number: number}.refusal())
			})
			return arrives
		})
	}
	time.Sleep(watched)
	for _, w := range workers {
		w.starts.setStarted(nil)
	}
	refusals.Done()
	refusals.Wait()
}

// countLogged returns how many lines of the processes' logs have an event of a kind.
func (s *soak) countLogged(kind string) int {
	count := 0
	for _, p := range s.processes {
		log, err := os.ReadFile(p.log)
		if err != nil {
			s.t.Error(err)
		}
		count += bytes.Count(log, fmt.Appendf(nil, "%q", kind))
	}
	return count
}

// longRunningEvery returns one in how many jobs runs until it is stopped.
func (s *soak) longRunningEvery() int {
	switch {
	case s.refusals:
		return soakRefusalsLongRunning
	case s.lostHolder:
		return soakLostLongRunning
	case s.lostDomain:
		return soakDomainLongRunning
	}
	return soakLongRunningEvery
}

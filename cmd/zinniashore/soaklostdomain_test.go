package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// soakLoseDomain ends all processes and workers of a failure domain, for good or until power is back. soakCutDomain
	// cuts them off from the store and from all others.
	soakLoseDomain = "lose a failure domain"
	soakCutDomain  = "cut a failure domain off"

	// soakDomainLongRunning is one in how many jobs of such a case runs until it is stopped: all of them fit on the workers of
	// one failure domain.
	soakDomainLongRunning = 6
	// soakDomainStart and soakDomainSpread bound when that happens.
	soakDomainStart, soakDomainSpread = 5 * time.Second, 2 * time.Second
	// soakShortestAbsence and soakAbsenceMore bound its length: from what is usual to more than the others wait.
	soakShortestAbsence, soakAbsenceMore = 5 * time.Second, 17 * time.Second
	// soakExpiry is how long the registration of a silent worker lasts.
	soakExpiry = 4500 * time.Millisecond
	// soakAfterAbsence is how long the others are watched after a domain was lost for good.
	soakAfterAbsence = 20 * time.Second
	// soakWakeSpread bounds how long after the cut a frozen holder runs on.
	soakWakeSpread = 4 * time.Second
)

// The variants of cases with a lost failure domain.
const (
	soakLostForGood = iota
	soakCutOff
	soakPowerLost
	soakCutOffFrozen
	soakDomainVariants
)

// lostDomainPlan returns the only fault of a case with a lost failure domain.
func lostDomainPlan(seed uint64) []soakFault {
	rng := rand.New(rand.NewPCG(seed, 11<<32))
	f := soakFault{
		at: soakDomainStart + time.Duration(rng.Int64N(int64(soakDomainSpread))), kind: soakCutDomain, number: rng.Uint64(),
		length: soakShortestAbsence + time.Duration(rng.Int64N(int64(soakAbsenceMore))), variant: int(seed % soakDomainVariants),
	}
	if f.variant == soakLostForGood || f.variant == soakPowerLost {
		f.kind = soakLoseDomain
	}
	return []soakFault{f}
}

// soakPeers is the proxy at which a process is reached by the others, with a link for each of them.
type soakPeers struct {
	proxy *soakProxy
	links map[string]*soakLink
}

// addPeers gives each process a proxy. Processes learn its address from the store in place of the process's own.
func (s *soak) addPeers() {
	for _, p := range s.processes {
		peers := &soakPeers{proxy: newSoakProxy(s.t, p.peerAddress()), links: map[string]*soakLink{}}
		for _, other := range s.processes {
			peers.links[other.name] = &soakLink{}
		}
		peers.proxy.link = func(near net.Conn) (*soakLink, string) {
			name, _ := s.owner(near)
			return peers.links[name], name
		}
		p.peers.Store(peers)
		go peers.proxy.run(peers.proxy.listener)
	}
}

// peerAddress is the address at which the process listens for the others.
func (p *soakProcess) peerAddress() string { return fmt.Sprintf("127.0.0.1:%d", p.port+peerPortOffset) }

// peerPortOffset is that of the first port of the range in platformSettings.
const peerPortOffset = 2

// redirectPeers replaces the address of the process in what it writes to the store by that of its proxy.
func (p *soakProcess) redirectPeers(r *http.Request) {
	if p.peers.Load() == nil || !strings.HasSuffix(r.URL.Path, "/kv-txn") {
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return // the process has left
	}
	var transaction map[string]json.RawMessage
	var writes []map[string]any
	if json.Unmarshal(content, &transaction) == nil && json.Unmarshal(transaction["writes"], &writes) == nil {
		for _, write := range writes {
			p.redirectWrite(write)
		}
		transaction["writes"], _ = json.Marshal(writes)
		content, _ = json.Marshal(transaction)
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(content)), int64(len(content))
}

func (p *soakProcess) redirectWrite(write map[string]any) {
	encoded, err := json.Marshal(write["value"])
	var value []byte
	if err != nil || json.Unmarshal(encoded, &value) != nil {
		return
	}
	write["value"] = bytes.ReplaceAll(value, []byte(`"`+p.peerAddress()+`"`), []byte(`"`+p.peers.Load().proxy.address()+`"`))
}

// injectDomain carries out the faults of cases with a lost failure domain.
func (s *soak) injectDomain(f soakFault) bool {
	if f.kind != soakLoseDomain && f.kind != soakCutDomain {
		return false
	}
	domain := s.processes[f.number%uint64(len(s.processes))].domain
	rng := rand.New(rand.NewPCG(f.number, 3))
	s.noteLoss(time.Now())
	switch f.variant {
	case soakLostForGood:
		s.loseDomain(domain)
		time.Sleep(soakAfterAbsence)
		return true
	case soakPowerLost:
		restore := s.loseDomain(domain)
		time.Sleep(f.length)
		restore()
	default:
		s.cutDomain(domain, f, rng)
	}
	s.mu.Lock()
	s.loss.over = time.Now()
	s.mu.Unlock()
	time.Sleep(soakObserved)
	return true
}

// inDomain returns the processes and workers of a failure domain, and the processes of the others.
func (s *soak) inDomain(domain string) (inside, outside []*soakProcess, workers []*soakWorker) {
	for _, p := range s.processes {
		if p.domain == domain {
			inside = append(inside, p)
		} else {
			outside = append(outside, p)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		if w.domain == domain {
			workers = append(workers, w)
		}
	}
	return inside, outside, workers
}

// loseDomain ends all processes and workers of a failure domain, whose addresses are silent then. It returns a function
// that starts all anew.
func (s *soak) loseDomain(domain string) func() {
	inside, _, workers := s.inDomain(domain)
	end := s.disturb("lose a failure domain", domain)
	fault := &linkFault{silentUp: true, silentDown: true, drop: true}
	for _, p := range inside {
		p.lost.Store(true)
		for _, link := range p.peers.Load().links {
			link.begin(fault)
		}
		<-s.signal(p, syscall.SIGKILL)
	}
	for _, w := range workers {
		for _, link := range w.links {
			link.begin(fault)
		}
		w.worker.SetDown(true)
		w.worker.Restart()
	}
	hidden := s.expireAll(workers)
	end(time.Now())
	return func() {
		end := s.disturb("power is back", domain)
		hidden()
		for _, w := range workers {
			w.worker.SetDown(false)
			for _, link := range w.links {
				link.end(fault)
			}
			s.show(w)
		}
		for _, p := range inside {
			for _, link := range p.peers.Load().links {
				link.end(fault)
			}
			p.lost.Store(false)
			s.start(p)
		}
		end(time.Now())
	}
}

// expireAll removes the registrations of workers after soakExpiry, and returns a function that waits for that.
func (s *soak) expireAll(workers []*soakWorker) func() {
	var expired sync.WaitGroup
	expired.Go(func() {
		time.Sleep(soakExpiry)
		for _, w := range workers {
			s.hide(w)
		}
	})
	return expired.Wait
}

// cutDomain cuts a failure domain off from the store and from all others. Its holder is frozen in one variant, until
// some time after the cut.
func (s *soak) cutDomain(domain string, f soakFault, rng *rand.Rand) {
	inside, outside, workers := s.inDomain(domain)
	end := s.disturb("cut a failure domain off", domain)
	fault := &linkFault{silentUp: true, silentDown: true, drop: rng.IntN(2) == 0}
	links := crossingLinks(inside, outside, workers)
	for _, link := range links {
		link.begin(fault)
	}
	holder := s.holder(inside[0])
	if f.variant == soakCutOffFrozen {
		time.Sleep(time.Duration(rng.Int64N(int64(soakShortestAbsence))))
		s.signal(holder, syscall.SIGSTOP)
	}
	hidden := s.expireAll(workers)
	time.Sleep(f.length)
	hidden()
	for _, link := range links {
		link.end(fault)
	}
	for _, w := range workers {
		s.show(w)
	}
	if f.variant == soakCutOffFrozen {
		time.Sleep(time.Duration(rng.Int64N(int64(soakWakeSpread))))
		s.signal(holder, syscall.SIGCONT)
	}
	end(time.Now())
}

// crossingLinks returns the links between a failure domain and the store and all others.
func crossingLinks(inside, outside []*soakProcess, workers []*soakWorker) []*soakLink {
	var links []*soakLink
	for _, p := range inside {
		links = append(links, &p.store)
		for _, other := range outside {
			links = append(links, p.peers.Load().links[other.name], other.peers.Load().links[p.name])
		}
	}
	for _, w := range workers {
		for _, other := range outside {
			links = append(links, w.links[other.name])
		}
	}
	return links
}

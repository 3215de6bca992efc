package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"zinniashore.example/standin"
)

const (
	// soakLostLongRunning is one in how many jobs of a case with a lost holder runs until it is stopped.
	soakLostLongRunning = 2
	// soakLostMaxLease is the longest lease of a worker on the site of issue 52.
	soakLostMaxLease = 6 * time.Second
	// soakLostProcesses gives each of two failure domains another process that can hold its cell.
	soakLostProcesses = 5
	// soakLostStart and soakLostSpread bound when workers register that they leave, soakNoticeSpread the
	// time from there to the loss of the holder.
	soakLostStart, soakLostSpread = 5 * time.Second, 2 * time.Second
	soakNoticeSpread              = 500 * time.Millisecond
	// soakFewestLeave and soakLeaveSpread bound the number of workers that leave, less than half of those of
	// the failure domain. soakMostLeave of them leave if a majority does.
	soakFewestLeave, soakLeaveSpread, soakMostLeave = 2, 2, 5
	// soakExitDelay and soakExitSpread bound the time from the loss of the holder to the exit of a worker.
	soakExitDelay, soakExitSpread = 300 * time.Millisecond, time.Second
	// soakSilenceDelay is the time from the loss of the holder to the silence of the store.
	soakSilenceDelay                     = 300 * time.Millisecond
	soakShortestSilence, soakSilenceMore = 4 * time.Second, 4 * time.Second
	// soakFrozenDelay and soakFrozenSpread bound the time from the return of the store until a frozen holder
	// runs on: another process holds the cell then.
	soakFrozenDelay, soakFrozenSpread = 4 * time.Second, 6 * time.Second
	// soakCutAfter is how long a worker is cut off from the new holder after the earlier one runs on.
	soakCutAfter = 4 * time.Second
	// soakLateBefore is how long before the notice starts begin to get no answer.
	soakLateBefore = time.Second
	// soakObserved is how long the tasks are watched after the last fault.
	soakObserved = soakRestartBound + 4*time.Second
)

// The faults of a case with a lost holder, of which the last words make inject choose the holder.
const (
	// soakLoseHolder kills the holder for good.
	soakLoseHolder = "lose a holder"
	// soakTakeOver freezes it until another process holds the cell. Starts are carried out late, and one of the
	// leaving workers lives and is cut off from the other processes.
	soakTakeOver = "take over from a holder"
)

// lostHolderPlan returns the only fault of a case with a lost holder. In one of four cases the holder is frozen,
// in one of four the store doesn't fall silent, and its leases expire, pause or are renewed in a silence. A majority of
// the workers leaves with every other 16 seeds.
func lostHolderPlan(seed uint64) []soakFault {
	rng := rand.New(rand.NewPCG(seed, 10<<32))
	f := soakFault{
		at: soakLostStart + time.Duration(rng.Int64N(int64(soakLostSpread))), kind: soakLoseHolder, number: rng.Uint64(),
		length: soakShortestSilence + time.Duration(rng.Int64N(int64(soakSilenceMore))), variant: int(seed / 4 % 3),
	}
	switch seed % 4 {
	case 2:
		f.length = 0
	case 3:
		f.kind = soakTakeOver
		if seed/8%2 == 0 {
			f.length = 0
		}
	}
	return []soakFault{f}
}

// maxLease returns the longest lease of a worker.
func (s *soak) maxLease() time.Duration {
	if s.lostHolder || s.lostDomain || s.planned {
		return soakLostMaxLease
	}
	return soakMaxLease
}

// soakLoss is what happened to the holder of a cell.
type soakLoss struct {
	// leaving is the number of workers that leave, of the given number in the failure domain.
	leaving, workers int
	// at is when it was killed or frozen, over when the store had returned, or at if it wasn't silent.
	at, over time.Time
}

// injectLost carries out the faults of cases with a lost holder. Their parts are noted one by one.
func (s *soak) injectLost(f soakFault, p *soakProcess) bool {
	rng := rand.New(rand.NewPCG(f.number, 2))
	switch f.kind {
	case soakLoseHolder:
		s.loseHolder(f, p, rng)
	case soakTakeOver:
		s.takeOver(f, p, rng)
	default:
		return false
	}
	time.Sleep(soakObserved)
	return true
}

// loseHolder kills a holder for good after workers of its failure domain have registered that they leave.
func (s *soak) loseHolder(f soakFault, p *soakProcess, rng *rand.Rand) {
	leaving := s.announce(p.domain, rng)
	time.Sleep(time.Duration(rng.Int64N(int64(soakNoticeSpread))))
	end := s.disturb("kill a holder", p.name)
	p.lost.Store(true)
	<-s.signal(p, syscall.SIGKILL)
	s.noteLoss(time.Now())
	end(time.Now())
	s.silenceAddresses(p)
	var parts sync.WaitGroup
	s.vanishAll(&parts, leaving, rng)
	s.silence(f)
	parts.Wait()
}

// silenceAddresses makes the addresses of a killed process accept connections and answer nothing, as those of a
// lost VM don't.
func (s *soak) silenceAddresses(p *soakProcess) {
	for port := p.port; port < p.port+portsPerProcess; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			s.t.Error(err)
			return
		}
		s.t.Cleanup(func() { _ = listener.Close() })
	}
}

// takeOver freezes a holder until another process holds its cell. Starts that it sent are carried out late.
func (s *soak) takeOver(f soakFault, p *soakProcess, rng *rand.Rand) {
	late := s.disturb("calls carried out late", p.name)
	staying := s.staying(p.domain)
	for _, w := range staying {
		w.starts.unanswered.Add(1)
	}
	time.Sleep(soakLateBefore)
	leaving := s.announce(p.domain, rng)
	time.Sleep(time.Duration(rng.Int64N(int64(soakNoticeSpread))))
	frozen := s.disturb("freeze a holder", p.name)
	s.signal(p, syscall.SIGSTOP)
	s.noteLoss(time.Now())
	for _, w := range staying {
		w.starts.unanswered.Add(-1)
	}
	late(time.Now().Add(soakLongestLate))
	cut, reconnect := leaving[0], s.cutOff(leaving[0], p)
	var parts sync.WaitGroup
	s.vanishAll(&parts, leaving[1:], rng)
	s.silence(f)
	if rng.IntN(2) == 0 {
		s.hide(cut)
	}
	time.Sleep(soakFrozenDelay + time.Duration(rng.Int64N(int64(soakFrozenSpread))))
	s.signal(p, syscall.SIGCONT)
	frozen(time.Now())
	time.Sleep(soakCutAfter)
	reconnect()
	parts.Wait()
}

// announce makes some workers of a failure domain register that they leave.
func (s *soak) announce(domain string, rng *rand.Rand) []*soakWorker {
	staying := s.staying(domain)
	rng.Shuffle(len(staying), func(i, j int) { staying[i], staying[j] = staying[j], staying[i] })
	count := soakFewestLeave + rng.IntN(soakLeaveSpread)
	if s.seed/16%2 == 1 {
		count = soakMostLeave
	}
	leaving := staying[:count]
	s.mu.Lock()
	s.loss.leaving, s.loss.workers = len(leaving), len(staying)
	for _, w := range leaving {
		w.draining = true
	}
	s.mu.Unlock()
	for _, w := range leaving {
		s.register(w)
	}
	return leaving
}

// noteLoss notes when the holder was lost.
func (s *soak) noteLoss(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss.at, s.loss.over = at, at
}

// silence makes the store silent shortly after the loss of the holder, if the fault has a length.
func (s *soak) silence(f soakFault) {
	if f.length == 0 {
		return
	}
	time.Sleep(soakSilenceDelay)
	end := s.disturb("store silent", "")
	s.beginOutage(standin.PlatformFaults{Silent: true, PauseLeases: f.variant == 1, RenewLeases: f.variant == 2}, false)
	time.Sleep(f.length)
	workers := s.endOutage()
	over := time.Now()
	end(over)
	s.mu.Lock()
	s.loss.over = over
	s.mu.Unlock()
	for _, w := range workers {
		s.register(w)
	}
}

// vanishAll ends workers one by one.
func (s *soak) vanishAll(parts *sync.WaitGroup, workers []*soakWorker, rng *rand.Rand) {
	for _, w := range workers {
		delay := soakExitDelay + time.Duration(rng.Int64N(int64(soakExitSpread)))
		parts.Go(func() {
			time.Sleep(delay)
			s.vanish(w)
		})
	}
}

// vanish ends a worker with everything that runs on it. Its address doesn't answer any more, and refuses no
// connections.
func (s *soak) vanish(w *soakWorker) {
	fault := &linkFault{silentUp: true, silentDown: true}
	for _, link := range w.links {
		link.begin(fault)
	}
	s.mu.Lock()
	w.gone, w.silent = true, true
	s.mu.Unlock()
	w.worker.SetDown(true)
	w.worker.Restart()
	s.hide(w)
}

// cutOff cuts a worker off from all processes but one and returns a function that ends that.
func (s *soak) cutOff(w *soakWorker, p *soakProcess) func() {
	end := s.disturb("link to a worker", "")
	fault := &linkFault{silentUp: true, silentDown: true}
	for name, link := range w.links {
		if name != p.name {
			link.begin(fault)
		}
	}
	return func() {
		for _, link := range w.links {
			link.end(fault)
		}
		end(time.Now())
	}
}

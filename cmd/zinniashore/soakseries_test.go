package main

import (
	"sync"
	"syscall"
	"time"
)

// injectSeries carries out faults that come in series, each shortly after the one before.
func (s *soak) injectSeries(f soakFault, p *soakProcess) bool {
	switch f.kind {
	case "all workers restart":
		s.restartAll(s.staying(p.domain), f)
	case "stops in series":
		s.replaceAll(p.domain, f)
	case "configurations in series":
		s.configureOften(f)
	default:
		return false
	}
	return true
}

func (f soakFault) gap() time.Duration { return time.Duration(f.number % uint64(soakGap)) }

// restartAll restarts workers a few times in quick series.
func (s *soak) restartAll(workers []*soakWorker, f soakFault) {
	for range 1 + f.variant%3 {
		var restarts sync.WaitGroup
		for _, w := range workers {
			restarts.Go(func() { s.restart(w, f.length/8) })
			time.Sleep(f.gap())
		}
		restarts.Wait()
		time.Sleep(f.length / 4)
	}
}

// replaceAll stops and starts the processes of a domain, each after a new configuration and
// a SIGHUP, while the process before may still be stopping.
func (s *soak) replaceAll(domain string, f soakFault) {
	gap := min(f.gap()*time.Duration(1+f.variant), soakSeriesLength/time.Duration(len(s.processes)))
	var stops sync.WaitGroup
	for i, p := range s.processes {
		if p.domain != domain {
			continue
		}
		s.configure(f.number + uint64(i))
		s.signal(p, syscall.SIGHUP)
		stops.Go(func() { s.replace(p) })
		time.Sleep(gap)
	}
	stops.Wait()
}

// replace stops a process and starts its successor.
func (s *soak) replace(p *soakProcess) {
	select {
	case <-s.signal(p, syscall.SIGTERM):
	case <-time.After(soakGrace * time.Second):
		<-s.signal(p, syscall.SIGKILL)
	}
	s.start(p)
}

// configureOften changes the configuration in quick series, with SIGHUPs between.
func (s *soak) configureOften(f soakFault) {
	for i := range 2 + f.variant {
		s.configure(f.number + uint64(i))
		s.signal(s.processes[i%len(s.processes)], syscall.SIGHUP)
		time.Sleep(f.gap())
	}
}

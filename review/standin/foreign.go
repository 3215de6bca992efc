package main

import (
	"fmt"
	"time"
)

// foreignEntries hands in a job after another writer has put entries of a service that the
// configuration doesn't name beside those of the minions.
func foreignEntries(s *site, trouble bool) (bool, error) {
	const perZone = 3
	for _, zone := range s.zones {
		for range perZone {
			s.addMinion(zone)
		}
	}
	if trouble {
		for n := range perZone {
			key := fmt.Sprintf("servers/w-%04d", n)
			s.record.add("platform", "another writer puts %s", key)
			s.store.put(key, map[string]any{
				"service": "warehouse", "address": fmt.Sprintf("127.0.0.1:%d", freePorts("127.0.0.1")), "zone": s.zones[0], "version": "v3", "slots": 4,
				"state": "ready", "cold-remaining-ms": 0, "capacity": map[string]any{"cpu": 8000, "mem-mb": 32000, "gpu": 0},
				"labels": []string{"w"}, "seq": 1,
			})
		}
	}
	for _, zone := range s.zones {
		if _, err := s.addProcess(zone); err != nil {
			return false, err
		}
	}
	if !s.awaitReady(15 * time.Second) {
		return false, fmt.Errorf("%w: a process isn't ready", errNotRun)
	}
	time.Sleep(5 * time.Second)
	const job = "00000000000000c1"
	p := s.processes[0]
	for n := range 6 {
		if !s.submit(p, fmt.Sprintf("00000000000000c%d", n), map[string]any{"count": 4, "cpu": 2000, "mem-mb": 1000, "estimate-ms": 1000}) {
			return false, fmt.Errorf("%w: a job wasn't accepted", errNotRun)
		}
	}
	return s.lostAtEnd(p, job), nil
}

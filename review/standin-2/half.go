package main

import (
	"fmt"
	"syscall"
	"time"
)

// half: a machine of the system is removed for good, which holds the cell of a zone, together with one of the two
// racks of minions of that zone. The batch job runs on the other rack.
func half(d *deployment, trouble bool) int {
	const job, tasks = "00000000000000a7", 4
	d.works.set(job, 0, work{cpu: minionCPU, mb: 1000, length: 8 * time.Second})
	body := fmt.Sprintf(`{"spec":"engrave","phases":[{"count":%d,"cpu":%d,"mem-mb":1000,"estimate-ms":8000}]}`, tasks, minionCPU)
	if !d.submit(d.in(zones[0])[0], batch, job, body) || !d.awaitRunning(job, tasks) || len(d.zonesOf(job)) != 1 {
		return unclear
	}
	zone, racks := "", map[string]bool{}
	for _, m := range d.minions {
		m.mu.Lock()
		if len(m.runs) > 0 {
			zone, racks[m.rack] = m.zone, true
		}
		m.mu.Unlock()
	}
	holder := d.holder(zone)
	if len(racks) != 1 || holder == nil {
		return unclear
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.end(holder, syscall.SIGKILL)
		for _, m := range d.minions {
			if m.zone == zone && !racks[m.rack] {
				m.lose()
			}
		}
	}
	d.log.add("this is the end of the traffic")
	time.Sleep(14 * time.Second) // finish_s
	for _, n := range d.in(zone) {
		if n != holder {
			return d.watchBatch(n, job, tasks, 36*time.Second)
		}
	}
	return unclear
}

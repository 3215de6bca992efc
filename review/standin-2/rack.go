package main

import (
	"fmt"
	"time"
)

// rack: a rack of minions is lost for good on which a batch job runs. The other rack of its zone is full of tasks
// that last; the other zones are empty.
func rack(d *deployment, trouble bool) int {
	const watch, job, tasks = "00000000000000e0", "00000000000000e1", 8
	d.works.set(watch, 0, work{cpu: minionCPU, mb: 1000, lasting: true})
	body := fmt.Sprintf(`{"spec":"watch","phases":[{"count":%d,"cpu":%d,"mem-mb":1000,"long-running":true}]}`, tasks, minionCPU)
	if !d.submit(d.nodes[0], lasting, watch, body) || !d.awaitRunning(watch, tasks) || len(d.zonesOf(watch)) != 1 {
		return unclear
	}
	zone := ""
	for z := range d.zonesOf(watch) {
		zone = z
	}
	time.Sleep(2 * time.Second)
	d.works.set(job, 0, work{cpu: minionCPU, mb: 1000, length: 6 * time.Second})
	body = fmt.Sprintf(`{"spec":"engrave","phases":[{"count":%d,"cpu":%d,"mem-mb":1000,"estimate-ms":6000}]}`, tasks, minionCPU)
	if !d.submit(d.in(zone)[0], batch, job, body) || !d.awaitRunning(job, tasks) {
		return unclear
	}
	d.log.add("%s runs in %v, %s in %v", watch, d.zonesOf(watch), job, d.zonesOf(job))
	if d.zonesOf(job)[zone] != tasks {
		return unclear
	}
	time.Sleep(2 * time.Second)
	lost := 0
	if trouble {
		for _, m := range d.minions {
			m.mu.Lock()
			chosen := false
			for task := range m.runs {
				chosen = chosen || task[:len(job)] == job
			}
			m.mu.Unlock()
			if chosen {
				lost++
				m.lose()
			}
		}
	}
	d.log.add("%d minions are lost, %d are free; this is the end of the traffic", lost, d.free())
	time.Sleep(14 * time.Second) // finish_s
	return d.watchBatch(d.in(zone)[0], job, tasks, 30*time.Second)
}

// awaitRunning waits until a number of tasks of a job run.
func (d *deployment) awaitRunning(job string, count int) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.running(job) == count {
			return true
		}
	}
	return false
}

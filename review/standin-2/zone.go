package main

import (
	"fmt"
	"syscall"
	"time"
)

// zone: a zone is lost, with its machines and its minions, while a batch job runs there. The others are empty.
func zone(d *deployment, trouble bool) int {
	const job, tasks = "00000000000000f1", 3
	entry := d.in(zones[0])[0]
	d.works.set(job, 0, work{cpu: minionCPU, mb: 1000, length: 6 * time.Second})
	body := fmt.Sprintf(`{"spec":"engrave","phases":[{"count":%d,"cpu":%d,"mem-mb":1000,"estimate-ms":6000}]}`, tasks, minionCPU)
	if !d.submit(entry, batch, job, body) || !d.awaitRunning(job, tasks) || len(d.zonesOf(job)) != 1 {
		return unclear
	}
	lost := ""
	for z := range d.zonesOf(job) {
		lost = z
	}
	var others []*node
	for _, n := range d.nodes {
		if n.zone != lost {
			others = append(others, n)
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.log.add("the zone %s is lost", lost)
		for _, n := range d.in(lost) {
			d.end(n, syscall.SIGKILL)
		}
		for _, m := range d.minions {
			if m.zone == lost {
				m.lose()
			}
		}
	}
	d.log.add("this is the end of the traffic")
	time.Sleep(14 * time.Second) // finish_s
	return d.watchBatch(others[0], job, tasks, 40*time.Second)
}

// watchBatch checks that a batch job is completed, or that something of it runs, while there is capacity for it
// twice over and under half of the capacity is in use.
func (d *deployment) watchBatch(n *node, job string, tasks int, length time.Duration) int {
	outcome := held
	var since time.Time
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		_, state := d.state(n, batch+job)
		if state == "completed" {
			return outcome
		}
		free, up := d.free(), d.up()
		if d.running(job) > 0 || free < 2*tasks || 2*free <= up {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) > 3*time.Second && outcome == held {
			outcome = broken
			d.log.add("BROKEN: for 3 s nothing of %s, which is shown as %q, has run; %d of %d minions are free", job, state, free, up)
		}
	}
	return outcome
}

// up returns the number of minions that are up.
func (d *deployment) up() int {
	count := 0
	for _, m := range d.minions {
		m.mu.Lock()
		if m.up {
			count++
		}
		m.mu.Unlock()
	}
	return count
}

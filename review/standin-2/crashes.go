package main

import (
	"fmt"
	"time"
)

// crashes: the minions of a rack crash and start again, again and again.
func crashes(d *deployment, trouble bool) int {
	const id, tasks = "00000000000000c1", 2
	entry := d.in(zones[0])[0]
	d.works.set(id, 0, work{cpu: 2000, mb: 1000, lasting: true})
	body := fmt.Sprintf(`{"spec":"watch","phases":[{"count":%d,"cpu":2000,"mem-mb":1000,"long-running":true}]}`, tasks)
	if !d.submit(entry, lasting, id, body) {
		return unclear
	}
	for end := time.Now().Add(10 * time.Second); d.running(id) < tasks; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return unclear
		}
	}
	time.Sleep(3 * time.Second)
	zone := ""
	for _, m := range d.minions {
		m.mu.Lock()
		if len(m.runs) > 0 {
			zone = m.zone
		}
		m.mu.Unlock()
	}
	if trouble {
		for range 12 {
			var rack []*minion
			for _, m := range d.minions {
				if m.zone == zone {
					rack = append(rack, m)
				}
			}
			for _, m := range rack {
				m.crash()
			}
			time.Sleep(500 * time.Millisecond)
			for _, m := range rack {
				if m.boot() != nil {
					return unclear
				}
			}
			time.Sleep(time.Second)
			if _, state := d.state(entry, lasting+id); state == "failed" {
				break
			}
		}
	}
	time.Sleep(12 * time.Second)
	for range 5 {
		if _, state := d.state(entry, lasting+id); state == "failed" {
			d.log.add("BROKEN: no run has ended as failed, nobody has cancelled the job, and it is shown as failed")
			return broken
		}
		time.Sleep(200 * time.Millisecond)
	}
	return held
}

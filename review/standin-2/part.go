package main

import (
	"fmt"
	"net/http"
	"time"
)

// lastingBody is a job of tasks that last and that take a whole minion each.
func lastingBody(count int) string {
	return fmt.Sprintf(`{"spec":"watch","phases":[{"count":%d,"cpu":%d,"mem-mb":1000,"long-running":true,"max-unavailable":1}]}`, count, minionCPU)
}

// submitLasting hands in a lasting job and waits until all of its tasks run.
func (d *deployment) submitLasting(id string, count int) bool {
	d.works.set(id, 0, work{cpu: minionCPU, mb: 1000, lasting: true})
	if !d.submit(d.nodes[0], lasting, id, lastingBody(count)) {
		return false
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.running(id) == count {
			return true
		}
	}
	return false
}

// zonesOf returns how many runs of a job each zone has.
func (d *deployment) zonesOf(job string) map[string]int {
	found := map[string]int{}
	for _, m := range d.minions {
		m.mu.Lock()
		for task := range m.runs {
			if m.up && task[:len(job)] == job {
				found[m.zone]++
			}
		}
		m.mu.Unlock()
	}
	return found
}

// free returns how many minions that are up have nothing to run.
func (d *deployment) free() int {
	count := 0
	for _, m := range d.minions {
		m.mu.Lock()
		if m.up && len(m.runs) == 0 {
			count++
		}
		m.mu.Unlock()
	}
	return count
}

// part: a minion is lost for good that runs a task of a lasting job whose other tasks run in another zone.
func part(d *deployment, trouble bool) int {
	const full, first, second, spread = "00000000000000d0", "00000000000000d1", "00000000000000d2", "00000000000000d3"
	if !d.submitLasting(full, 4) || !d.submitLasting(first, 2) {
		return unclear
	}
	// The second job has to run in the zone that is still empty: two tasks there leave two places in two zones.
	if !d.submitLasting(second, 2) {
		return unclear
	}
	if a, b := d.zonesOf(first), d.zonesOf(second); len(a) != 1 || len(b) != 1 || a[zones[0]] == b[zones[0]] && a[zones[1]] == b[zones[1]] {
		d.log.add("the first jobs aren't in different zones: %v %v", a, b)
		return unclear
	}
	if !d.submitLasting(spread, 4) {
		return unclear
	}
	home := string(d.store.value("zinniashore/ids/" + spread))
	d.log.add("the job %s runs in %v, its home is %s", spread, d.zonesOf(spread), home)
	if len(d.zonesOf(spread)) != 2 || d.zonesOf(spread)[home] != 2 {
		return unclear
	}
	// The requester of the job that shares the home zone cancels it: two minions become free there.
	cancelled := first
	if d.zonesOf(second)[home] > 0 {
		cancelled = second
	}
	if status, _ := d.call(d.nodes[0], http.MethodDelete, lasting+cancelled, ""); status != http.StatusOK {
		return unclear
	}
	for end := time.Now().Add(8 * time.Second); d.free() < 2; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return unclear
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, m := range d.minions {
			m.mu.Lock()
			chosen := false
			for task := range m.runs {
				chosen = chosen || m.zone != home && task[:len(spread)] == spread
			}
			m.mu.Unlock()
			if chosen {
				m.lose()
				break
			}
		}
	}
	return d.watchLasting(spread, 4, 40*time.Second)
}

// watchLasting checks that all tasks of a lasting job run, or run again soon, while there is capacity for each of
// them twice over.
func (d *deployment) watchLasting(job string, count int, length time.Duration) int {
	const allowed = 6*time.Second + 4*time.Second + 3*time.Second
	var since time.Time
	logged := false
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		running, free := d.running(job), d.free()
		switch {
		case running >= count || free < 2:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) > allowed && !logged:
			logged = true
			d.log.add("BROKEN: for %v, %d of %d tasks of %s, which last, run, and %d minions have room for one each", allowed, running, count, job, free)
		}
	}
	running, free := d.running(job), d.free()
	d.log.add("at the end %d of %d tasks of %s run, %d minions are free", running, count, job, free)
	if logged {
		return broken
	}
	return held
}

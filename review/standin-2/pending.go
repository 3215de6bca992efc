package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// contact and visible are the bounds contact-ms and visible_ms.
	contact = 3 * time.Second
	visible = 3 * time.Second
	// oldEnough is how long before a count a job must have been accepted to be in it.
	oldEnough = visible + 2*time.Second
)

// waitingJobs fills all minions with tasks of a minute, and then hands in jobs at a machine of the first zone, for
// which there is no room. It returns the time of the last acceptance.
func (d *deployment) waitingJobs(count int) (time.Time, bool) {
	entry := d.in(zones[0])[0]
	for z := range zones {
		id := fmt.Sprintf("00000000000000a%d", z)
		tasks := len(d.minions) / len(zones)
		d.works.set(id, 0, work{cpu: minionCPU, mb: 1000, length: time.Minute})
		body := fmt.Sprintf(`{"spec":"fill","phases":[{"count":%d,"cpu":%d,"mem-mb":1000,"estimate-ms":60000}]}`, tasks, minionCPU)
		if !d.submit(d.in(zones[z])[0], quick, id, body) {
			return time.Time{}, false
		}
		for end := time.Now().Add(10 * time.Second); d.running(id) < tasks; time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return time.Time{}, false
			}
		}
	}
	for n := range count {
		id := fmt.Sprintf("00000000000000b%d", n)
		d.works.set(id, 0, work{cpu: 4000, mb: 1000, length: time.Second})
		if !d.submit(entry, batch, id, `{"spec":"wait","phases":[{"count":1,"cpu":4000,"mem-mb":1000,"estimate-ms":1000,"requirements":"r0-0"}]}`) {
			return time.Time{}, false
		}
	}
	return time.Now(), true
}

// begun reports whether a task of a waiting job has ever begun.
func (d *deployment) begun(count int) bool {
	for _, m := range d.minions {
		m.mu.Lock()
		for n := range count {
			prefix := fmt.Sprintf("00000000000000b%d.", n)
			for task := range m.runs {
				if task[:len(prefix)] == prefix {
					m.mu.Unlock()
					return true
				}
			}
			for task := range m.highest {
				if task[:len(prefix)] == prefix {
					m.mu.Unlock()
					return true
				}
			}
		}
		m.mu.Unlock()
	}
	return false
}

const waitingCount = 6

// pendingZone: all machines of the system lose power at once; those of one zone stay dark for longer.
func pendingZone(d *deployment, trouble bool) int {
	accepted, ok := d.waitingJobs(waitingCount)
	if !ok {
		return unclear
	}
	time.Sleep(time.Until(accepted.Add(oldEnough + time.Second)))
	others := append(d.in(zones[1]), d.in(zones[2])...)
	if !d.countsAgree(waitingCount) {
		d.log.add("the counts aren't right before the disruption")
		return unclear
	}
	if trouble {
		for _, n := range d.nodes {
			_ = n.process.Process.Signal(syscall.SIGKILL)
		}
		for _, n := range d.nodes {
			d.end(n, syscall.SIGKILL)
		}
		time.Sleep(3500 * time.Millisecond)
		for _, n := range others {
			if d.start(n) != nil {
				return unclear
			}
		}
		back := time.AfterFunc(6*time.Second, func() {
			for _, n := range d.in(zones[0]) {
				_ = d.start(n)
			}
		})
		defer back.Stop()
	}
	return d.watchPending(others, 8*time.Second, func() bool { return d.begun(waitingCount) })
}

// countsAgree reports whether all machines give a count within some seconds.
func (d *deployment) countsAgree(want int) bool {
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		agreeing := 0
		for _, n := range d.nodes {
			if count, told := d.pending(n, batch); told && count == want {
				agreeing++
			}
		}
		if agreeing == len(d.nodes) {
			return true
		}
	}
	return false
}

// watchPending asks machines in touch for the count and checks it.
func (d *deployment) watchPending(nodes []*node, length time.Duration, stop func() bool) int {
	outcome, asked := held, 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
		for _, n := range nodes {
			if n.process == nil || time.Since(n.started) < contact+200*time.Millisecond {
				continue
			}
			count, told := d.pending(n, batch)
			if stop() {
				d.log.add("a waiting job has begun; no further check")
				if asked == 0 {
					return unclear
				}
				return outcome
			}
			if !told {
				continue
			}
			asked++
			if 2*count < waitingCount {
				d.log.add("BROKEN: %s, in touch, gives %d pending, %d jobs were accepted over %v before and haven't begun", n.name, count, waitingCount, oldEnough)
				outcome = broken
			}
		}
	}
	if asked == 0 {
		return unclear
	}
	return outcome
}

// pendingLoad: the process that holds the cell of the waiting jobs is killed.
func pendingLoad(d *deployment, trouble bool) int {
	accepted, ok := d.waitingJobs(waitingCount)
	if !ok {
		return unclear
	}
	time.Sleep(time.Until(accepted.Add(oldEnough + time.Second)))
	holder := d.holder(zones[0])
	if holder == nil {
		return unclear
	}
	var others []*node
	for _, n := range d.nodes {
		if n != holder {
			others = append(others, n)
		}
	}
	if trouble {
		d.end(holder, syscall.SIGKILL)
	}
	done := make(chan int, len(others))
	for _, n := range others {
		go func() {
			done <- d.watchPending([]*node{n}, 6*time.Second, func() bool { return d.begun(waitingCount) })
		}()
	}
	outcome := held
	for range others {
		if o := <-done; o != held && outcome != broken {
			outcome = o
		}
	}
	return outcome
}

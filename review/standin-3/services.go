package main

import (
	"fmt"
	"time"
)

// finishTime is how long after the end of the traffic jobs must be finished (finish_s), and stillTime for how
// long a job may have nothing running then.
const (
	finishTime = 14 * time.Second
	stillTime  = 3 * time.Second
)

// playServices plays two services, of which one gets a few jobs that can never be done. Jobs of the other one,
// whose minions are idle, must run.
func playServices(p *play) ([]string, error) {
	quotes := queue{name: "r-quote", host: "quote.example", prefix: "/quote/", service: "caneshop", priority: 0}
	batches := queue{name: "r-batch", host: "batch.example", prefix: "/batch/", service: "finishing", priority: 2}
	var minions []*minion
	for _, zone := range zones {
		for n := range 4 {
			minions = append(minions,
				&minion{id: fmt.Sprintf("i-c-%s-%d", zone, n), zone: zone, rack: "r1-" + zone, service: "caneshop", capacity: size{16000, 64000}},
				&minion{id: fmt.Sprintf("i-f-%s-%d", zone, n), zone: zone, rack: "r2-" + zone, service: "finishing", capacity: size{64000, 250000}})
		}
	}
	if err := p.start(configuration(quotes, batches), minions); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	jobs := p.serveTwoServices(quotes, batches)
	p.record.printf("the traffic ends")
	time.Sleep(finishTime)
	return p.judgeStill(jobs), nil
}

// serveTwoServices hands jobs of both services in, for 20 s, and returns those that can be done. With trouble, one of 20
// jobs of the first service needs more processors than any of its minions has.
func (p *play) serveTwoServices(quotes, batches queue) []*job {
	var jobs []*job
	for n := range 60 {
		zone := zones[n%len(zones)]
		quote := &job{id: newID(), queue: quotes, count: 2, size: size{2000, 1000}, length: 500 * time.Millisecond}
		if n%20 == 7 && p.trouble {
			quote.size = size{20000, 1000}
			p.record.printf("job %s can never be done: no minion of %s has %d cpu", quote.id, quotes.service, quote.size.cpu)
		} else {
			jobs = append(jobs, quote)
		}
		p.submit(quote, zone)
		if n%4 == 0 {
			batch := &job{id: newID(), queue: batches, count: 2, size: size{24000, 2000}, length: time.Second}
			jobs = append(jobs, batch)
			p.submit(batch, zones[n/4%len(zones)])
		}
		time.Sleep(330 * time.Millisecond)
		p.logEvents()
	}
	return jobs
}

// judgeStill returns the accepted jobs that have had nothing running for stillTime although they aren't done and their
// service is idle.
func (p *play) judgeStill(jobs []*job) []string {
	started := map[*job]bool{}
	busiest := map[string]float64{}
	for end := time.Now().Add(stillTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, j := range jobs {
			started[j] = started[j] || p.running(j) > 0
		}
		for service, share := range p.usedShares() {
			busiest[service] = max(busiest[service], share)
		}
	}
	p.logEvents()
	var broken []string
	for _, j := range jobs {
		if j.accepted.IsZero() {
			continue
		}
		p.fetch(j)
		if j.state == "completed" || j.state == "failed" || started[j] {
			continue
		}
		if share := busiest[j.queue.service]; share >= 0.5 {
			p.record.printf("job %s waits, but its service is in use: %.2f", j.id, share)
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: job %s, accepted %.0f s ago, is %q and has had nothing running for %s; %.2f of the capacity of %s is in use",
			j.id, time.Since(j.accepted).Seconds(), j.state, stillTime, busiest[j.queue.service], j.queue.service))
	}
	return broken
}

// usedShares returns, for each service, the share of its processors that runs take.
func (p *play) usedShares() map[string]float64 {
	used, all := map[string]int64{}, map[string]int64{}
	for _, m := range p.minions {
		m.mu.Lock()
		if !m.gone {
			all[m.service] += m.capacity.cpu
		}
		m.mu.Unlock()
	}
	p.jobs.mu.Lock()
	var jobs []*job
	for _, j := range p.jobs.jobs {
		jobs = append(jobs, j)
	}
	p.jobs.mu.Unlock()
	for _, j := range jobs {
		used[j.queue.service] += int64(p.running(j)) * j.size.cpu
	}
	shares := map[string]float64{}
	for service, total := range all {
		shares[service] = float64(used[service]) / float64(total)
	}
	return shares
}

package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"zinniashore.example/standin"
)

// maxAway is how long after its last run a task that lasts may be without one: 6 s and, for calm, 4 s, and 3 s in which
// nothing runs.
const maxAway = 13 * time.Second

// playLasting plays a job of a gang that lasts and one more task that does. With trouble, two minions of the gang's zone
// are emptied and taken away, so that the gang doesn't fit there any more. The other zones are idle.
func playLasting(p *play) ([]string, error) {
	watches := queue{name: "r-watch", host: "watch.example", prefix: "/watch/", service: "finishing", priority: 0}
	p.gangs = &standin.PlatformGangs{Timeout: 3 * time.Second, Size: p.jobs.gangSize}
	var minions []*minion
	for _, zone := range zones {
		for n := range 4 {
			minions = append(minions, &minion{id: fmt.Sprintf("i-%s-%d", zone, n), zone: zone, rack: "r1-" + zone, service: "finishing", capacity: size{16000, 64000}})
		}
	}
	if err := p.start(configuration(watches), minions); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	watch := &job{id: newID(), queue: watches, count: 3, size: size{12000, 4000}, length: time.Hour, gang: true, lasts: true, beside: true}
	p.submit(watch, zones[0])
	time.Sleep(5 * time.Second)
	p.logEvents()
	if p.running(watch) != watch.count {
		return nil, errors.New("the gang doesn't run at first")
	}
	if p.trouble {
		p.emptyHome(watch)
	}
	left := time.Now()
	for time.Since(left) < 40*time.Second {
		time.Sleep(time.Second)
		p.logEvents()
		if p.running(watch) == watch.count {
			left = left.Add(-time.Hour)
		}
	}
	p.fetch(watch)
	if missing := watch.count - p.running(watch); missing > 0 {
		return []string{fmt.Sprintf("LOST: %d tasks that last of job %s have had no run for 40 s (at most %s), with two zones idle", missing, watch.id, maxAway)}, nil
	}
	return nil, nil
}

// emptyHome lets two minions of the zone in which a gang runs leave, first those that run a member of it.
func (p *play) emptyHome(j *job) {
	var members []*minion
	for _, e := range p.ledger.Events() {
		if e.Kind == "start" && strings.HasPrefix(e.Task, j.id+".0.0.") {
			members = append(members, p.minion(e.Worker))
		}
	}
	p.record.printf("the gang runs in %s, on %d minions", members[0].zone, len(members))
	var leaving sync.WaitGroup
	for _, m := range members[:2] {
		leaving.Add(1)
		go func() {
			defer leaving.Done()
			m.leave()
		}()
	}
	leaving.Wait()
}

// minion returns a minion by its id.
func (p *play) minion(id string) *minion {
	for _, m := range p.minions {
		if m.id == id {
			return m
		}
	}
	return nil
}

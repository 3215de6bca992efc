package main

import (
	"fmt"
	"sync"
	"time"

	"zinniashore.example/standin"
)

// playGang plays a service of four minions a zone of which, with trouble, one in each zone is emptied and taken away.
// A gang of four tasks, each of which takes most of a minion, must run on the nine minions that are left.
func playGang(p *play) ([]string, error) {
	batches := queue{name: "r-batch", host: "batch.example", prefix: "/batch/", service: "finishing", priority: 2}
	p.gangs = &standin.PlatformGangs{Timeout: 3 * time.Second, Size: p.jobs.gangSize}
	var minions []*minion
	for _, zone := range zones {
		for n := range 4 {
			minions = append(minions, &minion{id: fmt.Sprintf("i-%s-%d", zone, n), zone: zone, rack: "r1-" + zone, service: "finishing", capacity: size{16000, 64000}})
		}
	}
	if err := p.start(configuration(batches), minions); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if p.trouble {
		var leaving sync.WaitGroup
		for n := 0; n < len(minions); n += 4 {
			leaving.Add(1)
			go func() {
				defer leaving.Done()
				minions[n].leave()
			}()
		}
		leaving.Wait()
		time.Sleep(5 * time.Second)
	}
	gang := &job{id: newID(), queue: batches, count: 4, size: size{12000, 4000}, length: time.Second, gang: true}
	single := &job{id: newID(), queue: batches, count: 4, size: size{12000, 4000}, length: time.Second}
	p.submit(gang, zones[0])
	p.submit(single, zones[1])
	p.record.printf("the traffic ends")
	for range 20 {
		time.Sleep(time.Second)
		p.logEvents()
	}
	return p.judgeStill([]*job{gang, single}), nil
}

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// playFormer plays one service of 16 minions a zone with many short tasks. With trouble, minions leave half of all calls
// unanswered and carry them out late, and 7 of them crash every 2.5 s and are back at once under their ids. A minion that is
// back takes calls that were meant for its former life.
func playFormer(p *play) ([]string, error) {
	quotes := queue{name: "r-quote", host: "quote.example", prefix: "/quote/", service: "caneshop", priority: 0}
	var minions []*minion
	for _, zone := range zones {
		for n := range 16 {
			minions = append(minions, &minion{id: fmt.Sprintf("i-%s-%d", zone, n), zone: zone, rack: fmt.Sprintf("r%d-%s", n/8, zone), service: "caneshop", capacity: size{64000, 250000}})
		}
	}
	if err := p.start(configuration(quotes), minions); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	if p.trouble {
		go beLate(&lateCalls, stop)
		go p.restartMinions()
	}
	for n := range 400 {
		j := &job{id: newID(), queue: quotes, count: 8, size: size{4600, 2000}, length: 300 * time.Millisecond}
		go p.submit(j, zones[n%len(zones)])
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	time.Sleep(finishTime)
	p.logEvents()
	return p.judgeTwice(), nil
}

// restartMinions lets 7 of the 48 minions crash every 2.5 s.
func (p *play) restartMinions() {
	for range 14 {
		time.Sleep(2500 * time.Millisecond)
		for _, n := range rand.Perm(len(p.minions))[:7] {
			p.record.printf("minion %s crashes", p.minions[n].id)
			go p.minions[n].crash(200 * time.Millisecond)
		}
	}
}

// taskRun is a run of a task on a minion.
type taskRun struct {
	worker         string
	run            int64
	start, end     time.Time
	outcome        string
	noted          bool
	acknowledgedAt time.Time
}

// judgeTwice returns the tasks that have had two runs at the same time, or a start after a run had ended done, if that end
// was taken note of and the lease of its minion had not lapsed in between.
func (p *play) judgeTwice() []string {
	runs, lapses := p.runs()
	var broken []string
	for task, all := range runs {
		for i, r := range all {
			for _, other := range all[i+1:] {
				switch {
				case !r.end.IsZero() && !other.start.After(r.end) && other.start.Before(r.end.Add(-time.Millisecond)):
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s starts while run %d on %s lasts", task, other.run, other.worker, r.run, r.worker))
				case r.outcome == "done" && r.noted && !lapsedBetween(lapses[r.worker], r.end, r.acknowledgedAt):
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s starts %s after run %d on %s was done, which was taken note of",
						task, other.run, other.worker, other.start.Sub(r.end).Round(time.Millisecond), r.run, r.worker))
				}
			}
		}
	}
	return broken
}

func lapsedBetween(lapses []time.Time, from, to time.Time) bool {
	for _, at := range lapses {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// runs returns the runs of all tasks in the order of their starts, and when the leases of the minions lapsed.
func (p *play) runs() (map[string][]*taskRun, map[string][]time.Time) {
	runs, lapses := map[string][]*taskRun{}, map[string][]time.Time{}
	find := func(task, worker string, number int64) *taskRun {
		for _, r := range runs[task] {
			if r.worker == worker && r.run == number {
				return r
			}
		}
		return nil
	}
	for _, e := range p.ledger.Events() {
		switch e.Kind {
		case "start":
			runs[e.Task] = append(runs[e.Task], &taskRun{worker: e.Worker, run: e.Run, start: e.Time})
		case "lapsed":
			lapses[e.Worker] = append(lapses[e.Worker], e.Time)
		case "end":
			if r := find(e.Task, e.Worker, e.Run); r != nil {
				r.end, r.outcome = e.Time, e.Outcome
			}
		case "acknowledged":
			if r := find(e.Task, e.Worker, e.Run); r != nil {
				r.noted, r.acknowledgedAt = true, e.Time
			}
		}
	}
	return runs, lapses
}

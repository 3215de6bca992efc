// Command standin plays the scripts of the review: it starts stand-ins of the platform, of
// minions and of requesters on loopback addresses, and the processes of the system, and
// checks one rule. Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

var errNotRun = errors.New("the case couldn't run")

func main() {
	program := flag.String("program", "target/zinniashore", "the program of the deploy file")
	out := flag.String("record", "record.txt", "the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	cases := map[string]func(*site, bool) (bool, error){
		"drained":  drainedTwice,
		"labelled": labelledJobLost,
		"foreign":  foreignEntries,
		"frozen":   frozenSubmission,
		"late":     lateSubmission,
	}
	play, found := cases[flag.Arg(0)]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		os.Exit(2)
	}
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{file: file, began: time.Now()}
	s, err := newSite(r, *program, []string{"curepipe", "vacoas", "phoenix"})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := play(s, *trouble)
	s.stop()
	status := 0
	switch {
	case err != nil:
		r.add("result", "%v", err)
		status = 2
	case broken:
		r.add("result", "the rule was broken")
		status = 1
	default:
		r.add("result", "the rule held")
	}
	_ = file.Close()
	os.Exit(status)
}

// begin starts minions and processes, one in each zone, and waits until they are ready.
func begin(s *site, perZone int) error {
	for _, zone := range s.zones {
		for range perZone {
			s.addMinion(zone)
		}
	}
	for _, zone := range s.zones {
		if _, err := s.addProcess(zone); err != nil {
			return err
		}
	}
	if !s.awaitReady(15 * time.Second) {
		return fmt.Errorf("%w: a process isn't ready", errNotRun)
	}
	time.Sleep(5 * time.Second) // the cells take their minions
	return nil
}

// overlaps records the runs of one task that were active at the same time.
func overlaps(s *site) int {
	now, count := time.Now(), 0
	byTask := map[string][]run{}
	for _, r := range s.allRuns() {
		if r.ended.IsZero() {
			r.ended = now
		}
		byTask[r.task] = append(byTask[r.task], r)
	}
	for _, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				began, ended := a.began, a.ended
				if b.began.After(began) {
					began = b.began
				}
				if b.ended.Before(ended) {
					ended = b.ended
				}
				if began.Before(ended) {
					count++
					s.record.add("check", "TWICE: %v and %v at the same time for %v", &a, &b, ended.Sub(began).Round(time.Millisecond))
				}
			}
		}
	}
	return count
}

// drainedTwice drains a minion and cuts it off while tasks run on it.
func drainedTwice(s *site, trouble bool) (bool, error) {
	if err := begin(s, 6); err != nil {
		return false, err
	}
	const job = "00000000000000a1"
	p := s.processes[0]
	if !s.submitSpec(p, job, "ms=12000", map[string]any{"count": 12, "cpu": 4000, "mem-mb": 2000, "estimate-ms": 12000}) {
		return false, fmt.Errorf("%w: the job wasn't accepted", errNotRun)
	}
	time.Sleep(1500 * time.Millisecond)
	var chosen *minion
	for _, m := range s.minions {
		if m.runsOf(job) > 0 {
			chosen = m
			break
		}
	}
	if chosen == nil {
		return false, fmt.Errorf("%w: no task has started", errNotRun)
	}
	if trouble {
		s.record.add("minion", "%s drains", chosen.id)
		chosen.drain()
		time.Sleep(2500*time.Millisecond + time.Duration(rand.IntN(beatMS))*time.Millisecond)
		s.record.add("minion", "%s is cut off for 5.5 s: no beat arrives, and connections to it are refused", chosen.id)
		chosen.mu.Lock()
		chosen.silent = true
		address := chosen.address
		chosen.mu.Unlock()
		chosen.refuse()
		time.Sleep(5500 * time.Millisecond)
		s.record.add("minion", "%s is reachable again", chosen.id)
		chosen.listen(address)
		chosen.mu.Lock()
		chosen.silent = false
		chosen.mu.Unlock()
	} else {
		time.Sleep(9 * time.Second)
	}
	end := time.Now().Add(40 * time.Second)
	for time.Now().Before(end) && s.state(p, job) != "completed" {
		time.Sleep(time.Second)
	}
	return overlaps(s) > 0, nil
}

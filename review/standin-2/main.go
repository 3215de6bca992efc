// Command standin2 is the stand-ins and the scripts of the second review: a store, minions and requesters, by
// the users' pages, around processes of the project's own program.
//
//	standin2 CASE BINARY RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 in its
// environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Outcomes of a case.
const (
	held    = 0
	broken  = 1
	unclear = 2
)

// script is a case: it plays and returns the outcome.
type script struct {
	nodes, minions int
	play           func(d *deployment, trouble bool) int
}

var scripts = map[string]script{
	"pending-zone": {nodes: 2, minions: 4, play: pendingZone},
	"pending-load": {nodes: 2, minions: 4, play: pendingLoad},
	"crashes":      {nodes: 2, minions: 8, play: crashes},
	"part":         {nodes: 2, minions: 4, play: part},
	"half":         {nodes: 3, minions: 16, play: half},
	"zone":         {nodes: 2, minions: 4, play: zone},
	"rack":         {nodes: 3, minions: 16, play: rack},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE BINARY RECORD")
		os.Exit(unclear)
	}
	s, found := scripts[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(unclear)
	}
	os.Exit(runScript(s, os.Args[2], os.Args[3]))
}

func runScript(s script, binary, recordFile string) int {
	file, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unclear
	}
	defer file.Close()
	log := &record{file: file, began: time.Now()}
	outcome := unclear
	// The system places jobs partly at random: a play whose layout isn't the one that the case needs is made anew.
	for outcome == unclear && time.Since(log.began) < latestPlay {
		outcome = playOnce(s, binary, log)
		log.add("outcome %d", outcome)
	}
	fmt.Println([]string{"the rule held", "the rule was broken", "the case couldn't run"}[outcome])
	return outcome
}

// latestPlay is how late a play may begin.
const latestPlay = 40 * time.Second

func playOnce(s script, binary string, log *record) int {
	d, err := newDeployment(binary, log, s.nodes, s.minions)
	if err != nil {
		log.add("%v", err)
		return unclear
	}
	defer d.close()
	if !d.awaitReady() {
		log.add("the machines don't become ready")
		return unclear
	}
	return s.play(d, os.Getenv("TROUBLE") != "0")
}

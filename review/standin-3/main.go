// Command standin-3 plays the cases of the third review. It starts the processes of a small deployment by
// the commands of the deploy file, on loopback addresses, with stand-ins of the users' platform, of minions
// and of requesters, and judges one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays a case. It returns the rules that were broken, as far as the stand-ins can see.
type scenario func(p *play) ([]string, error)

var scenarios = map[string]scenario{
	"services": playServices,
	"gang":     playGang,
	"flap":     playFlap,
	"former":   playFormer,
	"lasting":  playLasting,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 SCENARIO FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	chosen, found := scenarios[name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)
		return exitFailed
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	p := &play{record: record, trouble: os.Getenv("TROUBLE") != "0"}
	record.printf("case %s, trouble: %t", name, p.trouble)
	defer p.end()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(maxPlay):
		}
		record.printf("the case is ended before its time")
		p.end()
		os.Exit(exitFailed)
	}()
	broken, err := chosen(p)
	if err != nil {
		record.printf("the case couldn't run: %v", err)
		return exitFailed
	}
	for _, problem := range broken {
		record.printf("BROKEN %s", problem)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.printf("the rule held")
	return exitHeld
}

// maxPlay is the longest time that a case may take.
const maxPlay = 110 * time.Second

package main

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/jonboulle/clockwork"

	"zinniashore.example"
	"zinniashore.example/loader"
	"zinniashore.example/operator"
)

const (
	// garbagePercent trades processor time for memory: the live heap of an
	// entry VM is small beside what its calls leave behind.
	garbagePercent = 100
	// memoryLimit is where the collector works harder, in bytes.
	memoryLimit = 28 << 20
)

// serveCommand runs the process of an entry VM.
type serveCommand struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments"`
}

func (c *serveCommand) Run(ctx context.Context, out io.Writer) (operator.ExitStatus, error) {
	settings, err := loader.Load(c.Settings)
	if err != nil {
		return operator.ExitUsage, err
	}
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(memoryLimit)
	server := &zinniashore.Server{Settings: settings, Clock: clockwork.NewRealClock()}
	if err := server.Listen(); err != nil {
		return operator.ExitFailed, err
	}
	bound := server.Addresses()
	fmt.Fprintf(out, "callers %s administration %s peers %s\n", bound.Callers, bound.Administration, bound.Peers)
	if err := server.Run(ctx); err != nil {
		return operator.ExitFailed, err
	}
	return operator.ExitDone, nil
}

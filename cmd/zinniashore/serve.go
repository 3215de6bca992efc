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
	// gcPercent trades processor time for memory: the live heap of an entry VM is small
	// compared to the garbage of its calls.
	gcPercent = 100
	// memoryLimit is the memory, in bytes, above which the garbage collector runs more
	// often.
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
	debug.SetGCPercent(gcPercent)
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

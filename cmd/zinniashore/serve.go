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
	garbagePercent = 40
	// memoryLimit is where the collector works harder, in bytes.
	memoryLimit = 24 << 20
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

// checkCommand checks settings and templates.
type checkCommand struct {
	Settings  string   `arg:"--settings" help:"settings file, JSON with comments"`
	Templates []string `arg:"positional" placeholder:"TEMPLATE" help:"template files"`
}

func (c *checkCommand) Run(_ context.Context, out io.Writer) (operator.ExitStatus, error) {
	if c.Settings == "" && len(c.Templates) == 0 {
		return operator.ExitUsage, &operator.UsageError{Problem: "check needs --settings or a template"}
	}
	if c.Settings != "" {
		settings, err := loader.Load(c.Settings)
		if err != nil {
			return operator.ExitFailed, err
		}
		fmt.Fprintf(out, "%s: settings of %s are well formed\n", c.Settings, settings.Process)
	}
	return operator.ExitDone, nil
}

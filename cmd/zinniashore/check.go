package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"zinniashore.example/configurer"
	"zinniashore.example/decoder"
	"zinniashore.example/loader"
	"zinniashore.example/operator"
)

// checkCommand validates settings, templates and parameter values, or a configuration of
// the platform, without starting anything.
type checkCommand struct {
	Settings string   `arg:"--settings" help:"settings file, JSON with comments"`
	Files    []string `arg:"positional" placeholder:"FILE" help:"files with one template or the parameter values of one organisation each"`

	Configuration    string `arg:"--configuration" help:"configuration of the platform (op/config), JSON; checked in place of settings" placeholder:"FILE"`
	InForce          string `arg:"--in-force" help:"with --configuration: the configuration in force, to show the differences" placeholder:"FILE"`
	PlatformSettings string `arg:"--platform-settings" help:"with --configuration: settings file of the platform, to compare the limits with the VM" placeholder:"FILE"`
	JSON             bool   `arg:"--json" help:"with --configuration: print JSON"`
}

// Run validates the files and prints each fault.
func (c *checkCommand) Run(_ context.Context, out io.Writer) (operator.ExitStatus, error) {
	ofConfiguration := c.InForce != "" || c.PlatformSettings != "" || c.JSON
	switch {
	case (c.Settings == "") == (c.Configuration == ""):
		return operator.ExitUsage, &operator.UsageError{Problem: "one of --settings and --configuration is needed"}
	case c.Configuration != "" && len(c.Files) > 0:
		return operator.ExitUsage, &operator.UsageError{Problem: "--configuration takes no templates or parameter values"}
	case c.Configuration != "":
		return c.checkConfiguration(out)
	case ofConfiguration:
		return operator.ExitUsage, &operator.UsageError{Problem: "--in-force, --platform-settings and --json need --configuration"}
	}
	return c.checkSettings(out)
}

func (c *checkCommand) checkSettings(out io.Writer) (operator.ExitStatus, error) {
	settings, err := loader.Load(c.Settings)
	if err != nil {
		return operator.ExitFailed, err
	}
	templates, organisations, err := readFiles(c.Files)
	if err != nil {
		return operator.ExitFailed, err
	}
	configuration, faults := configurer.Expand(templates, organisations, settings.FailureDomains)
	for _, fault := range faults {
		fmt.Fprintln(out, fault)
	}
	if len(faults) > 0 {
		return operator.ExitFailed, nil
	}
	fmt.Fprintf(out, "settings of %s are well formed, with %d services and %d kinds of batch jobs\n",
		settings.Process, len(configuration.Services), len(configuration.Batches))
	return operator.ExitDone, nil
}

// readFiles reads templates and the parameter values of organisations.
func readFiles(names []string) (templates, organisations []configurer.File, err error) {
	for _, name := range names {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, nil, err
		}
		document, err := decoder.Parse(name, content)
		if err != nil {
			return nil, nil, err
		}
		file := configurer.File{Name: name, Content: content}
		if document.Has("template") {
			templates = append(templates, file)
			continue
		}
		organisations = append(organisations, file)
	}
	return templates, organisations, nil
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"zinniashore.example/checker"
	"zinniashore.example/operator"
)

// findingMessage is one result of a check.
type findingMessage struct {
	Severity string `json:"severity"`
	Kind     string `json:"kind"`
	File     string `json:"file"`
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Field    string `json:"field,omitempty"`
	Message  string `json:"message"`
}

// findingsMessage is the result of a check in JSON.
type findingsMessage struct {
	Errors      int              `json:"errors"`
	Warnings    int              `json:"warnings"`
	Differences int              `json:"differences"`
	Findings    []findingMessage `json:"findings"`
}

// checkConfiguration checks a configuration of the platform. The exit status is ExitFailed
// if there are errors, and ExitUsage if a file cannot be read.
func (c *checkCommand) checkConfiguration(out io.Writer) (operator.ExitStatus, error) {
	configuration, err := readDocument(c.Configuration)
	if err != nil {
		return operator.ExitUsage, err
	}
	inForce, err := readOptional(c.InForce)
	if err != nil {
		return operator.ExitUsage, err
	}
	settings, err := readOptional(c.PlatformSettings)
	if err != nil {
		return operator.ExitUsage, err
	}
	findings, err := checker.Checker{Configuration: configuration, InForce: inForce, Settings: settings}.Check()
	if err != nil {
		return operator.ExitUsage, err
	}
	if err := c.printFindings(out, findings); err != nil {
		return operator.ExitFailed, err
	}
	if checker.Count(findings, checker.SeverityError) > 0 {
		return operator.ExitFailed, nil
	}
	return operator.ExitDone, nil
}

func readDocument(name string) (checker.Document, error) {
	content, err := os.ReadFile(name)
	return checker.Document{Name: name, Content: content}, err
}

// readOptional reads a file, or returns nil if name is empty.
func readOptional(name string) (*checker.Document, error) {
	if name == "" {
		return nil, nil
	}
	document, err := readDocument(name)
	return &document, err
}

func (c *checkCommand) printFindings(out io.Writer, findings []checker.Finding) error {
	m := findingsMessage{
		Errors:      checker.Count(findings, checker.SeverityError),
		Warnings:    checker.Count(findings, checker.SeverityWarning),
		Differences: checker.Count(findings, checker.SeverityDifference),
		Findings:    []findingMessage{},
	}
	if c.JSON {
		for _, f := range findings {
			m.Findings = append(m.Findings, findingMessage{
				Severity: string(f.Severity), Kind: string(f.Kind), File: f.Place.File, Line: f.Place.Line,
				Column: f.Place.Column, Field: f.Place.Field, Message: f.Message,
			})
		}
		encoder := json.NewEncoder(out)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return encoder.Encode(m)
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%s: %d errors, %d warnings, %d differences\n", c.Configuration, m.Errors, m.Warnings, m.Differences)
	return err
}

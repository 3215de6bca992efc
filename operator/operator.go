// Package operator implements the operators' commands of the command line. The commands
// use the administration API only.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"zinniashore.example/administrator"
	"zinniashore.example/configurer"
)

// ExitStatus is the exit status of a command.
type ExitStatus int

// Exit statuses.
const (
	// ExitDone means that the command did what was requested.
	ExitDone ExitStatus = 0
	// ExitFailed means that the command failed or was rejected.
	ExitFailed ExitStatus = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage ExitStatus = 2
	// ExitConflict means that the command was refused because it conflicts with the
	// current state, for example with a change made since the revision that was read.
	ExitConflict ExitStatus = 3
	// ExitPending means that the change is durable, but not yet in force in every
	// failure domain.
	ExitPending ExitStatus = 4
)

const (
	// maxRounds is the maximum number of calls to each server.
	maxRounds  = 3
	retryPause = 500 * time.Millisecond
)

// Connection holds the flags with which a command connects to the administration API,
// and the output format.
type Connection struct {
	Server    []string `arg:"--server,separate,required" help:"IP address and port of an entry VM's administration; repeat it to name others to fall back on" placeholder:"IP:PORT"`
	Token     string   `arg:"--token,env:ZINNIASHORE_TOKEN" help:"token of the operator or organisation"`
	TokenFile string   `arg:"--token-file" help:"file that holds the token" placeholder:"FILE"`
	JSON      bool     `arg:"--json" help:"print JSON"`
}

// UsageError reports an invalid command line.
type UsageError struct {
	// Problem describes the fault of the command line.
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string { return "usage: " + e.Problem }

// clients returns one client for each server.
func (c *Connection) clients() ([]*administrator.Client, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	if len(c.Server) == 0 {
		return nil, &UsageError{Problem: "--server is missing"}
	}
	var clients []*administrator.Client
	for _, server := range c.Server {
		clients = append(clients, administrator.NewClient(server, token))
	}
	return clients, nil
}

func (c *Connection) token() (administrator.Secret, error) {
	if c.TokenFile == "" {
		if c.Token == "" {
			return "", &UsageError{Problem: "--token or --token-file is missing"}
		}
		return administrator.Secret(c.Token), nil
	}
	if c.Token != "" {
		return "", &UsageError{Problem: "--token and --token-file exclude each other"}
	}
	content, err := os.ReadFile(c.TokenFile)
	if err != nil {
		return "", &UsageError{Problem: err.Error()}
	}
	return administrator.Secret(strings.TrimSpace(string(content))), nil
}

// call sends a call to one server after another until one answers, in up to maxRounds
// rounds. Every call can be repeated safely: a change is identified by its id and a job
// by its name.
func call[M any](ctx context.Context, c *Connection, send func(client *administrator.Client) (M, error)) (M, error) {
	var none M
	clients, err := c.clients()
	if err != nil {
		return none, err
	}
	var lastErr error
	for range maxRounds {
		for _, client := range clients {
			message, err := send(client)
			if !retryable(err) {
				return message, err
			}
			lastErr = err
		}
		if err := sleep(ctx); err != nil {
			return none, errors.Join(lastErr, err)
		}
	}
	return none, lastErr
}

// retryable reports whether err is a failure after which the call is sent again: the
// store was unavailable or the outcome is unknown.
func retryable(err error) bool {
	var refused *administrator.CallError
	if !errors.As(err, &refused) {
		return false
	}
	return refused.Code == administrator.CodeUnclear || refused.Code == administrator.CodeUnavailable
}

// sleep waits for retryPause. It returns an error if ctx ends first.
func sleep(ctx context.Context) error {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// exitStatus returns the exit status for err, and err itself.
func exitStatus(err error) (ExitStatus, error) {
	var usage *UsageError
	var refused *administrator.CallError
	switch {
	case err == nil:
		return ExitDone, nil
	case errors.As(err, &usage):
		return ExitUsage, err
	case errors.As(err, &refused) && refused.Code == administrator.CodeConflict:
		return ExitConflict, err
	}
	return ExitFailed, err
}

// changeExitStatuses are the exit statuses for the states of a change.
var changeExitStatuses = map[configurer.State]ExitStatus{
	configurer.StateAccepted: ExitDone,
	configurer.StateValid:    ExitDone,
	configurer.StatePending:  ExitPending,
	configurer.StateConflict: ExitConflict,
	configurer.StateRejected: ExitFailed,
}

// printMessage prints a message as JSON if asJSON is set, and otherwise as text with
// print.
func printMessage[M any](out io.Writer, asJSON bool, message M, print func(out io.Writer, message M)) (ExitStatus, error) {
	if !asJSON {
		print(out, message)
		return ExitDone, nil
	}
	return printJSON(out, message)
}

func printJSON(out io.Writer, message any) (ExitStatus, error) {
	text, err := json.MarshalIndent(message, "", "  ")
	if err != nil {
		return ExitFailed, err
	}
	if _, err := fmt.Fprintln(out, string(text)); err != nil {
		return ExitFailed, err
	}
	return ExitDone, nil
}

// Package operator holds the commands of operators. They use the administration
// API only.
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
	// ExitDone is done as asked.
	ExitDone ExitStatus = 0
	// ExitFailed is failed, or rejected.
	ExitFailed ExitStatus = 1
	// ExitUsage is wrong use.
	ExitUsage ExitStatus = 2
	// ExitConflict is refused because something changed in between.
	ExitConflict ExitStatus = 3
	// ExitPending is durable, but not yet in force in every failure domain.
	ExitPending ExitStatus = 4
)

const (
	// rounds is how often each server is tried.
	rounds     = 3
	retryPause = 500 * time.Millisecond
)

// Connection tells how a command reaches the administration API.
type Connection struct {
	Server    []string `arg:"--server,separate,required" help:"IP address and port of an entry VM's administration; repeat it to name others to fall back on" placeholder:"IP:PORT"`
	Token     string   `arg:"--token,env:ZINNIASHORE_TOKEN" help:"token of the operator or organisation"`
	TokenFile string   `arg:"--token-file" help:"file that holds the token" placeholder:"FILE"`
	JSON      bool     `arg:"--json" help:"print JSON"`
}

// UsageError reports wrong use of a command.
type UsageError struct {
	// Problem tells what is wrong.
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

// call makes a call through one server after the other until one answers. Every
// call may be repeated alike: changes carry their id, jobs their name.
func call[M any](ctx context.Context, c *Connection, do func(client *administrator.Client) (M, error)) (M, error) {
	var none M
	clients, err := c.clients()
	if err != nil {
		return none, err
	}
	var last error
	for range rounds {
		for _, client := range clients {
			message, err := do(client)
			if !repeatable(err) {
				return message, err
			}
			last = err
		}
		if err := pause(ctx); err != nil {
			return none, errors.Join(last, err)
		}
	}
	return none, last
}

func repeatable(err error) bool {
	var refused *administrator.CallError
	if !errors.As(err, &refused) {
		return false
	}
	return refused.Code == administrator.CodeUnclear || refused.Code == administrator.CodeUnavailable
}

func pause(ctx context.Context) error {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// exit returns the exit status for an error of a call.
func exit(err error) (ExitStatus, error) {
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

// changeExits are the exit statuses of what became of a change.
var changeExits = map[configurer.State]ExitStatus{
	configurer.StateAccepted: ExitDone,
	configurer.StateValid:    ExitDone,
	configurer.StatePending:  ExitPending,
	configurer.StateConflict: ExitConflict,
	configurer.StateRejected: ExitFailed,
}

// show prints a message in JSON, or by print in text.
func show[M any](out io.Writer, asJSON bool, message M, print func(out io.Writer, message M)) (ExitStatus, error) {
	if !asJSON {
		print(out, message)
		return ExitDone, nil
	}
	return showJSON(out, message)
}

func showJSON(out io.Writer, message any) (ExitStatus, error) {
	text, err := json.MarshalIndent(message, "", "  ")
	if err != nil {
		return ExitFailed, err
	}
	if _, err := fmt.Fprintln(out, string(text)); err != nil {
		return ExitFailed, err
	}
	return ExitDone, nil
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/generator"
	"zinniashore.example/operator"
)

// loadCommand sends a bounded open-loop load to entry VMs.
type loadCommand struct {
	Targets      string        `arg:"--targets,required" help:"callers' addresses of entry VMs on loopback, separated by commas"`
	Organisation string        `arg:"--organisation,required" help:"organisation of the service"`
	Service      string        `arg:"--service,required" help:"service to call"`
	Token        string        `arg:"--token" help:"token of the organisation"`
	Rate         float64       `arg:"--rate" default:"100" help:"requests a second"`
	Duration     time.Duration `arg:"--duration" default:"5s" help:"how long requests are sent"`
	Orders       float64       `arg:"--orders" default:"0.2" help:"share of non-idempotent requests"`
	Deadline     time.Duration `arg:"--deadline" default:"2s" help:"how long a caller waits"`
	Attempts     int           `arg:"--attempts" default:"2" help:"how often a caller sends a request that did not run or was lost"`
	Outstanding  int           `arg:"--outstanding" default:"1000" help:"bound of the requests in flight"`
	JSON         bool          `arg:"--json" help:"print the report as JSON, with the outcome of each order"`
}

const (
	maxRate     = 20000
	maxDuration = 10 * time.Minute
)

func (c *loadCommand) Run(ctx context.Context, out io.Writer) (operator.ExitStatus, error) {
	if c.Rate <= 0 || c.Rate > maxRate {
		return operator.ExitUsage, &operator.UsageError{Problem: fmt.Sprintf("--rate: %v is not above 0 and at most %d", c.Rate, maxRate)}
	}
	if c.Duration <= 0 || c.Duration > maxDuration {
		return operator.ExitUsage, &operator.UsageError{Problem: fmt.Sprintf("--duration: %v is not above 0 and at most %v", c.Duration, maxDuration)}
	}
	load := &generator.Generator{
		Clock:        clockwork.NewRealClock(),
		Targets:      strings.Split(c.Targets, ","),
		Organisation: c.Organisation,
		Service:      c.Service,
		Token:        c.Token,
		Rate:         c.Rate,
		Duration:     c.Duration,
		Orders:       c.Orders,
		Deadline:     c.Deadline,
		Attempts:     c.Attempts,
		Outstanding:  c.Outstanding,
	}
	report, err := load.Run(ctx)
	if err != nil {
		return operator.ExitUsage, err
	}
	return operator.ExitDone, writeLoad(out, report, c.JSON)
}

// loadMessage is the JSON form of the report of a load.
type loadMessage struct {
	Requests      int            `json:"requests"`
	Skipped       int            `json:"skipped"`
	OK            int            `json:"ok"`
	NotRun        int            `json:"not_run"`
	Unknown       int            `json:"unknown"`
	EndpointError int            `json:"endpoint_error"`
	Lost          int            `json:"lost"`
	P50           string         `json:"p50"`
	P99           string         `json:"p99"`
	P999          string         `json:"p999"`
	Orders        []orderMessage `json:"orders,omitempty"`
}

// orderMessage is the JSON form of one non-idempotent request of a load.
type orderMessage struct {
	Keys     []string `json:"keys"`
	Attempts int      `json:"attempts"`
	Outcome  string   `json:"outcome"`
}

func newLoadMessage(report generator.Report) loadMessage {
	message := loadMessage{
		Requests:      len(report.Exchanges),
		Skipped:       report.Skipped,
		OK:            report.Count(generator.OutcomeOK),
		NotRun:        report.Count(generator.OutcomeNotRun),
		Unknown:       report.Count(generator.OutcomeUnknown),
		EndpointError: report.Count(generator.OutcomeEndpointError),
		Lost:          report.Count(generator.OutcomeLost),
		P50:           report.Quantile(0.50).String(),
		P99:           report.Quantile(0.99).String(),
		P999:          report.Quantile(0.999).String(),
	}
	for _, exchange := range report.Exchanges {
		if len(exchange.Keys) > 0 {
			order := orderMessage{Keys: exchange.Keys, Attempts: exchange.Attempts, Outcome: string(exchange.Outcome)}
			message.Orders = append(message.Orders, order)
		}
	}
	return message
}

func writeLoad(out io.Writer, report generator.Report, asJSON bool) error {
	message := newLoadMessage(report)
	if asJSON {
		return json.NewEncoder(out).Encode(message)
	}
	_, err := fmt.Fprintf(out, "requests %d skipped %d ok %d not_run %d unknown %d endpoint_error %d lost %d p50 %s p99 %s p99.9 %s\n",
		message.Requests, message.Skipped, message.OK, message.NotRun, message.Unknown,
		message.EndpointError, message.Lost, message.P50, message.P99, message.P999)
	return err
}

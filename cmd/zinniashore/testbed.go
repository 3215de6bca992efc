package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example"
	"zinniashore.example/administrator"
	"zinniashore.example/generator"
	"zinniashore.example/keeper"
	"zinniashore.example/loader"
	"zinniashore.example/publisher"
	"zinniashore.example/recorder"
	"zinniashore.example/standin"
)

const (
	loopback         = "127.0.0.1:0"
	trialToken       = "operator-token-of-the-trial"
	callerToken      = "stockwerk-token-of-the-trial"
	trialEndpoints   = 4
	trialSlots       = 8
	workersPerDomain = 3
)

// trialServer is an entry VM of a trial.
type trialServer struct {
	server *zinniashore.Server
	cancel context.CancelFunc
	ended  chan error
}

// testbed is a set of platform stand-ins with entry VMs in two failure domains.
type testbed struct {
	store   string
	list    *standin.List
	workers []*standin.Worker
	ledger  *standin.Ledger
	servers []*trialServer
}

func startTestbed(ctx context.Context) (*testbed, error) {
	bed := &testbed{ledger: &standin.Ledger{}}
	store, err := standin.Listen(ctx, loopback, &standin.Store{})
	if err != nil {
		return nil, err
	}
	bed.store = store
	list := &standin.List{}
	bed.list = list
	listAddress, err := standin.Listen(ctx, loopback, list)
	if err != nil {
		return nil, err
	}
	failureDomains := []string{"graz-a", "graz-b"}
	for i := range workersPerDomain * len(failureDomains) {
		if err := bed.startWorker(ctx, list, i, failureDomains[i%len(failureDomains)]); err != nil {
			return nil, err
		}
	}
	for i, failureDomain := range []string{"graz-a", "graz-b", "graz-a"} {
		settings := trialSettings(fmt.Sprintf("%s-%d", failureDomain, i), failureDomain, failureDomains, store, listAddress)
		if err := bed.startServer(ctx, settings); err != nil {
			return nil, err
		}
	}
	return bed, nil
}

func (b *testbed) startWorker(ctx context.Context, list *standin.List, i int, failureDomain string) error {
	command := workerCommand{
		ID:            fmt.Sprintf("worker-%d", i),
		FailureDomain: failureDomain,
		Rack:          fmt.Sprintf("rack-%d", i),
		Processors:    8,
		Memory:        32,
	}
	worker := command.worker()
	worker.Ledger = b.ledger
	address, err := worker.Start(ctx, loopback)
	if err != nil {
		return err
	}
	list.Put(workerVM(worker, address))
	b.workers = append(b.workers, worker)
	return nil
}

func trialSettings(process, failureDomain string, failureDomains []string, store, list string) loader.Settings {
	settings := loader.Default()
	settings.Process = process
	settings.FailureDomain = failureDomain
	settings.FailureDomains = failureDomains
	settings.Addresses = loader.Addresses{Callers: loopback, Administration: loopback, Peers: loopback}
	settings.Store.Address = store
	settings.Store.Lease = 3 * time.Second
	settings.Store.Renewal = 500 * time.Millisecond
	settings.Store.DriftMargin = 100 * time.Millisecond
	settings.Platform.Address = list
	settings.Platform.Period = 200 * time.Millisecond
	settings.Seats = loader.Seats{Count: 2, Promise: 2 * time.Second, Heartbeat: 100 * time.Millisecond}
	settings.Requests.MaxDuration = 2 * time.Second
	settings.Tasks.Period = 250 * time.Millisecond
	settings.Tasks.Renewal = 250 * time.Millisecond
	settings.Cells = loader.DefaultCells(failureDomains)
	settings.Tokens = []loader.Token{
		{Role: loader.TokenOperator, Secret: trialToken},
		{Role: loader.TokenOrganisation, Organisation: trialOrganisation, Secret: callerToken},
	}
	return settings
}

func (b *testbed) startServer(ctx context.Context, settings loader.Settings) error {
	server := &zinniashore.Server{Settings: settings, Clock: clockwork.NewRealClock()}
	if err := server.Listen(); err != nil {
		return err
	}
	b.list.Put(standin.VM{
		ID:            settings.Process,
		Role:          "entry",
		Address:       server.Addresses().Peers,
		FailureDomain: settings.FailureDomain,
		State:         standin.VMLive,
	})
	ctx, cancel := context.WithCancel(ctx)
	started := &trialServer{server: server, cancel: cancel, ended: make(chan error, 1)}
	go func() { started.ended <- server.Run(ctx) }()
	b.servers = append(b.servers, started)
	return nil
}

// stopServer stops an entry VM gracefully.
func (b *testbed) stopServer(i int) error {
	server := b.servers[i]
	b.servers = append(b.servers[:i:i], b.servers[i+1:]...)
	server.cancel()
	return <-server.ended
}

func (b *testbed) stop() {
	for len(b.servers) > 0 {
		_ = b.stopServer(0)
	}
}

func (b *testbed) client(i int) *administrator.Client {
	return administrator.NewClient(b.servers[i].server.Addresses().Administration, trialToken)
}

func (b *testbed) targets() []string {
	var targets []string
	for _, s := range b.servers {
		targets = append(targets, s.server.Addresses().Callers)
	}
	return targets
}

// await polls until done returns true, for at most trialStepLimit.
func await(ctx context.Context, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, trialStepLimit)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("trial: waiting for %s: %w", what, ctx.Err())
		case <-time.After(trialPoll):
		}
	}
	return nil
}

func (b *testbed) awaitReady(ctx context.Context) error {
	return await(ctx, "the entry VMs to be ready", func() bool {
		for _, s := range b.servers {
			if !s.server.Ready() {
				return false
			}
		}
		return true
	})
}

func (b *testbed) awaitEndpoints(ctx context.Context) error {
	return await(ctx, "the endpoints", func() bool {
		endpoints, err := b.endpoints(ctx)
		return err == nil && len(endpoints) == trialEndpoints
	})
}

// endpoints returns the endpoints that the store lists.
func (b *testbed) endpoints(ctx context.Context) ([]publisher.Endpoint, error) {
	listing, err := keeper.NewClient(b.store).List(ctx, publisher.Prefix)
	if err != nil {
		return nil, err
	}
	var endpoints []publisher.Endpoint
	for _, entry := range listing.Entries {
		listed, err := publisher.DecodeEntry(entry)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, listed...)
	}
	return endpoints, nil
}

// verify compares the outcomes reported to callers and operators with the counts of the
// stand-ins, and adds each difference to the problems of the summary.
func (b *testbed) verify(ctx context.Context, report generator.Report, summary *trialMessage) error {
	endpoints, err := b.endpoints(ctx)
	if err != nil {
		return err
	}
	summary.Endpoints = len(endpoints)
	runs := map[string]int{}
	for _, worker := range b.workers {
		counts := worker.Counts()
		for key, count := range counts.Runs {
			runs[key] += count
		}
		summary.MaxInFlight = max(summary.MaxInFlight, counts.MaxInFlight)
	}
	summary.Problems = append(summary.Problems, checkExchanges(report, runs)...)
	if summary.MaxInFlight > trialSlots {
		summary.Problems = append(summary.Problems, fmt.Sprintf("an endpoint had %d requests in flight", summary.MaxInFlight))
	}
	summary.OrdersRun = len(runs)
	b.verifyTasks(summary)
	line, err := b.client(0).TimeLine(ctx, recorder.Filter{})
	if err != nil {
		return err
	}
	summary.TimelineEvents = len(line.Events)
	summary.TimelineMissing = line.Unreached
	return nil
}

func (b *testbed) verifyTasks(summary *trialMessage) {
	summary.JobTasks = trialTasks
	done := map[string]int{}
	for _, run := range b.ledger.Runs() {
		if strings.Contains(run.Task, "/"+trialJob+"/") {
			summary.JobRuns++
			if run.State == standin.RunDone {
				done[run.Task]++
			}
		}
	}
	if len(done) != trialTasks || summary.Job != "done" {
		summary.Problems = append(summary.Problems, fmt.Sprintf("job is %s with %d of %d tasks done", summary.Job, len(done), trialTasks))
	}
	for task, count := range done {
		if count > 1 {
			summary.Problems = append(summary.Problems, fmt.Sprintf("task %s was done %d times", task, count))
		}
	}
	summary.Problems = append(summary.Problems, b.ledger.Problems()...)
}

// checkExchanges compares the outcomes reported to callers with the number of times that
// endpoints ran each order.
func checkExchanges(report generator.Report, runs map[string]int) []string {
	var problems []string
	for _, exchange := range report.Exchanges {
		if len(exchange.Keys) == 0 {
			continue
		}
		count := 0
		for _, key := range exchange.Keys {
			count += runs[key]
		}
		switch {
		case count > 1:
			problems = append(problems, fmt.Sprintf("order %v ran %d times", exchange.Keys, count))
		case exchange.Outcome == generator.OutcomeNotRun && count > 0:
			problems = append(problems, fmt.Sprintf("order %v ran but was reported as not_run", exchange.Keys))
		case exchange.Outcome == generator.OutcomeOK && count != 1:
			problems = append(problems, fmt.Sprintf("order %v was reported as ok but ran %d times", exchange.Keys, count))
		}
	}
	if ok := report.Count(generator.OutcomeOK); ok == 0 {
		problems = append(problems, "no request was answered")
	}
	if lost := report.Count(generator.OutcomeLost); lost > 0 {
		problems = append(problems, fmt.Sprintf("%d requests have no outcome", lost))
	}
	return problems
}

// Package surveyor measures how long a configuration change takes and how many store
// calls it causes, on loopback with a stand-in store.
package surveyor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"zinniashore.example/configurer"
	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
	"zinniashore.example/standin"
)

const (
	readyPollInterval = 10 * time.Millisecond
	maxLatency        = time.Minute
	significantDigits = 3
	retryTimeout      = 30 * time.Second
)

// Options are the parameters of a survey.
type Options struct {
	// Changes is the number of changes.
	Changes int
	// Operators is the number of operators that make changes concurrently.
	Operators int
	// Organisations is the number of organisations that the operators change.
	Organisations int
	// FailureDomains is the number of failure domains.
	FailureDomains int
	// VMs is the number of entry VMs in each failure domain.
	VMs int
	// Delay is the delay added to each answer of the store.
	Delay time.Duration
	// LoseEvery makes the store lose the answer to every swap whose ordinal is a
	// multiple of it.
	LoseEvery int
	// Polling is the period of polling that replaces the watch. If it is zero, the
	// processes watch.
	Polling time.Duration
	// Seed makes the random choices of the operators repeatable.
	Seed uint64
}

// DefaultOptions are the options of a deployment of today's size with a faulty store.
var DefaultOptions = Options{
	Changes: 200, Operators: 10, Organisations: 6, FailureDomains: 3, VMs: 3,
	Delay: 5 * time.Millisecond, LoseEvery: 50, Seed: 1,
}

// Report is the result of a survey.
type Report struct {
	// Accepted is the number of changes that were accepted within the wait.
	Accepted int
	// Pending is the number of changes that were not accepted within the wait.
	Pending int
	// Conflicts is the number of attempts that were rejected as conflicts.
	Conflicts int
	// AcceptedP50 is the median time from the call to its answer.
	AcceptedP50 time.Duration
	// AcceptedP99 is the 99th percentile of that time.
	AcceptedP99 time.Duration
	// AcceptedMax is the longest such time.
	AcceptedMax time.Duration
	// InForceP50 is the median time from the call until the configuration is in force in
	// the last process.
	InForceP50 time.Duration
	// InForceP99 is the 99th percentile of that time.
	InForceP99 time.Duration
	// Calls is the number of store calls for each change, by operation.
	Calls map[string]float64
	// AllCalls is the sum of Calls.
	AllCalls float64
}

// survey is the state of one survey.
type survey struct {
	options   Options
	store     *standin.Store
	address   string
	processes []*configurer.Configurer

	mu        sync.Mutex
	inForce   map[int64]time.Time
	reached   map[int64]int
	called    map[int64]time.Time
	accepted  *hdrhistogram.Histogram
	report    Report
	remaining atomic.Int64
}

// Configuration lets concurrent operators make changes through all entry VMs and
// measures the changes.
func Configuration(ctx context.Context, options Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &survey{
		options: options, store: &standin.Store{},
		inForce: map[int64]time.Time{}, reached: map[int64]int{}, called: map[int64]time.Time{},
		accepted: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}
	var err error
	if s.address, err = standin.Listen(ctx, "127.0.0.1:0", s.store); err != nil {
		return Report{}, err
	}
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	s.store.SetFaults(standin.StoreFaults{DelayMilliseconds: options.Delay.Milliseconds(), LoseEvery: options.LoseEvery})
	before := s.store.Counts()
	if err := s.runOperators(ctx); err != nil {
		return Report{}, err
	}
	return s.buildReport(before), nil
}

func (s *survey) start(ctx context.Context) error {
	var failureDomains []string
	for d := range s.options.FailureDomains {
		failureDomains = append(failureDomains, fmt.Sprintf("domain-%d", d))
	}
	for _, failureDomain := range failureDomains {
		for vm := range s.options.VMs {
			s.startProcess(ctx, fmt.Sprintf("%s-vm-%d", failureDomain, vm), failureDomain, failureDomains)
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	result, err := s.processes[0].Apply(ctx, s.initialChange())
	if err == nil && result.State != configurer.StateAccepted {
		err = fmt.Errorf("survey: the first change is %s", result.State)
	}
	return err
}

func (s *survey) startProcess(ctx context.Context, vm, failureDomain string, failureDomains []string) {
	clock := clockwork.NewRealClock()
	var store keeper.Store = keeper.NewClient(s.address)
	if s.options.Polling > 0 {
		store = &pollingStore{Store: store, period: s.options.Polling}
	}
	mirror := &keeper.Mirror{Store: store, Clock: clock, Prefix: keeper.WatchedPrefix}
	c := &configurer.Configurer{
		Clock: clock, Keeper: &keeper.Keeper{Store: store, Clock: clock, Writer: vm}, Mirror: mirror,
		Recorder: &recorder.Recorder{Clock: clock, Process: vm, FailureDomain: failureDomain}, Metrics: tally.NoopScope,
		Process: vm, VM: vm, FailureDomain: failureDomain, FailureDomains: failureDomains,
	}
	c.Subscribe(s.observe)
	c.Follow()
	s.processes = append(s.processes, c)
	go func() { _ = mirror.Run(ctx) }()
	go func() { _ = c.Run(ctx) }()
}

func (s *survey) awaitReady(ctx context.Context) error {
	for _, c := range s.processes {
		for !c.Ready() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// observe records when a revision reached the last process. A process may skip a
// revision in favour of a newer one; a revision that some process skipped is excluded
// from InForceP50 and InForceP99.
func (s *survey) observe(c configurer.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reached[c.Revision]++
	s.inForce[c.Revision] = time.Now()
}

const template = `{
	"template": "shop", "kind": "service",
	"parameters": [{"name": "instances", "type": "integer", "min": 1, "max": 10000, "default": 1}],
	"fields": {"instances": "$instances", "size": {"processors": 1, "memory": "1GB"}, "slots": 8, "connections": 64},
}`

const organisationTemplate = `{"organisation": "organisation-%d", "workloads": [{"name": "web", "template": "shop", "values": {"instances": %d}}]}`

func organisationFile(n, instances int) configurer.File {
	return configurer.File{Name: fmt.Sprintf("organisation-%d", n), Content: fmt.Appendf(nil, organisationTemplate, n, instances)}
}

func (s *survey) initialChange() configurer.Change {
	change := configurer.Change{ID: "first", Files: []configurer.File{{Name: "shop", Content: []byte(template)}}}
	for n := range s.options.Organisations {
		change.Files = append(change.Files, organisationFile(n, 1))
	}
	return change
}

func (s *survey) runOperators(ctx context.Context) error {
	s.remaining.Store(int64(s.options.Changes))
	failures := make([]error, s.options.Operators)
	var running sync.WaitGroup
	for n := range s.options.Operators {
		random := rand.New(rand.NewPCG(s.options.Seed, uint64(n)))
		running.Go(func() {
			for s.remaining.Add(-1) >= 0 && failures[n] == nil {
				failures[n] = s.makeChange(ctx, random)
			}
		})
	}
	running.Wait()
	return errors.Join(failures...)
}

// makeChange makes one change and retries it with the newest revision after each
// conflict.
func (s *survey) makeChange(ctx context.Context, random *rand.Rand) error {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	n := random.IntN(s.options.Organisations)
	for {
		process := s.processes[random.IntN(len(s.processes))]
		change := configurer.Change{
			ID:           fmt.Sprint(random.Uint64()),
			Organisation: fmt.Sprintf("organisation-%d", n),
			ReadRevision: process.Document().Revision,
			Files:        []configurer.File{organisationFile(n, 1+random.IntN(1000))},
		}
		called := time.Now()
		result, err := process.Apply(ctx, change)
		if err != nil {
			return err
		}
		if s.record(result, called) {
			return nil
		}
	}
}

func (s *survey) record(result configurer.Result, called time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch result.State {
	case configurer.StateConflict:
		s.report.Conflicts++
		return false
	case configurer.StateAccepted:
		s.report.Accepted++
		s.called[result.Revision] = called
		_ = s.accepted.RecordValue(time.Since(called).Microseconds())
	default:
		s.report.Pending++
	}
	return true
}

func (s *survey) buildReport(before standin.StoreCounts) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	r.AcceptedP50 = quantile(s.accepted, 50)
	r.AcceptedP99 = quantile(s.accepted, 99)
	r.AcceptedMax = time.Duration(s.accepted.Max()) * time.Microsecond
	inForce := hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	for revision, called := range s.called {
		if s.reached[revision] == len(s.processes) {
			_ = inForce.RecordValue(s.inForce[revision].Sub(called).Microseconds())
		}
	}
	r.InForceP50 = quantile(inForce, 50)
	r.InForceP99 = quantile(inForce, 99)
	r.Calls = map[string]float64{}
	for operation, count := range s.store.Counts() {
		r.Calls[operation] = float64(count-before[operation]) / float64(s.options.Changes)
		r.AllCalls += r.Calls[operation]
	}
	return r
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// pollingStore polls for changes at a fixed period instead of waiting for them.
type pollingStore struct {
	keeper.Store

	period time.Duration
}

// Watch implements keeper.Store.
func (s *pollingStore) Watch(ctx context.Context, prefix string, after int64, _ time.Duration) (keeper.Changes, error) {
	select {
	case <-ctx.Done():
		return keeper.Changes{}, ctx.Err()
	case <-time.After(s.period):
	}
	return s.Store.Watch(ctx, prefix, after, 0)
}

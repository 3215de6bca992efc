// Package surveyor measures how long a change of the configuration takes and
// what it costs the store, on loopback with a stand-in store.
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
	readyPoll    = 10 * time.Millisecond
	slowest      = time.Minute
	digits       = 3
	retryTimeout = 30 * time.Second
)

// Options are the conditions of a survey.
type Options struct {
	// Changes is how many changes are made.
	Changes int
	// Operators is how many operators race.
	Operators int
	// Organisations is how many organisations they change.
	Organisations int
	// FailureDomains is the number of failure domains.
	FailureDomains int
	// VMs is the number of entry VMs of a failure domain.
	VMs int
	// Delay is added to each answer of the store.
	Delay time.Duration
	// LoseEvery loses the answer to every swap of that ordinal.
	LoseEvery int
	// Polling is the period of polling that stands in for the watch; zero
	// watches.
	Polling time.Duration
	// Seed makes the choices of the operators repeatable.
	Seed uint64
}

// DefaultOptions are those of today's size with a disturbed store.
var DefaultOptions = Options{
	Changes: 200, Operators: 10, Organisations: 6, FailureDomains: 3, VMs: 3,
	Delay: 5 * time.Millisecond, LoseEvery: 50, Seed: 1,
}

// Report is what a survey measured.
type Report struct {
	// Accepted is how many changes were accepted within the wait.
	Accepted int
	// Pending is how many changes were not accepted within the wait.
	Pending int
	// Conflicts is how many tries were refused as conflicts.
	Conflicts int
	// AcceptedP50 is the median time from the call to its answer.
	AcceptedP50 time.Duration
	// AcceptedP99 is the 99th percentile of that time.
	AcceptedP99 time.Duration
	// AcceptedMax is the longest such time.
	AcceptedMax time.Duration
	// InForceP50 is the median time from the call to the configuration being in
	// force in the last process.
	InForceP50 time.Duration
	// InForceP99 is the 99th percentile of that time.
	InForceP99 time.Duration
	// Calls are the calls of the store by operation, for one change.
	Calls map[string]float64
	// AllCalls is the sum of Calls.
	AllCalls float64
}

// survey is one run.
type survey struct {
	options   Options
	store     *standin.Store
	address   string
	processes []*configurer.Configurer

	mu       sync.Mutex
	inForce  map[int64]time.Time
	reached  map[int64]int
	called   map[int64]time.Time
	accepted *hdrhistogram.Histogram
	report   Report
	left     atomic.Int64
}

// Configuration makes changes by racing operators through all entry VMs and
// measures them.
func Configuration(ctx context.Context, options Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &survey{
		options: options, store: &standin.Store{},
		inForce: map[int64]time.Time{}, reached: map[int64]int{}, called: map[int64]time.Time{},
		accepted: hdrhistogram.New(1, slowest.Microseconds(), digits),
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
	if err := s.operateAll(ctx); err != nil {
		return Report{}, err
	}
	return s.conclude(before), nil
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
	result, err := s.processes[0].Apply(ctx, s.first())
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
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// observe notes when a revision reached the last process. A process may skip a
// revision for a newer one; such a revision does not count for InForce.
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

func (s *survey) first() configurer.Change {
	change := configurer.Change{ID: "first", Files: []configurer.File{{Name: "shop", Content: []byte(template)}}}
	for n := range s.options.Organisations {
		change.Files = append(change.Files, organisationFile(n, 1))
	}
	return change
}

func (s *survey) operateAll(ctx context.Context) error {
	s.left.Store(int64(s.options.Changes))
	failures := make([]error, s.options.Operators)
	var running sync.WaitGroup
	for n := range s.options.Operators {
		random := rand.New(rand.NewPCG(s.options.Seed, uint64(n)))
		running.Go(func() {
			for s.left.Add(-1) >= 0 && failures[n] == nil {
				failures[n] = s.operate(ctx, random)
			}
		})
	}
	running.Wait()
	return errors.Join(failures...)
}

// operate makes one change, reading again after each conflict.
func (s *survey) operate(ctx context.Context, random *rand.Rand) error {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	n := random.IntN(s.options.Organisations)
	for {
		through := s.processes[random.IntN(len(s.processes))]
		change := configurer.Change{
			ID:           fmt.Sprint(random.Uint64()),
			Organisation: fmt.Sprintf("organisation-%d", n),
			ReadRevision: through.Document().Revision,
			Files:        []configurer.File{organisationFile(n, 1+random.IntN(1000))},
		}
		called := time.Now()
		result, err := through.Apply(ctx, change)
		if err != nil {
			return err
		}
		if s.note(result, called) {
			return nil
		}
	}
}

func (s *survey) note(result configurer.Result, called time.Time) bool {
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

func (s *survey) conclude(before standin.StoreCounts) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	r.AcceptedP50 = quantile(s.accepted, 50)
	r.AcceptedP99 = quantile(s.accepted, 99)
	r.AcceptedMax = time.Duration(s.accepted.Max()) * time.Microsecond
	inForce := hdrhistogram.New(1, slowest.Microseconds(), digits)
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

// pollingStore asks for changes at a fixed period in place of waiting for them.
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

package replayer

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"zinniashore.example/placer"
)

// PolicyName is the name of a scheduling policy in a comparison.
type PolicyName string

// Names of the policies.
const (
	// PolicyDefault is the Placer with its default filters and scorers.
	PolicyDefault PolicyName = "zinniashore"
	// PolicyFirstFit chooses the first worker with enough free capacity.
	PolicyFirstFit PolicyName = "first_fit"
	// PolicyRandom chooses a random worker with enough free capacity.
	PolicyRandom PolicyName = "random"
	// PolicyLeastLoaded chooses the least loaded worker.
	PolicyLeastLoaded PolicyName = "least_loaded"
	// PolicyServicesAlone is the default policy on a trace without batch work.
	PolicyServicesAlone PolicyName = "services_alone"
)

// baselines returns the scorers of the policies that the default policy is compared
// with. The baselines spread services, learn sizes and react like the default policy,
// but place batch work by a scorer that does not consider interference.
func baselines(seed uint64) map[PolicyName]placer.Scorer {
	return map[PolicyName]placer.Scorer{
		PolicyFirstFit:    placer.FirstScorer{},
		PolicyRandom:      placer.SeedScorer{Seed: seed},
		PolicyLeastLoaded: placer.LoadScorer{},
	}
}

// placerFor returns the Placer that implements the named policy.
func placerFor(name PolicyName, seed uint64) *placer.Placer {
	p := &placer.Placer{Seed: seed}
	scorer, found := baselines(seed)[name]
	if !found {
		return p
	}
	p.Filters = placer.CapacityFilters()
	p.Scorers = []placer.Prioritized[placer.Scorer]{
		{Value: placer.SpreadScorer{}, Priority: 100},
		{Value: scorer, Priority: 200},
	}
	return p
}

// Options select the traces and policies of a comparison.
type Options struct {
	// Traces are the traces to replay. If it is empty, all traces are replayed.
	Traces []TraceName
	// Policies are the policies to compare. If it is empty, all policies are compared.
	Policies []PolicyName
	// Seed is the seed of the policies, and of the traces if Regenerate is set.
	Seed uint64
	// Regenerate generates the traces from Seed instead of loading the committed
	// traces.
	Regenerate bool
}

// Row is the outcome of one policy on one trace.
type Row struct {
	// Trace is the name of the trace.
	Trace TraceName
	// Policy is the name of the policy.
	Policy PolicyName
	// Outcome is the measured outcome.
	Outcome Outcome
}

// Report is the result of a comparison.
type Report struct {
	// Rows are the outcomes, ordered by trace and then by policy.
	Rows []Row
}

// Compare replays the selected traces with each selected policy. It returns an
// *UnknownTraceError for an unknown trace, and an error if ctx ends first.
func Compare(ctx context.Context, options Options) (Report, error) {
	var report Report
	for _, name := range options.traces() {
		trace, err := options.load(name)
		if err != nil {
			return Report{}, err
		}
		for _, policyName := range options.policies() {
			row, err := replay(ctx, trace, policyName, options.Seed)
			if err != nil {
				return Report{}, err
			}
			row.Trace = name
			report.Rows = append(report.Rows, row)
		}
	}
	return report, nil
}

func (o Options) traces() []TraceName {
	if len(o.Traces) == 0 {
		return TraceNames()
	}
	return o.Traces
}

func (o Options) policies() []PolicyName {
	if len(o.Policies) > 0 {
		return o.Policies
	}
	return []PolicyName{PolicyServicesAlone, PolicyDefault, PolicyFirstFit, PolicyRandom, PolicyLeastLoaded}
}

func (o Options) load(name TraceName) (Trace, error) {
	if o.Regenerate {
		return Generate(name, o.Seed)
	}
	return Load(name)
}

func replay(ctx context.Context, trace Trace, name PolicyName, seed uint64) (Row, error) {
	if name == PolicyServicesAlone {
		trace = trace.ServicesOnly()
	}
	r := &Replayer{Decider: placerFor(name, seed)}
	outcome, err := r.Run(ctx, trace)
	return Row{Policy: name, Outcome: outcome}, err
}

// Outcome returns the outcome of a policy on a trace, and whether the report has one.
func (r Report) Outcome(trace TraceName, name PolicyName) (Outcome, bool) {
	for _, row := range r.Rows {
		if row.Trace == trace && row.Policy == name {
			return row.Outcome, true
		}
	}
	return Outcome{}, false
}

// String returns the report as a table.
func (r Report) String() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "trace\tpolicy\tslowdown p50\tp99\tbatch share of bound\tfinished\t"+
		"evictions\tthrottles\twindows missed\tover reserved\tover used\tdoubled\tnever\turgent start\turgent waiting")
	for _, row := range r.Rows {
		o := row.Outcome
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%d\n",
			row.Trace, row.Policy, o.Slowdown50, o.Slowdown99, o.Throughput(), o.Finished,
			o.Evictions, o.Throttles, o.Missed, o.OverReserved, o.OverUsed, o.DuplicateStarts, o.Unplaceable,
			o.UrgentStart.Round(time.Millisecond), o.UrgentWaiting)
	}
	_ = w.Flush()
	return text.String()
}

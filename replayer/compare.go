package replayer

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"zinniashore.example/placer"
)

// PolicyName names a policy that is compared.
type PolicyName string

// Names of policies.
const (
	// PolicyDefault is the Placer with its defaults.
	PolicyDefault PolicyName = "zinniashore"
	// PolicyFirstFit takes the first worker with room.
	PolicyFirstFit PolicyName = "first_fit"
	// PolicyRandom takes any worker with room.
	PolicyRandom PolicyName = "random"
	// PolicyLeastLoaded takes the least loaded worker.
	PolicyLeastLoaded PolicyName = "least_loaded"
	// PolicyAlone runs the services without batch work.
	PolicyAlone PolicyName = "services_alone"
)

// baselines are the policies that the default one is compared with. They spread
// services, learn sizes and react as it does, but place batch work by a rule of
// their own that knows nothing of interference.
func baselines(seed uint64) map[PolicyName]placer.Scorer {
	return map[PolicyName]placer.Scorer{
		PolicyFirstFit:    placer.FirstScorer{},
		PolicyRandom:      placer.SeedScorer{Seed: seed},
		PolicyLeastLoaded: placer.LoadScorer{},
	}
}

// policy returns the Placer of a name.
func policy(name PolicyName, seed uint64) *placer.Placer {
	p := &placer.Placer{Seed: seed}
	rule, found := baselines(seed)[name]
	if !found {
		return p
	}
	p.Filters = placer.CapacityFilters()
	p.Scorers = []placer.Prioritized[placer.Scorer]{
		{Value: placer.SpreadScorer{}, Priority: 100},
		{Value: rule, Priority: 200},
	}
	return p
}

// Options choose what is compared.
type Options struct {
	// Traces are the committed traces to replay; empty is all.
	Traces []TraceName
	// Policies are the policies to compare; empty is all.
	Policies []PolicyName
	// Seed is the seed of the policies.
	Seed uint64
	// Fresh generates the traces anew from Seed instead of taking the committed
	// ones.
	Fresh bool
}

// Row is the outcome of one policy on one trace.
type Row struct {
	// Trace is the trace.
	Trace TraceName
	// Policy is the policy.
	Policy PolicyName
	// Outcome is what came of it.
	Outcome Outcome
}

// Report is the outcome of a comparison.
type Report struct {
	// Rows are by trace and policy.
	Rows []Row
}

// Compare replays traces through policies in one run. It fails for unknown
// traces and if ctx ends first.
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
	return []PolicyName{PolicyAlone, PolicyDefault, PolicyFirstFit, PolicyRandom, PolicyLeastLoaded}
}

func (o Options) load(name TraceName) (Trace, error) {
	if o.Fresh {
		return Generate(name, o.Seed)
	}
	return Load(name)
}

func replay(ctx context.Context, trace Trace, name PolicyName, seed uint64) (Row, error) {
	if name == PolicyAlone {
		trace = trace.ServicesOnly()
	}
	r := &Replayer{Decider: policy(name, seed)}
	outcome, err := r.Run(ctx, trace)
	return Row{Policy: name, Outcome: outcome}, err
}

// Outcome returns the outcome of a policy on a trace, and whether there is one.
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
			o.Evictions, o.Throttles, o.Missed, o.OverReserved, o.OverUsed, o.Doubled, o.Never,
			o.UrgentStart.Round(time.Millisecond), o.UrgentWaiting)
	}
	_ = w.Flush()
	return text.String()
}

package replayer_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"

	"zinniashore.example/replayer"
)

// TestStatedTargets replays the committed day of Stockwerk against the targets
// that stand in its trace.
func TestStatedTargets(t *testing.T) {
	t.Parallel()
	name := replayer.TraceStockwerk
	report := compare(t, name, replayer.PolicyAlone, replayer.PolicyDefault)
	trace, err := replayer.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	targets := trace.Targets
	alone, _ := report.Outcome(name, replayer.PolicyAlone)
	got, _ := report.Outcome(name, replayer.PolicyDefault)
	if limit := targets.Slowdown * alone.Slowdown99; got.Slowdown99 > limit {
		t.Errorf("p99 slowdown is %.3f, the target %.3f", got.Slowdown99, limit)
	}
	if got.Throughput() < targets.Throughput {
		t.Errorf("batch work is %.3f of the bound, the target %.3f", got.Throughput(), targets.Throughput)
	}
	if got.Violations() > targets.Violations {
		t.Errorf("%d violations of capacity, the target %d", got.Violations(), targets.Violations)
	}
}

// TestUrgentWorkStartsInAFullCell replays urgent work that arrives at full workers.
func TestUrgentWorkStartsInAFullCell(t *testing.T) {
	t.Parallel()
	name := replayer.TraceUrgent
	report := compare(t, name, replayer.PolicyDefault)
	trace, err := replayer.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	got, _ := report.Outcome(name, replayer.PolicyDefault)
	if got.Evictions == 0 {
		t.Error("nothing was evicted: the cell was not full")
	}
	if got.UrgentStart > trace.Targets.UrgentStart || got.UrgentWaiting > 0 {
		t.Errorf("urgent work waited up to %s and %d tasks never started, the target is %s",
			got.UrgentStart, got.UrgentWaiting, trace.Targets.UrgentStart)
	}
	if got.Violations() > 0 {
		t.Errorf("%d violations of capacity", got.Violations())
	}
}

func compare(t *testing.T, name replayer.TraceName, policies ...replayer.PolicyName) replayer.Report {
	t.Helper()
	report, err := replayer.Compare(context.Background(), replayer.Options{
		Traces:   []replayer.TraceName{name},
		Policies: policies,
		Seed:     1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// TestGoldenOutcomes replays small traces of other seeds through all policies.
func TestGoldenOutcomes(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		name := replayer.TraceUrgent
		report, err := replayer.Compare(context.Background(), replayer.Options{
			Traces: []replayer.TraceName{name},
			Seed:   seed,
			Fresh:  true,
		})
		if err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, fmt.Sprintf("%s_%d", name, seed), []byte(report.String()))
	}
}

// TestLoadErrors: what is no trace is refused with a typed error.
func TestLoadErrors(t *testing.T) {
	var unknown *replayer.UnknownTraceError
	if _, err := replayer.Load("nowhere"); !errors.As(err, &unknown) || unknown.Name != "nowhere" {
		t.Errorf("Load returned %v", err)
	}
	var format *replayer.FormatError
	if _, err := replayer.Decode([]byte(`{"format": 7}`)); !errors.As(err, &format) || format.Format != 7 {
		t.Errorf("Decode returned %v", err)
	}
}

package replayer_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"

	"zinniashore.example/replayer"
)

// TestStatedTargets replays the committed Stockwerk trace and compares the outcome
// with the targets stored in the trace.
func TestStatedTargets(t *testing.T) {
	t.Parallel()
	name := replayer.TraceStockwerk
	report := compare(t, name, replayer.PolicyServicesAlone, replayer.PolicyDefault)
	trace, err := replayer.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	targets := trace.Targets
	alone, _ := report.Outcome(name, replayer.PolicyServicesAlone)
	got, _ := report.Outcome(name, replayer.PolicyDefault)
	if limit := targets.Slowdown * alone.Slowdown99; got.Slowdown99 > limit {
		t.Errorf("p99 slowdown is %.3f, want at most %.3f", got.Slowdown99, limit)
	}
	if got.Throughput() < targets.Throughput {
		t.Errorf("batch work is %.3f of the bound, want at least %.3f", got.Throughput(), targets.Throughput)
	}
	if got.Violations() > targets.Violations {
		t.Errorf("%d violations of capacity, want at most %d", got.Violations(), targets.Violations)
	}
}

// TestUrgentWorkStartsInAFullCell checks that urgent tasks start within the target time
// when they arrive while all workers are full, which requires evictions.
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
		t.Error("no task was evicted: the cell was not full")
	}
	if got.UrgentStart > trace.Targets.UrgentStart || got.UrgentWaiting > 0 {
		t.Errorf("urgent work waited up to %s and %d tasks never started, want a wait of at most %s",
			got.UrgentStart, got.UrgentWaiting, trace.Targets.UrgentStart)
	}
	if got.Violations() > 0 {
		t.Errorf("%d violations of capacity, want none", got.Violations())
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

// TestGoldenOutcomes replays small traces generated from two other seeds with all
// policies and compares the reports with golden files.
func TestGoldenOutcomes(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		name := replayer.TraceUrgent
		report, err := replayer.Compare(context.Background(), replayer.Options{
			Traces:     []replayer.TraceName{name},
			Seed:       seed,
			Regenerate: true,
		})
		if err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, fmt.Sprintf("%s_%d", name, seed), []byte(report.String()))
	}
}

// TestLoadErrors checks that an unknown trace name and an unsupported format are
// reported as typed errors.
func TestLoadErrors(t *testing.T) {
	var unknown *replayer.UnknownTraceError
	if _, err := replayer.Load("nowhere"); !errors.As(err, &unknown) || unknown.Name != "nowhere" {
		t.Errorf("Load: %v, want an *UnknownTraceError for nowhere", err)
	}
	var format *replayer.FormatError
	if _, err := replayer.Decode([]byte(`{"format": 7}`)); !errors.As(err, &format) || format.Format != 7 {
		t.Errorf("Decode: %v, want a *FormatError for format 7", err)
	}
}

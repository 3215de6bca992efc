package replayer_test

import (
	"context"
	"testing"

	"zinniashore.example/replayer"
)

// TestStatedTargets replays the committed day of Stockwerk against the targets
// that stand in its trace.
func TestStatedTargets(t *testing.T) {
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

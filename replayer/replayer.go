package replayer

import (
	"context"

	"zinniashore.example/placer"
)

// Decider decides over snapshots.
type Decider interface {
	// Decide returns the plan for a snapshot.
	Decide(snapshot placer.Snapshot) placer.Plan
}

// Replayer replays traces through a Decider. Its exported fields are set before
// Run.
type Replayer struct {
	// Decider decides.
	Decider Decider
}

// Run replays a trace from its start to its end. It fails if ctx ends first.
func (r *Replayer) Run(ctx context.Context, trace Trace) (Outcome, error) {
	w := newWorld(trace)
	steps := int(trace.Length / trace.Step)
	for range steps {
		if err := ctx.Err(); err != nil {
			return Outcome{}, err
		}
		w.step()
		w.carryOut(r.Decider.Decide(w.snapshot()))
	}
	return w.outcome(), nil
}

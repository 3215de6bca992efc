package replayer

import (
	"context"

	"zinniashore.example/placer"
)

// Decider plans the placement of tasks.
type Decider interface {
	// Decide returns the actions to take in the state that the snapshot describes.
	Decide(snapshot placer.Snapshot) placer.Plan
}

// Replayer replays traces through a Decider. Its exported fields must be set before
// Run is called.
type Replayer struct {
	// Decider plans each step of the replay.
	Decider Decider
}

// Run replays a trace from its start to its end. It returns an error if ctx ends
// first.
func (r *Replayer) Run(ctx context.Context, trace Trace) (Outcome, error) {
	w := newWorld(trace)
	steps := int(trace.Length / trace.Step)
	for range steps {
		if err := ctx.Err(); err != nil {
			return Outcome{}, err
		}
		w.step()
		w.execute(r.Decider.Decide(w.snapshot()))
	}
	return w.outcome(), nil
}

// Package delayer decides whether a task waits for a place in the rack where it runs fastest, or starts
// elsewhere at once (delay scheduling). It uses neither the network nor a clock: all times are durations
// from now.
package delayer

import "time"

// Task is what the decision about a task, or a group of tasks that start together, depends on.
type Task struct {
	// RunTime is the expected run time in the rack.
	RunTime time.Duration
	// RemoteFactor is how many times as long the task takes elsewhere.
	RemoteFactor float64
	// Waited is how long the task has been ready.
	Waited time.Duration
	// Slack is the time until a start in the rack could no longer meet the objective of the task. It is
	// ignored unless HasObjective is set.
	Slack        time.Duration
	HasObjective bool
}

// WithWaited returns a copy of the task with another Waited.
func (t Task) WithWaited(waited time.Duration) Task {
	t.Waited = waited
	return t
}

// RemoteCost returns how much longer the task is expected to take elsewhere. It is 0 unless RemoteFactor
// is above 1.
func (t Task) RemoteCost() time.Duration {
	if t.RemoteFactor <= 1 {
		return 0
	}
	return time.Duration((t.RemoteFactor - 1) * float64(t.RunTime))
}

// Verdict is the outcome of a decision.
type Verdict string

// Verdicts. All but VerdictWait let the task start elsewhere.
const (
	// VerdictWait: the task waits for a place in the rack.
	VerdictWait Verdict = "wait"
	// VerdictNoPlace: no place is expected in the rack.
	VerdictNoPlace Verdict = "no_place_expected"
	// VerdictTooLong: running elsewhere costs less than waiting.
	VerdictTooLong Verdict = "waiting_costs_more"
	// VerdictObjective: the objective couldn't be met by a start in the rack.
	VerdictObjective Verdict = "objective"
)

// Decide decides about a task for which a place in the rack is expected after localIn, if expected is set.
// The total wait, from when the task became ready, stays within RemoteCost, so that a wrong expectation
// costs at most as much as running elsewhere.
func Decide(t Task, localIn time.Duration, expected bool) Verdict {
	remaining := t.RemoteCost() - t.Waited
	switch {
	case !expected:
		return VerdictNoPlace
	case remaining <= 0 || localIn >= remaining:
		return VerdictTooLong
	case t.HasObjective && (t.Slack <= 0 || localIn > t.Slack):
		return VerdictObjective
	}
	return VerdictWait
}

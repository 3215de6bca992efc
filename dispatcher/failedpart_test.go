package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// partCell is the name of the cell that runs the part in partSimulation.
const partCell = "graz-b"

// partSimulation holds two cells. The home cell delegates what it can't place in turn to the
// other one and to a third, which isn't simulated.
type partSimulation struct {
	home, other *simulation
	// delegated are the tasks that were delegated to the other cell.
	delegated []dispatcher.TaskID
	// passed, cancelled and failed count the parts, cancellations and failures that the other
	// cell and the home cell have got.
	passed, cancelled, failed int
	// watchLost is true while the home cell's holder isn't told of failures.
	watchLost bool
}

// newCells returns two cells with numbers of workers. No epoch is used by both.
func newCells(home, other int) *partSimulation {
	p := &partSimulation{home: newActiveSimulation(home), other: newActiveCell("v", other)}
	p.other.archive.epoch = 1000
	p.other.changeHolder(p.other.workers...)
	p.other.runFor(200 * time.Millisecond)
	return p
}

// newPartSimulation returns a home cell that has delegated tasks to two cells. The one in the
// other cell crashes each worker that starts it.
func newPartSimulation() *partSimulation {
	p := newCells(1, 8)
	p.home.submit(longRunningJob(jobID, 3, 3000))
	for index := range 3 {
		p.other.deadly(dispatcher.TaskID{Job: jobID, Index: index}, 3*time.Second)
	}
	return p
}

// advance runs both cells and passes on what they store for one another.
func (p *partSimulation) advance(span time.Duration) {
	const tick = 50 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += tick {
		p.delegate()
		p.home.advance(tick)
		p.passParts()
		p.other.advance(tick)
		p.passFailures()
	}
}

// delegate delegates the next task that has no place in the home cell.
func (p *partSimulation) delegate() {
	id, _, found := p.home.cell.NextToDelegate(p.home.now)
	if !found {
		return
	}
	if len(p.delegated) > 0 {
		p.home.cell.Delegate(p.home.now, id, "graz-c", 1)
		return
	}
	p.home.cell.Delegate(p.home.now, id, partCell, 1)
	p.delegated = append(p.delegated, id)
}

// passParts passes parts and cancellations to the other cell.
func (p *partSimulation) passParts() {
	for _, part := range p.home.archive.parts[p.passed:] {
		if part.Cell == partCell {
			p.other.add(part.Job, true)
		}
		p.passed++
	}
	p.passCancellations()
}

// passCancellations passes cancellations to the other cell.
func (p *partSimulation) passCancellations() {
	for _, id := range p.home.archive.cancelIn[partCell][p.cancelled:] {
		p.other.cell.Cancel(p.other.now, id)
		p.cancelled++
	}
}

// passFailures passes failures to the home cell.
func (p *partSimulation) passFailures() {
	if p.watchLost {
		return
	}
	for _, id := range p.other.archive.failedParts[p.failed:] {
		p.home.archive.failedIn[id] = partCell
		p.home.cell.FailPart(p.home.now, id, partCell, "")
		p.failed++
	}
}

// storeFailures stores failures for the next holder of the home cell.
func (p *partSimulation) storeFailures() {
	for _, id := range p.other.archive.failedParts {
		p.home.archive.failedIn[id] = partCell
	}
}

// TestFailedPartFailsJob guards against a job that is shown as running for ever, with tasks
// that run on, after another cell has given up a task of it.
func TestFailedPartFailsJob(t *testing.T) {
	tests := map[string]func(p *partSimulation){
		"holders stay": func(p *partSimulation) { p.advance(60 * time.Second) },
		"the holder of the part changes": func(p *partSimulation) {
			for range 4 {
				p.advance(9 * time.Second)
				p.other.changeHolder(slices.DeleteFunc(slices.Clone(p.other.workers), func(f *fakeWorker) bool { return f.closed })...)
			}
			p.advance(30 * time.Second)
		},
		"the home holder changes before it learns": func(p *partSimulation) {
			p.watchLost = true
			p.advance(60 * time.Second)
			p.storeFailures()
			p.home.changeHolder(p.home.workers...)
			p.advance(2 * time.Second)
		},
		"the home holder is lost before it has stored what it has learned": func(p *partSimulation) {
			p.advance(2 * time.Second)
			p.home.storeDown = true
			p.advance(60 * time.Second)
			p.home.storeDown = false
			p.home.changeHolder(p.home.workers...)
			p.advance(2 * time.Second)
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPartSimulation()
			run(p)
			p.requireFailed(t)
		})
	}
}

// requireFailed fails unless the job has failed and nothing of it runs on.
func (p *partSimulation) requireFailed(t *testing.T) {
	t.Helper()
	requireState(t, p.home, jobID, dispatcher.StateFailed)
	if got := p.other.crashes[p.delegated[0]]; got < 2 || got > maxCrashes {
		t.Errorf("%d workers have crashed under the delegated task, want 2 to %d", got, maxCrashes)
	}
	for _, s := range []*simulation{p.home, p.other} {
		for id, runs := range s.running {
			if runs > 0 {
				t.Errorf("%s runs on", id)
			}
		}
		requireNoViolations(t, s)
	}
	for _, cell := range []string{partCell, "graz-c"} {
		if !slices.Contains(p.home.archive.cancelIn[cell], jobID) {
			t.Errorf("%s isn't told to stop its part", cell)
		}
	}
}

// TestCancelledBeforePartFailed guards against a cancelled job that is shown as failed.
func TestCancelledBeforePartFailed(t *testing.T) {
	p := newPartSimulation()
	p.advance(2 * time.Second)
	p.home.cell.Cancel(p.home.now, jobID)
	p.home.cell.FailPart(p.home.now, jobID, partCell, "")
	p.advance(2 * time.Second)
	requireState(t, p.home, jobID, dispatcher.StateCancelled)
}

// TestFailedJobStopsParts guards against delegated tasks that run on after a task of their
// job was given up at home.
func TestFailedJobStopsParts(t *testing.T) {
	p := newPartSimulation()
	p.advance(2 * time.Second)
	p.other.crashing = map[dispatcher.TaskID]bool{}
	for id := range p.home.running {
		p.home.deadly(id, 3*time.Second)
	}
	p.advance(20 * time.Second)
	if got := p.other.running[p.delegated[0]]; got != 1 {
		t.Fatalf("the delegated task has %d runs, want 1", got)
	}
	p.home.crash(p.home.workers[0])
	p.advance(60 * time.Second)
	requireState(t, p.home, jobID, dispatcher.StateFailed)
	if got := p.other.running[p.delegated[0]]; got != 0 {
		t.Errorf("the delegated task has %d runs after its job has failed, want none", got)
	}
}

// TestStateOfPart guards against a job that is shown as cancelled, queued or failed by a
// process that runs a part of it, and otherwise by the others.
func TestStateOfPart(t *testing.T) {
	part := longRunningJob(jobID, 2, 1000)
	part.Part = []dispatcher.TaskID{{Job: jobID, Index: 1}}
	s := newActiveSimulation(1)
	s.add(part, true)
	requireUnknown := func(when string) {
		t.Helper()
		if state, known := s.cell.State(jobID); known {
			t.Errorf("%s, the state of the job is said to be %q", when, state)
		}
	}
	requireUnknown("while the part runs")
	s.cell.Cancel(s.now, jobID)
	s.runFor(time.Second)
	requireUnknown("after the part was cancelled")
	s.changeHolder(s.workers...)
	requireUnknown("under the next holder")
}

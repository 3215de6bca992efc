package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/commander"
	"zinniashore.example/placer"
)

// fakeEvacuations are Evacuations that tests set.
type fakeEvacuations struct {
	mu               sync.Mutex
	evacuated, known bool
}

// Evacuated implements Evacuations.
func (f *fakeEvacuations) Evacuated(string) (evacuated, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated, f.known
}

func (f *fakeEvacuations) set(evacuated, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated, f.known = evacuated, known
}

// newIdleCell returns a cell with the worker w1 that does not run and calls no one.
func newIdleCell(evacuations Evacuations) (*cell, *workerView) {
	clock := clockwork.NewFakeClock()
	session := &fakeSession{clock: clock, until: clock.Now().Add(time.Hour)}
	o := &Owner{Clock: clock, Session: session, Evacuations: evacuations}
	o.initialise()
	w := &workerView{vm: WorkerVM{ID: "w1"}, listed: true, answered: true}
	c := &cell{
		owner: o, spec: Cell{ID: "graz-a-1", FailureDomain: "graz-a"},
		tenure: &tenure{owner: o, validUntil: session.until}, inbox: make(chan func(), 100),
		tasks: map[string]*task{}, workers: map[string]*workerView{"w1": w}, jobs: map[string]*jobView{},
		stagedKeys: map[string]bool{}, failures: newFailureTracker(time.Second),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, w
}

func (c *cell) addPlaced(p phase, startSent bool) *task {
	t := &task{record: record{id: "moka/night/0", class: placer.ClassBatch}, phase: p, startSent: startSent, throttle: 1, appliedThrottle: 1}
	t.record = t.record.withPlacement(1, "w1", "127.0.0.1:1", placer.Size{})
	c.tasks[t.record.id] = t
	return t
}

// TestEvacuatedCell guards against a start that is sent after its failure domain was
// evacuated or before that is known, and against the end of a task that runs there.
func TestEvacuatedCell(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		evacuated, known bool
		phase            phase
		startSent, renew bool
		wantStarts       int
		want             phase
		wantUnclear      bool
	}{
		"open":                               {known: true, phase: phaseStarting, wantStarts: 1, want: phaseStarting},
		"open, answer of the start missing":  {known: true, phase: phaseStarting, startSent: true, wantStarts: 1, want: phaseStarting},
		"start not sent":                     {evacuated: true, known: true, phase: phaseStarting, want: phaseWaiting},
		"not known":                          {phase: phaseStarting, want: phaseWaiting},
		"answer of the start missing":        {evacuated: true, known: true, phase: phaseStarting, startSent: true, want: phaseStarting},
		"report requested after the start":   {evacuated: true, known: true, phase: phaseStarting, startSent: true, renew: true, want: phaseStarting, wantUnclear: true},
		"running":                            {evacuated: true, known: true, phase: phaseRunning, startSent: true, want: phaseRunning},
		"placed by an earlier owner":         {evacuated: true, known: true, phase: phaseResolving, want: phaseResolving},
		"running while evacuation not known": {phase: phaseRunning, startSent: true, want: phaseRunning},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			evacuations := &fakeEvacuations{evacuated: test.evacuated, known: test.known}
			c, w := newIdleCell(evacuations)
			placed := c.addPlaced(test.phase, test.startSent)
			b := batch{renew: test.renew}
			c.collectCommands(&b, w, []*task{placed})
			c.syncEvacuation()
			if len(b.starts) != test.wantStarts || len(b.stops)+len(b.evictions) != 0 {
				t.Errorf("%d starts, %d stops, %d evictions, want only %d starts", len(b.starts), len(b.stops), len(b.evictions), test.wantStarts)
			}
			if placed.phase != test.want || placed.startUnclear != test.wantUnclear {
				t.Errorf("phase %s, unclear %t, want %s, %t", placed.phase, placed.startUnclear, test.want, test.wantUnclear)
			}
		})
	}
}

// TestUnclearStartInEvacuatedCell guards against a task that stays in phaseStarting, or
// that starts elsewhere although its start may still reach the worker.
func TestUnclearStartInEvacuatedCell(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		reported bool
		want     phase
	}{
		"the worker runs it":         {reported: true, want: phaseRunning},
		"the worker does not run it": {want: phaseStopping},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, w := newIdleCell(&fakeEvacuations{evacuated: true, known: true})
			placed := c.addPlaced(phaseStarting, true)
			before := commander.Answer{}
			c.handleAnswer(w, before, true, nil)
			if placed.phase != phaseStarting {
				t.Fatalf("phase %s after an answer from before the start, want %s", placed.phase, phaseStarting)
			}
			c.collectCommands(&batch{renew: true}, w, []*task{placed})
			after := commander.Answer{}
			if test.reported {
				after.Tasks = []commander.TaskReport{{Ref: commander.Ref{Task: placed.record.id, Attempt: 1}, State: commander.TaskRunning}}
			}
			c.handleAnswer(w, after, true, nil)
			if placed.phase != test.want {
				t.Errorf("phase %s, want %s", placed.phase, test.want)
			}
		})
	}
}

// startCounter is a Commander that counts starts and calls then after each.
type startCounter struct {
	commander.Commander

	starts int
	then   func()
}

// Start implements commander.Commander.
func (s *startCounter) Start(context.Context, string, commander.Header, commander.Start) (commander.Answer, error) {
	s.starts++
	s.then()
	return commander.Answer{}, nil
}

// TestEvacuationDuringStarts guards against the rest of a batch of starts that is sent
// after the failure domain was evacuated.
func TestEvacuationDuringStarts(t *testing.T) {
	t.Parallel()
	evacuations := &fakeEvacuations{known: true}
	c, w := newIdleCell(evacuations)
	counter := &startCounter{then: func() { evacuations.set(true, true) }}
	c.owner.Commander = counter
	b := batch{starts: make([]commander.Start, 3)}
	answered := false
	if err := c.executeAll(w, b, c.now(), &answered); err != nil {
		t.Fatal(err)
	}
	if counter.starts != 1 {
		t.Errorf("%d starts sent, want only the one before the evacuation", counter.starts)
	}
}

// TestEvacuationKeepsBlame guards against a batch task that is found at fault after one
// failure because no worker of an evacuated cell accepts tasks.
func TestEvacuationKeepsBlame(t *testing.T) {
	t.Parallel()
	for name, evacuated := range map[string]bool{"open": false, "evacuated": true} {
		t.Run(name, func(t *testing.T) {
			c, _ := newIdleCell(&fakeEvacuations{evacuated: evacuated, known: true})
			for _, id := range []string{"w2", "w3"} {
				c.workers[id] = &workerView{vm: WorkerVM{ID: id}, listed: true, answered: true}
			}
			if got := c.countReady(c.now()); got != 3 {
				t.Errorf("%d workers could run a failed task, want 3", got)
			}
		})
	}
}

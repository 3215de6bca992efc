package dispatcher_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/dispatcher"
)

// fullWorkers is a single worker that starts each task and lists it.
type fullWorkers struct {
	idleWorkers

	mu      sync.Mutex
	booted  time.Time
	running []dispatcher.RunningRow
}

func (w *fullWorkers) Start(_ context.Context, order dispatcher.StartOrder) (dispatcher.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = append(w.running, dispatcher.RunningRow{Task: order.Task, Run: order.Run, Percent: 100})
	return dispatcher.AnswerAccepted, nil
}

func (w *fullWorkers) Poll(_ context.Context, order dispatcher.PollOrder) (dispatcher.Listing, dispatcher.Answer, error) {
	time.Sleep(order.Wait + 5*time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	listing := dispatcher.Listing{Clock: time.Since(w.booted), Boot: 1, Running: append([]dispatcher.RunningRow(nil), w.running...)}
	return listing, dispatcher.AnswerAccepted, nil
}

// slowStore takes a while for each write.
type slowStore struct{ slowArchive }

func (s *slowStore) Save(context.Context, *dispatcher.Batch) error {
	time.Sleep(30 * time.Millisecond)
	return nil
}

// otherCell is the only other cell. It has places for some tasks.
type otherCell struct {
	mu        sync.Mutex
	places    int
	delivered map[dispatcher.TaskID]bool
}

func (c *otherCell) FindCell(context.Context, []string, string, dispatcher.StepID, dispatcher.Step, bool) (string, int) {
	time.Sleep(10 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	return "graz-b", c.places - len(c.delivered)
}

func (c *otherCell) Deliver(_ context.Context, part dispatcher.Part) {
	time.Sleep(10 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range part.Job.Part {
		c.delivered[id] = true
	}
}

// TestManyTasksToDelegate guards against long-running tasks that wait for many seconds in a
// full cell while another one has places for all of them.
func TestManyTasksToDelegate(t *testing.T) {
	const count = 41
	tests := map[string]struct{ places, want int }{
		"places for all":  {places: 60, want: count - 1},
		"places for some": {places: 10, want: 10},
		"one place":       {places: 1, want: 1},
		"no place":        {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loaded := make(chan struct{})
				close(loaded)
				other := &otherCell{places: test.places, delivered: map[dispatcher.TaskID]bool{}}
				runner := dispatcher.NewRunner(
					dispatcher.NewCell("graz-a", 1, limits, &events{}), clockwork.NewRealClock(),
					&fullWorkers{booted: time.Now()}, &slowStore{slowArchive{released: loaded}},
				)
				runner.OtherCells = other
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- runner.Run(ctx) }()
				runner.SetWorkers([]dispatcher.Registration{{
					ID: "w0", Address: "127.0.0.1:7000", Service: testService, Phase: dispatcher.PhaseReady, Boot: 1,
					Capacity: dispatcher.Size{MilliProcessors: 1500, Megabytes: 64000},
				}})
				job := longRunningJob(jobID, count, 1000)
				job.Queue.Service, job.Occurrences, job.Accepted = testService, 1, time.Now()
				runner.Add(job, false)
				time.Sleep(2500 * time.Millisecond)
				synctest.Wait()
				other.mu.Lock()
				if got := len(other.delivered); got != test.want {
					t.Errorf("%d tasks are delegated after 2.5 s, want %d", got, test.want)
				}
				other.mu.Unlock()
				cancel()
				<-ended
			})
		})
	}
}

package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestForgottenCrashesOfPart guards against a delegated task that is given up for crashes that were none, as the
// cell that runs it can't learn that the forgotten workers of the home cell are back.
func TestForgottenCrashesOfPart(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID}
	home := newActiveSimulation(4)
	home.submit(longRunningJob(otherID, 2, 3900))
	home.advance(500 * time.Millisecond)
	home.submit(longRunningJob(id.Job, 1, 3900))
	var away []*fakeWorker
	for range 2 {
		f := home.awaitRun(t, id)
		f.reachable = false
		home.unregister(f)
		away = append(away, f)
		for range 200 {
			if home.workerOf(id) != f {
				break
			}
			home.advance(50 * time.Millisecond)
		}
	}
	for range 400 {
		if next, _, delegates := home.cell.NextToDelegate(home.now); delegates && next == id {
			home.cell.Delegate(home.now, id, "graz-b", 1)
			break
		}
		home.advance(50 * time.Millisecond)
	}
	home.advance(200 * time.Millisecond)
	if len(home.archive.parts) != 1 {
		t.Fatalf("%d parts are stored, want 1", len(home.archive.parts))
	}
	for _, f := range away {
		f.reachable = true
		home.register(f)
	}
	home.advance(10 * time.Second) // both workers answer under the boots that they had
	part := home.archive.parts[0].Job

	s := newActiveCell("v", 12)
	s.archive.epoch += 7
	s.changeHolder(s.workers...)
	s.advance(time.Second)
	s.add(part, true)
	f := s.awaitRun(t, id)
	s.deadly(id, time.Hour)
	s.crash(f)
	s.crashing[id] = false
	s.advance(60 * time.Second)
	if got := s.archive.progress[id.Job].State; got == dispatcher.StateFailed {
		t.Errorf("the part is given up after 1 crash of a worker: %s", s.events.detail(dispatcher.KindGivenUp))
	}
}

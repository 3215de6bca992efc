package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

const (
	blockerID = "00000000000000b0"
	waitingID = "00000000000000b1"
)

// TestHotRack guards against tasks that run elsewhere, and take longer, although the rack of their data
// soon has a place, and against tasks that wait for a rack with far more work than it can run. The hot
// rack has 8 places and the others 40. Its runs take 2 s, and the tasks of the second job 4 s, elsewhere 8 s.
func TestHotRack(t *testing.T) {
	tests := map[string]struct {
		count         int
		change        func(*dispatcher.Job)
		waits, remote int
	}{
		"a short queue waits":                            {count: 6, waits: 6},
		"the excess starts elsewhere at once":            {count: 40, waits: 8, remote: 32},
		"an objective that can't wait":                   {count: 6, remote: 6, change: func(j *dispatcher.Job) { j.Queue.Stretch, j.Queue.Target = 1, time.Second }},
		"a queue without an objective":                   {count: 6, waits: 6, change: func(j *dispatcher.Job) { j.Queue.Stretch, j.Queue.Target = 0, 0 }},
		"run times that cost less than waiting":          {count: 6, remote: 6, change: func(j *dispatcher.Job) { j.Steps[0].Estimate = time.Second }},
		"a rack that the cell doesn't have":              {count: 6, remote: 6, change: func(j *dispatcher.Job) { j.Steps[0].DataRack = "rack-9" }},
		"best-effort tasks wait like short ones":         {count: 6, waits: 6, change: bestEffort},
		"a limit for each worker":                        {count: 6, waits: 4, remote: 2, change: func(j *dispatcher.Job) { j.Steps[0].WorkerLimit = 2 }},
		"a gang that fits into the rack":                 {count: 6, waits: 1, change: func(j *dispatcher.Job) { j.Steps[0].Gang = true }},
		"a gang that is larger than the rack":            {count: 10, remote: 10, change: func(j *dispatcher.Job) { j.Steps[0].Gang = true }},
		"a rack-local gang outside the rack of its data": {count: 6, waits: 1, change: func(j *dispatcher.Job) { j.Steps[0].Gang, j.Steps[0].RackLocal = true, true }},
		"long-running tasks start where there is room":   {count: 6, remote: 6, change: longRunning},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newRackSimulation(2, 2, 10)
			blocker := dataJob(blockerID, 8, 2*time.Second)
			if name == "best-effort tasks wait like short ones" {
				blocker.Steps[0].BestEffort, blocker.Steps[0].Size.Megabytes = true, 1000
			}
			s.submit(blocker)
			s.advance(200 * time.Millisecond)
			job := dataJob(waitingID, test.count, 4*time.Second)
			if test.change != nil {
				test.change(&job)
			}
			s.submit(job)
			s.advance(200 * time.Millisecond)
			if local, started := s.startedIn(waitingID, hotRack); started-local != test.remote {
				t.Errorf("%d tasks have started elsewhere at once, want %d", started-local, test.remote)
			}
			if len(s.waits) != test.waits || s.counts[dispatcher.KindRackWait] != test.waits {
				t.Errorf("%d tasks wait and %d events say so, want %d", len(s.waits), s.counts[dispatcher.KindRackWait], test.waits)
			}
			s.advance(3 * time.Second)
			if local, started := s.startedIn(waitingID, hotRack); started != test.count || started-local > test.remote {
				t.Errorf("%d tasks of %d have started, %d of them elsewhere", started, test.count, started-local)
			}
			if s.counts[dispatcher.KindRackLocal] != test.waits || s.counts[dispatcher.KindRackRemote] != 0 {
				t.Errorf("%d waits ended in the rack and %d elsewhere, want %d and 0", s.counts[dispatcher.KindRackLocal], s.counts[dispatcher.KindRackRemote], test.waits)
			}
			requireNoViolations(t, s.simulation)
		})
	}
}

func bestEffort(job *dispatcher.Job) {
	job.Steps[0].BestEffort, job.Steps[0].Size.Megabytes = true, 1000
}

func longRunning(job *dispatcher.Job) {
	*job = longRunningJob(job.ID, job.Steps[0].Count, 1000)
	job.Steps[0].DataRack = hotRack
}

// TestRackIsLost guards against tasks that wait for a rack whose workers drain or vanish.
func TestRackIsLost(t *testing.T) {
	tests := map[string]struct {
		lose func(*rackSimulation)
		// within is how soon the tasks start elsewhere: at once, or when the workers count as unhealthy.
		within time.Duration
	}{
		"the workers drain": {lose: func(s *rackSimulation) { s.drain(hotRack) }, within: 200 * time.Millisecond},
		"the workers are cut off": {within: 3 * time.Second, lose: func(s *rackSimulation) {
			for _, f := range s.inRack(hotRack) {
				f.reachable = false
			}
		}},
		"the workers leave the registry and exit": {within: 3 * time.Second, lose: func(s *rackSimulation) {
			for _, f := range s.inRack(hotRack) {
				f.closed = true
				s.unregister(f)
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newRackSimulation(2, 2, 10)
			s.submit(dataJob(blockerID, 8, 20*time.Second))
			s.advance(15 * time.Second)
			s.submit(dataJob(waitingID, 6, 20*time.Second))
			s.advance(200 * time.Millisecond)
			if _, started := s.startedIn(waitingID, hotRack); started != 0 || len(s.waits) != 6 {
				t.Fatalf("%d tasks have started and %d wait, want 0 and 6", started, len(s.waits))
			}
			test.lose(s)
			s.advance(test.within)
			if local, started := s.startedIn(waitingID, hotRack); started != 6 || local != 0 {
				t.Errorf("%d tasks have started, %d of them in the lost rack, want 6 and 0", started, local)
			}
			if remote := s.counts[dispatcher.KindRackRemote]; remote != 6 {
				t.Errorf("%d waits ended elsewhere, want 6", remote)
			}
			requireNoViolations(t, s.simulation)
		})
	}
}

// TestHolderChangeDuringRackWait guards against tasks that are lost, or run twice, if their cell gets
// another holder while they wait for a rack.
func TestHolderChangeDuringRackWait(t *testing.T) {
	s := newRackSimulation(2, 2, 10)
	s.submit(dataJob(blockerID, 8, 2*time.Second))
	s.advance(200 * time.Millisecond)
	s.submit(dataJob(waitingID, 12, 4*time.Second))
	s.advance(500 * time.Millisecond)
	if _, started := s.startedIn(waitingID, hotRack); started != 4 {
		t.Fatalf("%d tasks have started, want 4 of 12", started)
	}
	s.changeHolder(s.workers...)
	s.advance(30 * time.Second)
	requireState(t, s.simulation, blockerID, dispatcher.StateCompleted)
	requireState(t, s.simulation, waitingID, dispatcher.StateCompleted)
	for task, start := range s.starts {
		if start.count != 1 {
			t.Errorf("%s was started %d times", task, start.count)
		}
	}
	requireNoViolations(t, s.simulation)
}

// TestLongRunsBlockRack guards against waits for a rack whose places long-running tasks hold.
func TestLongRunsBlockRack(t *testing.T) {
	s := newRackSimulation(2, 2, 10)
	blocker := longRunningJob(blockerID, 8, 1000)
	blocker.Steps[0].DataRack = hotRack
	s.submit(blocker)
	s.advance(200 * time.Millisecond)
	s.submit(dataJob(waitingID, 6, 20*time.Second))
	s.advance(200 * time.Millisecond)
	if local, started := s.startedIn(waitingID, hotRack); started != 6 || local != 0 {
		t.Errorf("%d tasks have started, %d of them in the rack, want 6 and 0", started, local)
	}
	requireNoViolations(t, s.simulation)
}

// TestWrongEstimates guards against waits beyond their bound if runs take five times as long as declared,
// and against waits that go on once the actual run times are known.
func TestWrongEstimates(t *testing.T) {
	const length, tick = 2 * time.Second, 150 * time.Millisecond
	s := newRackSimulation(1.5, 2, 10)
	s.runTimeRatio = 5
	s.submit(dataJob(blockerID, 8, length))
	s.advance(1500 * time.Millisecond)
	s.submit(dataJob(waitingID, 6, length))
	s.advance(length/2 + tick)
	if local, started := s.startedIn(waitingID, hotRack); started != 6 || local != 0 || len(s.waits) != 6 {
		t.Errorf("%d tasks have started, %d of them in the rack, and %d have waited; want 6, 0 and 6", started, local, len(s.waits))
	}
	s.advance(30 * time.Second)
	s.submit(dataJob("00000000000000b2", 8, length))
	s.advance(3 * time.Second)
	before := len(s.waits)
	s.submit(dataJob("00000000000000b3", 6, length))
	s.advance(200 * time.Millisecond)
	if local, started := s.startedIn("00000000000000b3", hotRack); started != 6 || local != 0 || len(s.waits) != before {
		t.Errorf("with learned run times %d tasks have started, %d of them in the rack, and %d wait; want 6, 0 and 0", started, local, len(s.waits)-before)
	}
	requireNoViolations(t, s.simulation)
}

// TestRackLocalGang guards against gangs that are spread over racks although one rack soon has places for
// all members, and against gangs that wait although no rack can hold them.
func TestRackLocalGang(t *testing.T) {
	tests := map[string]struct {
		members int
		waits   bool
	}{
		"a rack soon has places":         {members: 6, waits: true},
		"no rack has places for so many": {members: 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newRackSimulation(2, 2, 2, 2)
			for i := range 3 {
				job := dataJob(fmt.Sprintf("%016x", 0xc0+i), 4, time.Duration(2+i)*time.Second)
				job.Steps[0].DataRack = fmt.Sprintf("rack-%d", i)
				s.submit(job)
			}
			s.advance(200 * time.Millisecond)
			s.submit(groupJob(waitingID, test.members, 4*time.Second))
			s.advance(200 * time.Millisecond)
			if _, started := s.startedIn(waitingID, hotRack); (started == 0) != test.waits {
				t.Errorf("%d members have started at once, want them to wait: %v", started, test.waits)
			}
			if state, _ := s.cell.State(waitingID); (state == dispatcher.StateQueued) != test.waits {
				t.Errorf("the state is %s at first, want it to be queued: %v", state, test.waits)
			}
			s.advance(2 * time.Second)
			if local, started := s.startedIn(waitingID, hotRack); started != test.members || test.waits && local != started {
				t.Errorf("%d members have started, %d of them in the first rack, want %d", started, local, test.members)
			}
			if state, _ := s.cell.State(waitingID); state != dispatcher.StateRunning {
				t.Errorf("the state is %s, want running", state)
			}
			requireNoViolations(t, s.simulation)
		})
	}
}

// TestRackWaitHoldsBackNothing guards against tasks that find no worker because an earlier one of the same
// size waits for a rack.
func TestRackWaitHoldsBackNothing(t *testing.T) {
	s := newRackSimulation(2, 2, 2)
	s.submit(dataJob(blockerID, 8, 2*time.Second))
	s.advance(200 * time.Millisecond)
	s.submit(dataJob(waitingID, 6, 4*time.Second))
	other := plainJob("00000000000000b2", 8, 4*time.Second, 1)
	other.Queue.Stretch, other.Queue.Target = 20, time.Hour
	s.submit(other)
	s.advance(200 * time.Millisecond)
	if _, started := s.startedIn("00000000000000b2", hotRack); started != 8 {
		t.Errorf("%d tasks have started while others wait for a rack, want 8", started)
	}
	if len(s.waits) != 6 {
		t.Errorf("%d tasks wait, want 6", len(s.waits))
	}
	requireNoViolations(t, s.simulation)
}

// TestNoRemoteFactor guards against plans that differ from those without waits for racks, if the factor
// is unknown or not above 1, or no task has a rack.
func TestNoRemoteFactor(t *testing.T) {
	tests := map[string]struct {
		factor          float64
		rack            string
		gang, rackLocal bool
	}{
		"factor 1":                        {factor: 1, rack: hotRack},
		"factor below 1":                  {factor: 0.5, rack: hotRack},
		"a gang and factor 1":             {factor: 1, rack: hotRack, gang: true},
		"a rack-local gang and no factor": {gang: true, rackLocal: true},
		"a rack-local gang and factor 1":  {factor: 1, gang: true, rackLocal: true},
		"no racks and factor 2":           {factor: 2},
		"a gang without a rack":           {factor: 2, gang: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan := func(factor float64, rackLocal bool) string {
				s := newRackSimulation(0, 3, 2)
				s.remoteFactor = factor
				s.changeHolder(s.workers...)
				s.remoteFactor = 0
				s.advance(200 * time.Millisecond)
				for i := range 6 {
					job := dataJob(fmt.Sprintf("%016x", 0xd0+i), 7, time.Duration(1+i%3)*time.Second)
					job.Steps[0].DataRack = test.rack
					job.Steps[0].Gang, job.Steps[0].RackLocal = test.gang, rackLocal
					s.submit(job)
					s.advance(300 * time.Millisecond)
				}
				s.advance(20 * time.Second)
				if s.counts[dispatcher.KindRackWait] != 0 {
					t.Errorf("%d tasks have waited with factor %v", s.counts[dispatcher.KindRackWait], factor)
				}
				return s.startLog()
			}
			if unknown, known := plan(0, false), plan(test.factor, test.rackLocal); unknown != known {
				t.Errorf("the starts differ:\n%s\nwithout a factor:\n%s", known, unknown)
			}
		})
	}
}

// startLog returns the starts in their order.
func (s *rackSimulation) startLog() string {
	log := ""
	for _, event := range s.events.recorded {
		if event.Kind == dispatcher.KindStart {
			log += fmt.Sprintf("%s on %s\n", event.Task, event.VM)
		}
	}
	return log
}

// TestRunTimesWithoutRacks guards against processor time that each end costs in a cell without tasks that
// may wait for a rack: nothing uses the run times there.
func TestRunTimesWithoutRacks(t *testing.T) {
	tests := map[string]struct {
		rack  string
		learn bool
	}{
		"no data rack": {},
		"a data rack":  {rack: hotRack, learn: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newRackSimulation(2, 2, 2)
			job := plainJob(jobID, 12, 500*time.Millisecond, 1)
			job.Steps[0].DataRack = test.rack
			s.submit(job)
			s.runFor(5 * time.Second)
			if learned := dispatcher.LearnedRunTimes(s.cell); learned != test.learn {
				t.Errorf("run times are learned: %t, want %t", learned, test.learn)
			}
		})
	}
}

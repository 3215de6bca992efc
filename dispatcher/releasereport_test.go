package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestReportsOfUnheardRuns guards against two runs of a task: a holder that releases the cell reports that nothing runs on a
// worker that doesn't answer although a run may last there.
func TestReportsOfUnheardRuns(t *testing.T) {
	tests := map[string]struct {
		disturb func(s *simulation, f *fakeWorker)
		// least is what is reported at least.
		least time.Duration
	}{
		"it shuts down, and its next process has only registered": {least: 3 * time.Second, disturb: func(s *simulation, f *fakeWorker) {
			s.drain(f)
			s.runFor(100 * time.Millisecond)
			next := s.succeed(f)
			next.reachable = false
			s.register(next)
		}},
		"it restarts after a start without an answer": {least: limits.LeaseDuration + time.Second, disturb: func(s *simulation, f *fakeWorker) {
			s.enlarge(s.workers[:1])
			s.nextFate = func() startFate { return fateLost }
			s.submit(longRunningJob(otherID, 1, fullCapacity.MilliProcessors))
			s.runFor(50 * time.Millisecond)
			f.reboot()
			f.reachable = false
			s.register(f)
		}},
		"it has a run of a job that isn't known": {least: 3 * time.Second, disturb: func(s *simulation, f *fakeWorker) {
			delete(s.archive.jobs, jobID)
			delete(s.archive.progress, jobID)
			s.changeHolder(s.workers...)
			s.runFor(100 * time.Millisecond)
			f.reachable = false
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(3)
			s.submit(longRunningJob(jobID, 3, fullCapacity.MilliProcessors))
			s.runFor(2 * maxGrant)
			id := s.workers[0].registration.ID
			test.disturb(s, s.workers[0])
			s.runFor(200 * time.Millisecond)
			if left, told := s.cell.LeasesOfSilentWorkers(s.now)[id]; told && left < test.least {
				t.Errorf("leases last for %v, want %v or more", left, test.least)
			} else if !told {
				t.Error("nothing is told of the worker, which doesn't answer")
			}
		})
	}
}

// TestReportsOfInactiveHolder guards against two runs of a task: a holder that was never active reports less than it was
// told of the leases that earlier holders have granted.
func TestReportsOfInactiveHolder(t *testing.T) {
	const toldWorker, toldProcess = 3 * time.Second, 2 * time.Second
	told, process := "w1", dispatcher.ProcessID{Worker: "w2", Boot: 7}
	for name, ended := range map[string]bool{"earlier holders may act": false, "all of them have ended": true} {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(5)
			heard := s.workers[0]
			drainAndRestart(s, heard)
			s.changeHolder(s.workers...)
			s.cell.EarlierLeaseEnds = map[string]time.Time{told: s.now.Add(toldWorker)}
			s.cell.EarlierProcessLeaseEnds = map[dispatcher.ProcessID]time.Time{process: s.now.Add(toldProcess)}
			for _, f := range s.workers[1:] {
				f.reachable = false
			}
			s.now = s.now.Add(10 * time.Millisecond)
			s.pollAll()
			if ended {
				s.cell.EarlierHoldersEnded(s.now)
			}
			silent, processes := s.cell.LeasesOfSilentWorkers(s.now), s.cell.LeasesOfEarlierProcesses(s.now)
			if left := silent[told]; left < toldWorker-10*time.Millisecond {
				t.Errorf("leases on %s last for %v, want %v", told, left, toldWorker)
			}
			if left := processes[process]; left < toldProcess-10*time.Millisecond {
				t.Errorf("leases of the processes before %v last for %v, want %v", process, left, toldProcess)
			}
			if left, found := silent["w3"]; found != ended || ended && left < limits.LeaseDuration {
				t.Errorf("leases on w3, of which nothing was told, last for %v (told %v)", left, found)
			}
			id := dispatcher.ProcessID{Worker: heard.registration.ID, Boot: heard.reportedBoot()}
			if left, found := processes[id]; found && left < limits.LeaseDuration {
				t.Errorf("leases of the process before %v last for %v", id, left)
			}
		})
	}
}

// TestReportsOfSupersededHolder guards against two runs of a task: a holder reports its leases although another one has
// begun a term, which may have granted some since.
func TestReportsOfSupersededHolder(t *testing.T) {
	s := newActiveSimulation(3)
	drainAndRestart(s, s.workers[0])
	s.workers[1].reachable = false
	s.runFor(500 * time.Millisecond)
	s.cell.TermEnded()
	if silent, processes := s.cell.LeasesOfSilentWorkers(s.now), s.cell.LeasesOfEarlierProcesses(s.now); silent != nil || processes != nil {
		t.Errorf("reported: %v and %v, want nothing", silent, processes)
	}
}

// TestReportedProcessListsIncompletely guards against two runs of a task: a worker's present process has a run of an earlier
// holder in a row that can't be read, and only the leases of the process before it are known to have expired.
func TestReportedProcessListsIncompletely(t *testing.T) {
	for name, incomplete := range map[string]bool{"all rows are read": false, "a row isn't": true} {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(4)
			s.submit(longRunningJob(jobID, 4, 1200))
			s.runFor(time.Second)
			f := s.workers[0]
			drainAndRestart(s, f)
			s.runFor(5 * time.Second)
			s.release(s.workers...)
			s.add(longRunningJob(otherID, 1, 1200), true)
			f.lateAnswer, f.lateAnswerAt = func() {}, s.now.Add(time.Hour)
			for range 20 {
				s.now = s.now.Add(10 * time.Millisecond)
				order, _ := s.cell.NextPoll(s.now, f.registration.ID)
				listing, answer := f.poll(order)
				listing.Incomplete = incomplete
				s.cell.HandlePollAnswer(s.now, s.now, order, listing, answer)
				s.step(40 * time.Millisecond)
			}
			if waits := s.running[dispatcher.TaskID{Job: otherID}] == 0; waits != incomplete {
				t.Errorf("a task that the earlier holder may have started waits: %v, want %v", waits, incomplete)
			}
		})
	}
}

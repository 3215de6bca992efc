package dispatcher_test

import (
	"fmt"
	"time"

	"zinniashore.example/dispatcher"
	"zinniashore.example/recorder"
)

// hotRack is the rack that holds the data of the jobs that the rack tests submit.
const hotRack = "rack-0"

// runTimeOn returns how long a task takes on a worker.
func (s *simulation) runTimeOn(w *fakeWorker, task dispatcher.TaskID) time.Duration {
	length, step := s.runTime(task), s.jobs[task.Job].Steps[task.Step]
	if step.LongRunning {
		return length
	}
	if s.runTimeRatio > 0 {
		length = time.Duration(s.runTimeRatio * float64(length))
	}
	if s.remoteFactor > 0 && step.DataRack != "" && !w.registration.HasLabel(step.DataRack) {
		length = time.Duration(s.remoteFactor * float64(length))
	}
	return length
}

// rackSimulation is a simulation of workers in racks. It notes when tasks first start, and where.
type rackSimulation struct {
	*simulation
	seen   int
	starts map[string]rackStart
	waits  map[string]int
	counts map[recorder.Kind]int
}

// rackStart is the first start of a task.
type rackStart struct {
	at    time.Time
	rack  string
	count int
}

// newRackSimulation returns a held cell with workers of 4 processors in racks of the given sizes.
func newRackSimulation(factor float64, racks ...int) *rackSimulation {
	total := 0
	for _, workers := range racks {
		total += workers
	}
	s := &rackSimulation{
		simulation: newSimulation(total), starts: map[string]rackStart{}, waits: map[string]int{}, counts: map[recorder.Kind]int{},
	}
	next := 0
	for i, workers := range racks {
		for range workers {
			registration := &s.workers[next].registration
			registration.Rack = fmt.Sprintf("rack-%d", i)
			registration.Labels = []string{registration.Rack}
			next++
		}
	}
	s.remoteFactor = factor
	s.changeHolder(s.workers...)
	s.advance(200 * time.Millisecond)
	return s
}

// advance runs the simulation in steps of 50 ms and notes the starts.
func (s *rackSimulation) advance(span time.Duration) {
	const tick = 50 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += tick {
		s.step(tick)
		s.note()
	}
}

// note notes the events since the last call.
func (s *rackSimulation) note() {
	for _, event := range s.events.recorded[s.seen:] {
		s.counts[event.Kind]++
		switch event.Kind {
		case dispatcher.KindStart:
			start, known := s.starts[event.Task]
			if !known {
				start.at, start.rack = s.now, s.workerByID(event.VM).registration.Rack
			}
			start.count++
			s.starts[event.Task] = start
		case dispatcher.KindRackWait:
			s.waits[event.Task]++
		}
	}
	s.seen = len(s.events.recorded)
}

// startedIn returns how many tasks of a job have started, and how many of them in a rack.
func (s *rackSimulation) startedIn(job, rack string) (inRack, total int) {
	for index := range s.jobs[job].Steps[0].Count {
		start, started := s.starts[dispatcher.TaskID{Job: job, Index: index}.String()]
		if !started {
			continue
		}
		total++
		if start.rack == rack {
			inRack++
		}
	}
	return inRack, total
}

// inRack returns the workers of a rack.
func (s *rackSimulation) inRack(rack string) []*fakeWorker {
	var workers []*fakeWorker
	for _, f := range s.workers {
		if f.registration.Rack == rack {
			workers = append(workers, f)
		}
	}
	return workers
}

// drain makes the workers of a rack drain.
func (s *rackSimulation) drain(rack string) {
	for _, f := range s.inRack(rack) {
		f.registration.Phase = dispatcher.PhaseDraining
		s.register(f)
	}
}

// dataJob returns a job of one step whose data is in the hot rack.
func dataJob(id string, count int, length time.Duration) dispatcher.Job {
	job := plainJob(id, count, length, 1)
	job.Queue.Stretch, job.Queue.Target = 10, time.Minute
	job.Steps[0].DataRack = hotRack
	return job
}

// groupJob returns a job of one gang that is faster in one rack.
func groupJob(id string, count int, length time.Duration) dispatcher.Job {
	job := dataJob(id, count, length)
	job.Steps[0].DataRack, job.Steps[0].Gang, job.Steps[0].RackLocal = "", true, true
	return job
}

package main

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"zinniashore.example/standin"
)

const (
	// soakLongWorkers is the number of workers of each domain of a long case.
	soakLongWorkers = 8
	// soakLongSpacing is how many times rarer the calls of a client are in a long case.
	soakLongSpacing = 2
	// soakLongSettle is the time after the faults of a long case within which all jobs must be
	// over: three steps of tasks of soakLongestTask that fail or lose their workers now and then.
	soakLongSettle = 60 * time.Second
	// soakShortestTask, soakTaskSpread and soakLongestTask bound the run times of tasks.
	soakShortestTask = 50 * time.Millisecond
	soakTaskSpread   = 1500 * time.Millisecond
	soakLongestTask  = 6 * time.Second
	// soakManyTasks bounds the number of tasks of one in soakManyEvery steps of a long case.
	soakManyTasks, soakManyEvery = 16, 4
	// soakLongEvery and soakOutageEvery are the average times between faults of long cases, and
	// soakOutageStart is when the first outage begins.
	soakLongEvery   = 1500 * time.Millisecond
	soakOutageEvery = 12 * time.Second
	soakOutageStart = 5 * time.Second
	// soakShortestOutage and soakOutageStretch give the length of an outage, which is its
	// shortest one and a multiple of that of other faults.
	soakShortestOutage = 6 * time.Second
	soakOutageStretch  = 5
	// soakSparse is how many times fewer faults half of the long cases have.
	soakSparse = 5
	// soakLongestHold is the longest time for which a worker holds back a call.
	soakLongestHold = 4 * time.Second
)

// soakLongKinds are the kinds of faults that long cases add, soakOutageKinds those that half
// of them add.
var (
	soakLongKinds = []soakKind{
		{"workers leave together", 2}, {"workers frozen", 3}, {"calls carried out late", 3}, {"workers busy", 2},
	}
	soakOutageKinds = []soakKind{{"store away", 1}}
)

// longPlan adds the faults of a long case to a plan. Half of these cases have few faults, so that
// most leases last.
func longPlan(plan []soakFault, seed uint64, length time.Duration) []soakFault {
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, 6<<32)), soakLongKinds, soakLongEvery, length)...)
	if seed/4%2 == 1 {
		plan = slices.DeleteFunc(plan, func(f soakFault) bool { return f.number%soakSparse != 0 })
	}
	if seed%4 < 2 {
		return plan
	}
	for _, f := range drawFaults(rand.New(rand.NewPCG(seed, 7<<32)), soakOutageKinds, soakOutageEvery, length-soakOutageStart) {
		f.at += soakOutageStart
		f.length = soakShortestOutage + soakOutageStretch*f.length
		plan = append(plan, f)
	}
	return plan
}

// refusesExcess reports whether the workers refuse what exceeds their capacity. In the other
// cases a start that exceeds it is reported.
func (s *soak) refusesExcess() bool { return s.long && s.seed%2 == 1 }

// workerCounts returns the number of workers of each domain.
func (s *soak) workerCounts() (int, int) {
	if s.long || s.refusals || s.lostHolder || s.lostDomain {
		return soakLongWorkers, soakLongWorkers
	}
	return 4, 3
}

func (s *soak) settleTime() time.Duration {
	if s.long {
		return soakLongSettle
	}
	return soakSettle
}

func (s *soak) callSpacing() time.Duration {
	if s.long || s.refusals || s.planned {
		return soakLongSpacing
	}
	return 1
}

// lengthOf returns how long a task runs.
func (s *soak) lengthOf(task string) time.Duration {
	if s.planned {
		return plannedLength(task)
	}
	spread := soakTaskSpread
	if s.long {
		spread = soakLongestTask - soakShortestTask
	}
	return soakShortestTask + time.Duration(hashOf(task))%(spread/time.Millisecond)*time.Millisecond
}

// enlarge gives a job more tasks, and estimates of them that are off.
func (j *soakJob) enlarge(rng *rand.Rand) {
	for i := range j.steps {
		if rng.IntN(soakManyEvery) == 0 {
			j.steps[i].Count = 1 + rng.IntN(soakManyTasks)
		}
		if j.longRunning() {
			continue
		}
		j.steps[i].EstimateMS = 100 << rng.IntN(7)
		if rng.IntN(soakGangEvery) == 0 {
			j.steps[i].Count, j.steps[i].Gang = 2+rng.IntN(soakGangTasks-1), true
		}
	}
}

// fitsWorker reports whether a task fits on a worker together with those that run there.
func fitsWorker(task string, running []string) bool {
	used := taskSize(task)
	for _, other := range running {
		used = used.plus(taskSize(other))
	}
	return used.within(soakCapacity)
}

// taskSize returns the size of a task of a client.
func taskSize(task string) soakSize {
	fields := strings.Split(task, ".")
	if len(fields) != 4 {
		return soakSize{}
	}
	step, err := strconv.Atoi(fields[2])
	if err != nil {
		return soakSize{}
	}
	return stepSize(fields[0], step)
}

// injectLong carries out the faults that long cases add.
func (s *soak) injectLong(f soakFault, p *soakProcess) bool {
	switch f.kind {
	case "store away":
		s.storeOutage(f, standin.PlatformFaults{Refuse: f.variant < 4, Silent: f.variant >= 4}, f.variant%2 == 0)
	case "workers leave together":
		s.leaveTogether(f)
	case "workers frozen":
		for _, w := range s.some(p.domain, f) {
			w.worker.Freeze(f.length)
		}
		time.Sleep(f.length)
	case "calls carried out late":
		late := 500*time.Millisecond + time.Duration(f.number%uint64(soakLongestHold))
		s.setWorkers(s.some(p.domain, f), f.length, standin.PlatformWorkerFaults{LateEvery: 1 + f.variant%3, Late: late})
	case "workers busy":
		s.setWorkers(s.some(p.domain, f), f.length, standin.PlatformWorkerFaults{RefuseEvery: 1 + f.variant%2})
	default:
		return false
	}
	return true
}

// some returns between one and all of the workers of a domain that stay.
func (s *soak) some(domain string, f soakFault) []*soakWorker {
	staying := s.staying(domain)
	if len(staying) == 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(f.number, 1))
	rng.Shuffle(len(staying), func(i, j int) { staying[i], staying[j] = staying[j], staying[i] })
	return staying[:1+rng.IntN(len(staying))]
}

// setWorkers gives workers faults for a time.
func (s *soak) setWorkers(workers []*soakWorker, length time.Duration, faults standin.PlatformWorkerFaults) {
	for _, w := range workers {
		w.worker.SetFaults(faults)
	}
	time.Sleep(length)
	for _, w := range workers {
		w.worker.SetFaults(standin.PlatformWorkerFaults{})
	}
}

// leaveTogether drains several workers at once. Their processes end one after another, some
// time after they have closed their addresses.
func (s *soak) leaveTogether(f soakFault) {
	var leaving sync.WaitGroup
	for i := range 2 + f.variant%3 {
		w := s.takeWorker(f.number>>8+uint64(i), true)
		if w == nil {
			continue
		}
		s.register(w)
		leaving.Go(func() {
			s.awaitStore()
			s.register(w)
			time.Sleep(soakDrain + f.gap()*time.Duration(i))
			s.leave(w, f.length/time.Duration(1+i))
			s.addWorker(w.domain, rand.New(rand.NewPCG(f.number, uint64(i))))
		})
	}
	leaving.Wait()
}

// awaitStore waits until the store accepts registrations: a worker that is to leave serves until
// then.
func (s *soak) awaitStore() {
	for {
		s.mu.Lock()
		away := s.outages > 0
		s.mu.Unlock()
		if !away || s.ctx.Err() != nil {
			return
		}
		time.Sleep(soakPump)
	}
}

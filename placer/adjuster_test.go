package placer_test

import (
	"fmt"
	"testing"
	"time"

	"zinniashore.example/placer"
)

// protectCases place a service beside a batch task. The throttle of the batch task was
// changed the duration last before the decision.
var protectCases = map[string]struct {
	measured float64
	throttle float64
	last     time.Duration
	evicted  int
	want     string
}{
	"slow: the first step is a throttle":       {1.2, 1, time.Hour, 0, "[throttle b w1 0.5]"},
	"slow: the second step throttles more":     {1.2, 0.5, time.Hour, 0, "[throttle b w1 0.25]"},
	"slow: the last step is an eviction":       {1.2, 0.25, time.Hour, 0, "[evict b w1 0]"},
	"slow, within the lag of reports":          {1.2, 0.5, 10 * time.Second, 0, "[]"},
	"slow, but the eviction budget is used up": {1.2, 0.25, time.Hour, placer.DefaultEvictionBudget, "[]"},
	"between the limits nothing changes":       {1.11, 0.5, time.Hour, 0, "[]"},
	"not slow: a throttle is lifted by a step": {1.01, 0.25, time.Hour, 0, "[throttle b w1 0.5]"},
	"not slow, throttle changed recently":      {1.01, 0.25, 40 * time.Second, 0, "[]"},
	"not slow, lifting would slow it down":     {1.06, 0.25, time.Hour, 0, "[]"},
	"not slow and not throttled":               {1.01, 1, time.Hour, 0, "[]"},
}

func TestProtectingServicesInSteps(t *testing.T) {
	for name, c := range protectCases {
		t.Run(name, func(t *testing.T) {
			s := placer.Snapshot{
				Now:     noon,
				Workers: []placer.Worker{worker("w1", size(16, 64))},
				Tasks: []placer.Task{
					with(placedTask("s", "w1", size(4, 8)), func(t *placer.Task) {
						t.Class, t.Template = placer.ClassService, "shop"
					}),
					with(placedTask("b", "w1", size(4, 8)), func(t *placer.Task) {
						t.Throttle, t.ThrottledAt = c.throttle, noon.Add(-c.last)
					}),
				},
				Estimates: fixedEstimates{
					factor:   map[string]int64{"shop": 4, "sort": 4},
					excess:   map[string]float64{"sort": 0.2},
					measured: map[string]float64{"s": c.measured},
				},
			}
			for i := range c.evicted {
				s.Tasks = append(s.Tasks, with(waitingTask(fmt.Sprint("e", i), size(1000, 1)), func(t *placer.Task) {
					t.Evictions, t.Since = 1, noon.Add(-time.Second)
				}))
			}
			p := placer.Placer{Seed: 1}
			got := []string{}
			for _, a := range p.Decide(s).Actions {
				got = append(got, fmt.Sprint(a.Kind, " ", a.Task, " ", a.Worker, " ", a.Throttle))
			}
			if fmt.Sprint(got) != c.want {
				t.Errorf("actions are %v, want %s", got, c.want)
			}
		})
	}
}

// TestInstancesSpread places a service on three failure domains and seven racks and
// checks the number of instances in each domain, in each rack and on each worker.
func TestInstancesSpread(t *testing.T) {
	var s placer.Snapshot
	for i := range 56 {
		w := worker(fmt.Sprintf("w%d", i), size(64, 250))
		w.FailureDomain, w.Rack = fmt.Sprintf("d%d", i/8%3), fmt.Sprintf("r%d", i/8)
		s.Workers = append(s.Workers, w)
	}
	for i := range 50 {
		s.Tasks = append(s.Tasks, with(waitingTask(fmt.Sprintf("s%d", i), size(4, 8)), func(t *placer.Task) {
			t.Class, t.Group = placer.ClassService, "shop"
		}))
	}
	p := placer.Placer{Seed: 1}
	count := map[string]int{}
	for _, a := range p.Decide(s).Actions {
		for _, w := range s.Workers {
			if w.ID == a.Worker {
				count[w.FailureDomain]++
				count[w.Rack]++
				count[w.ID]++
			}
		}
	}
	limits := map[string]int{"d0": 17, "d1": 17, "d2": 17}
	for _, w := range s.Workers {
		limits[w.ID] = 50 / 12
		limits[w.Rack] = 9
	}
	for place, limit := range limits {
		if count[place] > limit {
			t.Errorf("%s runs %d of 50 instances, want at most %d", place, count[place], limit)
		}
	}
}

// TestAcceleratorsStayUsable checks that tasks without accelerators and small requests
// leave enough capacity on workers for tasks that need all accelerators.
func TestAcceleratorsStayUsable(t *testing.T) {
	cases := map[string]struct {
		without int
		plain   int
		small   int
		large   []placer.Task
		want    int
	}{
		"work without accelerators does not block them": {plain: 100, large: accelerated("large", 4, 4, 32), want: 4},
		"small requests share one worker":               {small: 4, large: accelerated("large", 3, 4, 32), want: 7},
		"all at once":                                   {plain: 100, small: 4, large: accelerated("large", 3, 4, 32), want: 7},
		"other workers are taken first":                 {without: 1, plain: 4, small: 1, large: accelerated("large", 4, 3, 56), want: 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s placer.Snapshot
			for i := range 4 {
				capacity := size(64, 256)
				capacity.Accelerators = 4
				s.Workers = append(s.Workers, worker(fmt.Sprintf("w%d", i), capacity))
			}
			for i := range c.without {
				s.Workers = append(s.Workers, worker(fmt.Sprintf("v%d", i), size(64, 256)))
			}
			s.Tasks = append(s.Tasks, accelerated("small", c.small, 1, 8)...)
			p := placer.Placer{Seed: 1}
			s = applied(s, p.Decide(s))
			s.Tasks = append(s.Tasks, accelerated("plain", c.plain, 0, 8)...)
			s = applied(s, p.Decide(s))
			s.Tasks = append(s.Tasks, c.large...)
			s = applied(s, p.Decide(s))
			got := 0
			for _, task := range s.Tasks {
				if task.State == placer.TaskPlaced && task.Declared.Accelerators > 0 {
					got++
				}
			}
			if got != c.want {
				t.Errorf("%d tasks with accelerators are placed, want %d", got, c.want)
			}
		})
	}
}

func accelerated(name string, count int, accelerators, processors int64) []placer.Task {
	var tasks []placer.Task
	for i := range count {
		task := waitingTask(fmt.Sprintf("%s%d", name, i), size(processors, 4*processors))
		task.Declared.Accelerators = accelerators
		tasks = append(tasks, task)
	}
	return tasks
}

// applied returns the snapshot after the starts and evictions of a plan have completed.
func applied(s placer.Snapshot, plan placer.Plan) placer.Snapshot {
	next := s
	next.Tasks = append([]placer.Task(nil), s.Tasks...)
	for _, a := range plan.Actions {
		for i := range next.Tasks {
			task := &next.Tasks[i]
			if task.ID != a.Task {
				continue
			}
			switch a.Kind {
			case placer.ActionStart:
				task.State, task.Workers, task.Reserved, task.Since = placer.TaskPlaced, []string{a.Worker}, a.Reserved, s.Now
			case placer.ActionEvict:
				task.State, task.Workers, task.Since = placer.TaskWaiting, nil, s.Now
				task.Evictions++
			}
		}
	}
	return next
}

// TestNothingStarves checks that a task of low priority starts although new tasks of a
// higher priority keep the only worker busy.
func TestNothingStarves(t *testing.T) {
	p := placer.Placer{Seed: 1}
	s := placer.Snapshot{Now: noon, Workers: []placer.Worker{worker("w1", size(8, 8))}}
	s.Tasks = []placer.Task{with(waitingTask("old", size(8, 8)), func(t *placer.Task) { t.Since = noon })}
	const rounds = 200
	for round := range rounds {
		s.Now = noon.Add(time.Duration(round) * 10 * time.Minute)
		kept := s.Tasks[:0:0]
		for _, task := range s.Tasks {
			if task.State == placer.TaskWaiting {
				kept = append(kept, task)
			}
		}
		s.Tasks = kept
		for i := range 2 {
			s.Tasks = append(s.Tasks, with(waitingTask(fmt.Sprintf("n%d-%d", round, i), size(8, 8)), func(t *placer.Task) {
				t.Priority, t.Since = 5, s.Now
			}))
		}
		s = applied(s, p.Decide(s))
		if taskOf(s, "old").State == placer.TaskPlaced {
			return
		}
	}
	t.Errorf("the task of low priority did not start in %d rounds", rounds)
}

// TestQuotaIsReclaimed lets one organisation borrow the whole cell and then submits tasks
// of another one. The second organisation must get all of its quota within the eviction
// budget, without more evictions than needed.
func TestQuotaIsReclaimed(t *testing.T) {
	s := placer.Snapshot{Now: noon, Quotas: []placer.Quota{
		{Organisation: "x", Limit: size(64, 256)},
		{Organisation: "y", Limit: size(64, 256)},
	}}
	for i := range 8 {
		s.Workers = append(s.Workers, worker(fmt.Sprintf("w%d", i), size(16, 64)))
	}
	add := func(organisation string, count int) {
		for i := range count {
			s.Tasks = append(s.Tasks, with(waitingTask(fmt.Sprint(organisation, i), size(4, 4)), func(t *placer.Task) {
				t.Organisation, t.Since = organisation, s.Now
			}))
		}
	}
	p := placer.Placer{Seed: 1, EvictionBudget: 4}
	add("y", 40)
	s = applied(s, p.Decide(s))
	add("x", 20)
	running := map[string]int{}
	evictions := 0
	for round := range 12 {
		s.Now = noon.Add(time.Duration(round+1) * 30 * time.Second)
		plan := p.Decide(s)
		for _, a := range plan.Actions {
			if a.Kind == placer.ActionEvict {
				evictions++
			}
		}
		s = applied(s, plan)
	}
	for _, task := range s.Tasks {
		if task.State == placer.TaskPlaced {
			running[task.Organisation]++
		}
	}
	if running["x"] != 16 || running["y"] != 16 || evictions != 16 {
		t.Errorf("x runs %d, y runs %d after %d evictions, want 16 each after 16", running["x"], running["y"], evictions)
	}
}

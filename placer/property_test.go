package placer_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/placer"
)

// fixedEstimates are Estimates with fixed values by template.
type fixedEstimates struct {
	factor   map[string]int64
	excess   map[string]float64
	measured map[string]float64
}

func (g fixedEstimates) Size(template string, declared placer.Size) placer.Size {
	quarters := g.factor[template]
	return placer.Size{Processors: declared.Processors * quarters / 4, Memory: declared.Memory * quarters / 4}
}

func (g fixedEstimates) Slowdown(_ string, others []string) float64 {
	slowdown := 1.0
	for _, n := range others {
		slowdown += g.excess[n]
	}
	return slowdown
}

func (g fixedEstimates) Learned(template string) bool {
	return g.factor[template] > 0
}

func (g fixedEstimates) Measured(task string) float64 {
	return max(1, g.measured[task])
}

var domains = []string{"graz-a", "graz-b"}

func drawWorkers(t *rapid.T) []placer.Worker {
	var workers []placer.Worker
	states := []placer.WorkerState{placer.WorkerReady, placer.WorkerReady, placer.WorkerReady,
		placer.WorkerLeaving, placer.WorkerUnreachable, placer.WorkerQuarantined,
		placer.WorkerEvacuated, placer.WorkerUnknown}
	for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
		capacity := size(int64(rapid.SampledFrom([]int{8, 16, 64}).Draw(t, "capacity")), 64)
		capacity.Accelerators = int64(rapid.SampledFrom([]int{0, 0, 4}).Draw(t, "accelerators"))
		workers = append(workers, placer.Worker{
			ID:            fmt.Sprintf("w%d", i),
			FailureDomain: domains[i%2],
			Rack:          fmt.Sprintf("r%d", i/2),
			Capacity:      capacity,
			State:         rapid.SampledFrom(states).Draw(t, "state"),
		})
	}
	return workers
}

func drawTask(t *rapid.T, i int) placer.Task {
	task := waitingTask(fmt.Sprintf("t%d", i), size(
		int64(rapid.SampledFrom([]int{1, 2, 4, 8, 12, 96}).Draw(t, "processors")),
		int64(rapid.SampledFrom([]int{2, 8, 16, 32}).Draw(t, "memory"))))
	task.Template = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "template")
	task.Organisation = rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "organisation")
	task.Priority = rapid.IntRange(0, 3).Draw(t, "priority")
	task.Evictions = rapid.IntRange(0, 4).Draw(t, "evictions")
	task.Work = time.Duration(rapid.IntRange(1, 300).Draw(t, "work")) * time.Minute
	task.Since = noon.Add(-time.Duration(rapid.IntRange(0, 600).Draw(t, "since")) * time.Second)
	if rapid.Bool().Draw(t, "service") {
		task.Class, task.Group = placer.ClassService, task.Template
		return task
	}
	task.Urgent = rapid.IntRange(0, 5).Draw(t, "urgent") == 0
	task.Declared.Accelerators = int64(rapid.SampledFrom([]int{0, 0, 0, 1, 4}).Draw(t, "accelerators"))
	if rapid.Bool().Draw(t, "window") {
		task.NotBefore = noon.Add(time.Duration(rapid.IntRange(-60, 30).Draw(t, "begin")) * time.Minute)
		task.Deadline = task.NotBefore.Add(3 * time.Hour)
	}
	if rapid.IntRange(0, 3).Draw(t, "bound") == 0 {
		task.FailureDomains = domains[:1]
		task.Excluded = []string{"w0"}
	}
	return task
}

// drawSnapshot draws a snapshot whose placed tasks fit on their workers. A task may be
// placed on two workers, which is the case while the outcome of a start is unknown.
func drawSnapshot(t *rapid.T) placer.Snapshot {
	s := placer.Snapshot{Now: noon, Workers: drawWorkers(t)}
	free := map[string]placer.Size{}
	for _, w := range s.Workers {
		free[w.ID] = w.Capacity
	}
	for i := range rapid.IntRange(0, 40).Draw(t, "tasks") {
		task := drawTask(t, i)
		w := s.Workers[rapid.IntRange(0, len(s.Workers)-1).Draw(t, "worker")].ID
		if rapid.Bool().Draw(t, "placed") && task.Declared.Within(free[w]) {
			free[w] = free[w].Minus(task.Declared)
			task.State, task.Workers, task.Reserved = placer.TaskPlaced, []string{w}, task.Declared
			task.Throttle = rapid.SampledFrom([]float64{1, 0.5, 0.25}).Draw(t, "throttle")
			states := []placer.TaskState{placer.TaskPlaced, placer.TaskPlaced, placer.TaskEvicting, placer.TaskWaiting}
			task.State = rapid.SampledFrom(states).Draw(t, "task state")
			other := s.Workers[0].ID
			if w != other && rapid.Bool().Draw(t, "unresolved") && task.Declared.Within(free[other]) {
				free[other] = free[other].Minus(task.Declared)
				task.Workers = append(task.Workers, other)
			}
		}
		s.Tasks = append(s.Tasks, task)
	}
	if rapid.Bool().Draw(t, "quotas") {
		s.Quotas = []placer.Quota{{Organisation: "x", Limit: size(8, 32)}, {Organisation: "y", Limit: size(0, 0)}}
	}
	if rapid.IntRange(0, 3).Draw(t, "estimates") > 0 {
		s.Estimates = drawEstimates(t, s.Tasks)
	}
	return s
}

func drawEstimates(t *rapid.T, tasks []placer.Task) fixedEstimates {
	g := fixedEstimates{factor: map[string]int64{}, excess: map[string]float64{}, measured: map[string]float64{}}
	for _, template := range []string{"a", "b", "c"} {
		g.factor[template] = int64(rapid.IntRange(1, 12).Draw(t, "factor"))
		g.excess[template] = rapid.SampledFrom([]float64{0, 0.02, 0.06, 0.3}).Draw(t, "excess")
	}
	for _, task := range tasks {
		g.measured[task.ID] = rapid.SampledFrom([]float64{1, 1.05, 1.3}).Draw(t, "measured")
	}
	return g
}

// TestPlansKeepTheRules checks the invariants of plans on random snapshots.
func TestPlansKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		p := placer.Placer{Seed: 1}
		plan := p.Decide(s)
		checkPure(t, p, s, plan)
		checkCapacity(t, s, plan)
		checkStarts(t, s, plan)
		checkWaiting(t, s, plan)
		checkEvictions(t, s, plan)
	})
}

// checkPure checks that the same snapshot gives the same plan and is not modified.
func checkPure(t *rapid.T, p placer.Placer, s placer.Snapshot, plan placer.Plan) {
	before := s
	before.Workers = slices.Clone(s.Workers)
	before.Tasks = slices.Clone(s.Tasks)
	if again := p.Decide(s); !reflect.DeepEqual(plan, again) {
		t.Fatalf("the plan differs on the same snapshot:\n%v\n%v", plan, again)
	}
	if !reflect.DeepEqual(before, s) {
		t.Fatal("the snapshot was changed")
	}
}

// checkCapacity checks that the tasks that may run on a worker never exceed its capacity.
// The larger of the two reservations counts while a task is resized.
func checkCapacity(t *rapid.T, s placer.Snapshot, plan placer.Plan) {
	held := map[string]placer.Size{}
	tasks := map[string]placer.Task{}
	for _, task := range s.Tasks {
		tasks[task.ID] = task
		for _, w := range task.Workers {
			held[w] = held[w].Plus(task.Reserved)
		}
	}
	for _, a := range plan.Actions {
		switch a.Kind {
		case placer.ActionStart:
			held[a.Worker] = held[a.Worker].Plus(a.Reserved)
		case placer.ActionResize:
			grown := a.Reserved.Max(tasks[a.Task].Reserved).Minus(tasks[a.Task].Reserved)
			held[a.Worker] = held[a.Worker].Plus(grown)
		}
	}
	for _, w := range s.Workers {
		if !held[w.ID].Within(w.Capacity) {
			t.Fatalf("worker %s may run %v, more than its capacity of %v: %v", w.ID, held[w.ID], w.Capacity, plan.Actions)
		}
	}
}

// checkStarts checks that only waiting tasks are started, once, within their time window,
// on a ready worker that is permitted for them.
func checkStarts(t *rapid.T, s placer.Snapshot, plan placer.Plan) {
	workers := map[string]placer.Worker{}
	for _, w := range s.Workers {
		workers[w.ID] = w
	}
	actions := map[string]int{}
	for _, a := range plan.Actions {
		task := taskOf(s, a.Task)
		actions[a.Task]++
		if a.Kind != placer.ActionStart {
			continue
		}
		w := workers[a.Worker]
		inDomain := len(task.FailureDomains) == 0 || slices.Contains(task.FailureDomains, w.FailureDomain)
		eligible := w.State == placer.WorkerReady && inDomain && !slices.Contains(task.Excluded, w.ID)
		if !eligible || task.State != placer.TaskWaiting || len(task.Workers) > 0 || task.NotBefore.After(s.Now) || actions[a.Task] > 1 {
			t.Fatalf("action %v is not allowed for task %+v on worker %+v", a, task, w)
		}
	}
}

// checkWaiting checks that each waiting task is either started or listed with a reason,
// and that the reason is ReasonNever exactly for the tasks that no empty worker could
// run.
func checkWaiting(t *rapid.T, s placer.Snapshot, plan placer.Plan) {
	answers := map[string]int{}
	for _, a := range plan.Actions {
		if a.Kind == placer.ActionStart {
			answers[a.Task]++
		}
	}
	never := map[string]bool{}
	for _, w := range plan.Waiting {
		answers[w.Task]++
		never[w.Task] = w.Code == placer.ReasonNever
		if w.Detail == "" {
			t.Fatalf("%v has no detail", w)
		}
	}
	for _, task := range s.Tasks {
		want := 0
		if task.State == placer.TaskWaiting {
			want = 1
		}
		if answers[task.ID] != want {
			t.Fatalf("task %s is started or listed as waiting %d times, want %d", task.ID, answers[task.ID], want)
		}
		if want == 1 && len(task.Workers) == 0 && never[task.ID] == everFits(s, task) {
			t.Fatalf("task %+v: ReasonNever given = %t", task, never[task.ID])
		}
	}
}

func everFits(s placer.Snapshot, task placer.Task) bool {
	return slices.ContainsFunc(s.Workers, func(w placer.Worker) bool {
		inDomain := len(task.FailureDomains) == 0 || slices.Contains(task.FailureDomains, w.FailureDomain)
		learned := task.Declared
		if s.Estimates != nil {
			learned = s.Estimates.Size(task.Template, task.Declared)
			learned.Accelerators = task.Declared.Accelerators
		}
		return inDomain && (task.Declared.Within(w.Capacity) || learned.Within(w.Capacity))
	})
}

// checkEvictions checks that only placed tasks are evicted, throttled or resized, and
// that each eviction has a reason.
func checkEvictions(t *rapid.T, s placer.Snapshot, plan placer.Plan) {
	for _, a := range plan.Actions {
		if a.Kind == placer.ActionStart {
			continue
		}
		task := taskOf(s, a.Task)
		if task.State != placer.TaskPlaced {
			t.Fatalf("action %v on a task in state %s", a, task.State)
		}
		if a.Kind == placer.ActionEvict && a.Reason == "" {
			t.Fatalf("action %v has no reason", a)
		}
	}
}

func taskOf(s placer.Snapshot, id string) placer.Task {
	for _, task := range s.Tasks {
		if task.ID == id {
			return task
		}
	}
	return placer.Task{}
}

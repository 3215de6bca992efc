package placer_test

import (
	"fmt"
	"testing"
	"time"

	"zinniashore.example/placer"
)

const gigabyte = 1 << 30

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func size(processors, gigabytes int64) placer.Size {
	return placer.Size{Processors: processors * 1000, Memory: gigabytes * gigabyte}
}

func worker(id string, capacity placer.Size) placer.Worker {
	return placer.Worker{ID: id, FailureDomain: "graz-a", Rack: "r1", Capacity: capacity, State: placer.WorkerReady}
}

func inState(w placer.Worker, state placer.WorkerState) placer.Worker {
	w.State = state
	return w
}

func inDomain(w placer.Worker, failureDomain string) placer.Worker {
	w.FailureDomain = failureDomain
	return w
}

func waitingTask(id string, declared placer.Size) placer.Task {
	return placer.Task{ID: id, Template: "sort", Class: placer.ClassBatch, Declared: declared, State: placer.TaskWaiting}
}

func placedTask(id, worker string, declared placer.Size) placer.Task {
	task := waitingTask(id, declared)
	task.State = placer.TaskPlaced
	task.Workers = []string{worker}
	return task
}

func summary(plan placer.Plan) []string {
	var lines []string
	for _, a := range plan.Actions {
		lines = append(lines, fmt.Sprintf("%s %s %s", a.Kind, a.Task, a.Worker))
	}
	for _, w := range plan.Waiting {
		lines = append(lines, fmt.Sprintf("%s waits: %s: %s", w.Task, w.Code, w.Detail))
	}
	return lines
}

var decideCases = map[string]struct {
	snapshot placer.Snapshot
	want     []string
}{
	"starts on a worker with enough free capacity": {
		snapshot: placer.Snapshot{
			Workers: []placer.Worker{worker("w1", size(4, 16)), worker("w2", size(64, 250))},
			Tasks:   []placer.Task{waitingTask("a", size(8, 8))},
		},
		want: []string{"start a w2"},
	},
	"never: no worker is large enough": {
		snapshot: placer.Snapshot{
			Workers: []placer.Worker{worker("w1", size(64, 250))},
			Tasks: []placer.Task{
				with(waitingTask("a", size(96, 8)), func(t *placer.Task) { t.FailureDomains = []string{"graz-a"} }),
			},
		},
		want: []string{"a waits: never: needs 96 processors, the largest worker of graz-a has 64"},
	},
	"a full worker gives capacity as the reason and not never": {
		snapshot: placer.Snapshot{
			Workers: []placer.Worker{worker("w1", size(64, 250))},
			Tasks:   []placer.Task{placedTask("b", "w1", size(60, 8)), waitingTask("a", size(8, 8))},
		},
		want: []string{"a waits: capacity: needs 8 processors, 8 GiB; the most that is free on a worker of the cell is 4 processors, 242 GiB"},
	},
	"an evicting task keeps its reservation": {
		snapshot: placer.Snapshot{
			Workers: []placer.Worker{worker("w1", size(64, 250))},
			Tasks: []placer.Task{
				with(placedTask("b", "w1", size(60, 8)), func(t *placer.Task) { t.State = placer.TaskEvicting }),
				waitingTask("a", size(8, 8)),
			},
		},
		want: []string{"a waits: capacity: waits until evicted tasks have left w1"},
	},
	"window": {
		snapshot: placer.Snapshot{
			Now:     noon,
			Workers: []placer.Worker{worker("w1", size(64, 250))},
			Tasks: []placer.Task{
				with(waitingTask("a", size(8, 8)), func(t *placer.Task) { t.NotBefore = noon.Add(time.Hour) }),
			},
		},
		want: []string{"a waits: window: its window begins at 2026-12-04T13:00:00Z"},
	},
	"an urgent task evicts the cheapest task": {
		snapshot: placer.Snapshot{
			Now:     noon,
			Workers: []placer.Worker{worker("w1", size(16, 64)), worker("w2", size(16, 64))},
			Tasks: []placer.Task{
				with(placedTask("b", "w1", size(16, 8)), func(t *placer.Task) { t.Priority = 5 }),
				with(placedTask("c", "w2", size(16, 8)), func(t *placer.Task) { t.Priority = 1 }),
				with(waitingTask("a", size(8, 8)), func(t *placer.Task) { t.Urgent = true }),
			},
		},
		want: []string{"evict c w2", "a waits: capacity: waits until 1 evicted tasks have left w2"},
	},
	"nothing starts on evacuated workers, and what runs there goes on": {
		snapshot: placer.Snapshot{
			Now:     noon,
			Workers: []placer.Worker{inState(worker("w1", size(64, 250)), placer.WorkerEvacuated)},
			Quotas:  []placer.Quota{{Organisation: "y", Limit: size(1, 1)}},
			Tasks: []placer.Task{
				placedTask("b", "w1", size(60, 8)),
				with(waitingTask("a", size(8, 8)), func(t *placer.Task) { t.Urgent = true }),
				with(waitingTask("d", size(8, 8)), func(t *placer.Task) { t.Organisation = "y" }),
				waitingTask("c", size(96, 8)),
			},
		},
		want: []string{
			"a waits: evacuated: an operator has evacuated graz-a",
			"c waits: never: needs 96 processors, the largest worker of the cell has 64",
			"d waits: evacuated: an operator has evacuated graz-a",
		},
	},
	"all failure domains of a task are evacuated": {
		snapshot: placer.Snapshot{
			Workers: []placer.Worker{
				inState(worker("w1", size(64, 250)), placer.WorkerEvacuated),
				inState(inDomain(worker("w2", size(64, 250)), "graz-b"), placer.WorkerEvacuated),
				inDomain(worker("w3", size(64, 250)), "graz-c"),
			},
			Tasks: []placer.Task{
				with(waitingTask("a", size(8, 8)), func(t *placer.Task) { t.FailureDomains = []string{"graz-a", "graz-b"} }),
				waitingTask("b", size(8, 8)),
			},
		},
		want: []string{"start b w3", "a waits: evacuated: an operator has evacuated graz-a and graz-b"},
	},
	"nothing starts while evacuations are not known": {
		snapshot: placer.Snapshot{
			Workers: []placer.Worker{inState(worker("w1", size(64, 250)), placer.WorkerUnknown)},
			Tasks:   []placer.Task{waitingTask("a", size(8, 8))},
		},
		want: []string{"a waits: evacuated: it is not known yet whether an operator has evacuated graz-a"},
	},
	"sizes that are not learned cause no resizing and no evictions": {
		snapshot: placer.Snapshot{
			Now:     noon,
			Workers: []placer.Worker{worker("w1", size(16, 16))},
			Tasks: []placer.Task{
				with(placedTask("b", "w1", size(8, 8)), func(t *placer.Task) { t.Reserved = t.Declared }),
				with(placedTask("c", "w1", size(8, 8)), func(t *placer.Task) { t.Reserved = t.Declared }),
			},
			Estimates: coldEstimates{},
		},
	},
	"an organisation loses no more than it borrows": {
		snapshot: placer.Snapshot{
			Now:     noon,
			Workers: []placer.Worker{worker("w1", size(16, 64))},
			Quotas:  []placer.Quota{{Organisation: "x", Limit: size(16, 64)}, {Organisation: "y", Limit: size(8, 64)}},
			Tasks: []placer.Task{
				with(placedTask("b", "w1", size(8, 8)), func(t *placer.Task) { t.Organisation = "y" }),
				with(placedTask("c", "w1", size(8, 8)), func(t *placer.Task) { t.Organisation = "y" }),
				with(waitingTask("a", size(16, 8)), func(t *placer.Task) { t.Organisation = "x" }),
			},
		},
		want: []string{"a waits: capacity: needs 16 processors, 8 GiB; the most that is free on a worker of the cell is 0 processors, 48 GiB"},
	},
	"quota is reclaimed from the borrowing organisation": {
		snapshot: placer.Snapshot{
			Now:     noon,
			Workers: []placer.Worker{worker("w1", size(16, 64))},
			Quotas:  []placer.Quota{{Organisation: "x", Limit: size(8, 64)}, {Organisation: "y", Limit: size(8, 64)}},
			Tasks: []placer.Task{
				with(placedTask("b", "w1", size(8, 8)), func(t *placer.Task) { t.Organisation = "y" }),
				with(placedTask("c", "w1", size(8, 8)), func(t *placer.Task) { t.Organisation, t.Evictions = "y", 1 }),
				with(waitingTask("a", size(8, 8)), func(t *placer.Task) { t.Organisation = "x" }),
				with(waitingTask("d", size(8, 8)), func(t *placer.Task) { t.Organisation = "y" }),
			},
		},
		want: []string{
			"evict b w1",
			"a waits: capacity: waits until 1 evicted tasks have left w1",
			"d waits: quota: y exceeds its quota of 8 processors, 64 GiB and borrows only free room: " +
				"needs 8 processors, 8 GiB; the most that is free on a worker of the cell is 0 processors, 40 GiB",
		},
	},
}

func TestDecide(t *testing.T) {
	for name, c := range decideCases {
		t.Run(name, func(t *testing.T) {
			p := placer.Placer{Seed: 1}
			got := summary(p.Decide(c.snapshot))
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("Decide:\n got %q\nwant %q", got, c.want)
			}
		})
	}
}

// coldEstimates are Estimates that have learned nothing.
type coldEstimates struct{}

func (coldEstimates) Size(_ string, declared placer.Size) placer.Size {
	return placer.Size{Processors: declared.Processors, Memory: 4 * declared.Memory}
}

func (coldEstimates) Slowdown(string, []string) float64 { return 1 }

func (coldEstimates) Measured(string) float64 { return 1 }

func with(task placer.Task, change func(*placer.Task)) placer.Task {
	change(&task)
	return task
}

package placer

// Placer decides over snapshots. Its exported fields are set before use.
type Placer struct {
	// Seed makes the choice among equals deterministic.
	Seed uint64
}

// Decide returns the plan for a snapshot.
func (p *Placer) Decide(snapshot Snapshot) Plan {
	free := freeByWorker(snapshot)
	var plan Plan
	for _, task := range snapshot.Tasks {
		if task.State != TaskWaiting {
			continue
		}
		worker, found := firstFit(snapshot.Workers, free, task)
		if !found {
			plan.Waiting = append(plan.Waiting, Waiting{Task: task.ID, Code: ReasonCapacity})
			continue
		}
		free[worker] = free[worker].Minus(task.Declared)
		plan.Actions = append(plan.Actions, Action{Kind: ActionStart, Task: task.ID, Worker: worker})
	}
	return plan
}

func freeByWorker(snapshot Snapshot) map[string]Size {
	free := make(map[string]Size, len(snapshot.Workers))
	for _, worker := range snapshot.Workers {
		free[worker.ID] = worker.Capacity
	}
	for _, task := range snapshot.Tasks {
		for _, worker := range task.Workers {
			free[worker] = free[worker].Minus(task.Declared)
		}
	}
	return free
}

func firstFit(workers []Worker, free map[string]Size, task Task) (string, bool) {
	for _, worker := range workers {
		if worker.State == WorkerReady && task.Declared.Within(free[worker.ID]) {
			return worker.ID, true
		}
	}
	return "", false
}

package dispatcher

// rankLongRunning ranks the waiting long-running tasks: the first of each step by the number of active
// tasks of the step, each further one one higher. In the order of their ranks, the jobs that compete for
// the capacity of the cell get equal numbers of active tasks, as far as they ask for them, so that no job is left
// without any while others have all of theirs.
func (c *Cell) rankLongRunning() {
	next := map[*stepState]int{}
	for _, t := range c.ready {
		if !t.step.step.LongRunning {
			continue
		}
		rank, known := next[t.step]
		if !known {
			rank = t.step.activeTasks()
		}
		t.rank, next[t.step] = rank, rank+1
	}
}

// activeTasks returns how many tasks of the step have a run, here or in another cell.
func (s *stepState) activeTasks() int {
	count := 0
	for _, t := range s.tasks {
		if len(t.runs) > 0 || t.remote {
			count++
		}
	}
	return count
}

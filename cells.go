package zinniashore

import (
	"fmt"
	"slices"

	"k8s.io/klog/v2"

	"zinniashore.example/keeper"
	"zinniashore.example/owner"
	"zinniashore.example/placer"
	"zinniashore.example/submitter"
)

// NoCellError reports that no cell exists in the failure domains of a job.
type NoCellError struct {
	// FailureDomains are the failure domains of the job.
	FailureDomains []string
}

// Error implements error.
func (e *NoCellError) Error() string {
	return fmt.Sprintf("no cell in failure domains %q", e.FailureDomains)
}

// cellChooser assigns each job to the cell with the smallest backlog relative to its
// capacity. A cell of an evacuated failure domain is chosen only if no other can run the job.
type cellChooser struct {
	cells   []owner.Cell
	workers workerList
	mirror  *keeper.Mirror
	// evacuations are the failure domains in which no task may start.
	evacuations owner.Evacuations
}

// Choose implements administrator.Cells. A job that fits no worker is assigned to the
// first of its cells; the owner of that cell reports why the job can't run.
func (c *cellChooser) Choose(job submitter.Job) (string, error) {
	backlogs := c.backlogs()
	workers := c.workers.list()
	var chosen string
	minLoad := 0.0
	for _, cell := range c.preferredCells(job, workers) {
		load := cellLoad(backlogs[cell.ID], capacity(workers, cell, job.Size))
		if chosen == "" || load < minLoad {
			chosen, minLoad = cell.ID, load
		}
	}
	if chosen == "" {
		return "", &NoCellError{FailureDomains: job.FailureDomains}
	}
	return chosen, nil
}

// preferredCells returns the cells in the failure domains of a job. It leaves out those of
// evacuated failure domains if another one has a worker that is large enough.
func (c *cellChooser) preferredCells(job submitter.Job, workers []owner.WorkerVM) []owner.Cell {
	var allowed, preferred []owner.Cell
	for _, cell := range c.cells {
		if len(job.FailureDomains) > 0 && !slices.Contains(job.FailureDomains, cell.FailureDomain) {
			continue
		}
		allowed = append(allowed, cell)
		evacuated, _ := c.evacuations.Evacuated(cell.FailureDomain)
		if !evacuated && capacity(workers, cell, job.Size) > 0 {
			preferred = append(preferred, cell)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return allowed
}

// cellLoad returns the backlog relative to the capacity. A cell without capacity has a
// higher load than any other.
func cellLoad(backlog, capacity int64) float64 {
	const unusable = 1e18
	if capacity == 0 {
		return unusable
	}
	return float64(backlog) / float64(capacity)
}

// capacity returns the total capacity, in thousandths of a processor, of the workers of
// a cell that are large enough for a task of the given size.
func capacity(workers []owner.WorkerVM, cell owner.Cell, size placer.Size) int64 {
	var total int64
	for _, vm := range workers {
		if cell.Contains(vm) && size.Within(vm.Capacity) {
			total += vm.Capacity.Processors
		}
	}
	return total
}

// backlogs returns, for each cell, the thousandths of a processor that its unfinished
// jobs request.
func (c *cellChooser) backlogs() map[string]int64 {
	backlogs := map[string]int64{}
	for _, entry := range c.mirror.Entries(submitter.Prefix) {
		job, err := submitter.DecodeJob(entry)
		if err != nil {
			klog.ErrorS(err, "Decoding a stored job failed", "key", entry.Key)
			continue
		}
		if !job.State.Ended() {
			backlogs[job.Cell] += int64(job.Tasks) * job.Size.Processors
		}
	}
	return backlogs
}

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

// NoCellError reports a job whose failure domains have no cell.
type NoCellError struct {
	// FailureDomains are the failure domains of the job.
	FailureDomains []string
}

// Error implements error.
func (e *NoCellError) Error() string {
	return fmt.Sprintf("no cell in failure domains %q", e.FailureDomains)
}

// cellChooser gives a job to the cell with the least backlog for its capacity.
type cellChooser struct {
	cells   []owner.Cell
	workers workerList
	mirror  *keeper.Mirror
}

// Choose implements administrator.Cells. A job that no worker could run goes to
// the first of its cells, whose owner tells why it never runs.
func (c *cellChooser) Choose(job submitter.Job) (string, error) {
	backlogs := c.backlogs()
	workers := c.workers.list()
	var chosen string
	least := 0.0
	for _, cell := range c.cells {
		if len(job.FailureDomains) > 0 && !slices.Contains(job.FailureDomains, cell.FailureDomain) {
			continue
		}
		load := cellLoad(backlogs[cell.ID], capacity(workers, cell, job.Size))
		if chosen == "" || load < least {
			chosen, least = cell.ID, load
		}
	}
	if chosen == "" {
		return "", &NoCellError{FailureDomains: job.FailureDomains}
	}
	return chosen, nil
}

// cellLoad returns backlog for capacity; no capacity is more than any load.
func cellLoad(backlog, capacity int64) float64 {
	const unusable = 1e18
	if capacity == 0 {
		return unusable
	}
	return float64(backlog) / float64(capacity)
}

// capacity returns the thousandths of processors on the workers of a cell that
// could run a task of that size.
func capacity(workers []owner.WorkerVM, cell owner.Cell, size placer.Size) int64 {
	var total int64
	for _, vm := range workers {
		if cell.Contains(vm) && size.Within(vm.Capacity) {
			total += vm.Capacity.Processors
		}
	}
	return total
}

// backlogs returns the thousandths of processors wanted by the jobs of each
// cell that have not ended.
func (c *cellChooser) backlogs() map[string]int64 {
	backlogs := map[string]int64{}
	for _, entry := range c.mirror.Entries(submitter.Prefix) {
		job, err := submitter.DecodeJob(entry)
		if err != nil {
			klog.ErrorS(err, "Job not read", "key", entry.Key)
			continue
		}
		if !job.State.Ended() {
			backlogs[job.Cell] += int64(job.Tasks) * job.Size.Processors
		}
	}
	return backlogs
}
